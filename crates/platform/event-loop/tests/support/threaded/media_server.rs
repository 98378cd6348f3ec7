//! Fake media server with a configurable behavior.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::support::configuration::{endpoint, server_name};
use crate::support::messages::accept_line;

/// Response of a fake media server to set-ups.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerBehavior {
    /// Accepts the set-up.
    Accept,
    /// Sends no answer, and keeps the connection open.
    Silent,
    /// Refuses the set-up because of a lack of capacity.
    Full,
    /// Refuses the set-up because of an error.
    Error,
    /// Sends a malformed line.
    MalformedLine,
    /// Sends a line without an end.
    EndlessLine,
    /// Sends an answer with an unknown id, then the correct answer twice.
    DuplicateAnswers,
    /// Resets the connection once the set-up is read.
    Reset,
    /// Sends a part of the answer and closes the connection.
    TruncatedAnswer,
    /// Sends an answer without an end that declares a huge length.
    HugeAnswer,
}

struct Shared {
    behavior: Mutex<ServerBehavior>,
    /// Received lines in the order of arrival.
    received: Mutex<Vec<Value>>,
    connections: Mutex<Vec<TcpStream>>,
    closed: AtomicBool,
    accepted: AtomicUsize,
}

/// Fake media server.
pub struct FakeMediaServer {
    pub name: String,
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl FakeMediaServer {
    pub fn start(number: usize, behavior: ServerBehavior) -> FakeMediaServer {
        FakeMediaServer::on(number, behavior, TcpListener::bind("127.0.0.1:0").expect("bind failed"))
    }

    /// Starts a media server on a given address.
    pub fn start_at(number: usize, behavior: ServerBehavior, addr: SocketAddr) -> FakeMediaServer {
        FakeMediaServer::on(number, behavior, TcpListener::bind(addr).expect("bind failed"))
    }

    fn on(number: usize, behavior: ServerBehavior, listener: TcpListener) -> FakeMediaServer {
        let addr = listener.local_addr().expect("no address");
        let shared = Arc::new(Shared {
            behavior: Mutex::new(behavior),
            received: Mutex::default(),
            connections: Mutex::default(),
            closed: AtomicBool::new(false),
            accepted: AtomicUsize::new(0),
        });
        let listener_shared = Arc::clone(&shared);
        thread::spawn(move || accept_connections(&listener, &listener_shared));
        FakeMediaServer { name: server_name(number), addr, shared }
    }

    pub fn set_behavior(&self, behavior: ServerBehavior) {
        *self.shared.behavior.lock().expect("lock poisoned") = behavior;
    }

    /// Returns the lines of a type that have arrived.
    pub fn received(&self, op: &str) -> Vec<Value> {
        let lines = self.shared.received.lock().expect("lock poisoned");
        lines.iter().filter(|line| line["op"] == op).cloned().collect()
    }

    /// Returns the number of accepted connections.
    pub fn accepted_connections(&self) -> usize {
        self.shared.accepted.load(Ordering::SeqCst)
    }

    /// Sends a line on the most recent connection.
    pub fn send(&self, line: &Value) {
        let mut connections = self.shared.connections.lock().expect("lock poisoned");
        let newest = connections.last_mut().expect("no connection");
        newest.write_all(format!("{line}\n").as_bytes()).expect("write failed");
    }

    /// Simulates a crash of the process: closes the listener and resets all connections.
    pub fn crash(&self) {
        self.shared.closed.store(true, Ordering::SeqCst);
        // Wakes the thread of the listener.
        let _ = TcpStream::connect(self.addr);
        for stream in self.shared.connections.lock().expect("lock poisoned").drain(..) {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns the entry of this media server in the endpoint list.
    pub fn endpoint(&self, group: usize, status: &str) -> Value {
        endpoint(&self.name, self.addr, group, status)
    }
}

fn accept_connections(listener: &TcpListener, shared: &Arc<Shared>) {
    for stream in listener.incoming() {
        if shared.closed.load(Ordering::SeqCst) {
            return;
        }
        let Ok(stream) = stream else { return };
        shared.accepted.fetch_add(1, Ordering::SeqCst);
        shared.connections.lock().expect("lock poisoned").extend(stream.try_clone());
        let connection_shared = Arc::clone(shared);
        thread::spawn(move || {
            let duplicate = stream.try_clone();
            serve(stream, &connection_shared);
            if let Ok(open) = duplicate {
                let _ = open.shutdown(Shutdown::Both);
            }
        });
    }
}

/// Serves a connection. Returns `None` if the behavior or an error ends it before the peer closes it.
fn serve(mut stream: TcpStream, shared: &Shared) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut text = String::new();
    while reader.read_line(&mut text).ok()? > 0 {
        let line: Value = serde_json::from_str(&text).expect("malformed line from the front node");
        text.clear();
        let call = line["call"].as_str().unwrap_or_default().to_owned();
        let is_offer = line["op"] == "offer";
        shared.received.lock().expect("lock poisoned").push(line);
        if is_offer {
            let behavior = *shared.behavior.lock().expect("lock poisoned");
            answer(&mut stream, behavior, &call)?;
        }
    }
    Some(())
}

/// Answers a set-up. Returns `None` if the connection has to be closed.
fn answer(stream: &mut TcpStream, behavior: ServerBehavior, call: &str) -> Option<()> {
    match behavior {
        ServerBehavior::Accept => send(stream, &accept(call)),
        ServerBehavior::Silent => Some(()),
        ServerBehavior::Full => {
            let load = json!({"load": "utilization:0.5"});
            send(stream, &json!({"op": "end", "call": call, "with": load, "why": 34}))
        }
        ServerBehavior::Error => send(stream, &json!({"op": "end", "call": call, "with": {}, "why": 47})),
        ServerBehavior::MalformedLine => stream.write_all(b"\xff\xfe{]\n").ok(),
        ServerBehavior::EndlessLine => (0..100).try_for_each(|_| stream.write_all(&[b'{'; 1000]).ok()),
        ServerBehavior::DuplicateAnswers => {
            send(stream, &accept("00000000000000ff"))?;
            send(stream, &accept(call))?;
            send(stream, &accept(call))
        }
        ServerBehavior::Reset => {
            let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
            None
        }
        ServerBehavior::TruncatedAnswer => {
            stream.write_all(br#"{"op":"accept","call":"0000"#).ok()?;
            None
        }
        ServerBehavior::HugeAnswer => {
            stream.write_all(br#"{"op":"accept","length":3000000000,"desc":""#).ok()?;
            (0..10_000).try_for_each(|_| stream.write_all(&[b'x'; 1000]).ok())
        }
    }
}

fn accept(call: &str) -> Value {
    accept_line(call, &format!("answer-{call}\r\nc=IN IP4 10.1.2.3\r\n"))
}

fn send(stream: &mut TcpStream, line: &Value) -> Option<()> {
    stream.write_all(format!("{line}\n").as_bytes()).ok()
}
