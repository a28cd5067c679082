//! Small `Copy` keys for members, cells, terms and streams.

use crate::macros::key;
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_128;

key! {
    /// Place of an entry host in the settings; processes come and go at it.
    pub struct Seat(pub u16);

    /// One life of a process at a seat. A later life has a higher incarnation;
    /// a life whose lease lapsed is over for good.
    pub struct Member {
        /// The seat.
        pub seat: Seat,
        /// Wall-clock milliseconds at the start of this life, or higher.
        pub incarnation: u64,
    }

    /// A part of the fleet with one owner at a time.
    pub enum Cell {
        /// Request identities and jobs whose hash falls into this range.
        Keys(u16),
        /// The workers of one rack, by [`hash`] of the rack's name.
        Workers(u64),
        /// The instances of one service in one failure domain, by [`hash`] of
        /// `service/domain`.
        Upstreams(u64),
    }

    /// Offset of the claim that made a member owner of a cell, plus one. It only
    /// grows, and it is the fencing token on every act for the cell.
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
    /// Names the cell of the workers in `rack`.
    pub fn workers(rack: &str) -> Self {
        Cell::Workers(hash(rack))
    }

    /// Names the cell of the instances of `service` in `failure_domain`.
    pub fn upstreams(service: &str, failure_domain: &str) -> Self {
        Cell::Upstreams(hash(&format!("{service}/{failure_domain}")))
    }

    /// Names the cell that keeps `text`, one of `cells`.
    pub fn keys(text: &str, cells: u16) -> Self {
        Cell::Keys((hash(text) % u64::from(cells.max(1))) as u16)
    }
}

/// Hashes a name to a key that is the same in every process.
pub fn hash(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// Hashes a request's identity, wide enough that two never meet.
pub fn identity_hash(bytes: &[u8]) -> u128 {
    xxh3_128(bytes)
}

/// Ranks `seat` for `cell`: the live seat with the highest weight should own it.
///
/// Rendezvous hashing moves only the cells of a seat that comes or goes.
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
