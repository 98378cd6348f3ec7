//! The client of the event bus, run by hand on loopback sockets: its time is set by the test, and what the bus sends is in the
//! kernel's buffers before the client reads.

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

use crate::support::TIMEOUT;
use crate::support::messages::EVENT_STREAM_HEAD;
use crate::texts::event;

pub const SECOND: Micros = Micros(1_000_000);
pub const MINUTE: Micros = Micros(60_000_000);

/// From one sweep of the loop to the next.
const SWEEP_INTERVAL: Micros = Micros(25_000);

/// The last event that the client knows at the beginning.
const LAST_EVENT_ID: u64 = 41;

/// No wait of the client is longer than this.
const MAX_WAIT: Micros = Micros(120_000_000);

/// The time between the comments of a bus without events.
const COMMENT_INTERVAL: Micros = Micros(500_000);

const READ_BUFFER_BYTES: usize = 16 * 1024;

/// A client and its event bus.
pub struct Harness {
    pub client: EventBusClient,
    pub now: Micros,
    pub listener: TcpListener,
    /// The event bus's end of the newest connection.
    pub bus_stream: Option<TcpStream>,
    poll: Poll,
    tokens: TokenAllocator,
    /// The token of the newest connection.
    token: Token,
    inputs: VecDeque<Input>,
    /// The names of media servers in the events so far, in order.
    pub received: Vec<String>,
    /// Whether the last event was a snapshot.
    pub last_was_snapshot: bool,
}

/// The limits of the client.
pub fn limits() -> SocketLimits {
    SocketLimits::derive(&LimitInputs {
        descriptors: 256,
        memory_mb: 64.0,
        max_class_deadline: Micros(3_000_000),
        connect_timeout: Micros(500_000),
        server_idle_timeout: Micros(10_000_000),
    })
}

/// A listener for an event bus.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    (listener, addr)
}

/// An address that refuses connections while the socket exists, which is bound and does not listen.
pub fn refusing_address() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any_port: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any_port.into()).expect("a port");
    let addr = socket.local_addr().ok().and_then(|addr| addr.as_socket()).expect("an address");
    (socket, addr)
}

impl Harness {
    /// A client that knows event 41 and has not connected yet.
    pub fn new(seed: u64) -> Harness {
        Harness::with_limits(limits(), seed)
    }

    pub fn with_limits(limits: SocketLimits, seed: u64) -> Harness {
        let (listener, addr) = listen();
        Harness {
            client: EventBusClient::new(addr, LAST_EVENT_ID, limits, seed),
            now: SECOND,
            listener,
            bus_stream: None,
            poll: Poll::new().expect("a poll"),
            tokens: TokenAllocator::default(),
            token: Token(0),
            inputs: VecDeque::new(),
            received: Vec::new(),
            last_was_snapshot: false,
        }
    }

    /// A client that has sent its request and got the head of the response.
    pub fn connected() -> Harness {
        let mut harness = Harness::new(7);
        assert_eq!(harness.wait_for_request(), "41");
        harness.send(EVENT_STREAM_HEAD);
        harness
    }

    /// Runs a sweep; whether the client began a connection.
    pub fn sweep(&mut self) -> bool {
        let mut tokens_before = self.tokens.clone();
        self.client.sweep(self.now, self.poll.registry(), &mut self.tokens);
        let began = self.tokens != tokens_before;
        if began {
            self.token = tokens_before.allocate();
        }
        began
    }

    /// Lets time pass in steps of a sweep until the client begins a connection; how long that took.
    pub fn time_until_connect(&mut self, max: Micros) -> Micros {
        let start = self.now;
        while !self.sweep() {
            self.now = self.now + SWEEP_INTERVAL;
            assert!(self.now - start <= max, "no connection within {max:?}");
        }
        self.now - start
    }

