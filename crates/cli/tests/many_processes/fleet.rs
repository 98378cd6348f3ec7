//! Front nodes as processes of the program, with fake media servers and event buses.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::{Value, json};

use crate::clients::{CLASS, ClientConnection};
use crate::event_bus::{EventBus, topology_event};
use crate::media_server::MediaServer;
use crate::recorder::{EventKind, Recorder, RestartStyle, lock};
use crate::support::{PATIENCE, Process, reserve_addresses};

/// Number of front nodes.
pub const NODES: usize = 20;
/// Deadline of the class in microseconds.
pub const MAX_DEADLINE_US: u64 = 2_000_000;

/// Limit on the set-ups that a media server gets from all front nodes together while it warms up.
#[derive(Debug, Clone, Copy)]
pub struct SlowStart {
    /// Number of streams that a media server can carry.
    pub streams: u32,
    /// Share of the streams that is allowed at the start.
    pub initial_share: f64,
    /// Time from the start until all streams are allowed, in microseconds.
    pub ramp_us: u64,
    /// Factor by which the allowance may be exceeded.
    pub multiple: f64,
    /// Window over which set-ups are counted, in microseconds.
    pub window_us: u64,
}

impl SlowStart {
    /// Returns the number of set-ups that the settings allow within `window_us` at the start.
    pub fn allowance(&self) -> f64 {
        let windows_per_ramp = self.window_us as f64 / self.ramp_us as f64;
        self.multiple * self.initial_share * f64::from(self.streams) * windows_per_ramp
    }
}

/// State of a front node, which determines what clients may send to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum NodeState {
    Down = 0,
    Up = 1,
    /// SIGTERM was sent. Clients soon stop opening connections, and then stop sending set-ups.
    Terminating = 2,
}

/// Front node that runs as a process.
pub struct FrontNode {
    pub number: usize,
    pub addr: SocketAddr,
    config: PathBuf,
    process: Mutex<Option<Process>>,
    state: AtomicU8,
    terminated_at: Mutex<Option<Instant>>,
    /// Whether the steady clients pause, so that nothing is pending when the process stops.
    pub paused: AtomicBool,
    recorder: Recorder,
}

