//! What crossed the sockets, as the fakes saw it: events with their times, and nothing that the program reports of itself.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::attempts::AttemptLog;
use crate::behavior::node_of;

/// How long the thread that measures scheduling delays sleeps.
const DELAY_PROBE_INTERVAL: Duration = Duration::from_millis(20);

/// How the front node ended a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseKind {
    Fin,
    Rst,
}

/// How a front node is restarted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestartStyle {
    /// SIGTERM, while clients send as the page allows.
    Plain,
    /// The process is stopped with set-ups in the kernel's buffers and in the backlog, then SIGTERM comes.
    StoppedBeforeTerm,
    /// SIGTERM, then the process is stopped, with the last set-ups in the buffers and in the backlog, until the time is
    /// over for which it serves on.
    StoppedWhileDraining,
}

/// Connections have numbers, which no two share; a set-up's id tells which front node it was sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EventKind {
    /// A process was started.
    ProcessStarted { node: usize },
    /// It passed a test for the first time since its start.
    TestPassed { node: usize },
    /// It was sent SIGTERM.
    Terminated { node: usize, style: RestartStyle },
    /// It exited; no code: it was killed by a signal.
    ProcessExited { node: usize, code: Option<i32> },
    /// A client's connection was accepted by the front node's machine.
    ClientConnected { node: usize, connection: u64 },
    /// A client's connection was refused.
    ConnectionRefused { node: usize },
    /// The last byte of a set-up is written; `retry_of`: it repeats that one.
    SetUpSent { connection: u64, id: u64, retry_of: Option<u64> },
    /// A final answer; `correct`: a refusal or failure, or what a media server gave for this very session.
    AnswerReceived { id: u64, served: bool, correct: bool },
    /// The front node ended a client's connection.
    ConnectionClosed { connection: u64, kind: CloseKind },
    /// Its client closed its connection, or cancelled.
    ClientDeparted { id: u64 },
    /// A set-up arrived complete at a media server.
    AttemptReceived { server: usize, id: u64 },
    /// The media server ended it, or cut its connection.
    AttemptEnded { server: usize, id: u64 },
    /// The front node gave it up there, or closed its connection.
    AttemptAbandoned { server: usize, id: u64 },
}

/// An event and its time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// In microseconds since the recorder was started.
    pub at: u64,
    pub kind: EventKind,
}

/// The recorder, shared by all fakes.
#[derive(Clone)]
pub struct Recorder {
    started_at: Instant,
    events: Arc<Mutex<Vec<Event>>>,
    departed_at: Arc<Mutex<BTreeMap<u64, u64>>>,
    received: Arc<Mutex<BTreeSet<u64>>>,
    pending: Arc<Mutex<BTreeSet<u64>>>,
    max_delay_us: Arc<AtomicU64>,
    pub attempts: AttemptLog,
}

/// A lock that a failed thread leaves usable.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A duration in microseconds. Tests last minutes at most.
fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Measures how late threads are scheduled, for as long as a recorder exists.
fn measure_scheduling_delay(max_delay_us: &Arc<AtomicU64>) {
    let weak = Arc::downgrade(max_delay_us);
    thread::spawn(move || {
        while let Some(max) = weak.upgrade() {
            let slept_from = Instant::now();
            thread::sleep(DELAY_PROBE_INTERVAL);
            max.fetch_max(micros(slept_from.elapsed() - DELAY_PROBE_INTERVAL), Ordering::SeqCst);
        }
    });
}

impl Recorder {
    pub fn start() -> Recorder {
        let recorder = Recorder {
            started_at: Instant::now(),
            events: Arc::default(),
            departed_at: Arc::default(),
            received: Arc::default(),
            pending: Arc::default(),
            max_delay_us: Arc::default(),
            attempts: AttemptLog::default(),
        };
        measure_scheduling_delay(&recorder.max_delay_us);
        recorder
    }

    /// The longest that a thread of the fakes waited to be scheduled on this machine, in microseconds.
    pub fn max_scheduling_delay(&self) -> u64 {
        self.max_delay_us.load(Ordering::SeqCst)
    }

    /// Microseconds since the start.
    pub fn now(&self) -> u64 {
        micros(self.started_at.elapsed())
    }

    /// Records what has just happened. The time is taken first, as threads may wait for each other behind it.
    pub fn record(&self, kind: EventKind) -> u64 {
        self.record_at(self.now(), kind)
    }

    /// Records what happened at that time.
    pub fn record_at(&self, at: u64, kind: EventKind) -> u64 {
        match kind {
            EventKind::ClientDeparted { id } => {
                lock(&self.departed_at).insert(id, at);
                lock(&self.pending).remove(&id);
            }
            EventKind::AttemptReceived { id, .. } => {
                lock(&self.received).insert(id);
            }
            EventKind::SetUpSent { id, .. } => {
                lock(&self.pending).insert(id);
            }
            EventKind::AnswerReceived { id, .. } => {
                lock(&self.pending).remove(&id);
            }
            _ => {}
        }
        lock(&self.events).push(Event { at, kind });
        at
    }

    /// When the client of this set-up departed.
    pub fn departed_at(&self, id: u64) -> Option<u64> {
        lock(&self.departed_at).get(&id).copied()
    }

    /// Whether this set-up has reached a media server.
    pub fn has_reached_a_server(&self, id: u64) -> bool {
        lock(&self.received).contains(&id)
    }

    /// Whether a set-up of this front node has no answer yet.
    pub fn has_pending(&self, node: usize) -> bool {
        lock(&self.pending).iter().any(|id| node_of(*id) == node)
    }

    /// All events in the order of their times.
    pub fn events(&self) -> Vec<Event> {
        let mut events = lock(&self.events).clone();
        events.sort_by_key(|event| event.at);
        events
    }
}
