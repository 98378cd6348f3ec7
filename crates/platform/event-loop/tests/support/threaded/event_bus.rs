//! A fake event bus that sends a comment twice a second.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::Value;

use crate::support::messages::{EVENT_STREAM_HEAD, topology_event};

const COMMENT_INTERVAL: Duration = Duration::from_millis(500);

/// Comments are sent for two minutes, longer than any test lasts.
const MAX_COMMENTS: usize = 240;

#[derive(Default)]
struct Shared {
    requested_ids: Mutex<Vec<String>>,
    connections: Mutex<Vec<TcpStream>>,
}

/// A fake event bus.
pub struct FakeEventBus {
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl FakeEventBus {
    pub fn start() -> FakeEventBus {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared::default());
        let (of_listener, of_comments) = (Arc::clone(&shared), Arc::clone(&shared));
        thread::spawn(move || accept_requests(&listener, &of_listener));
        thread::spawn(move || send_comments(&of_comments));
        FakeEventBus { addr, shared }
    }

    /// The `Last-Event-ID` of each request so far.
    pub fn requested_ids(&self) -> Vec<String> {
        self.shared.requested_ids.lock().expect("unpoisoned").clone()
    }

    /// Sends bytes on all connections.
    pub fn send_bytes(&self, bytes: &[u8]) {
        let mut connections = self.shared.connections.lock().expect("unpoisoned");
        connections.retain_mut(|stream| stream.write_all(bytes).is_ok());
        assert!(!connections.is_empty(), "no connection to the event bus");
    }

    /// Sends an event on all connections.
    pub fn send_event(&self, offset: u64, snapshot: bool, endpoints: &[Value]) {
        self.send_bytes(topology_event(offset, snapshot, endpoints).as_bytes());
    }

    /// Closes all connections.
    pub fn disconnect(&self) {
        for stream in self.shared.connections.lock().expect("unpoisoned").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn accept_requests(listener: &TcpListener, shared: &Shared) {
    for stream in listener.incoming() {
        let Ok(mut stream) = stream else { return };
        let last_event_id = read_request(&stream);
        let _ = stream.write_all(EVENT_STREAM_HEAD.as_bytes());
        shared.requested_ids.lock().expect("unpoisoned").push(last_event_id);
        shared.connections.lock().expect("unpoisoned").push(stream);
    }
}

/// Reads a request's head; its `Last-Event-ID`.
fn read_request(stream: &TcpStream) -> String {
    let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
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
        let mut connections = shared.connections.lock().expect("unpoisoned");
        connections.retain_mut(|stream| stream.write_all(b":\n\n").is_ok());
    }
}
