//! The server and the client against each other and against misbehaving peers, on loopback.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use beechloft_http::client::{CallError, Pool};
use beechloft_http::server::{Handler, Link, Reply, Server, Sizes};
use beechloft_http::{Limits, Method, Request, Response, StatusCode};

struct Echo;

impl Handler for Echo {
    fn handle(&self, request: Request, _: &Link<'_>) -> Reply {
        match request.path() {
            "/slow" => {
                std::thread::sleep(Duration::from_millis(400));
                Reply::Complete(Response::text(StatusCode::OK, "at last"))
            }
            "/hang-up" => Reply::Disconnect,
            _ => Reply::Complete(Response::new(StatusCode::OK).body("text/plain", request.body)),
        }
    }
}

fn server(connections: usize) -> Server {
    let limits = Limits {
        head_time: Duration::from_millis(300),
        body_time: Duration::from_millis(300),
        body_bytes: 1000,
        ..Limits::default()
    };
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    Server::start(listener, Sizes { connections, limits, ..Sizes::default() }, Arc::new(Echo))
        .expect("a server")
}

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(5)
}

/// Sends bytes and reads all until the server closes.
fn raw(server: &Server, parts: &[&[u8]]) -> String {
    let mut s = TcpStream::connect(server.address()).expect("a connection");
    s.set_read_timeout(Some(Duration::from_secs(5))).expect("a socket");
    for part in parts {
        s.write_all(part).expect("written");
        std::thread::sleep(Duration::from_millis(20));
    }
    let mut text = String::new();
    let _ = s.read_to_string(&mut text);
    text
}

#[test]
fn calls_share_a_connection_and_bodies_are_echoed() {
    let server = server(1);
    let pool = Pool::default();
    for n in 0..20 {
        let request = Request::new(Method::POST, "/").body("text/plain", format!("{n}"));
        // With one connection allowed, a second one would be refused.
        let response = pool.call(server.address(), &request, soon()).expect("a response");
        assert_eq!((response.status, response.body), (StatusCode::OK, format!("{n}").into_bytes()));
    }
}

#[test]
fn a_connection_over_the_bound_is_refused_at_once() {
    let server = server(1);
    let held = TcpStream::connect(server.address()).expect("a connection");
    std::thread::sleep(Duration::from_millis(100));
    let text = raw(&server, &[b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"]);
    assert!(text.starts_with("HTTP/1.1 503 ") && text.contains("retry-after: 1"), "{text}");
    drop(held);
}

#[test]
fn slow_and_oversized_requests_are_rejected() {
    let server = server(8);
    assert!(raw(&server, &[b"GET / HT"]).starts_with("HTTP/1.1 408 "));
    assert!(
        raw(&server, &[b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\n123"])
            .starts_with("HTTP/1.1 408 ")
    );
    assert!(
        raw(&server, &[b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1001\r\n\r\n"])
            .starts_with("HTTP/1.1 413 ")
    );
    let chunks =
        [&b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"[..], b"400\r\n", &[b'x'; 1024]];
    assert!(raw(&server, &chunks).starts_with("HTTP/1.1 413 "));
    assert!(raw(&server, &[&[b'G'; 40_000]]).starts_with("HTTP/1.1 4"));
    assert!(raw(&server, &[b"\x16\x03\x01 hello"]).starts_with("HTTP/1.1 400 "));
}

#[test]
fn a_body_is_sent_after_continue_and_requests_may_be_pipelined() {
    let server = server(8);
    let asks = b"POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 2\r\nconnection: close\r\n\r\n";
    let text = raw(&server, &[asks, b"ok"]);
    assert!(text.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 ") && text.ends_with("ok"), "{text}");
    let two = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\n1GET / HTTP/1.0\r\n\r\n";
    assert_eq!(raw(&server, &[two]).matches("HTTP/1.1 200 ").count(), 2);
}

#[test]
fn failures_of_calls_are_distinguished() {
    let server = server(8);
    let pool = Pool::default();
    let get = |path: &str, ms| {
        pool.call(
            server.address(),
            &Request::new(Method::GET, path),
            Instant::now() + Duration::from_millis(ms),
        )
    };
    assert!(matches!(get("/slow", 100), Err(CallError::TimedOut)));
    assert!(matches!(get("/hang-up", 2000), Err(CallError::Broken(_))));
    assert!(get("/", 2000).is_ok());
    let nobody = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("its address");
    assert!(matches!(pool.call(nobody, &Request::new(Method::GET, "/"), soon()), Err(CallError::Refused)));
}

#[test]
fn a_pooled_connection_that_was_closed_is_not_used() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    // Answers one request on each connection, says that it may be kept, and closes it all the same.
    let peer = std::thread::spawn(move || {
        for _ in 0..3 {
            let (mut s, _) = listener.accept().expect("a connection");
            let mut buf = [0; 1024];
            let _ = s.read(&mut buf);
            let _ = s.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
            let _ = s.shutdown(Shutdown::Both);
        }
    });
    let pool = Pool::default();
    for _ in 0..3 {
        pool.call(address, &Request::new(Method::GET, "/"), soon()).expect("a response");
        std::thread::sleep(Duration::from_millis(30));
    }
    peer.join().expect("the peer ends");
}

#[test]
fn a_stopping_server_answers_pending_requests() {
    let server = server(8);
    let address = server.address();
    let caller = std::thread::spawn(move || {
        Pool::default().call(address, &Request::new(Method::GET, "/slow"), soon())
    });
    std::thread::sleep(Duration::from_millis(100));
    server.stop(Duration::from_secs(5));
    assert_eq!(caller.join().expect("the caller ends").expect("a response").body, b"at last\n");
    assert!(matches!(
        Pool::default().call(address, &Request::new(Method::GET, "/"), soon()),
        Err(CallError::Refused)
    ));
}

/// A server that stops while clients connect: each is refused a connection or gets its response. A connection between the last
/// accept and the close of the listener is reset by the system, which can't be avoided.
#[test]
fn connections_before_the_stop_are_answered() {
    let (mut answered, mut refused, mut broken) = (0, 0, 0);
    for round in 0..60 {
        let server = server(64);
        let address = server.address();
        let players: Vec<_> = (0..6)
            .map(|_| {
                std::thread::spawn(move || {
                    let (mut ok_count, mut error_count) = (0, 0);
                    // Until nobody listens any more.
                    while let Ok(mut stream) = TcpStream::connect(address) {
                        stream.set_read_timeout(Some(Duration::from_secs(20))).expect("set");
                        let mut text = Vec::new();
                        let asked =
                            stream.write_all(b"GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
                        let got = asked.is_ok() && stream.read_to_end(&mut text).is_ok() && !text.is_empty();
                        if got {
                            ok_count += 1
                        } else {
                            error_count += 1
                        }
                        std::thread::sleep(Duration::from_millis(1));
                    }
                    (ok_count, error_count)
                })
            })
            .collect();
        std::thread::sleep(Duration::from_millis(15 + round % 7));
        server.stop(Duration::from_secs(10));
        for player in players {
            let (a, b) = player.join().expect("it ends");
            (answered, broken, refused) = (answered + a, broken + b, refused + 1);
        }
    }
    println!("{answered} answered, {refused} refused, {broken} broken");
    assert!(answered > 500 && broken <= 40, "{answered} answered, {refused} refused, {broken} broken");
}
