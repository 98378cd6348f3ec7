//! What crossed the sockets, as the stand-ins saw it: facts with their times, and nothing that the program says of itself.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::attempts::AttemptLog;

const TICK: Duration = Duration::from_millis(20);

/// How the front node ended a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Fin,
    Rst,
}

/// How a front node is restarted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Style {
    /// SIGTERM, and clients as the page has them.
    Plain,
    /// The process is stopped, set-ups are in the kernel's buffers and in the backlog, then SIGTERM comes with them.
    Stalled,
    /// SIGTERM, then the process is stopped with the last set-ups in the buffers and the backlog until the time is over
    /// for which it serves on.
    StalledLate,
}

/// One fact. Connections have numbers, which no two share; a set-up's id says which front node it went to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum What {
    /// A process was started.
    Started {
        node: usize,
    },
    /// It answered a test with passed, for the first time since its start.
    Passed {
        node: usize,
    },
    Term {
        node: usize,
        style: Style,
    },
    Exited {
        node: usize,
        code: Option<i32>,
    },
    /// A client's connection was accepted by the front node's machine.
    Connected {
        node: usize,
        conn: u64,
    },
    /// A client's connection was refused.
    Refused {
        node: usize,
    },
    /// The last byte of a set-up is written; `again`: it goes again for that one.
    Taken {
        conn: u64,
        id: u64,
        again: Option<u64>,
    },
    /// A final answer; `right`: a refusal or failure, or what a media server gave for this very session.
    Answer {
        id: u64,
        served: bool,
        right: bool,
    },
    /// The front node ended a client's connection.
    Closed {
        conn: u64,
        how: End,
    },
    /// Its client closed its connection, or cancelled.
    Gone {
        id: u64,
    },
    /// A set-up arrived whole at a media server.
    Attempt {
        server: usize,
        id: u64,
    },
    /// The media server wrote its end, or cut its connection.
    Over {
        server: usize,
        id: u64,
    },
    /// The front node gave it up there, or closed its connection.
    GivenUp {
        server: usize,
        id: u64,
    },
}

/// When, in microseconds since the record began, and what.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fact {
    pub at: u64,
    pub what: What,
}

/// The record, shared by all stand-ins.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    facts: Arc<Mutex<Vec<Fact>>>,
    gone: Arc<Mutex<BTreeMap<u64, u64>>>,
    arrived: Arc<Mutex<BTreeSet<u64>>>,
    open: Arc<Mutex<BTreeSet<u64>>>,
    late: Arc<AtomicU64>,
    pub attempts: AttemptLog,
}

/// A lock that a failed thread leaves usable.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Record {
    pub fn begin() -> Record {
        let (facts, gone, arrived, open, attempts) = Default::default();
        let late = Arc::new(AtomicU64::new(0));
        let watched = Arc::downgrade(&late);
        thread::spawn(move || {
            while let Some(late) = watched.upgrade() {
                let began = Instant::now();
                thread::sleep(TICK);
                late.fetch_max((began.elapsed() - TICK).as_micros() as u64, Ordering::SeqCst);
            }
        });
        Record { began: Instant::now(), facts, gone, arrived, open, late, attempts }
    }

    /// The latest that a thread of the stand-ins has come to run on this machine, in microseconds.
    pub fn late(&self) -> u64 {
        self.late.load(Ordering::SeqCst)
    }

    pub fn now(&self) -> u64 {
        self.began.elapsed().as_micros() as u64
    }

    /// Notes what has just happened. The time is taken first, as threads may wait for each other behind it.
    pub fn note(&self, what: What) -> u64 {
        self.note_at(self.now(), what)
    }

    /// Notes what happened then.
    pub fn note_at(&self, at: u64, what: What) -> u64 {
        match what {
            What::Gone { id } => {
                lock(&self.gone).insert(id, at);
                lock(&self.open).remove(&id);
            }
            What::Attempt { id, .. } => {
                lock(&self.arrived).insert(id);
            }
            What::Taken { id, .. } => {
                lock(&self.open).insert(id);
            }
            What::Answer { id, .. } => {
                lock(&self.open).remove(&id);
            }
            _ => {}
        }
        lock(&self.facts).push(Fact { at, what });
        at
    }

    /// When the client of this set-up went.
    pub fn gone(&self, id: u64) -> Option<u64> {
        lock(&self.gone).get(&id).copied()
    }

    /// Whether it has reached a media server.
    pub fn arrived(&self, id: u64) -> bool {
        lock(&self.arrived).contains(&id)
    }

    /// Whether a set-up of this front node waits for its answer.
    pub fn waits(&self, node: usize) -> bool {
        lock(&self.open).iter().any(|id| node_of(*id) == node)
    }

    /// All, in the order of their times.
    pub fn facts(&self) -> Vec<Fact> {
        let mut all = lock(&self.facts).clone();
        all.sort_by_key(|f| f.at);
        all
    }
}

/// What media servers do with a set-up is written in its id, so that it does not hang on which of them gets it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Behaviour {
    Accept = 0,
    /// It accepts after a while.
    Slow = 1,
    /// The first attempt ends in an error, a further one is accepted.
    ErrorOnce = 2,
    /// Not a word.
    Silent = 3,
    /// The first attempt has its connection reset, or closed.
    ResetOnce = 4,
    CloseOnce = 5,
    /// Nothing until the client has gone, and an error some time after.
    Held = 6,
    /// It accepts, and only the media servers of cell 2 have the title.
    Lone = 7,
}

pub fn id_of(behaviour: Behaviour, node: usize, serial: u64) -> u64 {
    (behaviour as u64) << 56 | (node as u64) << 40 | (serial & 0xff_ffff_ffff)
}

pub fn node_of(id: u64) -> usize {
    (id >> 40 & 0xffff) as usize
}

pub fn behaviour_of(id: u64) -> Behaviour {
    use Behaviour::*;
    [Accept, Slow, ErrorOnce, Silent, ResetOnce, CloseOnce, Held, Lone][(id >> 56) as usize % 8]
}
