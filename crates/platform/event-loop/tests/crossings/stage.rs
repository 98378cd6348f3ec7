//! A front node whose turns are taken by hand, between sockets that the test holds itself: no threads, no sleeps, time is
//! given. What is to meet is put into the kernel's buffers first; only then comes the turn.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use beechloft::api::Micros;
use beechloft_event_loop::{EventLoop, LoopStatus, SignalHandle};
use beechloft_protocol::CallId;
use beechloft_protocol::binary::{Frame, FrameDecoder};
use beechloft_protocol::config::Environment;
use serde_json::{Value, json};

/// Long enough for anything that the kernel is to do.
const PATIENCE: Duration = Duration::from_secs(20);

/// What tests vary of the settings and limits.
#[derive(Debug, Clone)]
pub struct Terms {
    pub deadline_ms: u64,
    pub aim_ms: u64,
    pub effect: &'static str,
    pub window_ms: u64,
    pub cancel: bool,
    pub attempts: u32,
    pub sockets: usize,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            deadline_ms: 4_000,
            aim_ms: 800,
            effect: "repeatable",
            window_ms: 5_000,
            cancel: true,
            attempts: 3,
            sockets: 256,
        }
    }
}

impl Terms {
    fn settings(&self) -> Value {
        json!({
            "caps": {"cancel": self.cancel, "max_attempts": self.attempts, "probes": true, "retry_after": true,
                "max_retry_after_us": 500_000, "dial_timeout_us": 250_000, "conn_idle_us": 30_000_000},
            "classes": [{"name": "stall-video", "aim_us": self.aim_ms * 1000, "deadline_us": self.deadline_ms * 1000,
                "effect": self.effect, "group": "all", "window_us": self.window_ms * 1000, "points": 1.0}],
            "discovery": "push", "group_size": 1, "my_number": 0, "kinds": ["small"], "zones": ["a"],
            "family_info": {"all_links_kb": 4e8, "link_unit_kb": 1e8, "rack_link_kb": 4e8, "floor_by_class": [0],
                "top_by_class": [1], "scale_by_class": [1.0], "seats": [0], "guard": 1.2, "kind_streams": [6000],
                "places": 1, "shelves": 1, "rates_kb": [200.0, 400.0], "see_us": 800_000, "worth_by_rung": [0.4, 1.0]},
            "reporting": {"how": "piggyback", "names": ["utilization", "x1"]},
            "rules": {"cold_from": 0.4, "cold_us": 1000, "fall_multiple": 3.0, "fall_us": 2000},
            "weights": "rough"
        })
    }
}

/// A state of a TCP socket as the kernel tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Held {
    /// Open, with so many bytes that wait to be read.
    Open(usize),
    /// The other side has ended it, with so many bytes that wait to be read.
    Ended(usize),
    /// It is reset, or there never was one.
    None,
}

/// What the kernel holds for the socket at `own` towards `peer`.
pub fn held(own: SocketAddr, peer: SocketAddr) -> Held {
    let hex = |a: SocketAddr| match a {
        SocketAddr::V4(a) => format!("{:08X}:{:04X}", u32::from_le_bytes(a.ip().octets()), a.port()),
        SocketAddr::V6(_) => unreachable!("loopback of version 4"),
    };
    let (own, peer) = (hex(own), hex(peer));
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the kernel's table");
    for line in table.lines() {
        let mut words = line.split_whitespace().skip(1);
        let (a, b, state, queues) = (words.next(), words.next(), words.next(), words.next());
        if (a, b) != (Some(&own), Some(&peer)) {
            continue;
        }
        let bytes = queues.and_then(|q| usize::from_str_radix(q.split_once(':')?.1, 16).ok()).unwrap_or(0);
        return match state {
            Some("01") => Held::Open(bytes),
            Some("08") => Held::Ended(bytes),
            _ => Held::None,
        };
    }
    Held::None
}

/// Waits until the kernel has done what is to come.
pub fn until(what: &str, mut done: impl FnMut() -> bool) {
    let by = Instant::now() + PATIENCE;
    while !done() {
        assert!(Instant::now() < by, "in vain: {what}");
        std::thread::yield_now();
    }
}

pub struct Stage {
    pub shell: EventLoop,
    pub addr: SocketAddr,
    pub control: SignalHandle,
    pub now: Micros,
    pub media: Vec<Media>,
    pub ended: bool,
    bus: TcpListener,
    watch: Option<TcpStream>,
    _dir: tempfile::TempDir,
}

impl Stage {
    pub fn new(servers: usize) -> Stage {
        Stage::on(servers, &Terms::default())
    }

