//! Connections to peers, over real sockets on loopback.

use goldcrestway_net::Call;
use goldcrestway_net::Message;
use goldcrestway_net::Net;
use googletest::prelude::*;
use std::net::TcpListener;
use std::time::Duration;

/// Turns of the event loop in which a connection must come; they only bound a failure.
const TURNS: usize = 100;
const TURN: Duration = Duration::from_millis(10);
/// Time after which calls are given up, longer than the test takes.
const TIMEOUT_MS: u64 = 60_000;

/// Symptom: reads of the store take two seconds, and one host after the other claims to own
/// and loses that again. Sequence: all connections to the store are reset. Cause: the number
/// of connections that it may have was forgotten with the last of them, so that long polls
/// held the few that were left.
#[gtest]
fn a_peer_keeps_its_number_of_connections_when_all_are_reset() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    listener.set_nonblocking(true).unwrap();
    let peer = listener.local_addr().unwrap();
    let mut net = Net::new().unwrap();
    net.allow_lines(peer, 7);
    let call = |number| Call::new(number, peer, TIMEOUT_MS, &Message::get("/".into()));
    net.call(call(1));
    let mut has_ended = false;
    for _ in 0..TURNS {
        // Dropping it resets the connection.
        drop(listener.accept());
        has_ended |= !net.wait(TURN).is_empty();
        if has_ended {
            break;
        }
    }
    expect_true!(has_ended);
    for _ in 0..3 {
        net.wait(TURN);
    }
    for number in 2..12 {
        net.call(call(number));
    }
    let mut accepted = Vec::new();
    for _ in 0..TURNS {
        if accepted.len() == 7 {
            break;
        }
        net.wait(TURN);
        accepted.extend(listener.accept().ok());
    }
    expect_that!(accepted.len(), eq(7));
}
