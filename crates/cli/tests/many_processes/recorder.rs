//! Record of what crossed the sockets as the fakes saw it: events with their times. Reports of the program about itself aren't
//! used.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::attempts::AttemptLog;
use crate::behavior::node_of;

/// Sleep interval of the thread that measures scheduling delays.
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
    /// SIGTERM while clients send as long as they may.
    Plain,
    /// SIGSTOP, set-ups in the kernel's buffers and in the backlog, then SIGTERM.
    StoppedBeforeTerm,
    /// SIGTERM, then SIGSTOP with the last set-ups in the buffers and in the backlog until the drain time is over.
    StoppedWhileDraining,
}

/// Kind of an event. Connections have unique numbers. A set-up's id contains the front node that it was sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EventKind {
    /// A process was started.
    ProcessStarted { node: usize },
    /// The process passed a test for the first time since its start.
    TestPassed { node: usize },
    /// SIGTERM was sent to the process.
    Terminated { node: usize, style: RestartStyle },
    /// The process exited. `code` is `None` if it was killed by a signal.
    ProcessExited { node: usize, code: Option<i32> },
    /// A client's connection was accepted by the front node's machine.
    ClientConnected { node: usize, connection: u64 },
    /// A client's connection was refused.
    ConnectionRefused { node: usize },
    /// The last byte of a set-up was written. `retry_of` is the set-up that it repeats.
    SetUpSent { connection: u64, id: u64, retry_of: Option<u64> },
    /// A final answer was received. It is `correct` if it is a refusal or failure, or the media server's answer for this session.
    AnswerReceived { id: u64, served: bool, correct: bool },
    /// The front node ended a client's connection.
    ConnectionClosed { connection: u64, kind: CloseKind },
    /// The client closed its connection or cancelled the set-up.
    ClientDeparted { id: u64 },
    /// A complete set-up arrived at a media server.
    AttemptReceived { server: usize, id: u64 },
    /// The media server ended the attempt or closed its connection.
    AttemptEnded { server: usize, id: u64 },
    /// The front node abandoned the attempt or closed its connection.
    AttemptAbandoned { server: usize, id: u64 },
}

/// Event with its time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Time in microseconds since the recorder was started.
    pub at: u64,
    pub kind: EventKind,
}

/// Recorder that all fakes share.
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

/// Locks a mutex, also after a thread has panicked while it held the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Converts a duration to microseconds.
fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Starts a thread that measures how late threads are scheduled, as long as the recorder exists.
fn measure_scheduling_delay(max_delay_us: &Arc<AtomicU64>) {
    let weak = Arc::downgrade(max_delay_us);
    thread::spawn(move || {
        while let Some(max) = weak.upgrade() {
            let start = Instant::now();
            thread::sleep(DELAY_PROBE_INTERVAL);
            max.fetch_max(micros(start.elapsed() - DELAY_PROBE_INTERVAL), Ordering::SeqCst);
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

    /// Returns the maximum scheduling delay of a thread on this machine in microseconds.
    pub fn max_scheduling_delay(&self) -> u64 {
        self.max_delay_us.load(Ordering::SeqCst)
    }

    /// Returns the time in microseconds since the start.
    pub fn now(&self) -> u64 {
        micros(self.started_at.elapsed())
    }

    /// Records an event with the current time, which is taken before waiting for locks.
    pub fn record(&self, kind: EventKind) -> u64 {
        self.record_at(self.now(), kind)
    }

    /// Records an event that happened at this time.
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

    /// Returns the time at which the client of this set-up departed, or `None` if it did not.
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

    /// Returns all events in order of time.
    pub fn events(&self) -> Vec<Event> {
        let mut events = lock(&self.events).clone();
        events.sort_by_key(|event| event.at);
        events
    }
}