    pub fn on(servers: usize, terms: &Terms) -> Stage {
        Stage::with((0..servers).map(|_| Media::listening()).collect(), terms)
    }

    pub fn with(media: Vec<Media>, terms: &Terms) -> Stage {
        let bus = TcpListener::bind("127.0.0.1:0").expect("a port");
        let dir = tempfile::tempdir().expect("a folder");
        let path = dir.path().join("config.json");
        let known: Vec<Value> = media
            .iter()
            .enumerate()
            .map(|(n, m)| {
                json!({"name": format!("s-{n:08x}"), "address": m.addr.to_string(), "zone": "a", "type": "small",
                    "group": 0, "status": "Ready", "weight": 1, "since_ms": 0})
            })
            .collect();
        let config = json!({
            "name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": terms.sockets},
            "bus": bus.local_addr().expect("an address").to_string(),
            "known": {"offset": 1, "batch": [{"offset": 1, "topology": {"index": 1, "snapshot": true, "endpoints": known}}]},
            "settings": terms.settings()
        });
        std::fs::write(&path, config.to_string()).expect("written");
        let shell = EventLoop::start(&path, &Environment::default()).expect("it starts");
        let (addr, control) =
            (shell.local_addr().expect("an address"), shell.signal_handle().expect("a control"));
        let mut stage = Stage {
            shell,
            addr,
            control,
            now: Micros(1_700_000_000_000_000),
            media,
            ended: false,
            bus,
            watch: None,
            _dir: dir,
        };
        stage.turn();
        // Past the time in which any may be cold from a start before this one.
        stage.pass(100);
        stage
    }

    /// Session 1 stands at the only media server, which has ended its connection; no other comes up until the one returned last
    /// is taken out of the queue.
    pub fn standing_out_of_reach() -> (Stage, Client, TcpStream) {
        let (media, filler) = Media::filled();
        let mut stage = Stage::with(vec![media], &Terms::default());
        // The queue is emptied, so that one connection comes up, ...
        stage.media[0].empty();
        drop(filler);
        let (mut client, _, mut line) = stage.asked(1);
        line.accept(1);
        stage.settle();
        let (heard, _) = client.hear().expect("no reset");
        assert_eq!(heard.iter().map(|f| f.kind).collect::<Vec<_>>(), [9]);
        // ... and filled again before that one ends.
        let filler = TcpStream::connect(stage.media[0].addr).expect("a connection");
        line.shut();
        stage.media[0].conns.clear();
        (stage, client, filler)
    }

    /// One turn, with what the kernel holds now.
    pub fn turn(&mut self) {
        if !self.ended {
            self.shell.set_time(self.now);
            self.ended = self.shell.run_turn(Some(Duration::ZERO)).expect("no error") == LoopStatus::Stopped;
        }
    }

    /// Turns until nothing is left to be done at this time.
    pub fn settle(&mut self) {
        for _ in 0..50 {
            self.turn();
        }
    }

    /// Lets time pass, with a turn for each sweep.
    pub fn pass(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(25) {
            self.now = self.now + Micros(25_000);
            self.turn();
        }
    }

    /// Turns until something has come about; time stands.
    pub fn turns_until(&mut self, what: &str, mut done: impl FnMut(&mut Stage) -> bool) {
        let by = Instant::now() + PATIENCE;
        while !done(self) {
            assert!(Instant::now() < by, "in vain: {what}");
            self.turn();
        }
    }

    /// A client whose connection has been accepted.
    pub fn client(&mut self) -> Client {
        let client = Client::connect(self.addr);
        self.settle();
        client
    }

    /// A client whose set-up is out: the media server that has it, its connection there, and the client.
    pub fn asked(&mut self, id: u64) -> (Client, usize, Line) {
        let mut client = self.client();
        client.say(&set_up(id, 3_000));
        let (server, line) = self.offered(id);
        (client, server, line)
    }

    /// Has a session come and go at each media server, so that each has a connection that is up and idle.
    pub fn warm(&mut self) {
        for id in 900.. {
            if self.media.iter().all(|m| !m.conns.is_empty()) {
                return;
            }
            let (_client, _, mut line) = self.asked(id);
            line.accept(id);
            self.settle();
            line.end(id, 16);
            self.settle();
        }
    }

    /// The connection on which this set-up has come, as the next line there.
    pub fn offered(&mut self, id: u64) -> (usize, Line) {
        let mut got = None;
        self.turns_until("a set-up", |s| {
            got = s.media.iter_mut().enumerate().find_map(|(n, m)| Some((n, m.with_offer(id)?)));
            got.is_some()
        });
        got.expect("just found")
    }

    /// The same, at another media server than this one.
    pub fn offered_elsewhere(&mut self, id: u64, not: usize) -> (usize, Line) {
        let mut got = None;
        self.turns_until("a set-up elsewhere", |s| {
            let others = s.media.iter_mut().enumerate().filter(|(n, _)| *n != not);
            got = others.into_iter().find_map(|(n, m)| Some((n, m.with_offer(id)?)));
            got.is_some()
        });
        got.expect("just found")
    }

    /// The event bus ends the connection on which it is watched, once there is one.
    pub fn cut_bus(&mut self) {
        drop(self.bus.accept().expect("a watch"));
    }

    /// The event bus answers the watch, and tells of a change.
    pub fn tell_bus(&mut self, endpoints: &Value) {
        let (mut stream, _) = self.bus.accept().expect("a watch");
        let data = json!({"offset": 2, "topology": {"index": 2, "snapshot": false, "endpoints": endpoints}});
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
        let text = format!("{head}id: 2\ndata: {data}\n\n");
        stream.write_all(text.as_bytes()).expect("written");
        self.watch = Some(stream);
    }

    /// Set-ups that have arrived so far, at all media servers.
    pub fn offers(&mut self) -> usize {
        self.media.iter_mut().map(|m| m.heard("offer").len()).sum()
    }
}

