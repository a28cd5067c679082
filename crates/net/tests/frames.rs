//! Tests of frame connections over real sockets on the loopback interface.

use goldcrestway_net::Arrival;
use goldcrestway_net::ConnectionKey;
use goldcrestway_net::Net;
use googletest::prelude::*;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

const WAIT: Duration = Duration::from_millis(5);
/// Maximum number of waits for an arrival, which bounds the time of a failing test.
const MAX_WAITS: usize = 400;

/// Waits for the next arrival that `find` accepts, and returns what `find` made of it.
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

/// Guards against losing the length of a frame between two reads. On slow links the length of a
/// frame arrived in one read and the rest in the next. The rest was then decoded as a length, and
/// connections between hosts closed several times a second.
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
        // Each part is read before the next is sent.
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

/// Frames travel in both directions, and closing one side is reported to the other.
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

/// A length above the maximum closes the connection, since nothing after it can be trusted.
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
