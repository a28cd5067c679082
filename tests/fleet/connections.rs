//! Connections between the hosts of the fleet.

use crate::fleet::CALL_MS;
use crate::fleet::Delivery;
use crate::fleet::Fleet;
use goldcrestway_dispatch::ConnectionId;
use goldcrestway_dispatch::Event;

/// One end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct End {
    host: usize,
    generation: u64,
    conn: ConnectionId,
}

/// A connection.
#[derive(Debug, Clone, Copy)]
struct Pair {
    one: End,
    two: End,
    /// Frames are dropped, and neither end is notified.
    is_silent: bool,
}

/// All connections between hosts.
#[derive(Debug, Default)]
pub(super) struct Peers {
    pairs: Vec<Pair>,
    opened: u64,
}

impl Peers {
    /// Returns the other end, or `None` if the connection has gone silent.
    fn other(&self, host: usize, generation: u64, conn: ConnectionId) -> Option<End> {
        let own = End {
            host,
            generation,
            conn,
        };
        for pair in self.pairs.iter().filter(|pair| !pair.is_silent) {
            if pair.one == own {
                return Some(pair.two);
            }
            if pair.two == own {
                return Some(pair.one);
            }
        }
        None
    }
}

/// Returns the address at which a host accepts orders to relay, after it has moved a number of
/// times.
pub(super) fn relay_address(number: usize, moves: u64) -> Box<str> {
    format!("relay-{number}-{moves}").into()
}

impl Fleet {
    pub(super) fn connect(&mut self, number: usize, conn: ConnectionId, address: &str) {
        let generation = self.hosts[number].generation;
        let own = End {
            host: number,
            generation,
            conn,
        };
        let count = self.hosts.len();
        let target =
            (0..count).find(|other| *relay_address(*other, self.hosts[*other].moves) == *address);
        let is_there = |other: &usize| self.hosts[*other].entry.is_some() && *other != number;
        let event = match target.filter(is_there) {
            Some(host) => {
                self.peers.opened += 1;
                let other = End {
                    host,
                    generation: self.hosts[host].generation,
                    conn: ConnectionId::incoming(self.peers.opened),
                };
                self.peers.pairs.push(Pair {
                    one: own,
                    two: other,
                    is_silent: false,
                });
                Event::ConnectionOpened { conn }
            }
            None => Event::ConnectionLost { conn },
        };
        let delivery = Delivery::ToEntry(number, generation, event);
        self.deliveries.push((self.now_ms + CALL_MS, delivery));
    }

    pub(super) fn send_frame(&mut self, number: usize, conn: ConnectionId, bytes: Box<[u8]>) {
        let generation = self.hosts[number].generation;
        let Some(other) = self.peers.other(number, generation, conn) else {
            return;
        };
        self.frame_bytes += bytes.len() as u64;
        let length = bytes.len() as u64;
        let out_ms = self.hosts[number].sending_ms(self.now_ms, length);
        let in_ms = self.hosts[other.host].receiving_ms(self.now_ms + out_ms, length);
        let event = Event::Frame {
            conn: other.conn,
            bytes,
        };
        let at_ms = self.now_ms + CALL_MS + out_ms + in_ms;
        let delivery = Delivery::ToEntry(other.host, other.generation, event);
        self.deliveries.push((at_ms, delivery));
    }

    pub(super) fn disconnect(&mut self, number: usize, conn: ConnectionId) {
        let generation = self.hosts[number].generation;
        if let Some(other) = self.peers.other(number, generation, conn) {
            self.send_connection_lost(other);
        }
        let own = End {
            host: number,
            generation,
            conn,
        };
        self.peers
            .pairs
            .retain(|pair| pair.one != own && pair.two != own);
    }

    /// Closes all connections of a host that has stopped.
    pub(super) fn reset_connections(&mut self, number: usize) {
        let mut others = Vec::new();
        self.peers.pairs.retain(|pair| {
            let is_own = pair.one.host == number || pair.two.host == number;
            if is_own && !pair.is_silent {
                others.extend([pair.one, pair.two]);
            }
            !is_own
        });
        for other in others.into_iter().filter(|end| end.host != number) {
            self.send_connection_lost(other);
        }
    }

    /// Makes all present connections of a host to other hosts go silent; new ones work.
    pub(crate) fn silence_connections(&mut self, number: usize) {
        for pair in &mut self.peers.pairs {
            pair.is_silent |= pair.one.host == number || pair.two.host == number;
        }
    }

    /// Closes all present connections of a host to other hosts; new ones work.
    pub(crate) fn break_connections(&mut self, number: usize) {
        let mut ends = Vec::new();
        self.peers.pairs.retain(|pair| {
            let is_own = pair.one.host == number || pair.two.host == number;
            if is_own {
                ends.extend([pair.one, pair.two]);
            }
            !is_own
        });
        for end in ends {
            self.send_connection_lost(end);
        }
    }

    fn send_connection_lost(&mut self, end: End) {
        let event = Event::ConnectionLost { conn: end.conn };
        let delivery = Delivery::ToEntry(end.host, end.generation, event);
        self.deliveries.push((self.now_ms + CALL_MS, delivery));
    }
}
