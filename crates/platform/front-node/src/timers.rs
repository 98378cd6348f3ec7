//! Timers of the state machine.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use beechloft::api::{Micros, ServerId, TimerToken};
use beechloft_protocol::CallId;

/// Purpose of a timer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Timer that the policy set.
    Policy(TimerToken),
    /// Timeout of the attempt of a session with this ordinal.
    Attempt(CallId, u16),
    /// Time after SIGTERM at which all pending set-ups are answered, because the process is killed soon.
    ShutdownDeadline,
    /// Deadline for the answer to a session's set-up.
    Answer(CallId),
    /// Timeout of a health check.
    HealthCheck(CallId, ServerId),
    /// Periodic removal of expired state.
    Expiry,
}

/// Queue of timers, ordered by their time. Timers with the same time fire in the order in which they were set.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    heap: BinaryHeap<Reverse<(Micros, u64, Timer)>>,
    last_sequence: u64,
}

impl Timers {
    /// Adds a timer that is due at `at`.
    pub fn set(&mut self, at: Micros, timer: Timer) {
        self.last_sequence += 1;
        self.heap.push(Reverse((at, self.last_sequence, timer)));
    }

    /// Removes and returns the next timer that is due at `now`. Returns `None` if no timer is due.
    pub fn pop(&mut self, now: Micros) -> Option<Timer> {
        if self.next_due()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, _, timer))| timer)
    }

    /// Returns the time of the next timer.
    pub fn next_due(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse((at, _, _))| *at)
    }

    /// Returns the number of timers that are set.
    pub fn len(&self) -> usize {
        self.heap.len()
    }
}
