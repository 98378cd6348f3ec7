//! Callers over streams: messages in pieces, keep-alives, nonsense, callers that do not read, and more than fit.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::shadow_unrelated)]

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

struct Rig {
    fleet: Fleet,
    front: Front,
}

fn rig() -> Rig {
    let fleet = Fleet::start(&fleet_spec(2), &Recorder::default()).expect("a fleet");
    let mut settings = settings(&format!("url: {}", fleet.list.url()), "");
    settings.sip = Some("127.0.0.1:0".parse().expect("an address"));
    let front = Front::start(settings, None).expect("a front");
    until("the list is known", || front.status().media_servers == 2);
    Rig { fleet, front }
}

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

    fn says(&mut self, text: &str) {
        self.socket.write_all(text.as_bytes()).expect("written");
    }

    /// What comes next; none: the stream ended.
    fn hears(&mut self) -> Option<Framed> {
        let mut buf = [0; 4096];
        while self.framed.is_empty() {
            match self.socket.read(&mut buf) {
                Ok(0) => return None,
                Ok(n) => self.framer.push(&buf[..n], &mut self.framed).expect("SIP"),
                Err(e) if e.kind() == ErrorKind::ConnectionReset => return None,
                Err(e) => panic!("nothing came: {e}"),
            }
        }
        Some(self.framed.remove(0))
    }

    fn answer(&mut self, method: Method) -> Response {
        loop {
            match self.hears().expect("the stream stands") {
                Framed::Message(m) => match *m {
                    Message::Response(r) if r.method == method && r.status >= 200 => return r,
                    _ => {}
                },
                Framed::Ping => {}
            }
        }
    }

    /// A whole call, which has to go well.
    fn calls(&mut self) {
        let invite = self.text("INVITE", 1);
        self.says(&invite);
        let ok = self.answer(Method::Invite);
        assert_eq!(ok.status, 200);
        self.tag = format!(";tag={}", ok.ids.to_tag.expect("a tag"));
        let rest = format!("{}{}", self.text("ACK", 1), self.text("BYE", 2));
        self.says(&rest);
        assert_eq!(self.answer(Method::Bye).status, 200);
        self.tag.clear();
        self.id += 1000;
    }
}

#[test]
fn a_call_in_pieces_of_a_few_bytes_and_with_keep_alives_between() {
    let rig = rig();
    let mut c = Caller::new(rig.front.sip_address().expect("SIP is up"), 1);
    let invite = c.text("INVITE", 1);
    for piece in invite.as_bytes().chunks(7) {
        c.socket.write_all(piece).expect("written");
        c.socket.flush().expect("written");
        std::thread::sleep(Duration::from_micros(200));
    }
    assert_eq!(c.answer(Method::Invite).status, 200);
    let mut other = Caller::new(rig.front.sip_address().expect("SIP is up"), 2);
    other.says("\r\n\r\n");
    // One line end comes back (RFC 5626, section 3.5.1), which is no message and no ping of its own.
    let mut pong = [0; 2];
    other.socket.read_exact(&mut pong).expect("a pong");
    assert_eq!(&pong, b"\r\n");
    other.calls();
    until("the first call alone is left", || rig.fleet.sessions() == 1);
}

#[test]
fn nonsense_ends_its_own_stream_and_no_other() {
    let rig = rig();
    let to = rig.front.sip_address().expect("SIP is up");
    let mut sound = Caller::new(to, 1);
    for nonsense in
        ["INVITE nothing at all\r\n\r\n", "INVITE sip:a@b SIP/2.0\r\nContent-Length: 99999999\r\n\r\n"]
    {
        let mut c = Caller::new(to, 2);
        c.says(nonsense);
        assert_eq!(c.hears(), None, "{nonsense}");
        sound.calls();
    }
}

#[test]
fn a_caller_that_does_not_read_loses_its_stream_and_holds_up_nobody() {
    let rig = rig();
    let to = rig.front.sip_address().expect("SIP is up");
    let mut deaf = Caller::new(to, 1);
    deaf.socket.set_write_timeout(Some(Duration::from_millis(200))).expect("a time");
    let (began, mut seq, mut ended) = (Instant::now(), 0, false);
    while !ended && began.elapsed() < Duration::from_secs(20) {
        seq += 1;
        let options = deaf.text("OPTIONS", seq);
        ended = deaf.socket.write_all(options.as_bytes()).is_err();
    }
    assert!(ended, "{seq} requests and their answers wait somewhere");
    let began = Instant::now();
    Caller::new(to, 2).calls();
    assert!(began.elapsed() < Duration::from_secs(4));
}

#[test]
fn streams_are_bounded_and_make_room_when_they_end() {
    let rig = rig();
    let to = rig.front.sip_address().expect("SIP is up");
    let mut open: Vec<Caller> = (0..1024).map(|n| Caller::new(to, n)).collect();
    open[1023].calls();
    // One too many is closed before anything is taken of it.
    let mut late = Caller::new(to, 5000);
    let invite = late.text("INVITE", 1);
    let _ = late.socket.write_all(invite.as_bytes());
    assert_eq!(late.hears(), None);
    open[0].calls();
    drop(open);
    until("there is room again", || {
        let mut c = Caller::new(to, 6000);
        c.socket.write_all(b"\r\n\r\n").is_ok() && matches!(c.socket.read(&mut [0; 2]), Ok(2))
    });
}
