//! The watch on the event bus, driven by hand on loopback sockets: time is given to it, and what the bus says is in the
//! kernel's buffers before the watch looks.

use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use beechloft::api::Micros;
use beechloft_event_loop::event_bus::EventBusClient;
use beechloft_event_loop::limits::{LimitInputs, SocketLimits};
use beechloft_event_loop::tokens::TokenAllocator;
use beechloft_front_node::Input;
use mio::{Events, Poll, Token};
use socket2::{Domain, Socket, Type};

/// Long enough for anything that is to happen.
const PATIENCE: Duration = Duration::from_secs(15);
/// The head of an answer that is as it should be.
pub const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
/// The same for a body in chunks.
pub const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
pub const SECOND: Micros = Micros(1_000_000);

pub struct Rig {
    pub bus: EventBusClient,
    pub now: Micros,
    pub listener: TcpListener,
    /// The event bus's end of the newest connection.
    pub peer: Option<TcpStream>,
    poll: Poll,
    tokens: TokenAllocator,
    token: Token,
    inputs: VecDeque<Input>,
    /// Servers heard of, in order.
    pub told: Vec<String>,
    /// Whether the last list was a whole one.
    pub whole: bool,
}

pub fn limits() -> SocketLimits {
    SocketLimits::derive(&LimitInputs {
        descriptors: 256,
        memory_mb: 64.0,
        max_class_deadline: Micros(3_000_000),
        connect_timeout: Micros(500_000),
        server_idle_timeout: Micros(10_000_000),
    })
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    (listener, addr)
}

/// An address at which nobody listens, nor can while the socket is there: it is bound and does not listen.
pub fn refusing() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).expect("a port");
    let addr = socket.local_addr().ok().and_then(|a| a.as_socket()).expect("an address");
    (socket, addr)
}

