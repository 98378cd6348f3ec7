//! Harness around the event bus client on loopback sockets.
//!
//! The test sets the time, and runs the client once the data of the bus is in the kernel's buffers.

use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use beechloft::api::Micros;
use beechloft_event_loop::event_bus::EventBusClient;
use beechloft_event_loop::limits::{LimitInputs, SocketLimits};
use beechloft_event_loop::tokens::TokenAllocator;
use beechloft_front_node::Input;
use mio::event::Event;
use mio::{Events, Poll, Token};
use socket2::{Domain, Socket, Type};

use crate::support::TIMEOUT;
use crate::support::messages::EVENT_STREAM_HEAD;
use crate::texts::event;

pub const SECOND: Micros = Micros(1_000_000);
pub const MINUTE: Micros = Micros(60_000_000);

/// Interval between sweeps of the loop.
const SWEEP_INTERVAL: Micros = Micros(25_000);

/// Offset of the last event that the client knows at the start.
const LAST_EVENT_ID: u64 = 41;

/// Upper bound of all delays of the client.
const MAX_WAIT: Micros = Micros(120_000_000);

/// Interval between the comments of a bus without events.
const COMMENT_INTERVAL: Micros = Micros(500_000);

const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Event bus client with its event bus.
pub struct Harness {
    pub client: EventBusClient,
    pub now: Micros,
    pub listener: TcpListener,
    /// End of the most recent connection at the event bus, or of the one that was answered last.
    pub bus_stream: Option<TcpStream>,
    poll: Poll,
    tokens: TokenAllocator,
    /// Token of the most recent connection.
    token: Token,
    inputs: VecDeque<Input>,
    /// Names of the media servers in the events so far, in order.
    pub received: Vec<String>,
    /// Whether the last event was a snapshot.
    pub last_was_snapshot: bool,
}

/// Request that the event bus has received and not answered.
#[derive(Debug)]
pub struct UnansweredRequest {
    pub at: Micros,
    stream: TcpStream,
    token: Token,
}

impl UnansweredRequest {
    /// Checks that the client has closed the connection.
    pub fn assert_closed(mut self) {
        self.stream.set_read_timeout(Some(TIMEOUT)).expect("cannot set socket option");
        match self.stream.read(&mut [0; 16]) {
            Ok(count) => assert_eq!(count, 0, "another request on the connection"),
            Err(error) => assert_eq!(error.kind(), ErrorKind::ConnectionReset, "the connection is open"),
        }
    }
}

/// Returns the limits of the client.
pub fn limits() -> SocketLimits {
    SocketLimits::derive(&LimitInputs {
        descriptors: 256,
        memory_mb: 64.0,
        max_class_deadline: Micros(3_000_000),
        connect_timeout: Micros(500_000),
        server_idle_timeout: Micros(10_000_000),
    })
}

/// Returns a listener for an event bus, and its address.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind failed");
    let addr = listener.local_addr().expect("no address");
    (listener, addr)
}

/// Returns an address that refuses connections while the returned socket exists, which is bound and does not listen.
pub fn refusing_address() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("socket error");
    let any_port: SocketAddr = "127.0.0.1:0".parse().expect("no address");
    socket.bind(&any_port.into()).expect("bind failed");
    let addr = socket.local_addr().ok().and_then(|addr| addr.as_socket()).expect("no address");
    (socket, addr)
}

