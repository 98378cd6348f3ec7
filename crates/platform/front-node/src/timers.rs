//! Timers of the state machine.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use beechloft::api::{Micros, ServerId, TimerToken};
use beechloft_protocol::CallId;

/// What a timer is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A timer of the policy.
    Policy(TimerToken),
    /// The timeout of a session's attempt, by its number.
    Attempt(CallId, u16),
    /// After SIGTERM: all pending answers are given, as the process is killed soon.
    ShutdownDeadline,
    /// The deadline of a session's answer.
    Answer(CallId),
    /// The timeout of a health check.
    HealthCheck(CallId, ServerId),
    /// What is remembered for a while is checked for its age.
    Expiry,
}

/// Timers in the order of their time, and of their setting within the same instant.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    heap: BinaryHeap<Reverse<(Micros, u64, Timer)>>,
    last_sequence: u64,
}

impl Timers {
    pub fn set(&mut self, at: Micros, timer: Timer) {
        self.last_sequence += 1;
        self.heap.push(Reverse((at, self.last_sequence, timer)));
    }

    /// Removes the next timer that is due by now.
    pub fn pop(&mut self, now: Micros) -> Option<Timer> {
        if self.next_due()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, _, timer))| timer)
    }

    pub fn next_due(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse((at, _, _))| *at)
    }

    pub fn len(&self) -> usize {
        self.heap.len()
    }
}
