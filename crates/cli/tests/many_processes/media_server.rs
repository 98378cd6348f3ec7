//! Fake media servers: each accepts the front nodes' connections, does with a set-up what its id tells, and records what
//! it received and how it ended.

use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, poll};
use rustix::net::sockopt::set_socket_linger;
use serde_json::{Value, json};

use crate::attempts::AttemptEnd;
use crate::behavior::{Behavior, behavior_of, node_of};
use crate::recorder::{EventKind, Recorder, lock};
use crate::sockets::Connection;

/// How long a slow media server takes to answer.
const SLOW_ANSWER_DELAY: Duration = Duration::from_millis(400);
/// How long an accepted session lasts.
const SESSION_DURATION: Duration = Duration::from_millis(200);
/// From a client's departure to the error of the media server that has its set-up.
pub const ERROR_DELAY: Duration = Duration::from_millis(300);
/// How long a media server waits for a departure at most.
const MAX_DEPARTURE_WAIT: Duration = Duration::from_secs(8);
const DEPARTURE_POLL_INTERVAL: Duration = Duration::from_millis(5);
const REBIND_TIMEOUT: Duration = Duration::from_secs(10);
const REBIND_INTERVAL: Duration = Duration::from_millis(5);
const READ_BUFFER_BYTES: usize = 4096;

const CAUSE_NORMAL: u8 = 16;
const CAUSE_RESOURCE_UNAVAILABLE: u8 = 47;

/// How the media server ends its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutKind {
    /// By a reset.
    Reset,
    /// By an orderly close.
    Close,
}

/// Has a connection end by a reset once it is closed.
pub fn reset_on_close(stream: &TcpStream) {
    let _ = set_socket_linger(stream, Some(Duration::ZERO));
}

/// What a media server gives for a session, and nobody else does.
pub fn description(id: u64) -> String {
    format!("answer-{id:016x}\r\nc=IN IP4 10.1.2.3\r\n")
}

fn encode(op: &str, id: u64, fields: Value) -> String {
    let mut message = json!({"op": op, "call": format!("{id:016x}"), "with": {}});
    if let (Some(message), Value::Object(fields)) = (message.as_object_mut(), fields) {
        message.extend(fields);
    }
    format!("{message}\n")
}

fn send(connection: &Connection, message: &str) -> io::Result<()> {
    (&connection.stream).write_all(message.as_bytes())
}

/// What the threads of a media server share.
struct ServerState {
    number: usize,
    recorder: Recorder,
    connections: Mutex<Vec<Arc<Connection>>>,
    /// Releases for which there was no connection.
    unsent_releases: Mutex<Vec<String>>,
}

impl ServerState {
    /// Records that the media server ends an attempt; whether it was still out on this connection.
    fn end_attempt(&self, id: u64, connection: &Connection) -> bool {
        let attempts = &self.recorder.attempts;
        let order = attempts.sockets.mark();
        let was_out = attempts.end(id, connection.number, AttemptEnd::ByServer { order });
        if was_out {
            self.recorder.record(EventKind::AttemptEnded { server: self.number, id });
        }
        was_out
    }

    /// Records that the front node gave an attempt up.
    fn abandon_attempt(&self, id: u64, connection: &Connection, end: AttemptEnd) {
        if self.recorder.attempts.end(id, connection.number, end) {
            self.recorder.record(EventKind::AttemptAbandoned { server: self.number, id });
        }
    }

    fn send_error(&self, id: u64, connection: &Connection) {
        // Also where the front node gave it up an instant before, as a real media server's error may cross that.
        self.end_attempt(id, connection);
        let _ = send(connection, &encode("end", id, json!({"why": CAUSE_RESOURCE_UNAVAILABLE})));
    }

    fn accept(self: &Arc<Self>, id: u64, connection: &Arc<Connection>) {
        if !self.end_attempt(id, connection) {
            return;
        }
        let _ = send(connection, &encode("accept", id, json!({"desc": description(id)})));
        let (state, connection) = (Arc::clone(self), Arc::downgrade(connection));
        thread::spawn(move || {
            thread::sleep(SESSION_DURATION);
            let release = encode("end", id, json!({"why": CAUSE_NORMAL}));
            if connection.upgrade().is_none_or(|connection| send(&connection, &release).is_err()) {
                lock(&state.unsent_releases).push(release);
            }
        });
    }

    /// Cuts a connection. What is out on it has ended right before.
    fn cut(&self, connection: &Connection, kind: CutKind) {
        for id in self.recorder.attempts.out_on(connection.number) {
            self.end_attempt(id, connection);
        }
        match kind {
            CutKind::Reset => {
                reset_on_close(&connection.stream);
                // The reset is sent by the close, and the thread that reads holds the socket: this wakes it, so that it
                // lets go.
                let _ = connection.stream.shutdown(Shutdown::Read);
            }
            CutKind::Close => {
                let _ = connection.stream.shutdown(Shutdown::Both);
            }
        }
    }

    fn on_set_up(self: &Arc<Self>, id: u64, connection: &Arc<Connection>) {
        let is_retry = self.recorder.has_reached_a_server(id);
        let received_at = self.recorder.now();
        self.recorder.attempts.begin(self.number, id, node_of(id), connection);
        self.recorder.record_at(received_at, EventKind::AttemptReceived { server: self.number, id });
        match behavior_of(id) {
            Behavior::ErrorOnce if !is_retry => self.send_error(id, connection),
            Behavior::ResetOnce if !is_retry => self.cut(connection, CutKind::Reset),
            Behavior::CloseOnce if !is_retry => self.cut(connection, CutKind::Close),
            Behavior::Silent => {}
            Behavior::Slow => self.accept_later(id, connection),
            Behavior::ErrorAfterDeparture if !is_retry => self.send_error_after_departure(id, connection),
            _ => self.accept(id, connection),
        }
    }

