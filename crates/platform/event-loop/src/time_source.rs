//! The source of the loop's time.

use beechloft::api::Micros;
use beechloft_clock::Clock;

/// Source of the current time.
#[derive(Debug, Clone, Copy)]
pub(crate) enum TimeSource {
    /// The monotonic clock of the process.
    Clock(Clock),
    /// A fixed time that a test has set.
    Manual(Micros),
}

impl TimeSource {
    /// Returns the current time, in microseconds since 1970.
    pub fn now(&self) -> Micros {
        match self {
            TimeSource::Clock(clock) => clock.now(),
            TimeSource::Manual(now) => *now,
        }
    }
}
