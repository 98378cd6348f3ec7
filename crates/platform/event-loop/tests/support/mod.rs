//! Small fakes on loopback: media servers, an event bus, viewers; and a front node between them.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use beechloft_event_loop::{EventLoop, SignalHandle};
use beechloft_protocol::CallId;
use beechloft_protocol::binary::{Frame, FrameDecoder};
use beechloft_protocol::config::Environment;
use serde_json::{Value, json};

/// Long enough for anything that is to happen.
pub const PATIENCE: Duration = Duration::from_secs(15);

/// What a fake media server does with set-ups.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mood {
    Accept,
    /// Not a word, and the connection stays open.
    Silent,
    Full,
    Error,
    /// A line that can't be read.
    Noise,
    /// A line that never ends.
    Endless,
    /// An answer of an unknown id, then the good one twice.
    More,
    /// The connection is reset with the set-up read.
    Reset,
    /// A part of the answer, then the end.
    Short,
    /// An answer that never stops and is said to be huge.
    Huge,
}

struct Shared {
    mood: Mutex<Mood>,
    /// Lines heard, in order.
    heard: Mutex<Vec<Value>>,
    conns: Mutex<Vec<TcpStream>>,
    closed: AtomicBool,
    opened: AtomicUsize,
}

/// A fake media server.
pub struct Media {
    pub name: String,
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

fn description(call: &str) -> String {
    format!("answer-{call}\r\nc=IN IP4 10.1.2.3\r\n")
}

fn play(mut stream: TcpStream, shared: &Shared) -> Option<()> {
    let mut lines = BufReader::new(stream.try_clone().ok()?);
    let mut text = String::new();
    while lines.read_line(&mut text).ok()? > 0 {
        let value: Value = serde_json::from_str(&text).expect("what a front node sends is JSON");
        text.clear();
        let call = value["call"].as_str().unwrap_or_default().to_owned();
        let op = value["op"].as_str().unwrap_or_default().to_owned();
        shared.heard.lock().expect("unpoisoned").push(value);
        let mut say = |v: Value| stream.write_all(format!("{v}\n").as_bytes()).ok();
        let accept =
            |call: &str| json!({"op": "accept", "call": call, "with": {}, "desc": description(call)});
        if op != "offer" {
            continue;
        }
        let mood = *shared.mood.lock().expect("unpoisoned");
        match mood {
            Mood::Accept => say(accept(&call))?,
            Mood::Silent => {}
            Mood::Full => {
                say(json!({"op": "end", "call": call, "with": {"load": "utilization:0.5"}, "why": 34}))?
            }
            Mood::Error => say(json!({"op": "end", "call": call, "with": {}, "why": 47}))?,
            Mood::Noise => stream.write_all(b"\xff\xfe{]\n").ok()?,
            Mood::Endless => (0..100).try_for_each(|_| stream.write_all(&[b'{'; 1000]).ok())?,
            Mood::More => {
                say(accept("00000000000000ff"))?;
                say(accept(&call))?;
                say(accept(&call))?;
            }
            Mood::Reset => {
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                return None;
            }
            Mood::Short => {
                stream.write_all(br#"{"op":"accept","call":"0000"#).ok()?;
                return None;
            }
            Mood::Huge => {
                stream.write_all(br#"{"op":"accept","length":3000000000,"desc":""#).ok()?;
                (0..10_000).try_for_each(|_| stream.write_all(&[b'x'; 1000]).ok())?;
            }
        }
    }
    Some(())
}

impl Media {
    pub fn start(n: usize, mood: Mood) -> Media {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        Media::on(n, mood, listener, addr)
    }

    pub fn at(n: usize, mood: Mood, addr: SocketAddr) -> Media {
        let listener = TcpListener::bind(addr).expect("the port");
        Media::on(n, mood, listener, addr)
    }

    fn on(n: usize, mood: Mood, listener: TcpListener, addr: SocketAddr) -> Media {
        let shared = Arc::new(Shared {
            mood: Mutex::new(mood),
            heard: Mutex::default(),
            conns: Mutex::default(),
            closed: AtomicBool::new(false),
            opened: AtomicUsize::new(0),
        });
        let all = Arc::clone(&shared);
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if all.closed.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { return };
                all.opened.fetch_add(1, Ordering::SeqCst);
                all.conns.lock().expect("unpoisoned").extend(stream.try_clone());
                let one = Arc::clone(&all);
                std::thread::spawn(move || {
                    let over = stream.try_clone();
                    play(stream, &one);
                    if let Ok(s) = over {
                        let _ = s.shutdown(Shutdown::Both);
                    }
                });
            }
        });
        Media { name: format!("s-{n:08x}"), addr, shared }
    }

    pub fn mood(&self, mood: Mood) {
        *self.shared.mood.lock().expect("unpoisoned") = mood;
    }

