//! The time that the loop goes by.

use beechloft::api::Micros;
use beechloft_clock::Clock;

/// A clock that runs, or a time that a test gives.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Time {
    /// It runs by itself.
    Runs(Clock),
    /// It stands until another is given.
    Given(Micros),
}

impl Time {
    pub fn now(&self) -> Micros {
        match self {
            Time::Runs(clock) => clock.now(),
            Time::Given(at) => *at,
        }
    }
}