pub fn endpoint(name: &str) -> String {
    format!(r#"{{"name":"{name}","address":"10.1.0.9:2905","status":"Ready","weight":4}}"#)
}

/// The data of an event that tells of one server.
pub fn data(offset: u64, name: &str) -> String {
    format!(r#"{{"offset":{offset},"topology":{{"endpoints":[{}]}}}}"#, endpoint(name))
}

/// An event as the page has it.
pub fn event(number: u64, name: &str) -> String {
    framed(&number.to_string(), &data(number, name))
}

pub fn framed(id: &str, data: &str) -> String {
    format!("id: {id}\ndata: {data}\n\n")
}

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

impl Rig {
    /// A watch that knows event 41 and has not asked yet.
    pub fn new(seed: u64) -> Rig {
        Rig::within(limits(), seed)
    }

    pub fn within(limits: SocketLimits, seed: u64) -> Rig {
        let (listener, addr) = listen();
        Rig {
            bus: EventBusClient::new(addr, 41, limits, seed),
            now: SECOND,
            listener,
            peer: None,
            poll: Poll::new().expect("a poll"),
            tokens: TokenAllocator::default(),
            token: Token(0),
            inputs: VecDeque::new(),
            told: Vec::new(),
            whole: false,
        }
    }

    /// One that has asked and been answered with a head.
    pub fn open() -> Rig {
        let mut rig = Rig::new(7);
        assert_eq!(rig.asked(), "41");
        rig.say(HEAD);
        rig
    }

    /// Looks at what is due: whether it began a connection.
    pub fn sweep(&mut self) -> bool {
        let mut before = self.tokens.clone();
        self.bus.sweep(self.now, self.poll.registry(), &mut self.tokens);
        let began = self.tokens != before;
        if began {
            self.token = before.allocate();
        }
        began
    }

    /// Lets time pass in steps of 25 ms, as the loop does, until it begins a connection: how long that took.
    pub fn until_it_connects(&mut self, most: Micros) -> Micros {
        let from = self.now;
        while !self.sweep() {
            self.now = self.now + Micros(25_000);
            assert!(self.now - from <= most, "no connection within {most:?}");
        }
        self.now - from
    }

    /// It may not begin a connection for so long.
    pub fn stays_as_it_is(&mut self, span: Micros) {
        let until = self.now + span;
        while self.now < until {
            assert!(!self.sweep(), "a connection at {:?}", self.now);
            self.now = self.now + Micros(25_000);
        }
    }

    pub fn stands(&self) -> bool {
        self.bus.has(self.token)
    }

    /// Waits for the poll and lets the watch do what it can, until this holds.
    pub fn until(&mut self, what: &str, mut holds: impl FnMut(&Rig) -> bool) {
        let (mut events, end) = (Events::with_capacity(8), Instant::now() + PATIENCE);
        while !holds(self) {
            assert!(Instant::now() < end, "never: {what}");
            self.poll.poll(&mut events, Some(Duration::from_millis(100))).expect("a poll");
            let ready = events.iter().any(|e| self.bus.has(e.token()));
            if ready {
                self.read();
            }
        }
    }

    fn read(&mut self) {
        let mut scratch = vec![0; 16 * 1024];
        while self.bus.handle_ready(self.now, &mut scratch, self.poll.registry(), &mut self.inputs) {}
        for input in self.inputs.drain(..) {
            let Input::Topology(topology) = input else { panic!("{input:?}") };
            self.whole = topology.snapshot;
            self.told.extend(topology.endpoints.into_iter().map(|e| e.name));
        }
    }

    /// The connection that it has begun is accepted and asked on: the number that it asked from.
    pub fn asked_on(&mut self) -> String {
        let (stream, _) = self.listener.accept().expect("a connection");
        stream.set_nonblocking(true).expect("a socket");
        let mut head = Vec::new();
        let mut heard = stream.try_clone().expect("a socket");
        self.until("it asks", |_| {
            let mut buf = [0; 1024];
            match heard.read(&mut buf) {
                Ok(n) => head.extend_from_slice(&buf[..n]),
                Err(e) => assert_eq!(e.kind(), ErrorKind::WouldBlock),
            }
            head.ends_with(b"\r\n\r\n")
        });
        stream.set_nonblocking(false).expect("a socket");
        stream.set_write_timeout(Some(PATIENCE)).expect("a socket");
        self.peer = Some(stream);
        let head = String::from_utf8(head).expect("text");
        assert!(head.starts_with("GET /bus/read HTTP/1.1\r\n"), "{head}");
        let from = head.lines().find_map(|l| l.strip_prefix("last-event-id: ")).expect("a number");
        from.to_owned()
    }

    /// It connects, by now or when its wait is over, and asks: from which number.
    pub fn asked(&mut self) -> String {
        self.until_it_connects(Micros(120_000_000));
        self.asked_on()
    }

    /// The bus says something.
    pub fn say(&mut self, text: &str) {
        self.peer.as_mut().expect("a connection").write_all(text.as_bytes()).expect("written");
    }

    /// The bus says something and all of it has been read, as a mark behind it shows.
    pub fn say_and_hear(&mut self, text: &str, number: u64) {
        let mark = format!("mark-{number}");
        self.say(&format!("{text}{}", event(number, &mark)));
        self.hear(&mark);
    }

    pub fn hear(&mut self, name: &str) {
        self.until(name, |rig| rig.told.last().is_some_and(|n| n == name));
    }

    /// The bus ends the connection, and the watch has seen that.
    pub fn end(&mut self) {
        self.peer.as_ref().expect("a connection").shutdown(Shutdown::Write).expect("shut down");
        self.falls();
    }

    /// The watch gives the connection up.
    pub fn falls(&mut self) {
        self.until("it gives the connection up", |rig| !rig.stands());
    }

    pub fn move_to(&mut self, addr: SocketAddr) {
        self.bus.move_to(addr, self.now, self.poll.registry());
    }

    /// Lets time pass and looks at what is due: whether the connection stands still. A new one is not begun.
    pub fn step(&mut self, span: Micros) -> bool {
        let token = self.token;
        self.now = self.now + span;
        self.sweep();
        self.bus.has(token)
    }

    /// What the bus has said so far is read: this end's kernel holds nothing that the watch's has not taken over, and
    /// the watch has been told by the poll.
    pub fn until_read(&mut self) {
        let mut events = Events::with_capacity(8);
        self.poll.poll(&mut events, Some(PATIENCE)).expect("a poll");
        assert!(events.iter().any(|e| self.bus.has(e.token())), "nothing to read");
        self.read();
    }

    /// The bus says this over and over, up to so many bytes or until the watch gives up.
    pub fn flood(&mut self, text: &str, bytes: usize) {
        let text = text.repeat(16 * 1024 / text.len() + 1);
        for _ in 0..=bytes / text.len() {
            let written = self.peer.as_mut().expect("a connection").write_all(text.as_bytes());
            let mut events = Events::with_capacity(8);
            self.poll.poll(&mut events, Some(Duration::ZERO)).expect("a poll");
            self.read();
            if written.is_err() || !self.stands() {
                return;
            }
        }
    }

    /// Comments each half second, for so long or until the watch asks anew: after how long it did.
    pub fn comments(&mut self, most: Micros) -> Option<Micros> {
        let from = self.now;
        while self.now - from < most {
            if !self.step(Micros(500_000)) {
                return Some(self.now - from);
            }
            self.say(":\n\n");
            self.until_read();
        }
        None
    }

    /// Waits until what was said is in the watch's kernel buffers, and does not read it.
    pub fn until_there(&mut self) {
        let mut events = Events::with_capacity(8);
        let end = Instant::now() + PATIENCE;
        while !events.iter().any(|e| e.is_readable() && self.bus.has(e.token())) {
            assert!(Instant::now() < end, "nothing comes");
            self.poll.poll(&mut events, Some(PATIENCE)).expect("a poll");
        }
    }
}
