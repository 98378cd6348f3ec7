//! The time that front servers use: microseconds since 1970 that never go back.
#![forbid(unsafe_code)]

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use beechloft::api::Micros;

/// A monotonic clock in microseconds since 1970.
///
/// It takes the system's time once, at its start, and counts on from there: changes of the system's time do not affect it.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
    started_at: Micros,
}

impl Clock {
    /// Starts a clock with the system's time.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), started_at: micros(since_epoch) }
    }

    /// The time at its start.
    pub fn started(&self) -> Micros {
        self.started_at
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.started_at + micros(self.started.elapsed())
    }

    /// The instant of a time of this clock. Times before its start are taken for its start.
    pub fn instant(&self, at: Micros) -> Instant {
        self.started + Duration::from_micros((at - self.started_at).0)
    }
}

fn micros(duration: Duration) -> Micros {
    Micros(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
}
