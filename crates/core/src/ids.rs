//! Identifiers of members, cells, terms and streams.

use crate::macros::key;
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_128;

key! {
    /// Number of an entry host in the settings. The process that replaces another one
    /// at the host has the same seat.
    pub struct Seat(pub u16);

    /// One incarnation of the process at a seat. A later one has a higher number, and
    /// an incarnation whose lease has expired never acts again.
    pub struct Member {
        /// The seat.
        pub seat: Seat,
        /// Wall-clock milliseconds at the start of this incarnation, or higher.
        pub incarnation: u64,
    }

    /// A shard of the fleet's state, which has one owner at a time.
    pub enum Cell {
        /// Request identities and jobs whose hash falls into this shard.
        Keys(u16),
        /// The workers of one rack, by [`hash`] of the rack's name.
        Workers(u64),
        /// The instances of one service in one failure domain, by [`hash`] of
        /// `service/domain`.
        Upstreams(u64),
    }

    /// Fencing token of an ownership: the offset of the claim that made a member the
    /// owner of a cell, plus one. It only grows, and every action for the cell
    /// carries it.
    #[derive(Default)]
    pub struct Term(pub u64);

    /// A stream of the platform's log.
    pub enum Stream {
        /// Who owns which cell.
        Claims,
        /// Published configuration.
        Config,
        /// Identities and jobs of one [`Cell::Keys`].
        Keys(u16),
    }
}

impl fmt::Display for Member {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "seat{}/{}", self.seat.0, self.incarnation)
    }
}

impl fmt::Display for Cell {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cell::Keys(number) => write!(out, "keys-{number}"),
            Cell::Workers(hash) => write!(out, "workers-{hash:08x}"),
            Cell::Upstreams(hash) => write!(out, "upstreams-{hash:08x}"),
        }
    }
}

impl fmt::Display for Stream {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Stream::Claims => write!(out, "claims"),
            Stream::Config => write!(out, "config"),
            Stream::Keys(number) => write!(out, "keys-{number}"),
        }
    }
}

impl Cell {
    /// Returns the cell of the workers in `rack`.
    pub fn workers(rack: &str) -> Self {
        Cell::Workers(hash(rack))
    }

    /// Returns the cell of the instances of `service` in `failure_domain`.
    pub fn upstreams(service: &str, failure_domain: &str) -> Self {
        Cell::Upstreams(hash(&format!("{service}/{failure_domain}")))
    }

    /// Returns the cell of keys, one of `cells`, that `text` is hashed to.
    pub fn keys(text: &str, cells: u16) -> Self {
        Cell::Keys((hash(text) % u64::from(cells.max(1))) as u16)
    }
}

/// Hashes a name to a number that is the same in every process.
pub fn hash(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// Hashes a request's identity to 128 bits, which makes collisions negligible.
pub fn identity_hash(bytes: &[u8]) -> u128 {
    xxh3_128(bytes)
}

/// Returns the rendezvous hashing weight of `seat` for `cell`. The live seat with the
/// highest weight should own the cell.
///
/// When a seat is added or removed, only its own cells move.
pub fn rendezvous_weight(cell: Cell, seat: Seat) -> u64 {
    let (kind, number) = match cell {
        Cell::Keys(number) => (1_u8, u64::from(number)),
        Cell::Workers(number) => (2, number),
        Cell::Upstreams(number) => (3, number),
    };
    let mut bytes = [0_u8; 11];
    bytes[0] = kind;
    bytes[1..9].copy_from_slice(&number.to_le_bytes());
    bytes[9..].copy_from_slice(&seat.0.to_le_bytes());
    xxh3_64(&bytes)
}
