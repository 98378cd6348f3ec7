//! What is due when.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use beechloft::api::{Micros, ServerId, TimerToken};
use beechloft_protocol::CallId;

/// What is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Due {
    /// A timer of the module's.
    Module(TimerToken),
    /// An attempt, by its number, is to be dropped.
    Attempt(CallId, u16),
    /// After SIGTERM: all that is owed is answered, as the process has not long to live.
    LastCall,
    /// An answer is owed by now.
    Answer(CallId),
    /// A probe is to be dropped.
    Probe(CallId, ServerId),
    /// Releases that found no connection, and figures to be let go.
    Sweep,
}

/// Timers, in order of their time and of their setting.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    heap: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    set: u64,
}

impl Timers {
    pub fn set(&mut self, at: Micros, due: Due) {
        self.set += 1;
        self.heap.push(Reverse((at, self.set, due)));
    }

    /// The next that is due by now.
    pub fn pop(&mut self, now: Micros) -> Option<Due> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, _, due))| due)
    }

    pub fn next(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse((at, _, _))| *at)
    }

    pub fn len(&self) -> usize {
        self.heap.len()
    }
}