    fn accept_later(self: &Arc<Self>, id: u64, connection: &Arc<Connection>) {
        let (state, connection) = (Arc::clone(self), Arc::downgrade(connection));
        thread::spawn(move || {
            thread::sleep(SLOW_ANSWER_DELAY);
            if let Some(connection) = connection.upgrade() {
                state.accept(id, &connection);
            }
        });
    }

    fn send_error_after_departure(self: &Arc<Self>, id: u64, connection: &Arc<Connection>) {
        let (state, connection) = (Arc::clone(self), Arc::downgrade(connection));
        thread::spawn(move || {
            let deadline = Instant::now() + MAX_DEPARTURE_WAIT;
            while state.recorder.departed_at(id).is_none() && Instant::now() < deadline {
                thread::sleep(DEPARTURE_POLL_INTERVAL);
            }
            thread::sleep(ERROR_DELAY);
            if let Some(connection) = connection.upgrade() {
                state.send_error(id, &connection);
            }
        });
    }

    /// Reads messages until the connection ends or one is malformed.
    fn read_messages(self: &Arc<Self>, connection: &Arc<Connection>) -> Option<()> {
        let mut unparsed = Vec::new();
        let mut buffer = [0; READ_BUFFER_BYTES];
        // Where in the connection's bytes the last complete line ended.
        let mut position = 0;
        loop {
            let count = connection.read(&mut buffer).ok().filter(|count| *count > 0)?;
            unparsed.extend_from_slice(&buffer[..count]);
            while let Some(end) = unparsed.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = unparsed.drain(..=end).collect();
                position += line.len() as u64;
                self.on_message(&serde_json::from_slice(&line).ok()?, connection, position)?;
            }
        }
    }

    fn on_message(
        self: &Arc<Self>,
        message: &Value,
        connection: &Arc<Connection>,
        position: u64,
    ) -> Option<()> {
        let id = message["call"].as_str().and_then(|call| u64::from_str_radix(call, 16).ok()).unwrap_or(0);
        match message["op"].as_str() {
            Some("offer") => self.on_set_up(id, connection),
            Some("end") => self.abandon_attempt(id, connection, AttemptEnd::GivenUp { position }),
            Some("test") => {
                let result = json!({"why": 1, "with": {"load": "utilization:0.1;x1:1"}});
                send(connection, &encode("tested", id, result)).ok()?;
            }
            _ => {}
        }
        Some(())
    }

    /// Serves a new connection until it ends.
    fn serve(self: &Arc<Self>, connection: Arc<Connection>) {
        for release in lock(&self.unsent_releases).drain(..) {
            let _ = send(&connection, &release);
        }
        lock(&self.connections).push(Arc::clone(&connection));
        let state = Arc::clone(self);
        thread::spawn(move || {
            state.read_messages(&connection);
            for id in state.recorder.attempts.out_on(connection.number) {
                state.abandon_attempt(id, &connection, AttemptEnd::ConnectionEnded);
            }
            lock(&state.connections).retain(|other| other.number != connection.number);
        });
    }
}

/// A fake media server.
pub struct MediaServer {
    pub number: usize,
    pub name: String,
    pub addr: SocketAddr,
    /// When it was started, as the list has it, or 0.
    pub since_ms: u64,
    state: Arc<ServerState>,
}

impl MediaServer {
    pub fn start(number: usize, recorder: &Recorder) -> MediaServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        MediaServer::start_on(number, recorder, listener)
    }

    fn start_on(number: usize, recorder: &Recorder, listener: TcpListener) -> MediaServer {
        let addr = listener.local_addr().expect("an address");
        let state = Arc::new(ServerState {
            number,
            recorder: recorder.clone(),
            connections: Mutex::default(),
            unsent_releases: Mutex::default(),
        });
        let wakes = listener.try_clone().expect("a descriptor");
        let (served, sockets) = (Arc::clone(&state), Arc::clone(&recorder.attempts.sockets));
        sockets.listen(number, listener, move |connection| served.serve(connection)).expect("it listens");
        thread::spawn(move || {
            while sockets.accept(number) {
                let _ = poll(&mut [PollFd::new(&wakes, PollFlags::IN)], None);
            }
        });
        MediaServer { number, name: format!("s-{number:08x}"), addr, since_ms: 0, state }
    }

    /// Cuts all connections.
    pub fn cut_all(&self, kind: CutKind) {
        let connections: Vec<_> = lock(&self.state.connections).drain(..).collect();
        for connection in &connections {
            self.state.cut(connection, kind);
        }
    }

    /// Its process dies, and another starts at its address under another name and number.
    pub fn restart_as(self, number: usize, recorder: &Recorder) -> MediaServer {
        recorder.attempts.sockets.stop_listening(self.number);
        self.cut_all(CutKind::Reset);
        let deadline = Instant::now() + REBIND_TIMEOUT;
        let listener = loop {
            match TcpListener::bind(self.addr) {
                Ok(listener) => break listener,
                Err(error) => assert!(Instant::now() < deadline, "the port stays taken: {error}"),
            }
            thread::sleep(REBIND_INTERVAL);
        };
        MediaServer::start_on(number, recorder, listener)
    }

    /// Its entry in the list of media servers.
    pub fn endpoint(&self, status: &str) -> Value {
        json!({"name": self.name, "address": self.addr.to_string(), "zone": "a", "type": "small", "group": self.number % 4,
            "status": status, "weight": 1, "since_ms": self.since_ms})
    }
}
