//! Front nodes as processes of the program, and the media servers and event buses around them.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::{Value, json};

use crate::clients::{CLASS, Conn};
use crate::facts::{Record, Style, What, lock};
use crate::media::{EventBus, Media, event};
use crate::support::{PATIENCE, Process, kept_addresses};

pub const NODES: usize = 20;
/// The class's deadline, in microseconds.
pub const LONGEST: u64 = 2_000_000;

/// What cold media servers are allowed, for all front nodes.
#[derive(Debug, Clone, Copy)]
pub struct Cold {
    pub streams: u32,
    pub from: f64,
    pub warm_us: u64,
    pub multiple: f64,
    pub fall_us: u64,
}

impl Cold {
    /// N of the rule: what the settings allow within `fall_us` at the start.
    pub fn allowance(&self) -> f64 {
        let spans = self.fall_us as f64 / self.warm_us as f64;
        self.multiple * self.from * f64::from(self.streams) * spans
    }
}

/// How far a front node's clients may go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum State {
    Down = 0,
    Up = 1,
    /// It was told to end: no more new connections after a while, then no more set-ups.
    Ending = 2,
}

pub struct Node {
    pub number: usize,
    pub addr: SocketAddr,
    config: PathBuf,
    process: Mutex<Option<Process>>,
    state: AtomicU8,
    told: Mutex<Option<Instant>>,
    /// Its steady clients pause, so that a crossing is met with nothing owed.
    pub quiet: AtomicBool,
    record: Record,
}