    /// Lets time pass, in which the client may not begin a connection.
    pub fn assert_no_connect(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            assert!(!self.sweep(), "a connection at {:?}", self.now);
            self.now = self.now + SWEEP_INTERVAL;
        }
    }

    /// Whether the client has the newest connection still.
    pub fn is_connected(&self) -> bool {
        self.client.has(self.token)
    }

    /// Polls and lets the client read until something holds.
    pub fn run_until(&mut self, what: &str, mut holds: impl FnMut(&Harness) -> bool) {
        let (mut events, deadline) = (Events::with_capacity(8), Instant::now() + TIMEOUT);
        while !holds(self) {
            assert!(Instant::now() < deadline, "timed out waiting for: {what}");
            self.poll.poll(&mut events, Some(Duration::from_millis(100))).expect("a poll");
            let is_ready = events.iter().any(|polled| self.client.has(polled.token()));
            if is_ready {
                self.read();
            }
        }
    }

    fn read(&mut self) {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        while self.client.handle_ready(self.now, &mut buffer, self.poll.registry(), &mut self.inputs) {}
        for input in self.inputs.drain(..) {
            let Input::Topology(topology) = input else { panic!("{input:?}") };
            self.last_was_snapshot = topology.snapshot;
            self.received.extend(topology.endpoints.into_iter().map(|endpoint| endpoint.name));
        }
    }

    /// Accepts the connection that the client has begun and reads its request; its `Last-Event-ID`.
    pub fn accept_request(&mut self) -> String {
        let (stream, _) = self.listener.accept().expect("a connection");
        stream.set_nonblocking(true).expect("set");
        let mut head = Vec::new();
        let mut reader = stream.try_clone().expect("a copy");
        self.run_until("the request", |_| {
            let mut buffer = [0; 1024];
            match reader.read(&mut buffer) {
                Ok(count) => head.extend_from_slice(&buffer[..count]),
                Err(e) => assert_eq!(e.kind(), ErrorKind::WouldBlock),
            }
            head.ends_with(b"\r\n\r\n")
        });
        stream.set_nonblocking(false).expect("set");
        stream.set_write_timeout(Some(TIMEOUT)).expect("set");
        self.bus_stream = Some(stream);
        let text = String::from_utf8(head).expect("text");
        assert!(text.starts_with("GET /bus/read HTTP/1.1\r\n"), "{text}");
        let last_event_id = text.lines().find_map(|line| line.strip_prefix("last-event-id: "));
        last_event_id.expect("a number").to_owned()
    }

    /// Waits until the client connects and sends its request; its `Last-Event-ID`.
    pub fn wait_for_request(&mut self) -> String {
        self.time_until_connect(MAX_WAIT);
        self.accept_request()
    }

    /// The bus sends text.
    pub fn send(&mut self, text: &str) {
        self.bus_stream.as_mut().expect("a connection").write_all(text.as_bytes()).expect("written");
    }

    /// The bus sends text and the client reads all of it, as an event behind it shows.
    pub fn send_and_sync(&mut self, text: &str, number: u64) {
        let mark = format!("mark-{number}");
        self.send(&format!("{text}{}", event(number, &mark)));
        self.wait_for_endpoint(&mark);
    }

    /// Runs until the last endpoint that was received has this name.
    pub fn wait_for_endpoint(&mut self, name: &str) {
        self.run_until(name, |harness| harness.received.last().is_some_and(|last| last == name));
    }

    /// The bus closes the connection, and the client notices.
    pub fn close_by_bus(&mut self) {
        self.bus_stream.as_ref().expect("a connection").shutdown(Shutdown::Write).expect("shut down");
        self.wait_for_disconnect();
    }

    /// Runs until the client has closed its connection.
    pub fn wait_for_disconnect(&mut self) {
        self.run_until("the client to disconnect", |harness| !harness.is_connected());
    }

    pub fn move_to(&mut self, addr: SocketAddr) {
        self.client.move_to(addr, self.now, self.poll.registry());
    }

    pub fn suspect(&mut self) {
        self.client.suspect(self.now);
    }

    /// Lets time pass and runs a sweep; whether the connection is still the same.
    pub fn advance(&mut self, span: Micros) -> bool {
        let token_before = self.token;
        self.now = self.now + span;
        self.sweep();
        self.client.has(token_before)
    }

    /// Waits until the poll reports bytes, and lets the client read them.
    pub fn read_available(&mut self) {
        let mut events = Events::with_capacity(8);
        self.poll.poll(&mut events, Some(TIMEOUT)).expect("a poll");
        assert!(events.iter().any(|polled| self.client.has(polled.token())), "nothing to read");
        self.read();
    }

    /// The bus sends this text again and again, up to so many bytes or until the client disconnects.
    pub fn send_repeatedly(&mut self, text: &str, max_bytes: usize) {
        let block = text.repeat(READ_BUFFER_BYTES / text.len() + 1);
        for _ in 0..=max_bytes / block.len() {
            let written = self.bus_stream.as_mut().expect("a connection").write_all(block.as_bytes());
            let mut events = Events::with_capacity(8);
            self.poll.poll(&mut events, Some(Duration::ZERO)).expect("a poll");
            self.read();
            if written.is_err() || !self.is_connected() {
                return;
            }
        }
    }

    /// The bus sends comments, for so long or until the client sends another request; after how long it did.
    pub fn send_comments(&mut self, max: Micros) -> Option<Micros> {
        let start = self.now;
        while self.now - start < max {
            if !self.advance(COMMENT_INTERVAL) {
                return Some(self.now - start);
            }
            self.send(":\n\n");
            self.read_available();
        }
        None
    }

    /// Waits until what was sent is in the kernel's buffers of the client, which does not read it.
    pub fn wait_for_unread(&mut self) {
        let mut events = Events::with_capacity(8);
        let deadline = Instant::now() + TIMEOUT;
        while !events.iter().any(|polled| polled.is_readable() && self.client.has(polled.token())) {
            assert!(Instant::now() < deadline, "nothing arrives");
            self.poll.poll(&mut events, Some(TIMEOUT)).expect("a poll");
        }
    }
}
