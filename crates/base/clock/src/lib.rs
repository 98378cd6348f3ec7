//! Monotonic clock of the front servers, in microseconds since the Unix epoch.
#![forbid(unsafe_code)]

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use beechloft::api::Micros;

/// Monotonic clock in microseconds since the Unix epoch.
///
/// The clock reads the system time once at its start and advances with the monotonic clock of the operating system.
/// Later changes of the system time do not affect it.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start_instant: Instant,
    started_at: Micros,
}

impl Clock {
    /// Starts a clock at the current system time.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start_instant: Instant::now(), started_at: micros(since_epoch) }
    }

    /// Returns the time at which the clock started.
    pub fn started_at(&self) -> Micros {
        self.started_at
    }

    /// Returns the current time.
    pub fn now(&self) -> Micros {
        self.started_at + micros(self.start_instant.elapsed())
    }

    /// Converts a time of this clock to an instant. A time before the clock's start results in the instant of the
    /// start.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start_instant + Duration::from_micros((at - self.started_at).0)
    }
}

/// Converts a duration to microseconds. A duration that is too long results in the maximum.
fn micros(duration: Duration) -> Micros {
    Micros(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
}