impl Node {
    pub fn start(&self) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_beechloft"));
        command.arg("node").env("ROUTER_CONFIG", &self.config);
        command.env("ROUTER_NAME", format!("n{}", self.number)).env("ROUTER_LISTEN", self.addr.to_string());
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(self.config.with_extension("log"));
        command.stderr(log.map_or_else(|_| Stdio::null(), Stdio::from));
        *lock(&self.process) = Some(Process::start(&mut command));
        self.record.note(What::Started { node: self.number });
    }

    /// Whether a test passes before long; noted, and clients come from then on.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            // Quietly, as it is no break that a process which starts does not listen yet.
            if std::net::TcpStream::connect(self.addr).is_ok()
                && Conn::open(self.number, self.addr, &self.record).is_some_and(|c| c.passes())
            {
                self.record.note(What::Passed { node: self.number });
                self.state.store(State::Up as u8, Ordering::SeqCst);
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    pub fn state(&self) -> State {
        match self.state.load(Ordering::SeqCst) {
            0 => State::Down,
            1 => State::Up,
            _ => State::Ending,
        }
    }

    /// How long ago it was told to end.
    pub fn told(&self) -> Option<Duration> {
        lock(&self.told).map(|t| t.elapsed())
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(process) = &*lock(&self.process) {
            process.signal(signal);
        }
    }

    pub fn terminate(&self, style: Style) {
        // Before the signal, so that no client comes later than it may.
        *lock(&self.told) = Some(Instant::now());
        self.record.note(What::Term { node: self.number, style });
        self.state.store(State::Ending as u8, Ordering::SeqCst);
        self.signal(Signal::TERM);
    }

    /// Waits for the process to end by itself.
    pub fn wait_exit(&self) {
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            let ended = lock(&self.process).as_mut().and_then(|p| p.0.try_wait().ok().flatten());
            if let Some(status) = ended {
                self.record.note(What::Exited { node: self.number, code: status.code() });
                break;
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.state.store(State::Down as u8, Ordering::SeqCst);
        *lock(&self.told) = None;
        *lock(&self.process) = None;
    }
}

/// The fleet, ended whatever becomes of the test.
pub struct Fleet {
    pub record: Record,
    pub nodes: Vec<Arc<Node>>,
    pub media: Vec<Media>,
    pub buses: Vec<EventBus>,
    pub cold: Cold,
    _dir: tempfile::TempDir,
}

impl Fleet {
    /// All front nodes, started and ready, with so many media servers.
    pub fn start(servers: usize, cold: Cold) -> Fleet {
        let record = Record::begin();
        let media = (0..servers).map(|n| Media::start(n, &record)).collect();
        let buses = vec![EventBus::start(), EventBus::start()];
        let dir = tempfile::tempdir().expect("a folder");
        let nodes = kept_addresses(NODES).into_iter().enumerate().map(|(number, addr)| {
            let config = dir.path().join(format!("n{number}.json"));
            let (record, state) = (record.clone(), AtomicU8::new(State::Down as u8));
            let (process, told, quiet) = (Mutex::default(), Mutex::default(), AtomicBool::new(false));
            Arc::new(Node { number, addr, config, process, state, told, quiet, record })
        });
        let nodes = nodes.collect();
        let fleet = Fleet { record, nodes, media, buses, cold, _dir: dir };
        fleet.configure(0, 1);
        fleet.nodes.iter().for_each(|n| n.start());
        thread::scope(|s| fleet.nodes.iter().for_each(|n| drop(s.spawn(|| n.wait_ready()))));
        let watched = Instant::now() + PATIENCE;
        while fleet.buses[0].asked() < NODES && Instant::now() < watched {
            thread::sleep(Duration::from_millis(10));
        }
        fleet
    }

    /// Writes all configurations: this event bus, and the events up to this one as known.
    pub fn configure(&self, bus: usize, offset: u64) {
        let listed: Vec<Value> = self.media.iter().map(|m| m.endpoint("Ready")).collect();
        for node in &self.nodes {
            let config = json!({
                "name": format!("n{}", node.number), "listen": node.addr.to_string(),
                "seed": format!("8c1f30d27a5b{:04x}", node.number),
                "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
                "bus": self.buses[bus].addr.to_string(),
                "known": {"offset": offset, "batch": [event(offset, true, &listed)]},
                "settings": self.settings(node.number)
            });
            std::fs::write(&node.config, config.to_string()).expect("written");
        }
    }

    fn settings(&self, number: usize) -> Value {
        let c = &self.cold;
        json!({
            "caps": {"cancel": true, "max_attempts": 3, "probes": true, "retry_after": true,
                "max_retry_after_us": 500_000, "dial_timeout_us": 250_000, "conn_idle_us": 30_000_000},
            "classes": [{"name": CLASS, "aim_us": 800_000, "deadline_us": LONGEST, "effect": "repeatable",
                "points": 1.0}],
            "discovery": "push", "group_size": NODES, "my_number": number, "kinds": ["small"],
            "zones": ["a", "b"], "locality": number % 2,
            "family_info": {"all_links_kb": 4e9, "link_unit_kb": 400.0 * f64::from(c.streams), "rack_link_kb": 4e9,
                "floor_by_class": [0], "top_by_class": [1], "scale_by_class": [1.0], "seats": [0], "guard": 1.2,
                "kind_streams": [c.streams], "places": 4, "shelves": 2, "rates_kb": [200.0, 400.0],
                "see_us": 800_000, "worth_by_rung": [0.4, 1.0]},
            "reporting": {"how": "piggyback", "names": ["utilization", "x1"]},
            "rules": {"cold_from": c.from, "cold_us": c.warm_us, "fall_multiple": c.multiple,
                "fall_us": c.fall_us},
            "weights": "nominal"
        })
    }

    /// What the front nodes have logged last, for who looks into a break.
    pub fn logs(&self) -> String {
        let last = |n: &Arc<Node>| {
            let text = std::fs::read_to_string(n.config.with_extension("log")).unwrap_or_default();
            let lines: Vec<&str> = text.lines().rev().take(3).collect();
            format!("n{}: {}", n.number, lines.join(" | "))
        };
        self.nodes.iter().map(last).collect::<Vec<_>>().join("\n")
    }
}
