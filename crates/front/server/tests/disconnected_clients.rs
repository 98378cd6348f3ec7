//! Clients that close their connection right behind their requests, so that nobody waits for the answers.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use beechloft_checker::Recorder;
use beechloft_checker::What;
use beechloft_fakes::fleet::Fleet;
use beechloft_server::Front;
use rustix::net::sockopt::set_tcp_cork;
use support::*;

/// Number of clients, each with a connection of its own.
const CLIENTS: usize = 300;
/// Number of calls on each SIP connection.
const CALLS_PER_CLIENT: usize = 5;
/// Offer of an HTTP client, without its user fragment.
const OFFER: &str = "v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nt=0 0\r\na=group:BUNDLE 0\r\n\
    m=video 9 UDP/TLS/RTP/SAVPF 96\r\nc=IN IP4 0.0.0.0\r\na=mid:0\r\na=recvonly\r\n\
    a=ice-pwd:aaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n\
    a=fingerprint:sha-256 AA:AA:AA:AA:AA:AA:AA:AA:AA:AA:AA:AA:AA:AA:AA:AA:AA:AA:AA:AA:AA:AA:AA:AA:AA:AA:AA:AA:AA:AA:AA:AA\r\n\
    a=setup:actpass\r\na=rtcp-mux\r\na=rtpmap:96 H264/90000\r\n";
/// Offer of a SIP caller.
const CALL_OFFER: &str = "v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nt=0 0\r\nm=video 40000 RTP/AVP 96\r\n\
    c=IN IP4 127.0.0.1\r\na=rtpmap:96 H264/90000\r\na=sendrecv\r\n";
/// Time in which requests that are not dropped would reach a media server.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Sends bytes and closes the connection, so that the bytes and the FIN arrive together.
fn send_and_close(address: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address).expect("connect to the front");
    set_tcp_cork(&stream, true).expect("set a socket option");
    stream.write_all(bytes).expect("write");
}

/// Returns the number of set-ups that the media servers have received.
fn offered(recorder: &Recorder) -> usize {
    recorder.trace().iter().filter(|seen| matches!(seen.what, What::Offered { .. })).count()
}

/// Guards against set-ups that are sent for HTTP clients that had left before.
#[test]
fn request_of_disconnected_http_client_is_not_sent_on() {
    let harness = Harness::new(2);
    for client in 0..CLIENTS {
        let body = format!("{OFFER}a=ice-ufrag:u{client:06}\r\n");
        let request = format!(
            "POST /whep/all HTTP/1.1\r\nHost: front\r\nContent-Type: application/sdp\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        send_and_close(harness.address, request.as_bytes());
    }
    std::thread::sleep(SETTLE_TIME);
    assert_eq!(offered(&harness.recorder), 0, "set-ups were sent for clients that had left");
}

/// Returns an INVITE over TCP.
fn invite(number: usize) -> String {
    format!(
        "INVITE sip:all@127.0.0.1 SIP/2.0\r\nVia: SIP/2.0/TCP 127.0.0.1:5070;branch=z9hG4bKd{number}\r\n\
         Max-Forwards: 70\r\nFrom: <sip:a@example.org>;tag=f{number}\r\nTo: <sip:all@example.org>\r\n\
         Call-ID: d{number}@example.org\r\nCSeq: 1 INVITE\r\nContact: <sip:a@127.0.0.1:5070>\r\n\
         Content-Type: application/sdp\r\nContent-Length: {}\r\n\r\n{CALL_OFFER}",
        CALL_OFFER.len()
    )
}

/// Guards against calls that are set up for callers whose connection was closed before the calls were read.
#[test]
fn calls_of_disconnected_caller_are_not_sent_on() {
    let recorder = Recorder::default();
    let fleet = Fleet::start(&fleet_spec(2), &recorder).expect("a fleet");
    let mut settings = settings(&format!("url: {}", fleet.list.url()), "");
    settings.sip = Some("127.0.0.1:0".parse().expect("an address"));
    let front = Front::start(settings, None).expect("a front");
    until("the endpoint list is known", || front.status().media_servers == 2);
    let address = front.sip_address().expect("SIP is up");
    for client in 0..CLIENTS {
        let calls = (0..CALLS_PER_CLIENT).map(|call| invite(client * CALLS_PER_CLIENT + call));
        send_and_close(address, calls.collect::<String>().as_bytes());
    }
    std::thread::sleep(SETTLE_TIME);
    assert_eq!(offered(&recorder), 0, "calls were set up for callers that had left");
    assert_eq!(fleet.sessions(), 0);
}

/// Sends a request and returns the status of its answer, or 0 if there is none. The client leaves before if `leave_after` is set.
fn request(address: SocketAddr, client: usize, leave_after: Option<Duration>) -> u16 {
    let body = format!("{OFFER}a=ice-ufrag:u{client:06}\r\n");
    let head = "POST /whep/all HTTP/1.1\r\nHost: front\r\nContent-Type: application/sdp\r\nContent-Length:";
    let mut stream = TcpStream::connect(address).expect("connect to the front");
    write!(stream, "{head} {}\r\n\r\n{body}", body.len()).expect("write");
    if let Some(wait) = leave_after {
        std::thread::sleep(wait);
        return 0;
    }
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).expect("an answer");
    String::from_utf8_lossy(&answer[9..]).parse().expect("a status")
}

/// Guards against a second session for a request that comes again after its client has left.
#[test]
fn repeated_request_of_client_that_had_left_runs_once() {
    let harness = Harness::new(4);
    let address = harness.address;
    let clients = (0..CLIENTS).map(|client| {
        std::thread::spawn(move || {
            // A set-up takes 5 ms, so that clients leave before, during and after it.
            let wait = Duration::from_millis(client as u64 % 12);
            request(address, client, Some(wait));
            request(address, client, None)
        })
    });
    let clients: Vec<_> = clients.collect();
    let statuses: Vec<u16> = clients.into_iter().map(|client| client.join().expect("no panic")).collect();
    let answered = statuses.iter().filter(|status| **status == 201).count();
    assert!(answered > 0, "{statuses:?}");
    until("only sessions of answered clients run", || harness.fleet.sessions() <= answered);
    assert_eq!(harness.report().overlapping_attempts, 0, "two attempts for a request were out at once");
}
