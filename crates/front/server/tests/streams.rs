//! Tests of SIP over streams: fragmented messages, keep-alives, malformed data, slow readers and the limit of streams.

mod support;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use beechloft_checker::Recorder;
use beechloft_fakes::fleet::Fleet;
use beechloft_fakes::offer;
use beechloft_server::Front;
use beechloft_sip::framing::{Framed, Framer};
use beechloft_sip::message::{Message, Method, Response};
use support::*;

struct Harness {
    fleet: Fleet,
    front: Front,
}

fn start_front() -> Harness {
    let fleet = Fleet::start(&fleet_spec(2), &Recorder::default()).expect("a fleet");
    let mut settings = settings(&format!("url: {}", fleet.list.url()), "");
    settings.sip = Some("127.0.0.1:0".parse().expect("an address"));
    let front = Front::start(settings, None).expect("a front");
    until("the endpoint list is known", || front.status().media_servers == 2);
    Harness { fleet, front }
}

/// A minimal SIP caller over TCP.
struct Caller {
    socket: TcpStream,
    framer: Framer,
    framed: Vec<Framed>,
    id: u32,
    tag: String,
}

impl Caller {
    fn new(to: SocketAddr, id: u32) -> Caller {
        let socket = TcpStream::connect(to).expect("a stream");
        socket.set_read_timeout(Some(Duration::from_secs(4))).expect("a time");
        Caller { socket, framer: Framer::default(), framed: Vec::new(), id, tag: String::new() }
    }

    fn text(&self, method: &str, seq: u32) -> String {
        let own = self.socket.local_addr().expect("an address");
        let body = if method == "INVITE" { offer::plain(&self.id.to_string(), None) } else { String::new() };
        let (id, tag) = (self.id, &self.tag);
        format!(
            "{method} sip:all@front SIP/2.0\r\nVia: SIP/2.0/TCP {own};branch=z9hG4bK{id}.{seq}{method}\r\nMax-Forwards: 70\r\n\
             From: <sip:c@{own}>;tag=c{id}\r\nTo: <sip:all@front>{tag}\r\nCall-ID: {id}@{own}\r\nCSeq: {seq} {method}\r\n\
             Contact: <sip:c@{own}>\r\nContent-Type: application/sdp\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }

    fn send(&mut self, text: &str) {
        self.socket.write_all(text.as_bytes()).expect("written");
    }

    /// Receives the next message or keep-alive. Returns `None` if the stream ended.
    fn receive(&mut self) -> Option<Framed> {
        let mut buf = [0; 4096];
        while self.framed.is_empty() {
            match self.socket.read(&mut buf) {
                Ok(0) => return None,
                Ok(n) => self.framer.push(&buf[..n], &mut self.framed).expect("SIP"),
                Err(e) if e.kind() == ErrorKind::ConnectionReset => return None,
                Err(e) => panic!("nothing was received: {e}"),
            }
        }
        Some(self.framed.remove(0))
    }

    /// Receives messages until the final response to a request of this method.
    fn final_response(&mut self, method: Method) -> Response {
        loop {
            match self.receive().expect("the stream is open") {
                Framed::Message(m) => match *m {
                    Message::Response(r) if r.method == method && r.status >= 200 => return r,
                    _ => {}
                },
                Framed::Ping => {}
            }
        }
    }

    /// Makes a call and ends it. Both must succeed.
    fn complete_call(&mut self) {
        let invite = self.text("INVITE", 1);
        self.send(&invite);
        let ok = self.final_response(Method::Invite);
        assert_eq!(ok.status, 200);
        self.tag = format!(";tag={}", ok.ids.to_tag.expect("a tag"));
        let rest = format!("{}{}", self.text("ACK", 1), self.text("BYE", 2));
        self.send(&rest);
        assert_eq!(self.final_response(Method::Bye).status, 200);
        self.tag.clear();
        self.id += 1000;
    }
}

#[test]
fn accepts_fragmented_messages_and_keep_alives() {
    let harness = start_front();
    let mut caller = Caller::new(harness.front.sip_address().expect("SIP is up"), 1);
    let invite = caller.text("INVITE", 1);
    for piece in invite.as_bytes().chunks(7) {
        caller.socket.write_all(piece).expect("written");
        caller.socket.flush().expect("written");
        std::thread::sleep(Duration::from_micros(200));
    }
    assert_eq!(caller.final_response(Method::Invite).status, 200);
    let mut other = Caller::new(harness.front.sip_address().expect("SIP is up"), 2);
    other.send("\r\n\r\n");
    // A ping is answered with a single line end (RFC 5626, section 3.5.1).
    let mut pong = [0; 2];
    other.socket.read_exact(&mut pong).expect("a pong");
    assert_eq!(&pong, b"\r\n");
    other.complete_call();
    until("only the first call is left", || harness.fleet.sessions() == 1);
}

#[test]
fn malformed_data_closes_only_its_own_stream() {
    let harness = start_front();
    let to = harness.front.sip_address().expect("SIP is up");
    let mut valid_caller = Caller::new(to, 1);
    for malformed in
        ["INVITE nothing at all\r\n\r\n", "INVITE sip:a@b SIP/2.0\r\nContent-Length: 99999999\r\n\r\n"]
    {
        let mut caller = Caller::new(to, 2);
        caller.send(malformed);
        assert_eq!(caller.receive(), None, "{malformed}");
        valid_caller.complete_call();
    }
}

#[test]
fn stream_of_caller_that_does_not_read_is_closed() {
    let harness = start_front();
    let to = harness.front.sip_address().expect("SIP is up");
    let mut stalled_caller = Caller::new(to, 1);
    stalled_caller.socket.set_write_timeout(Some(Duration::from_millis(200))).expect("a time");
    let (began, mut seq, mut ended) = (Instant::now(), 0, false);
    while !ended && began.elapsed() < Duration::from_secs(20) {
        seq += 1;
        let options = stalled_caller.text("OPTIONS", seq);
        ended = stalled_caller.socket.write_all(options.as_bytes()).is_err();
    }
    assert!(ended, "the stream is still open after {seq} requests");
    let call_began = Instant::now();
    Caller::new(to, 2).complete_call();
    assert!(call_began.elapsed() < Duration::from_secs(4));
}

#[test]
fn streams_beyond_limit_are_closed_until_others_end() {
    let harness = start_front();
    let to = harness.front.sip_address().expect("SIP is up");
    let mut open: Vec<Caller> = (0..1024).map(|n| Caller::new(to, n)).collect();
    open[1023].complete_call();
    // A stream beyond the limit is closed before anything is read from it.
    let mut rejected = Caller::new(to, 5000);
    let invite = rejected.text("INVITE", 1);
    let _ = rejected.socket.write_all(invite.as_bytes());
    assert_eq!(rejected.receive(), None);
    open[0].complete_call();
    drop(open);
    until("a stream can be opened", || {
        let mut caller = Caller::new(to, 6000);
        caller.socket.write_all(b"\r\n\r\n").is_ok() && matches!(caller.socket.read(&mut [0; 2]), Ok(2))
    });
}