    /// Lines of a type heard so far.
    pub fn heard(&self, op: &str) -> Vec<Value> {
        self.shared.heard.lock().expect("unpoisoned").iter().filter(|v| v["op"] == op).cloned().collect()
    }

    pub fn opened(&self) -> usize {
        self.shared.opened.load(Ordering::SeqCst)
    }

    /// Says a line on the newest connection.
    pub fn say(&self, value: &Value) {
        let mut conns = self.shared.conns.lock().expect("unpoisoned");
        conns.last_mut().expect("a connection").write_all(format!("{value}\n").as_bytes()).expect("written");
    }

    /// The process dies: nothing listens, connections are reset.
    pub fn die(&self) {
        self.shared.closed.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.addr);
        for stream in self.shared.conns.lock().expect("unpoisoned").drain(..) {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn endpoint(&self, group: usize, status: &str) -> Value {
        json!({"name": self.name, "address": self.addr.to_string(), "zone": "a", "type": "small", "group": group,
            "status": status, "weight": 1, "since_ms": 0})
    }
}

/// A fake event bus.
pub struct FakeBus {
    pub addr: SocketAddr,
    asked: Arc<Mutex<Vec<String>>>,
    conns: Arc<Mutex<Vec<TcpStream>>>,
}

impl FakeBus {
    pub fn start() -> FakeBus {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        let (asked, conns) =
            (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(Vec::<TcpStream>::new())));
        let bus = FakeBus { addr, asked: Arc::clone(&asked), conns: Arc::clone(&conns) };
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(mut stream) = stream else { return };
                let mut lines = BufReader::new(stream.try_clone().expect("a clone"));
                let (mut line, mut last) = (String::new(), String::new());
                while lines.read_line(&mut line).unwrap_or(0) > 2 {
                    if let Some((_, value)) = line.to_ascii_lowercase().split_once("last-event-id:") {
                        last = value.trim().to_owned();
                    }
                    line.clear();
                }
                let head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
                let _ = stream.write_all(head);
                asked.lock().expect("unpoisoned").push(last);
                conns.lock().expect("unpoisoned").push(stream);
            }
        });
        let beat = Arc::clone(&bus.conns);
        std::thread::spawn(move || {
            for _ in 0..240 {
                std::thread::sleep(Duration::from_millis(500));
                beat.lock().expect("unpoisoned").retain_mut(|s| s.write_all(b":\n\n").is_ok());
            }
        });
        bus
    }

    /// The numbers that were asked for.
    pub fn asked(&self) -> Vec<String> {
        self.asked.lock().expect("unpoisoned").clone()
    }

    pub fn raw(&self, bytes: &[u8]) {
        let mut conns = self.conns.lock().expect("unpoisoned");
        conns.retain_mut(|s| s.write_all(bytes).is_ok());
        assert!(!conns.is_empty(), "nobody listens to the event bus");
    }

    pub fn tell(&self, offset: u64, snapshot: bool, endpoints: &[Value]) {
        self.raw(event(offset, snapshot, endpoints).as_bytes());
    }

    /// Ends all connections.
    pub fn cut(&self) {
        self.conns.lock().expect("unpoisoned").drain(..).for_each(|s| {
            let _ = s.shutdown(Shutdown::Both);
        });
    }
}

pub fn event(offset: u64, snapshot: bool, endpoints: &[Value]) -> String {
    let data = json!({"offset": offset, "topology": {"index": offset, "snapshot": snapshot, "endpoints": endpoints}});
    format!("id: {offset}\ndata: {data}\n\n")
}

/// A front node between fakes.
pub struct Front {
    pub addr: SocketAddr,
    pub bus: FakeBus,
    pub media: Vec<Media>,
    pub control: SignalHandle,
    pub config: std::path::PathBuf,
    thread: Option<JoinHandle<std::io::Result<()>>>,
    _dir: tempfile::TempDir,
}

pub fn settings() -> Value {
    json!({
        "caps": {"cancel": true, "max_attempts": 3, "probes": true, "retry_after": true, "max_retry_after_us": 500_000,
            "dial_timeout_us": 250_000, "conn_idle_us": 30_000_000},
        "classes": [{"name": "stall-video", "aim_us": 800_000, "deadline_us": 4_000_000, "effect": "repeatable", "points": 1.0}],
        "discovery": "push", "group_size": 1, "my_number": 0, "kinds": ["small"], "zones": ["a", "b"],
        "family_info": {"all_links_kb": 4e8, "link_unit_kb": 1e8, "rack_link_kb": 4e8,
            "floor_by_class": [0], "top_by_class": [1], "scale_by_class": [1.0], "seats": [0], "guard": 1.2,
            "kind_streams": [6000], "places": 4, "shelves": 2, "rates_kb": [200.0, 400.0], "see_us": 800_000,
            "worth_by_rung": [0.4, 1.0]},
        "reporting": {"how": "piggyback", "names": ["utilization", "x1"]},
        "rules": {"cold_from": 0.4, "cold_us": 1000, "fall_multiple": 3.0, "fall_us": 2000},
        "weights": "rough"
    })
}

