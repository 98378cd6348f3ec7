//! Fake event bus that serves the endpoint list as server-sent events.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::recorder::lock;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const RESPONSE_HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";

/// Event in its encoded form.
struct EncodedEvent {
    offset: u64,
    text: String,
}

#[derive(Default)]
struct BusState {
    events: Vec<EncodedEvent>,
    watchers: Vec<TcpStream>,
    requests: usize,
}

/// Fake event bus.
#[derive(Clone)]
pub struct EventBus {
    pub addr: SocketAddr,
    state: Arc<Mutex<BusState>>,
}

impl EventBus {
    pub fn start() -> EventBus {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
        let addr = listener.local_addr().expect("socket address");
        let state = Arc::new(Mutex::new(BusState::default()));
        let served = Arc::clone(&state);
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let shared = Arc::clone(&served);
                thread::spawn(move || serve_watcher(stream, &shared));
            }
        });
        let weak = Arc::downgrade(&state);
        thread::spawn(move || {
            while let Some(shared) = weak.upgrade() {
                lock(&shared).watchers.retain_mut(|stream| stream.write_all(b":\n\n").is_ok());
                drop(shared);
                thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
        EventBus { addr, state }
    }

    /// Number of requests for events that the bus has received.
    pub fn request_count(&self) -> usize {
        lock(&self.state).requests
    }

    /// Sends an event to all current and future watchers.
    pub fn publish(&self, offset: u64, snapshot: bool, endpoints: &[Value]) {
        let text = format!("id: {offset}\ndata: {}\n\n", topology_event(offset, snapshot, endpoints));
        let mut state = lock(&self.state);
        state.watchers.retain_mut(|stream| stream.write_all(text.as_bytes()).is_ok());
        state.events.push(EncodedEvent { offset, text });
    }

    /// Closes the connections of all watchers.
    pub fn disconnect_all(&self) {
        for stream in lock(&self.state).watchers.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Returns an event with an endpoint list, which is complete if `snapshot` is set and a change otherwise.
pub fn topology_event(offset: u64, snapshot: bool, endpoints: &[Value]) -> Value {
    json!({"offset": offset, "topology": {"index": offset, "snapshot": snapshot, "endpoints": endpoints}})
}

/// Answers a request with the events after its `Last-Event-ID`, and adds the connection to the watchers.
fn serve_watcher(mut stream: TcpStream, state: &Mutex<BusState>) -> io::Result<()> {
    stream.set_read_timeout(Some(REQUEST_TIMEOUT))?;
    let mut lines = BufReader::new(&stream);
    let mut line = String::new();
    let mut last_event_id = 0;
    // The request ends with an empty line, which has CR and LF only.
    while lines.read_line(&mut line)? > 2 {
        if let Some((_, value)) = line.to_ascii_lowercase().split_once("last-event-id:") {
            last_event_id = value.trim().parse().unwrap_or(0);
        }
        line.clear();
    }
    stream.write_all(RESPONSE_HEAD)?;
    let mut state = lock(state);
    for event in state.events.iter().filter(|event| event.offset > last_event_id) {
        stream.write_all(event.text.as_bytes())?;
    }
    state.requests += 1;
    state.watchers.push(stream);
    Ok(())
}
