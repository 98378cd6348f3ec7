//! Tests of the server and the client with each other and with misbehaving peers, over loopback sockets.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use beechloft_http::client::{CallError, Pool};
use beechloft_http::server::{Handler, Link, Reply, Server, Sizes};
use beechloft_http::{Limits, Method, Request, Response, StatusCode};

/// Echoes the bodies of requests, except on paths with special behavior.
struct Echo;

impl Handler for Echo {
    fn handle(&self, request: Request, _: &Link<'_>) -> Reply {
        match request.path() {
            "/slow" => {
                std::thread::sleep(Duration::from_millis(400));
                Reply::Complete(Response::text(StatusCode::OK, "slow response"))
            }
            "/disconnect" => Reply::Disconnect,
            _ => Reply::Complete(Response::new(StatusCode::OK).body("text/plain", request.body)),
        }
    }
}

/// Starts a server with short time limits and at most `connections` concurrent connections.
fn start_server(connections: usize) -> Server {
    let limits = Limits {
        head_time: Duration::from_millis(300),
        body_time: Duration::from_millis(300),
        body_bytes: 1000,
        ..Limits::default()
    };
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind failed");
    Server::start(listener, Sizes { connections, limits, ..Sizes::default() }, Arc::new(Echo))
        .expect("start failed")
}

/// Returns a deadline that calls to a responsive server meet.
fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(5)
}

/// Sends parts of a request with delays between them, and returns all that the server sends until it closes the connection.
fn exchange_raw(server: &Server, parts: &[&[u8]]) -> String {
    let mut stream = TcpStream::connect(server.address()).expect("connect failed");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("socket error");
    for part in parts {
        stream.write_all(part).expect("write failed");
        std::thread::sleep(Duration::from_millis(20));
    }
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text
}

#[test]
fn calls_reuse_connection() {
    let server = start_server(1);
    let pool = Pool::default();
    for n in 0..20 {
        let request = Request::new(Method::POST, "/").body("text/plain", format!("{n}"));
        // The server allows one connection and would refuse a second one.
        let response = pool.call(server.address(), &request, deadline()).expect("no response");
        assert_eq!((response.status, response.body), (StatusCode::OK, format!("{n}").into_bytes()));
    }
}

#[test]
fn refuses_connection_over_limit() {
    let server = start_server(1);
    let first = TcpStream::connect(server.address()).expect("no connection");
    std::thread::sleep(Duration::from_millis(100));
    let text = exchange_raw(&server, &[b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"]);
    assert!(text.starts_with("HTTP/1.1 503 ") && text.contains("retry-after: 1"), "{text}");
    drop(first);
}

#[test]
fn rejects_slow_and_oversized_requests() {
    let server = start_server(8);
    assert!(exchange_raw(&server, &[b"GET / HT"]).starts_with("HTTP/1.1 408 "));
    assert!(
        exchange_raw(&server, &[b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\n123"])
            .starts_with("HTTP/1.1 408 ")
    );
    assert!(
        exchange_raw(&server, &[b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1001\r\n\r\n"])
            .starts_with("HTTP/1.1 413 ")
    );
    let chunks =
        [&b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"[..], b"400\r\n", &[b'x'; 1024]];
    assert!(exchange_raw(&server, &chunks).starts_with("HTTP/1.1 413 "));
    assert!(exchange_raw(&server, &[&[b'G'; 40_000]]).starts_with("HTTP/1.1 4"));
    assert!(exchange_raw(&server, &[b"\x16\x03\x01 hello"]).starts_with("HTTP/1.1 400 "));
}

#[test]
fn sends_continue_and_accepts_pipelined_requests() {
    let server = start_server(8);
    let expecting_request = b"POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 2\r\nconnection: close\r\n\r\n";
    let text = exchange_raw(&server, &[expecting_request, b"ok"]);
    assert!(text.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 ") && text.ends_with("ok"), "{text}");
    let pipelined_requests =
        b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\n1GET / HTTP/1.0\r\n\r\n";
    assert_eq!(exchange_raw(&server, &[pipelined_requests]).matches("HTTP/1.1 200 ").count(), 2);
}

#[test]
fn distinguishes_errors_of_calls() {
    let server = start_server(8);
    let pool = Pool::default();
    let get = |path: &str, timeout_ms| {
        pool.call(
            server.address(),
            &Request::new(Method::GET, path),
            Instant::now() + Duration::from_millis(timeout_ms),
        )
    };
    assert!(matches!(get("/slow", 100), Err(CallError::TimedOut)));
    assert!(matches!(get("/disconnect", 2000), Err(CallError::Broken(_))));
    assert!(get("/", 2000).is_ok());
    let unused_address =
        TcpListener::bind("127.0.0.1:0").expect("bind failed").local_addr().expect("no local address");
    assert!(matches!(
        pool.call(unused_address, &Request::new(Method::GET, "/"), deadline()),
        Err(CallError::Refused)
    ));
}

#[test]
fn does_not_use_closed_connection_of_pool() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind failed");
    let address = listener.local_addr().expect("no local address");
    // Answers one request on each connection without `Connection: close`, and closes the connection nevertheless.
    let peer = std::thread::spawn(move || {
        for _ in 0..3 {
            let (mut stream, _) = listener.accept().expect("no connection");
            let mut buf = [0; 1024];
            let _ = stream.read(&mut buf);
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
            let _ = stream.shutdown(Shutdown::Both);
        }
    });
    let pool = Pool::default();
    for _ in 0..3 {
        pool.call(address, &Request::new(Method::GET, "/"), deadline()).expect("no response");
        std::thread::sleep(Duration::from_millis(30));
    }
    peer.join().expect("peer panicked");
}

#[test]
fn stopping_server_answers_pending_requests() {
    let server = start_server(8);
    let address = server.address();
    let caller = std::thread::spawn(move || {
        Pool::default().call(address, &Request::new(Method::GET, "/slow"), deadline())
    });
    std::thread::sleep(Duration::from_millis(100));
    server.stop(Duration::from_secs(5));
    assert_eq!(caller.join().expect("caller panicked").expect("no response").body, b"slow response\n");
    assert!(matches!(
        Pool::default().call(address, &Request::new(Method::GET, "/"), deadline()),
        Err(CallError::Refused)
    ));
}

/// Guards against lost responses when a server stops while clients connect. Each client gets a response, or its connection is
/// refused. The operating system resets a connection that arrives between the last accept and the close of the listener, so that
/// a few broken connections are allowed.
#[test]
fn stopping_server_answers_open_connections() {
    let (mut answered, mut refused, mut broken) = (0, 0, 0);
    for round in 0..60 {
        let server = start_server(64);
        let address = server.address();
        let clients: Vec<_> = (0..6)
            .map(|_| {
                std::thread::spawn(move || {
                    let (mut ok_count, mut error_count) = (0, 0);
                    // The loop ends when the listener is closed.
                    while let Ok(mut stream) = TcpStream::connect(address) {
                        stream.set_read_timeout(Some(Duration::from_secs(20))).expect("socket error");
                        let mut text = Vec::new();
                        let sent =
                            stream.write_all(b"GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
                        let received_response =
                            sent.is_ok() && stream.read_to_end(&mut text).is_ok() && !text.is_empty();
                        if received_response {
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
        for client in clients {
            let (client_answered, client_broken) = client.join().expect("client panicked");
            answered += client_answered;
            broken += client_broken;
            refused += 1;
        }
    }
    println!("{answered} answered, {refused} refused, {broken} broken");
    assert!(answered > 500 && broken <= 40, "{answered} answered, {refused} refused, {broken} broken");
}
