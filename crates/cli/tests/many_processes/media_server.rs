//! Fake media servers: each accepts connections of front nodes, handles a set-up by the behavior in its id, and records what it
//! received and how it ended.

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

/// Time that a slow media server takes to answer.
const SLOW_ANSWER_DELAY: Duration = Duration::from_millis(400);
/// Duration of an accepted session.
const SESSION_DURATION: Duration = Duration::from_millis(200);
/// Time from a client's departure to the error of the media server that has its set-up.
pub const ERROR_DELAY: Duration = Duration::from_millis(300);
/// Maximum time that a media server waits for a departure.
const MAX_DEPARTURE_WAIT: Duration = Duration::from_secs(8);
const DEPARTURE_POLL_INTERVAL: Duration = Duration::from_millis(5);
const REBIND_TIMEOUT: Duration = Duration::from_secs(10);
const REBIND_INTERVAL: Duration = Duration::from_millis(5);
const READ_BUFFER_BYTES: usize = 4096;

const CAUSE_NORMAL: u8 = 16;
const CAUSE_RESOURCE_UNAVAILABLE: u8 = 47;

/// How a media server ends its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutKind {
    /// Reset.
    Reset,
    /// Orderly close.
    Close,
}

/// Makes a later close of the stream send a reset.
pub fn reset_on_close(stream: &TcpStream) {
    let _ = set_socket_linger(stream, Some(Duration::ZERO));
}

/// Returns the unique answer of a media server for a session.
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

/// State that the threads of a media server share.
struct ServerState {
    number: usize,
    recorder: Recorder,
    connections: Mutex<Vec<Arc<Connection>>>,
    /// Releases that could not be sent because there was no connection.
    unsent_releases: Mutex<Vec<String>>,
}

impl ServerState {
    /// Records that the media server ends an attempt. Returns whether the attempt was pending on this connection.
    fn end_attempt(&self, id: u64, connection: &Connection) -> bool {
        let attempts = &self.recorder.attempts;
        let order = attempts.sockets.mark();
        let was_pending = attempts.end(id, connection.number, AttemptEnd::ByServer { order });
        if was_pending {
            self.recorder.record(EventKind::AttemptEnded { server: self.number, id });
        }
        was_pending
    }

    /// Records that the front node abandoned an attempt.
    fn abandon_attempt(&self, id: u64, connection: &Connection, end: AttemptEnd) {
        if self.recorder.attempts.end(id, connection.number, end) {
            self.recorder.record(EventKind::AttemptAbandoned { server: self.number, id });
        }
    }

    fn send_error(&self, id: u64, connection: &Connection) {
        // The error is sent even if the front node has just abandoned the attempt, because a real media server's error may cross the
        // abandonment.
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

    /// Closes or resets a connection. Its pending attempts are recorded as ended before that.
    fn cut(&self, connection: &Connection, kind: CutKind) {
        for id in self.recorder.attempts.pending_on(connection.number) {
            self.end_attempt(id, connection);
        }
        match kind {
            CutKind::Reset => {
                reset_on_close(&connection.stream);
                // The close sends the reset, but the reading thread still holds the socket. Shutting the read side down wakes that
                // thread, so that it drops the socket.
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
        // Position in the connection's bytes at which the last complete line ended.
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
            Some("end") => self.abandon_attempt(id, connection, AttemptEnd::Abandoned { position }),
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
            for id in state.recorder.attempts.pending_on(connection.number) {
                state.abandon_attempt(id, &connection, AttemptEnd::ConnectionEnded);
            }
            lock(&state.connections).retain(|other| other.number != connection.number);
        });
    }
}

/// Fake media server.
pub struct MediaServer {
    pub number: usize,
    pub name: String,
    pub addr: SocketAddr,
    /// Start time in the endpoint list, or 0.
    pub since_ms: u64,
    state: Arc<ServerState>,
}

impl MediaServer {
    pub fn start(number: usize, recorder: &Recorder) -> MediaServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
        MediaServer::start_on(number, recorder, listener)
    }

    fn start_on(number: usize, recorder: &Recorder, listener: TcpListener) -> MediaServer {
        let addr = listener.local_addr().expect("socket address");
        let state = Arc::new(ServerState {
            number,
            recorder: recorder.clone(),
            connections: Mutex::default(),
            unsent_releases: Mutex::default(),
        });
        let wake_listener = listener.try_clone().expect("clone the listener");
        let (served, sockets) = (Arc::clone(&state), Arc::clone(&recorder.attempts.sockets));
        sockets.listen(number, listener, move |connection| served.serve(connection)).expect("listen");
        thread::spawn(move || {
            while sockets.accept(number) {
                let _ = poll(&mut [PollFd::new(&wake_listener, PollFlags::IN)], None);
            }
        });
        MediaServer { number, name: format!("s-{number:08x}"), addr, since_ms: 0, state }
    }

    /// Closes or resets all connections.
    pub fn cut_all(&self, kind: CutKind) {
        let connections: Vec<_> = lock(&self.state.connections).drain(..).collect();
        for connection in &connections {
            self.state.cut(connection, kind);
        }
    }

    /// Stops the media server and starts another one at its address under another name and number.
    pub fn restart_as(self, number: usize, recorder: &Recorder) -> MediaServer {
        recorder.attempts.sockets.stop_listening(self.number);
        self.cut_all(CutKind::Reset);
        let deadline = Instant::now() + REBIND_TIMEOUT;
        let listener = loop {
            match TcpListener::bind(self.addr) {
                Ok(listener) => break listener,
                Err(error) => assert!(Instant::now() < deadline, "the port can't be bound again: {error}"),
            }
            thread::sleep(REBIND_INTERVAL);
        };
        MediaServer::start_on(number, recorder, listener)
    }

    /// Returns the media server's entry in the endpoint list.
    pub fn endpoint(&self, status: &str) -> Value {
        json!({"name": self.name, "address": self.addr.to_string(), "zone": "a", "type": "small", "group": self.number % 4,
            "status": status, "weight": 1, "since_ms": self.since_ms})
    }
}
