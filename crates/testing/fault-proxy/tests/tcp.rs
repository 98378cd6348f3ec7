//! Tests of the faults of a TCP proxy between a client and an echo server.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use beechloft_fault_proxy::{DirectionFault, LinkFault, TcpProxy};

const SHORT: Duration = Duration::from_millis(200);
const LONG: Duration = Duration::from_secs(20);

fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut to = stream.try_clone().expect("a clone");
                io::copy(&mut &stream, &mut to)
            });
        }
    });
    address
}

/// Sends a byte, and returns whether the echo arrives in time.
fn is_echoed(stream: &mut TcpStream, timeout: Duration) -> bool {
    stream.set_read_timeout(Some(timeout)).expect("set");
    stream.write_all(b"x").expect("written");
    stream.read_exact(&mut [0]).is_ok()
}

#[test]
fn a_blocked_direction_holds_bytes_until_it_is_restored() {
    let proxy = TcpProxy::start(echo_server()).expect("it starts");
    let mut stream = TcpStream::connect(proxy.address()).expect("a connection");
    assert!(is_echoed(&mut stream, LONG));
    let blocked = DirectionFault { blocked: true, ..DirectionFault::default() };
    let faults = [
        LinkFault { forward: blocked, ..LinkFault::default() },
        LinkFault { reverse: blocked, ..LinkFault::default() },
        LinkFault::partition(),
    ];
    for fault in faults {
        proxy.set_fault(fault);
        assert!(!is_echoed(&mut stream, SHORT), "{fault:?}");
        proxy.set_fault(LinkFault::default());
        stream.set_read_timeout(Some(LONG)).expect("set");
        stream.read_exact(&mut [0]).expect("held bytes arrive");
    }
    // A connection that is opened during a partition is silent until the partition ends.
    proxy.set_fault(LinkFault::partition());
    let mut other = TcpStream::connect(proxy.address()).expect("a connection");
    assert!(!is_echoed(&mut other, SHORT));
    proxy.set_fault(LinkFault::default());
    other.set_read_timeout(Some(LONG)).expect("set");
    other.read_exact(&mut [0]).expect("held bytes arrive");
}

#[test]
fn delayed_and_throttled_bytes_arrive_complete_and_closing_connections_ends_them() {
    let proxy = TcpProxy::start(echo_server()).expect("it starts");
    let mut stream = TcpStream::connect(proxy.address()).expect("a connection");
    proxy.set_fault(LinkFault::delayed(Duration::from_millis(150)));
    let delayed_from = Instant::now();
    assert!(is_echoed(&mut stream, LONG) && delayed_from.elapsed() >= Duration::from_millis(300));
    let throttled = DirectionFault { bytes_per_second: Some(10_000), ..DirectionFault::default() };
    proxy.set_fault(LinkFault { forward: throttled, reverse: DirectionFault::default() });
    let throttled_from = Instant::now();
    let sent: Vec<u8> = (0..=u8::MAX).cycle().take(3_000).collect();
    stream.write_all(&sent).expect("written");
    let mut received = vec![0; sent.len()];
    stream.read_exact(&mut received).expect("all of it");
    assert!(received == sent && throttled_from.elapsed() >= Duration::from_millis(200));
    proxy.set_fault(LinkFault::default());
    proxy.close_connections();
    assert!(matches!(stream.read(&mut [0]), Ok(0) | Err(_)));
}
