//! Tests of repeated requests for a stream, with a server that answers them late, never, or with an error.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use beechloft_http::client::{CallError, StreamRequests};
use beechloft_http::{Method, Request};

const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);
const SHORT: Duration = Duration::from_millis(50);
const LONG: Duration = Duration::from_secs(5);
const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

/// Requests to a server that the test plays.
struct Harness {
    requests: StreamRequests,
    listener: TcpListener,
}

impl Harness {
    fn new() -> Harness {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind failed");
        let addr = listener.local_addr().expect("no address");
        Harness { requests: StreamRequests::new(addr, RESPONSE_TIMEOUT), listener }
    }

    /// Sends a request and returns its connection at the server.
    fn send(&mut self) -> TcpStream {
        self.requests.send(&Request::new(Method::GET, "/events"), deadline(LONG)).expect("send failed");
        let (mut connection, _) = self.listener.accept().expect("accept failed");
        connection.set_read_timeout(Some(LONG)).expect("socket error");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            connection.read_exact(&mut byte).expect("read failed");
            head.extend(byte);
        }
        connection
    }

    /// Checks that the next response is a stream with this text.
    fn assert_stream(&mut self, text: &str) {
        let stream = self.requests.wait(deadline(LONG)).expect("request failed");
        let part = stream.expect("no response").read(deadline(LONG)).expect("stream broke");
        assert_eq!(part, text.as_bytes());
    }

    fn assert_no_response(&mut self) {
        assert!(self.requests.wait(deadline(SHORT)).expect("request failed").is_none());
    }
}

fn deadline(after: Duration) -> Instant {
    Instant::now() + after
}

fn respond(connection: &mut TcpStream, text: &str) {
    connection.write_all(format!("{HEAD}{text}").as_bytes()).expect("write failed");
}

fn assert_closed(mut connection: TcpStream) {
    match connection.read(&mut [0; 16]) {
        Ok(count) => assert_eq!(count, 0),
        Err(error) => assert_eq!(error.kind(), ErrorKind::ConnectionReset),
    }
}

#[test]
fn slow_response_to_earlier_request_is_received() {
    let mut harness = Harness::new();
    let mut slow = harness.send();
    harness.assert_no_response();
    let repeated = harness.send();
    harness.assert_no_response();
    respond(&mut slow, "slow");
    harness.assert_stream("slow");
    assert_closed(repeated);
}

#[test]
fn repeated_request_replaces_lost_one() {
    let mut harness = Harness::new();
    let lost = harness.send();
    harness.assert_no_response();
    let mut repeated = harness.send();
    respond(&mut repeated, "repeated");
    harness.assert_stream("repeated");
    assert_closed(lost);
}

#[test]
fn head_in_parts_is_received() {
    let mut harness = Harness::new();
    let mut slow = harness.send();
    slow.write_all(&HEAD.as_bytes()[..20]).expect("write failed");
    harness.assert_no_response();
    let _repeated = harness.send();
    slow.write_all(&HEAD.as_bytes()[20..]).expect("write failed");
    slow.write_all(b"in parts").expect("write failed");
    harness.assert_stream("in parts");
}

#[test]
fn failure_of_newest_request_keeps_earlier_ones() {
    let mut harness = Harness::new();
    let mut slow = harness.send();
    drop(harness.send());
    assert!(matches!(harness.requests.wait(deadline(LONG)), Err(CallError::Broken(_))));
    let mut rejected = harness.send();
    rejected.write_all(b"HTTP/1.1 503 Service Unavailable\r\n\r\n").expect("write failed");
    assert!(matches!(harness.requests.wait(deadline(LONG)), Err(CallError::Broken(_))));
    respond(&mut slow, "slow");
    harness.assert_stream("slow");
}

#[test]
fn failure_of_earlier_request_does_not_end_wait() {
    let mut harness = Harness::new();
    let earlier = harness.send();
    let mut newest = harness.send();
    drop(earlier);
    harness.assert_no_response();
    respond(&mut newest, "newest");
    harness.assert_stream("newest");
}

#[test]
fn pause_receives_response_and_outlasts_failures() {
    let mut harness = Harness::new();
    let mut slow = harness.send();
    drop(harness.send());
    assert!(harness.requests.pause(deadline(SHORT)).is_none());
    respond(&mut slow, "slow");
    assert!(harness.requests.pause(deadline(LONG)).is_some());
    // Nothing is left to wait for.
    let began = Instant::now();
    assert!(harness.requests.pause(deadline(SHORT)).is_none());
    assert!(began.elapsed() >= SHORT);
}

#[test]
fn unanswered_requests_are_bounded_in_number_and_time() {
    let mut harness = Harness::new();
    let mut connections: Vec<TcpStream> = (0..5).map(|_| harness.send()).collect();
    assert_closed(connections.remove(0));
    std::thread::sleep(RESPONSE_TIMEOUT);
    harness.assert_no_response();
    connections.into_iter().for_each(assert_closed);
}
