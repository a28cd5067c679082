//! Frames between our own processes, as they come over a slow link.

use goldcrestway_net::Arrival;
use goldcrestway_net::ConnectionKey;
use goldcrestway_net::Net;
use googletest::prelude::*;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

const PAUSE: Duration = Duration::from_millis(5);
/// Turns that are awaited; it only bounds a failure.
const TURNS_MOST: usize = 400;

/// Gives the next arrival of this kind.
fn await_arrival<T>(net: &mut Net, find: impl Fn(Arrival) -> Option<T>) -> Option<T> {
    for _ in 0..TURNS_MOST {
        for arrival in net.wait(PAUSE) {
            if let Some(found) = find(arrival) {
                return Some(found);
            }
        }
    }
    None
}

fn frame(arrival: Arrival) -> Option<(ConnectionKey, Box<[u8]>)> {
    match arrival {
        Arrival::Frame { conn, bytes } => Some((conn, bytes)),
        _ => None,
    }
}

fn lost(arrival: Arrival) -> Option<()> {
    matches!(arrival, Arrival::ConnectionLost { .. }).then_some(())
}

/// Symptom: connections between hosts on thin links end several times a second. Sequence: the
/// length of a frame comes in one read, the rest of it in the next. Cause: what was known of the
/// length was dropped between the two, and the rest was read as a length.
#[gtest]
fn a_frame_that_comes_in_parts_is_one_frame() {
    let mut net = Net::new().unwrap();
    let listener = net
        .listen_for_frames("127.0.0.1:0".parse().unwrap())
        .unwrap();
    let mut peer = TcpStream::connect(net.address(listener).unwrap()).unwrap();
    peer.set_nodelay(true).unwrap();
    for part in [&[0, 0][..], &[0, 5], b"ab", b"cde", &[0, 0, 0, 1, b'f']] {
        peer.write_all(part).unwrap();
        // Each part is read by itself.
        net.wait(PAUSE).into_iter().for_each(|arrival| {
            expect_that!(lost(arrival), none());
        });
    }
    peer.write_all(&[0, 0, 0, 1, b'g']).unwrap();
    let last = await_arrival(&mut net, |arrival| {
        frame(arrival).filter(|(_, bytes)| **bytes == *b"g")
    });
    expect_that!(last, some(anything()));
}

/// Frames go both ways, and the end of one side is told to the other.
#[gtest]
fn frames_go_both_ways_until_one_side_ends() {
    let mut one = Net::new().unwrap();
    let mut two = Net::new().unwrap();
    let listener = two
        .listen_for_frames("127.0.0.1:0".parse().unwrap())
        .unwrap();
    let conn = one.open_connection(two.address(listener).unwrap()).unwrap();
    one.send_frame(conn, b"orders");
    let opened = await_arrival(&mut one, |arrival| match arrival {
        Arrival::ConnectionOpened { conn } => Some(conn),
        _ => None,
    });
    expect_that!(opened, some(eq(conn)));
    let (back, bytes) = await_arrival(&mut two, frame).unwrap();
    expect_that!(&*bytes, eq(b"orders"));
    two.send_frame(back, b"ends");
    let (_, bytes) = await_arrival(&mut one, frame).unwrap();
    expect_that!(&*bytes, eq(b"ends"));
    two.close_connection(back);
    expect_that!(await_arrival(&mut one, lost), some(anything()));
}

/// What no frame of ours can be ends the connection: nothing after it can be trusted.
#[gtest]
fn a_frame_that_is_too_long_ends_the_connection() {
    let mut net = Net::new().unwrap();
    let listener = net
        .listen_for_frames("127.0.0.1:0".parse().unwrap())
        .unwrap();
    let mut peer = TcpStream::connect(net.address(listener).unwrap()).unwrap();
    peer.write_all(&[255, 255, 255, 255]).unwrap();
    expect_that!(await_arrival(&mut net, lost), some(anything()));
}
