//! Tests of the connection pool over real sockets on the loopback interface.

use goldcrestway_net::Arrival;
use goldcrestway_net::Call;
use goldcrestway_net::CallFault;
use goldcrestway_net::Message;
use goldcrestway_net::Net;
use googletest::prelude::*;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;

/// Maximum number of waits for a connection, which bounds the time of a failing test.
const MAX_WAITS: usize = 100;
const WAIT: Duration = Duration::from_millis(10);
/// Timeout of calls, longer than the test takes.
const TIMEOUT_MS: u64 = 60_000;

/// Guards against a connection limit that is lost when all connections to a peer are reset. Long
/// polls then occupied the few default connections to the store: reads took two seconds, and
/// one host after another claimed ownership and lost it again.
#[gtest]
fn a_peer_keeps_its_connection_limit_when_all_are_reset() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    listener.set_nonblocking(true).unwrap();
    let peer = listener.local_addr().unwrap();
    let mut net = Net::new().unwrap();
    net.set_max_connections(peer, 7);
    let call = |number| Call::new(number, peer, TIMEOUT_MS, &Message::get("/".into()));
    net.call(call(1));
    let mut has_ended = false;
    for _ in 0..MAX_WAITS {
        // Dropping the accepted stream resets the connection.
        drop(listener.accept());
        has_ended |= !net.wait(WAIT).is_empty();
        if has_ended {
            break;
        }
    }
    expect_true!(has_ended);
    for _ in 0..3 {
        net.wait(WAIT);
    }
    for number in 2..12 {
        net.call(call(number));
    }
    let mut accepted = Vec::new();
    for _ in 0..MAX_WAITS {
        if accepted.len() == 7 {
            break;
        }
        net.wait(WAIT);
        accepted.extend(listener.accept().ok());
    }
    expect_that!(accepted.len(), eq(7));
}

/// Time without a byte after which an answer that has begun is abandoned. All pieces of an answer
/// together take longer, at [`PIECE_PAUSE`] each.
const STALL_MS: u64 = 1_000;
const PIECE_PAUSE: Duration = Duration::from_millis(60);
const PIECES: usize = 20;

/// Answers one call with the first `sent` of [`PIECES`] pieces of a body.
fn answer_in_pieces(listener: TcpListener, sent: usize) -> TcpStream {
    let (mut stream, _) = listener.accept().unwrap();
    let mut request = [0; 1_024];
    let _ = stream.read(&mut request).unwrap();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {PIECES}\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    for _ in 0..sent {
        std::thread::sleep(PIECE_PAUSE);
        stream.write_all(b"x").unwrap();
    }
    stream
}

/// Guards against abandoning an answer while it is being received. A host whose slow link needed
/// longer for a page than the timeout of a read requested the same page again and again, and
/// never finished reading the store. An answer that stalls is still abandoned.
#[gtest]
fn a_slow_answer_is_awaited_while_bytes_arrive() {
    let cases = [(PIECES, true), (PIECES / 2, false)];
    for (sent, is_whole) in cases {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let peer = listener.local_addr().unwrap();
        let server = std::thread::spawn(move || answer_in_pieces(listener, sent));
        let mut net = Net::new().unwrap();
        let call = Call::new(1, peer, STALL_MS, &Message::get("/".into()));
        net.call(call.with_stall_ms(STALL_MS));
        let mut answers = Vec::new();
        while answers.is_empty() {
            answers.extend(net.wait(WAIT));
        }
        let Arrival::Answer { answer, .. } = &answers[0] else {
            panic!("only the answer to the call can arrive");
        };
        expect_that!(answer.is_ok(), eq(is_whole), "{sent} pieces");
        drop(server.join());
    }
}

/// Accepts a waiting connection and answers new calls. Only the first call is answered on each of
/// the first `silent_count` connections.
fn answer_first_calls(
    listener: &TcpListener,
    streams: &mut Vec<(TcpStream, u32)>,
    silent_count: usize,
) {
    if let Ok((stream, _)) = listener.accept() {
        stream.set_nonblocking(true).unwrap();
        streams.push((stream, 0));
    }
    for (number, (stream, calls)) in streams.iter_mut().enumerate() {
        let mut request = [0; 1_024];
        if !stream.read(&mut request).is_ok_and(|length| length > 0) {
            continue;
        }
        *calls += 1;
        if *calls == 1 || number >= silent_count {
            stream
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                .unwrap();
        }
    }
}

/// Timeout of calls that get no answer. Other calls take milliseconds.
const CALL_TIMEOUT_MS: u64 = 3_000;

