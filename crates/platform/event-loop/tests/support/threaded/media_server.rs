//! A fake media server with a behavior.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::support::configuration::{endpoint, server_name};
use crate::support::messages::accept_line;

/// What a fake media server does with set-ups.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerBehavior {
    Accept,
    /// No answer, and the connection stays open.
    Silent,
    /// A refusal for want of capacity.
    Full,
    /// A refusal for an error.
    Error,
    /// A line that can't be read.
    MalformedLine,
    /// A line that never ends.
    EndlessLine,
    /// An answer with an unknown id, then the right one twice.
    DuplicateAnswers,
    /// A reset of the connection once the set-up is read.
    Reset,
    /// A part of the answer, then the end of the connection.
    TruncatedAnswer,
    /// An answer that never ends and declares a huge length.
    HugeAnswer,
}

struct Shared {
    behavior: Mutex<ServerBehavior>,
    /// Received lines, in order.
    received: Mutex<Vec<Value>>,
    connections: Mutex<Vec<TcpStream>>,
    closed: AtomicBool,
    accepted: AtomicUsize,
}

/// A fake media server.
pub struct FakeMediaServer {
    pub name: String,
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl FakeMediaServer {
    pub fn start(number: usize, behavior: ServerBehavior) -> FakeMediaServer {
        FakeMediaServer::on(number, behavior, TcpListener::bind("127.0.0.1:0").expect("a port"))
    }

    /// Starts at an address.
    pub fn start_at(number: usize, behavior: ServerBehavior, addr: SocketAddr) -> FakeMediaServer {
        FakeMediaServer::on(number, behavior, TcpListener::bind(addr).expect("the port"))
    }

    fn on(number: usize, behavior: ServerBehavior, listener: TcpListener) -> FakeMediaServer {
        let addr = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            behavior: Mutex::new(behavior),
            received: Mutex::default(),
            connections: Mutex::default(),
            closed: AtomicBool::new(false),
            accepted: AtomicUsize::new(0),
        });
        let of_listener = Arc::clone(&shared);
        thread::spawn(move || accept_connections(&listener, &of_listener));
        FakeMediaServer { name: server_name(number), addr, shared }
    }

    pub fn set_behavior(&self, behavior: ServerBehavior) {
        *self.shared.behavior.lock().expect("unpoisoned") = behavior;
    }

    /// The lines of a type that have come so far.
    pub fn received(&self, op: &str) -> Vec<Value> {
        let lines = self.shared.received.lock().expect("unpoisoned");
        lines.iter().filter(|line| line["op"] == op).cloned().collect()
    }

    /// How many connections it has accepted.
    pub fn accepted_connections(&self) -> usize {
        self.shared.accepted.load(Ordering::SeqCst)
    }

    /// Sends a line on the newest connection.
    pub fn send(&self, line: &Value) {
        let mut connections = self.shared.connections.lock().expect("unpoisoned");
        let newest = connections.last_mut().expect("a connection");
        newest.write_all(format!("{line}\n").as_bytes()).expect("written");
    }

    /// The process dies: nothing listens, connections are reset.
    pub fn crash(&self) {
        self.shared.closed.store(true, Ordering::SeqCst);
        // Wakes the listener's thread.
        let _ = TcpStream::connect(self.addr);
        for stream in self.shared.connections.lock().expect("unpoisoned").drain(..) {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Its line of the list.
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
        shared.connections.lock().expect("unpoisoned").extend(stream.try_clone());
        let of_connection = Arc::clone(shared);
        thread::spawn(move || {
            let duplicate = stream.try_clone();
            serve(stream, &of_connection);
            if let Ok(open) = duplicate {
                let _ = open.shutdown(Shutdown::Both);
            }
        });
    }
}

/// Serves a connection until it ends or the behavior ends it; `None` then.
fn serve(mut stream: TcpStream, shared: &Shared) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut text = String::new();
    while reader.read_line(&mut text).ok()? > 0 {
        let line: Value = serde_json::from_str(&text).expect("a front node sends JSON");
        text.clear();
        let call = line["call"].as_str().unwrap_or_default().to_owned();
        let is_offer = line["op"] == "offer";
        shared.received.lock().expect("unpoisoned").push(line);
        if is_offer {
            let behavior = *shared.behavior.lock().expect("unpoisoned");
            answer(&mut stream, behavior, &call)?;
        }
    }
    Some(())
}

/// Answers a set-up; `None` if the connection is to end.
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
