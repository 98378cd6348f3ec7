//! The time that the loop uses.

use beechloft::api::Micros;
use beechloft_clock::Clock;

/// A running clock, or a time that a test sets.
#[derive(Debug, Clone, Copy)]
pub(crate) enum TimeSource {
    /// The monotonic clock of the process.
    Clock(Clock),
    /// A time that stands still until a test sets another.
    Manual(Micros),
}

impl TimeSource {
    /// The time now, in microseconds since 1970.
    pub fn now(&self) -> Micros {
        match self {
            TimeSource::Clock(clock) => clock.now(),
            TimeSource::Manual(now) => *now,
        }
    }
}
