//! Frames between our own processes, as they come over a slow link.

use goldcrestway_net::Arrival;
use goldcrestway_net::ConnectionKey;
use goldcrestway_net::Net;
use googletest::prelude::*;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

const WAIT: Duration = Duration::from_millis(5);
/// Turns that are awaited; it only bounds a failure.
const MAX_WAITS: usize = 400;

/// Gives the next arrival of this kind.
fn await_arrival<T>(net: &mut Net, find: impl Fn(Arrival) -> Option<T>) -> Option<T> {
    for _ in 0..MAX_WAITS {
        for arrival in net.wait(WAIT) {
            if let Some(found) = find(arrival) {
                return Some(found);
            }
        }
    }
    None
}

fn as_frame(arrival: Arrival) -> Option<(ConnectionKey, Box<[u8]>)> {
    match arrival {
        Arrival::Frame { conn, bytes } => Some((conn, bytes)),
        _ => None,
    }
}

fn as_lost(arrival: Arrival) -> Option<()> {
    matches!(arrival, Arrival::ConnectionLost { .. }).then_some(())
}

/// Symptom: connections between hosts on thin links end several times a second. Sequence: the
/// length of a frame comes in one read, the rest of it in the next. Cause: what was known of the
/// length was dropped between the two, and the rest was read as a length.
#[gtest]
fn a_frame_from_several_reads_is_decoded_as_one() {
    let mut net = Net::new().unwrap();
    let listener = net
        .listen_for_frames("127.0.0.1:0".parse().unwrap())
        .unwrap();
    let mut peer = TcpStream::connect(net.address(listener).unwrap()).unwrap();
    peer.set_nodelay(true).unwrap();
    for part in [&[0, 0][..], &[0, 5], b"ab", b"cde", &[0, 0, 0, 1, b'f']] {
        peer.write_all(part).unwrap();
        // Each part is read by itself.
        net.wait(WAIT).into_iter().for_each(|arrival| {
            expect_that!(as_lost(arrival), none());
        });
    }
    peer.write_all(&[0, 0, 0, 1, b'g']).unwrap();
    let last = await_arrival(&mut net, |arrival| {
        as_frame(arrival).filter(|(_, bytes)| **bytes == *b"g")
    });
    expect_that!(last, some(anything()));
}

/// Frames go both ways, and the end of one side is told to the other.
#[gtest]
fn frames_travel_both_ways_until_one_side_closes() {
    let mut client = Net::new().unwrap();
    let mut server = Net::new().unwrap();
    let listener = server
        .listen_for_frames("127.0.0.1:0".parse().unwrap())
        .unwrap();
    let conn = client
        .open_connection(server.address(listener).unwrap())
        .unwrap();
    client.send_frame(conn, b"orders");
    let opened = await_arrival(&mut client, |arrival| match arrival {
        Arrival::ConnectionOpened { conn } => Some(conn),
        _ => None,
    });
    expect_that!(opened, some(eq(conn)));
    let (incoming, bytes) = await_arrival(&mut server, as_frame).unwrap();
    expect_that!(&*bytes, eq(b"orders"));
    server.send_frame(incoming, b"ends");
    let (_, bytes) = await_arrival(&mut client, as_frame).unwrap();
    expect_that!(&*bytes, eq(b"ends"));
    server.close_connection(incoming);
    expect_that!(await_arrival(&mut client, as_lost), some(anything()));
}

/// What no frame of ours can be ends the connection: nothing after it can be trusted.
#[gtest]
fn an_oversized_frame_closes_the_connection() {
    let mut net = Net::new().unwrap();
    let listener = net
        .listen_for_frames("127.0.0.1:0".parse().unwrap())
        .unwrap();
    let mut peer = TcpStream::connect(net.address(listener).unwrap()).unwrap();
    peer.write_all(&[255, 255, 255, 255]).unwrap();
    expect_that!(await_arrival(&mut net, as_lost), some(anything()));
}
