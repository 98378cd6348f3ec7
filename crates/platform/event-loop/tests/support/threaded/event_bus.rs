//! Fake event bus that sends a comment twice a second, and may begin its responses late.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::Value;

use crate::support::messages::{EVENT_STREAM_HEAD, topology_event};

const COMMENT_INTERVAL: Duration = Duration::from_millis(500);

/// Number of comments, which last for two minutes and thus longer than any test.
const MAX_COMMENTS: usize = 240;

/// Encoded event.
struct SentEvent {
    offset: u64,
    text: String,
}

#[derive(Default)]
struct Shared {
    requested_ids: Mutex<Vec<String>>,
    connections: Mutex<Vec<TcpStream>>,
    events: Mutex<Vec<SentEvent>>,
}

/// Fake event bus.
pub struct FakeEventBus {
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl FakeEventBus {
    pub fn start() -> FakeEventBus {
        FakeEventBus::start_slow(Duration::ZERO)
    }

    /// Starts an event bus that begins each response this time after the request.
    pub fn start_slow(response_time: Duration) -> FakeEventBus {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind failed");
        let addr = listener.local_addr().expect("no address");
        let shared = Arc::new(Shared::default());
        let (listener_shared, comments_shared) = (Arc::clone(&shared), Arc::clone(&shared));
        thread::spawn(move || accept_requests(&listener, response_time, &listener_shared));
        thread::spawn(move || send_comments(&comments_shared));
        FakeEventBus { addr, shared }
    }

    /// Returns the `Last-Event-ID` of each request that was answered so far.
    pub fn requested_ids(&self) -> Vec<String> {
        self.shared.requested_ids.lock().expect("lock poisoned").clone()
    }

    /// Sends bytes on all connections.
    pub fn send_bytes(&self, bytes: &[u8]) {
        let mut connections = self.shared.connections.lock().expect("lock poisoned");
        connections.retain_mut(|stream| stream.write_all(bytes).is_ok());
        assert!(!connections.is_empty(), "no connection to the event bus");
    }

    /// Sends an event on all connections.
    pub fn send_event(&self, offset: u64, snapshot: bool, endpoints: &[Value]) {
        self.send_bytes(topology_event(offset, snapshot, endpoints).as_bytes());
    }

    /// Adds an event that is a part of all further responses to requests after an earlier one.
    pub fn add_event(&self, offset: u64, snapshot: bool, endpoints: &[Value]) {
        let text = topology_event(offset, snapshot, endpoints);
        self.shared.events.lock().expect("lock poisoned").push(SentEvent { offset, text });
    }

    /// Closes all connections.
    pub fn disconnect(&self) {
        for stream in self.shared.connections.lock().expect("lock poisoned").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn accept_requests(listener: &TcpListener, response_time: Duration, shared: &Arc<Shared>) {
    for stream in listener.incoming() {
        let Ok(stream) = stream else { return };
        let last_event_id = read_request(&stream);
        let shared = Arc::clone(shared);
        if response_time.is_zero() {
            respond(stream, last_event_id, &shared);
        } else {
            thread::spawn(move || {
                thread::sleep(response_time);
                respond(stream, last_event_id, &shared);
            });
        }
    }
}

fn respond(mut stream: TcpStream, last_event_id: String, shared: &Shared) {
    let _ = stream.write_all(EVENT_STREAM_HEAD.as_bytes());
    let last_offset = last_event_id.parse().unwrap_or(0);
    for event in shared.events.lock().expect("lock poisoned").iter().filter(|e| e.offset > last_offset) {
        let _ = stream.write_all(event.text.as_bytes());
    }
    shared.requested_ids.lock().expect("lock poisoned").push(last_event_id);
    shared.connections.lock().expect("lock poisoned").push(stream);
}

/// Reads the head of a request and returns its `Last-Event-ID`.
fn read_request(stream: &TcpStream) -> String {
    let mut reader = BufReader::new(stream.try_clone().expect("clone failed"));
    let (mut line, mut last_event_id) = (String::new(), String::new());
    while reader.read_line(&mut line).unwrap_or(0) > 2 {
        if let Some((_, value)) = line.to_ascii_lowercase().split_once("last-event-id:") {
            value.trim().clone_into(&mut last_event_id);
        }
        line.clear();
    }
    last_event_id
}

fn send_comments(shared: &Shared) {
    for _ in 0..MAX_COMMENTS {
        thread::sleep(COMMENT_INTERVAL);
        let mut connections = shared.connections.lock().expect("lock poisoned");
        connections.retain_mut(|stream| stream.write_all(b":\n\n").is_ok());
    }
}