impl FrontNode {
    pub fn start(&self) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_beechloft"));
        command.arg("node").env("ROUTER_CONFIG", &self.config);
        command.env("ROUTER_NAME", format!("n{}", self.number)).env("ROUTER_LISTEN", self.addr.to_string());
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(self.config.with_extension("log"));
        command.stderr(log.map_or_else(|_| Stdio::null(), Stdio::from));
        *lock(&self.process) = Some(Process::start(&mut command));
        self.recorder.record(EventKind::ProcessStarted { node: self.number });
    }

    /// Waits until a test passes, records that, and allows clients to send. Returns `false` after a timeout.
    pub fn wait_ready(&self) -> bool {
        let deadline = Instant::now() + PATIENCE;
        while Instant::now() < deadline {
            // The first connection isn't recorded, because a process that is starting may not listen yet.
            if std::net::TcpStream::connect(self.addr).is_ok()
                && ClientConnection::open(self.number, self.addr, &self.recorder)
                    .is_some_and(|connection| connection.passes_test())
            {
                self.recorder.record(EventKind::TestPassed { node: self.number });
                self.state.store(NodeState::Up as u8, Ordering::SeqCst);
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    pub fn state(&self) -> NodeState {
        match self.state.load(Ordering::SeqCst) {
            0 => NodeState::Down,
            1 => NodeState::Up,
            _ => NodeState::Terminating,
        }
    }

    /// Returns the time since SIGTERM was sent, or `None` if it was not.
    pub fn since_termination(&self) -> Option<Duration> {
        lock(&self.terminated_at).map(|terminated_at| terminated_at.elapsed())
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(process) = &*lock(&self.process) {
            process.signal(signal);
        }
    }

    pub fn terminate(&self, style: RestartStyle) {
        // The state changes before the signal, so that no client sends later than it may.
        *lock(&self.terminated_at) = Some(Instant::now());
        self.recorder.record(EventKind::Terminated { node: self.number, style });
        self.state.store(NodeState::Terminating as u8, Ordering::SeqCst);
        self.signal(Signal::TERM);
    }

    /// Waits until the process has exited.
    pub fn wait_exit(&self) {
        let deadline = Instant::now() + PATIENCE;
        while Instant::now() < deadline {
            let exited = lock(&self.process).as_mut().and_then(|process| process.0.try_wait().ok().flatten());
            if let Some(status) = exited {
                self.recorder.record(EventKind::ProcessExited { node: self.number, code: status.code() });
                break;
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.state.store(NodeState::Down as u8, Ordering::SeqCst);
        *lock(&self.terminated_at) = None;
        *lock(&self.process) = None;
    }
}

/// Front nodes with fake media servers and event buses. The processes are killed on drop.
pub struct Fleet {
    pub recorder: Recorder,
    pub nodes: Vec<Arc<FrontNode>>,
    pub media_servers: Vec<MediaServer>,
    pub buses: Vec<EventBus>,
    pub slow_start: SlowStart,
    _dir: tempfile::TempDir,
}

impl Fleet {
    /// Starts all front nodes with the given number of media servers and waits until they are ready.
    pub fn start(servers: usize, slow_start: SlowStart) -> Fleet {
        let recorder = Recorder::start();
        let media_servers = (0..servers).map(|n| MediaServer::start(n, &recorder)).collect();
        let buses = vec![EventBus::start(), EventBus::start()];
        let dir = tempfile::tempdir().expect("create a temporary directory");
        let nodes = reserve_addresses(NODES).into_iter().enumerate().map(|(number, addr)| {
            let config = dir.path().join(format!("n{number}.json"));
            let (recorder, state) = (recorder.clone(), AtomicU8::new(NodeState::Down as u8));
            let (process, terminated_at, paused) =
                (Mutex::default(), Mutex::default(), AtomicBool::new(false));
            Arc::new(FrontNode { number, addr, config, process, state, terminated_at, paused, recorder })
        });
        let nodes = nodes.collect();
        let fleet = Fleet { recorder, nodes, media_servers, buses, slow_start, _dir: dir };
        fleet.configure(0, 1);
        fleet.nodes.iter().for_each(|node| node.start());
        thread::scope(|scope| fleet.nodes.iter().for_each(|node| drop(scope.spawn(|| node.wait_ready()))));
        let deadline = Instant::now() + PATIENCE;
        while fleet.buses[0].request_count() < NODES && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(10));
        }
        fleet
    }

    /// Writes all configurations with this event bus and with the endpoint list at this offset as the initial event.
    pub fn configure(&self, bus: usize, offset: u64) {
        let endpoints: Vec<Value> =
            self.media_servers.iter().map(|server| server.endpoint("Ready")).collect();
        for node in &self.nodes {
            let config = json!({
                "name": format!("n{}", node.number), "listen": node.addr.to_string(),
                "seed": format!("8c1f30d27a5b{:04x}", node.number),
                "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
                "bus": self.buses[bus].addr.to_string(),
                "known": {"offset": offset, "batch": [topology_event(offset, true, &endpoints)]},
                "settings": self.settings(node.number)
            });
            std::fs::write(&node.config, config.to_string()).expect("write the configuration");
        }
    }

    fn settings(&self, number: usize) -> Value {
        let slow_start = &self.slow_start;
        json!({
            "caps": {"cancel": true, "max_attempts": 3, "probes": true, "retry_after": true,
                "max_retry_after_us": 500_000, "dial_timeout_us": 250_000, "conn_idle_us": 30_000_000},
            "classes": [{"name": CLASS, "aim_us": 800_000, "deadline_us": MAX_DEADLINE_US, "effect": "repeatable",
                "points": 1.0}],
            "discovery": "push", "group_size": NODES, "my_number": number, "kinds": ["small"],
            "zones": ["a", "b"], "locality": number % 2,
            "family_info": {"all_links_kb": 4e9, "link_unit_kb": 400.0 * f64::from(slow_start.streams), "rack_link_kb": 4e9,
                "floor_by_class": [0], "top_by_class": [1], "scale_by_class": [1.0], "seats": [0], "guard": 1.2,
                "kind_streams": [slow_start.streams], "places": 4, "shelves": 2, "rates_kb": [200.0, 400.0],
                "see_us": 800_000, "worth_by_rung": [0.4, 1.0]},
            "reporting": {"how": "piggyback", "names": ["utilization", "x1"]},
            "rules": {"cold_from": slow_start.initial_share, "cold_us": slow_start.ramp_us, "fall_multiple": slow_start.multiple,
                "fall_us": slow_start.window_us},
            "weights": "nominal"
        })
    }

    /// Returns the last lines of each front node's log, newest first.
    pub fn logs(&self) -> String {
        let last_lines = |node: &Arc<FrontNode>| {
            let text = std::fs::read_to_string(node.config.with_extension("log")).unwrap_or_default();
            let lines: Vec<&str> = text.lines().rev().take(3).collect();
            format!("n{}: {}", node.number, lines.join(" | "))
        };
        self.nodes.iter().map(last_lines).collect::<Vec<_>>().join("\n")
    }
}
