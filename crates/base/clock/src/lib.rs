//! The time that fronts of either kind go by: microseconds since 1970, which never go back.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation)]
#![forbid(unsafe_code)]

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use beechloft::api::Micros;

/// A clock set once, at its start, by the system's; box starts in the list are told in that one's time.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    at: Micros,
}

impl Clock {
    /// Starts one.
    pub fn start() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), at: Micros(since.as_micros() as u64) }
    }

    /// When it was started.
    pub fn started(&self) -> Micros {
        self.at
    }

    /// Now.
    pub fn now(&self) -> Micros {
        self.at + Micros(self.start.elapsed().as_micros() as u64)
    }

    /// The moment of a time of the core.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros((at - self.at).0)
    }
}