/// Guards against repeated timeouts after connections went silent without a reset. Each call was
/// sent on another idle connection that had gone silent at the same time, although new
/// connections worked.
#[gtest]
fn a_silent_connection_closes_idle_ones_of_its_age() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    listener.set_nonblocking(true).unwrap();
    let peer = listener.local_addr().unwrap();
    let mut net = Net::new().unwrap();
    let mut streams = Vec::new();
    let mut call = |net: &mut Net, numbers: &[u64]| {
        for number in numbers {
            let message = Message::get("/".into());
            net.call(Call::new(*number, peer, CALL_TIMEOUT_MS, &message));
        }
        let mut answers = Vec::new();
        while answers.len() < numbers.len() {
            answer_first_calls(&listener, &mut streams, 3);
            for arrival in net.wait(Duration::from_millis(1)) {
                if let Arrival::Answer { answer, .. } = arrival {
                    answers.push(answer.is_ok());
                }
            }
        }
        (answers, streams.len())
    };
    // Opens three connections, all of which are silent after their first answer.
    expect_that!(call(&mut net, &[1, 2, 3]), eq(&(vec![true; 3], 3)));
    expect_that!(call(&mut net, &[4]), eq(&(vec![false], 3)));
    expect_that!(call(&mut net, &[5]), eq(&(vec![true], 4)));
}

/// Connections to one peer by default.
const CONNECTIONS: usize = 4;
/// Time for which a call may wait for a connection, and the timeout of the calls that occupy all
/// of them.
const MAX_QUEUE_MS: u64 = 300;
const OCCUPIED_MS: u64 = 900;

/// Guards against a call that is sent long after it was decided. Orders to start waited for two
/// seconds behind calls that got no answer, and reached a worker that was known to drain.
#[gtest]
fn a_call_that_waits_too_long_for_a_connection_is_not_sent() {
    let cases = [(Some(MAX_QUEUE_MS), false), (None, true)];
    for (max_queue_ms, is_sent) in cases {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        listener.set_nonblocking(true).unwrap();
        let peer = listener.local_addr().unwrap();
        let mut net = Net::new().unwrap();
        for number in 1..=CONNECTIONS as u64 {
            net.call(Call::new(
                number,
                peer,
                OCCUPIED_MS,
                &Message::get("/occupies".into()),
            ));
        }
        let waiting = Call::new(10, peer, TIMEOUT_MS, &Message::get("/waits".into()));
        net.call(waiting.with_max_queue_ms(max_queue_ms));
        let mut streams = Vec::new();
        let mut received = String::new();
        let mut is_reported = false;
        for _ in 0..2 * MAX_WAITS {
            for arrival in net.wait(WAIT) {
                let Arrival::Answer { number, answer } = arrival else {
                    continue;
                };
                let is_not_sent = answer.is_err_and(CallFault::had_no_effect);
                is_reported |= number == 10 && is_not_sent;
            }
            if let Ok((stream, _)) = listener.accept() {
                stream.set_nonblocking(true).unwrap();
                streams.push(stream);
            }
            for stream in &mut streams {
                let mut request = [0; 1_024];
                let length = stream.read(&mut request).unwrap_or(0);
                received.push_str(&String::from_utf8_lossy(&request[..length]));
            }
            if is_reported && streams.len() == CONNECTIONS || received.contains("/waits") {
                break;
            }
        }
        expect_that!(received.contains("/waits"), eq(is_sent));
        expect_that!(is_reported, eq(!is_sent));
    }
}

/// Time for which the event loop does not run, as in a process that is paused.
const PAUSE: Duration = Duration::from_millis(30);

/// Guards against a call that is written after nobody waits for its answer any more. A host that was
/// paused while it connected to a worker sent it the orders that were given up meanwhile.
#[gtest]
fn a_call_that_expired_during_a_pause_is_not_sent() {
    // A timeout, and the time for which the call may wait for a connection.
    let cases = [(1, None), (TIMEOUT_MS, Some(1)), (TIMEOUT_MS, None)];
    for (timeout_ms, max_queue_ms) in cases {
        let is_expired = timeout_ms == 1 || max_queue_ms == Some(1);
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let peer = listener.local_addr().unwrap();
        let mut net = Net::new().unwrap();
        let call = Call::new(1, peer, timeout_ms, &Message::get("/late".into()));
        net.call(call.with_max_queue_ms(max_queue_ms));
        std::thread::sleep(PAUSE);
        let mut is_reported = false;
        for arrival in net.wait(WAIT) {
            let Arrival::Answer { answer, .. } = arrival else {
                continue;
            };
            is_reported |= answer.is_err_and(CallFault::had_no_effect);
        }
        expect_that!(is_reported, eq(is_expired), "{timeout_ms} {max_queue_ms:?}");
        drop(net);
        let (mut stream, _) = listener.accept().unwrap();
        let mut received = Vec::new();
        // The peer of a closed connection may be told so by an error.
        let _ = stream.read_to_end(&mut received);
        expect_that!(
            received.is_empty(),
            eq(is_expired),
            "{timeout_ms} {max_queue_ms:?}"
        );
    }
}
