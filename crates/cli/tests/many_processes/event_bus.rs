//! A fake event bus: it serves the list of media servers as server-sent events.

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

/// An event as it is sent.
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

/// A fake event bus.
#[derive(Clone)]
pub struct EventBus {
    pub addr: SocketAddr,
    state: Arc<Mutex<BusState>>,
}

impl EventBus {
    pub fn start() -> EventBus {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
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

    /// How many requests for events it has got.
    pub fn request_count(&self) -> usize {
        lock(&self.state).requests
    }

    /// Sends an event to all watchers, and to all that come later.
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

/// An event with a list of media servers: a complete one, or a change.
pub fn topology_event(offset: u64, snapshot: bool, endpoints: &[Value]) -> Value {
    json!({"offset": offset, "topology": {"index": offset, "snapshot": snapshot, "endpoints": endpoints}})
}

/// Answers one request: the events after the last that it names, and from then on each that is published.
fn serve_watcher(mut stream: TcpStream, state: &Mutex<BusState>) -> io::Result<()> {
    stream.set_read_timeout(Some(REQUEST_TIMEOUT))?;
    let mut lines = BufReader::new(&stream);
    let mut line = String::new();
    let mut last_event_id = 0;
    // An empty line, of CR and LF alone, ends the request.
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