impl Harness {
    /// Returns a client that knows event 41 and has not connected yet.
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
            poll: Poll::new().expect("poll failed"),
            tokens: TokenAllocator::default(),
            token: Token(0),
            inputs: VecDeque::new(),
            received: Vec::new(),
            last_was_snapshot: false,
        }
    }

    /// Returns a client that has sent its request and received the head of the response.
    pub fn connected() -> Harness {
        let mut harness = Harness::new(7);
        assert_eq!(harness.wait_for_request(), "41");
        harness.send(EVENT_STREAM_HEAD);
        harness
    }

    /// Runs a sweep. Returns whether the client has started to connect.
    pub fn sweep(&mut self) -> bool {
        let mut tokens_before = self.tokens.clone();
        self.client.sweep(self.now, self.poll.registry(), &mut self.tokens);
        let has_connected = self.tokens != tokens_before;
        if has_connected {
            self.token = tokens_before.allocate();
        }
        has_connected
    }

    /// Advances the clock in steps of a sweep until the client starts to connect. Returns the time until then.
    pub fn time_until_connect(&mut self, max: Micros) -> Micros {
        let start = self.now;
        while !self.sweep() {
            self.now = self.now + SWEEP_INTERVAL;
            assert!(self.now - start <= max, "no connection within {max:?}");
        }
        self.now - start
    }

    /// Advances the clock in steps of a sweep, and accepts the requests of the client without answering them. Returns
    /// them with the times at which they arrived.
    pub fn accept_requests(&mut self, span: Micros) -> Vec<UnansweredRequest> {
        let end = self.now + span;
        let mut requests = Vec::new();
        while self.now < end {
            if self.sweep() {
                self.accept_request();
                requests.push(self.take_unanswered_request());
            }
            self.now = self.now + SWEEP_INTERVAL;
        }
        requests
    }

    /// Returns the most recent request. The next one replaces it as `bus_stream`.
    pub fn take_unanswered_request(&mut self) -> UnansweredRequest {
        let stream = self.bus_stream.take().expect("no connection");
        UnansweredRequest { at: self.now, stream, token: self.token }
    }

    /// Sends text from the bus as the answer to an earlier request, whose connection is the most recent one from then on.
    pub fn answer(&mut self, request: UnansweredRequest, text: &str) {
        self.bus_stream = Some(request.stream);
        self.token = request.token;
        self.send(text);
    }

    /// Advances the clock, and checks that the client starts no connect.
    pub fn assert_no_connect(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            assert!(!self.sweep(), "a connection at {:?}", self.now);
            self.now = self.now + SWEEP_INTERVAL;
        }
    }

    /// Returns whether the client still has the most recent connection.
    pub fn is_connected(&self) -> bool {
        self.client.has(self.token)
    }

    /// Polls and lets the client read until a condition holds.
    pub fn run_until(&mut self, description: &str, mut holds: impl FnMut(&Harness) -> bool) {
        let (mut events, deadline) = (Events::with_capacity(8), Instant::now() + TIMEOUT);
        while !holds(self) {
            assert!(Instant::now() < deadline, "timed out waiting for: {description}");
            self.poll.poll(&mut events, Some(Duration::from_millis(100))).expect("poll failed");
            self.read_ready(&events);
        }
    }

    /// Lets the client read its connections that the poll has reported. Returns whether there were any.
    fn read_ready(&mut self, events: &Events) -> bool {
        let ready: Vec<Token> =
            events.iter().map(Event::token).filter(|token| self.client.has(*token)).collect();
        for token in &ready {
            self.read(*token);
        }
        !ready.is_empty()
    }

    fn read(&mut self, token: Token) {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        let registry = self.poll.registry();
        while self.client.handle_ready(token, self.now, &mut buffer, registry, &mut self.inputs) {}
        for input in self.inputs.drain(..) {
            let Input::Topology(topology) = input else { panic!("{input:?}") };
            self.last_was_snapshot = topology.snapshot;
            self.received.extend(topology.endpoints.into_iter().map(|endpoint| endpoint.name));
        }
    }

    /// Accepts the connection of the client and reads its request. Returns the `Last-Event-ID`.
    pub fn accept_request(&mut self) -> String {
        let (stream, _) = self.listener.accept().expect("no connection");
        stream.set_nonblocking(true).expect("cannot set socket option");
        let mut head = Vec::new();
        let mut reader = stream.try_clone().expect("clone failed");
        self.run_until("the request", |_| {
            let mut buffer = [0; 1024];
            match reader.read(&mut buffer) {
                Ok(count) => head.extend_from_slice(&buffer[..count]),
                Err(e) => assert_eq!(e.kind(), ErrorKind::WouldBlock),
            }
            head.ends_with(b"\r\n\r\n")
        });
        stream.set_nonblocking(false).expect("cannot set socket option");
        stream.set_write_timeout(Some(TIMEOUT)).expect("cannot set socket option");
        self.bus_stream = Some(stream);
        let text = String::from_utf8(head).expect("invalid UTF-8");
        assert!(text.starts_with("GET /bus/read HTTP/1.1\r\n"), "{text}");
        let last_event_id = text.lines().find_map(|line| line.strip_prefix("last-event-id: "));
        last_event_id.expect("no Last-Event-ID").to_owned()
    }

    /// Waits until the client connects and sends its request. Returns the `Last-Event-ID`.
    pub fn wait_for_request(&mut self) -> String {
        self.time_until_connect(MAX_WAIT);
        self.accept_request()
    }

    /// Sends text from the bus.
    pub fn send(&mut self, text: &str) {
        self.bus_stream.as_mut().expect("no connection").write_all(text.as_bytes()).expect("write failed");
    }

    /// Sends text from the bus, followed by a marker event, and waits until the client has handled the marker.
    pub fn send_and_sync(&mut self, text: &str, marker_offset: u64) {
        let marker = format!("marker-{marker_offset}");
        self.send(&format!("{text}{}", event(marker_offset, &marker)));
        self.wait_for_endpoint(&marker);
    }

    /// Runs until the last received endpoint has the given name.
    pub fn wait_for_endpoint(&mut self, name: &str) {
        self.run_until(name, |harness| harness.received.last().is_some_and(|last| last == name));
    }

    /// Closes the connection from the bus, and waits until the client has closed it too.
    pub fn close_by_bus(&mut self) {
        self.bus_stream.as_ref().expect("no connection").shutdown(Shutdown::Write).expect("shutdown failed");
        self.wait_for_disconnect();
    }

    /// Runs until the client has closed its connection.
    pub fn wait_for_disconnect(&mut self) {
        self.run_until("the client to disconnect", |harness| !harness.is_connected());
    }

    pub fn change_address(&mut self, addr: SocketAddr) {
        self.client.change_address(addr, self.now, self.poll.registry());
    }

    pub fn suspect(&mut self) {
        self.client.suspect(self.now);
    }

    /// Advances the clock and runs a sweep. Returns whether the client still has the same connection.
    pub fn advance(&mut self, span: Micros) -> bool {
        let token_before = self.token;
        self.now = self.now + span;
        self.sweep();
        self.client.has(token_before)
    }

    /// Waits until the poll reports received data, and lets the client read it.
    pub fn read_available(&mut self) {
        let mut events = Events::with_capacity(8);
        self.poll.poll(&mut events, Some(TIMEOUT)).expect("poll failed");
        assert!(self.read_ready(&events), "nothing to read");
    }

    /// Sends a text repeatedly from the bus, up to `max_bytes` or until the client disconnects.
    pub fn send_repeatedly(&mut self, text: &str, max_bytes: usize) {
        let block = text.repeat(READ_BUFFER_BYTES / text.len() + 1);
        for _ in 0..=max_bytes / block.len() {
            let written = self.bus_stream.as_mut().expect("no connection").write_all(block.as_bytes());
            let mut events = Events::with_capacity(8);
            self.poll.poll(&mut events, Some(Duration::ZERO)).expect("poll failed");
            self.read(self.token);
            if written.is_err() || !self.is_connected() {
                return;
            }
        }
    }

    /// Sends comments from the bus for at most `max`. Returns the time after which the client requested the events again
    /// or closed the connection, or `None`.
    pub fn send_comments(&mut self, max: Micros) -> Option<Micros> {
        let (start, stream_token) = (self.now, self.token);
        while self.now - start < max {
            if !self.advance(COMMENT_INTERVAL) || self.token != stream_token {
                return Some(self.now - start);
            }
            self.send(":\n\n");
            self.read_available();
        }
        None
    }

    /// Waits until sent data is in the receive buffer of the client, and does not let the client read it.
    pub fn wait_for_unread(&mut self) {
        let mut events = Events::with_capacity(8);
        let deadline = Instant::now() + TIMEOUT;
        while !events.iter().any(|polled| polled.is_readable() && self.client.has(polled.token())) {
            assert!(Instant::now() < deadline, "nothing arrives");
            self.poll.poll(&mut events, Some(TIMEOUT)).expect("poll failed");
        }
    }
}
