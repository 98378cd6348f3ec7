//! Clients that close their connection right behind their requests, so that nobody waits for the answers.

mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use beechloft_checker::{Recorder, What};
use beechloft_fakes::offer::{self, Credentials};
use beechloft_fakes::player::{self, Wish};
use beechloft_http::{Method, Request};
use beechloft_whep::{SDP, route};
use rustix::net::sockopt::set_tcp_cork;
use support::*;

/// Number of clients, each with a connection of its own.
const CLIENTS: usize = 300;
/// Number of calls on each SIP connection.
const CALLS_PER_CLIENT: usize = 5;
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

/// Returns the credentials of an HTTP client, which identify its offer.
fn credentials(client: usize) -> Credentials {
    Credentials { name: format!("{client:016x}"), password: format!("{client:032x}") }
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
        let offer = offer::offer(&credentials(client), false, None);
        let request = Request::new(Method::POST, route::endpoint_path("all", false)).body(SDP, offer);
        send_and_close(harness.address, &request.encode("front"));
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
    let (fleet, front) = start_with_sip(2, &recorder);
    let address = front.sip_address().expect("SIP is up");
    for client in 0..CLIENTS {
        let calls = (0..CALLS_PER_CLIENT).map(|call| invite(client * CALLS_PER_CLIENT + call));
        send_and_close(address, calls.collect::<String>().as_bytes());
    }
    std::thread::sleep(SETTLE_TIME);
    assert_eq!(offered(&recorder), 0, "calls were set up for callers that had left");
    assert_eq!(fleet.sessions(), 0);
}

/// Guards against a second session for a request that comes again after its client has left.
#[test]
fn repeated_request_of_client_that_had_left_runs_once() {
    let harness = Harness::new(4);
    let clients = (0..CLIENTS).map(|client| {
        let (wish, recorder) = (harness.request("all"), harness.recorder.clone());
        std::thread::spawn(move || {
            // A set-up takes 5 ms, so that clients leave before, during and after it.
            let leaves = Wish { hangs_up: Some(Duration::from_millis(client as u64 % 12)), ..wish.clone() };
            player::ask_with(&leaves, &credentials(client), &recorder);
            player::ask_with(&wish, &credentials(client), &recorder)
        })
    });
    let clients: Vec<_> = clients.collect();
    let asked: Vec<_> = clients.into_iter().map(|client| client.join().expect("no panic")).collect();
    let answered = asked.iter().filter(|asked| asked.playing.is_some()).count();
    assert!(answered > 0, "{asked:?}");
    until("only sessions of answered clients run", || harness.fleet.sessions() <= answered);
    assert_eq!(harness.report().overlapping_attempts, 0, "two attempts for a request were out at once");
}