pub fn write_config(path: &std::path::Path, bus: SocketAddr, sockets: usize, known: &[Value]) {
    let config = json!({
        "name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets}, "bus": bus.to_string(),
        "known": {"offset": 1, "batch": [{"offset": 1, "topology": {"index": 1, "snapshot": true, "endpoints": known}}]},
        "settings": settings()
    });
    std::fs::write(path, config.to_string()).expect("written");
}

impl Front {
    pub fn start(moods: &[Mood]) -> Front {
        Front::sized(moods, 256)
    }

    pub fn sized(moods: &[Mood], sockets: usize) -> Front {
        let media: Vec<Media> = moods.iter().enumerate().map(|(n, mood)| Media::start(n, *mood)).collect();
        let bus = FakeBus::start();
        let dir = tempfile::tempdir().expect("a folder");
        let config = dir.path().join("config.json");
        let known: Vec<Value> = media.iter().enumerate().map(|(n, m)| m.endpoint(n % 4, "Ready")).collect();
        write_config(&config, bus.addr, sockets, &known);
        let mut shell = EventLoop::start(&config, &Environment::default()).expect("it starts");
        let (addr, control) =
            (shell.local_addr().expect("an address"), shell.signal_handle().expect("a control"));
        let thread = Some(std::thread::spawn(move || shell.run()));
        wait("the bus is asked", || !bus.asked().is_empty());
        Front { addr, bus, media, control, config, thread, _dir: dir }
    }

    pub fn ended(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Ends it, and sees that it ends well.
    pub fn stop(mut self) {
        self.control.terminate();
        if let Some(thread) = self.thread.take() {
            thread.join().expect("no panic").expect("no error");
        }
    }
}

/// Waits for something that is to come, with patience.
pub fn wait(what: &str, mut done: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !done() {
        assert!(Instant::now() < until, "in vain: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A viewer, or many, on one connection.
pub struct Viewer {
    pub stream: TcpStream,
    decoder: FrameDecoder,
}

pub fn set_up(id: u64, left_ms: u64) -> Frame {
    Frame::new(1, CallId(id))
        .with(1, "stall-video")
        .with(3, left_ms.to_string())
        .with(9, "00000000000000aa")
        .with(11, format!("home:0;copies:4;top:1;viewer:{id:016x}"))
        .with(31, format!("offer-{id:016x}\r\nc=IN IP4 10.9.9.9\r\n"))
}

impl Viewer {
    pub fn connect(addr: SocketAddr) -> Viewer {
        let stream = TcpStream::connect(addr).expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        Viewer { stream, decoder: FrameDecoder::default() }
    }

    pub fn say(&mut self, frame: &Frame) {
        self.stream.write_all(&frame.encode().expect("short")).expect("written");
    }

    pub fn ask(&mut self, id: u64, left_ms: u64) {
        self.say(&set_up(id, left_ms));
    }

    /// The next message; none: the connection has ended.
    pub fn hear(&mut self) -> Option<Frame> {
        let mut buf = [0; 4096];
        loop {
            if let Some(frame) = self.decoder.next_frame().expect("what a front node sends can be read") {
                return Some(frame);
            }
            match self.stream.read(&mut buf) {
                Ok(0) => return None,
                Ok(n) => self.decoder.push(&buf[..n]),
                Err(e)
                    if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) =>
                {
                    panic!("nothing heard for long")
                }
                Err(_) => return None,
            }
        }
    }

    /// Whether the connection ends, whatever is said before.
    pub fn ends(&mut self) -> bool {
        while self.hear().is_some() {}
        true
    }

    /// Hears until so many set-ups have their answers: type and cause by id, and how often.
    pub fn answers(&mut self, count: usize) -> BTreeMap<u64, (u8, u8)> {
        let mut all = BTreeMap::new();
        while all.len() < count {
            let frame = self.hear().expect("an open connection");
            if matches!(frame.kind, 9 | 12) {
                let second = all.insert(frame.id.0, (frame.kind, cause(&frame)));
                assert_eq!(second, None, "two answers for {}", frame.id);
            }
        }
        all
    }
}

pub fn cause(frame: &Frame) -> u8 {
    frame.parameters.iter().find(|p| p.code == 29).map_or(0, |p| p.value[0])
}

pub fn text(frame: &Frame) -> String {
    let value = frame.parameters.iter().find(|p| p.code == 31).map(|p| p.value.clone()).unwrap_or_default();
    String::from_utf8(value).expect("text")
}