/// A media server's side, by hand.
pub struct Media {
    listener: Option<TcpListener>,
    pub addr: SocketAddr,
    pub conns: Vec<Line>,
}

/// One connection to a media server, at the server's end.
pub struct Line {
    stream: TcpStream,
    text: Vec<u8>,
    heard: Vec<Value>,
    unanswered: Vec<String>,
}

impl Clone for Line {
    fn clone(&self) -> Line {
        Line {
            stream: self.stream.try_clone().expect("a copy"),
            text: self.text.clone(),
            heard: self.heard.clone(),
            unanswered: Vec::new(),
        }
    }
}

impl Media {
    pub fn listening() -> Media {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("set");
        let addr = listener.local_addr().expect("an address");
        Media { listener: Some(listener), addr, conns: Vec::new() }
    }

    /// One to which no connection comes up while `filler` waits in its queue.
    pub fn filled() -> (Media, TcpStream) {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket.bind(&any.into()).expect("a port");
        socket.listen(0).expect("it listens");
        let listener: TcpListener = socket.into();
        listener.set_nonblocking(true).expect("set");
        let addr = listener.local_addr().expect("an address");
        let filler = TcpStream::connect(addr).expect("a connection");
        (Media { listener: Some(listener), addr, conns: Vec::new() }, filler)
    }

    /// Takes one connection out of the queue and forgets it.
    pub fn empty(&mut self) {
        let listener = self.listener.as_ref().expect("it listens");
        until("a connection in the queue", || listener.accept().is_ok());
    }

    pub fn poll(&mut self) {
        while let Some(Ok((stream, _))) = self.listener.as_ref().map(TcpListener::accept) {
            stream.set_nonblocking(true).expect("set");
            self.conns.push(Line { stream, text: Vec::new(), heard: Vec::new(), unanswered: Vec::new() });
        }
        self.conns.iter_mut().for_each(Line::read);
    }

    /// Lines of this type that have come so far, on all connections.
    pub fn heard(&mut self, op: &str) -> Vec<Value> {
        self.poll();
        self.conns.iter().flat_map(|c| &c.heard).filter(|v| v["op"] == op).cloned().collect()
    }

    fn with_offer(&mut self, id: u64) -> Option<Line> {
        self.poll();
        let of = |v: &Value| v["op"] == "offer" && v["call"] == CallId(id).to_string();
        self.conns.iter().find(|c| c.heard.iter().any(of)).cloned()
    }
}

impl Line {
    pub fn poll_all(&mut self) {
        self.read();
    }

    pub fn has_offer(&self, id: u64) -> bool {
        self.heard.iter().any(|v| v["op"] == "offer" && v["call"] == CallId(id).to_string())
    }

    fn read(&mut self) {
        let mut buf = [0; 4096];
        while let Ok(n @ 1..) = self.stream.read(&mut buf) {
            self.text.extend_from_slice(&buf[..n]);
        }
        while let Some(end) = self.text.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = self.text.drain(..=end).collect();
            let value: Value = serde_json::from_slice(&line).expect("what a front node sends is JSON");
            if value["op"] == "offer" {
                self.unanswered.extend(value["call"].as_str().map(str::to_owned));
            }
            self.heard.push(value);
        }
    }

    /// Says a line, and waits until the front node's kernel has it.
    pub fn say(&mut self, value: &Value) {
        self.raw(format!("{value}\n").as_bytes());
    }

    pub fn raw(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("written");
        self.arrives(|h| matches!(h, Held::Open(1..)));
    }

    pub fn accept(&mut self, id: u64) {
        let call = CallId(id).to_string();
        self.say(&json!({"op": "accept", "call": call, "with": {}, "desc": format!("answer-{call}\r\n")}));
    }

    pub fn end(&mut self, id: u64, why: u8) {
        self.say(&json!({"op": "end", "call": CallId(id).to_string(), "with": {}, "why": why}));
    }

    /// Accepts each set-up that was not answered yet.
    pub fn answer_all(&mut self) {
        for call in std::mem::take(&mut self.unanswered) {
            let answer =
                json!({"op": "accept", "call": call, "with": {}, "desc": format!("answer-{call}\r\n")});
            // The front node may have ended meanwhile.
            let _ = self.stream.write_all(format!("{answer}\n").as_bytes());
        }
    }

    /// Ends the connection, and waits until the front node's kernel knows.
    pub fn shut(&mut self) {
        self.stream.shutdown(Shutdown::Both).expect("shut");
        self.arrives(|h| !matches!(h, Held::Open(_)));
    }

    fn arrives(&self, what: impl Fn(Held) -> bool) {
        let (own, peer) = (self.stream.local_addr().expect("one"), self.stream.peer_addr().expect("one"));
        until("it arrives", || what(held(peer, own)));
    }
}

/// A viewer's client.
pub struct Client {
    pub stream: TcpStream,
    decoder: FrameDecoder,
    own: SocketAddr,
    front: SocketAddr,
}

pub fn set_up(id: u64, left_ms: u64) -> Frame {
    Frame::new(1, CallId(id))
        .with(1, "stall-video")
        .with(3, left_ms.to_string())
        .with(9, "00000000000000aa")
        .with(11, format!("home:0;copies:1;top:1;viewer:{id:016x}"))
        .with(31, format!("offer-{id:016x}\r\nc=IN IP4 10.9.9.9\r\n"))
}

pub fn cancel(id: u64) -> Frame {
    Frame::new(12, CallId(id)).with(29, [16])
}

pub fn test(id: u64) -> Frame {
    Frame::new(52, CallId(id)).with(29, [0])
}

pub fn bytes(frames: &[Frame]) -> Vec<u8> {
    frames.iter().flat_map(|f| f.encode().expect("short")).collect()
}

impl Client {
    pub fn connect(front: SocketAddr) -> Client {
        let stream = TcpStream::connect(front).expect("a connection");
        stream.set_nonblocking(true).expect("set");
        let own = stream.local_addr().expect("an address");
        Client { stream, decoder: FrameDecoder::default(), own, front }
    }

    pub fn held(&self) -> Held {
        held(self.front, self.own)
    }

    /// Says something, and waits until the front node's kernel has it.
    pub fn say(&mut self, frame: &Frame) {
        self.raw(&bytes(std::slice::from_ref(frame)));
    }

    pub fn raw(&mut self, bytes: &[u8]) {
        let before = match self.held() {
            Held::Open(n) => n,
            other => panic!("{other:?}"),
        };
        self.stream.write_all(bytes).expect("written");
        until("it arrives", || matches!(self.held(), Held::Open(n) if n >= before + bytes.len()));
    }

    /// Closes the connection, and waits until the front node's kernel knows.
    pub fn close(self) {
        let (front, own) = (self.front, self.own);
        drop(self);
        until("the end arrives", || !matches!(held(front, own), Held::Open(_)));
    }

    /// Resets it, and waits until the front node's kernel knows.
    pub fn reset(self) {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).expect("set");
        self.close();
    }

    /// What has been said to it so far, and whether the connection has come to an end: `Err` if by a reset.
    pub fn hear(&mut self) -> Result<(Vec<Frame>, bool), ErrorKind> {
        let (mut all, mut buf) = (Vec::new(), [0; 4096]);
        let ended = loop {
            match self.stream.read(&mut buf) {
                Ok(0) => break true,
                Ok(n) => self.decoder.push(&buf[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break false,
                Err(e) => return Err(e.kind()),
            }
        };
        while let Some(frame) = self.decoder.next_frame().expect("what a front node sends can be read") {
            all.push(frame);
        }
        Ok((all, ended))
    }
}
