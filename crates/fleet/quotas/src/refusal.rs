//! Refusals: the limit that was reached, the reason, and when to retry.

use std::time::Duration;

use beechloft_leases::Name;
use rand::{Rng, RngExt};
use thiserror::Error;

use crate::key::Key;

/// Why a session or an attempt is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// This front's share is in use.
    Full,
    /// The limit was lowered below the present use.
    Lowered,
    /// The rate of this front's share is used up at present.
    Rate,
    /// This front has no account in the ledger, and thus no share.
    NoAccount,
}

/// A refusal of a session or an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("limit '{limit}' is reached for key '{key}'")]
pub struct Refusal {
    /// The limit that is reached.
    pub limit: Name,
    /// The key of the counter.
    pub key: Key,
    /// The reason.
    pub reason: RefusalReason,
    /// Delay before a retry.
    pub retry_after: Duration,
}

/// Minimum delay before a retry.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum delay before a retry.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);
/// Length of the window over which refusals and releases are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Numbers of recent refusals and releases, from which delays before retries are estimated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(crate) struct RecentCounts {
    window_start: Duration,
    refused: u32,
    released: u32,
    /// Releases in the previous window, so that the first refusals of a window have an estimate.
    released_before: u32,
}

impl RecentCounts {
    /// Starts a new window if the present one is over.
    fn roll(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed >= WINDOW {
            self.released_before = if elapsed >= 2 * WINDOW { 0 } else { self.released };
            (self.window_start, self.refused, self.released) = (now, 0, 0);
        }
    }

    /// Counts a release.
    pub(crate) fn record_release(&mut self, now: Duration) {
        self.roll(now);
        self.released = self.released.saturating_add(1);
    }

    /// Counts a refusal and returns the delay before its retry, which is at least `min_delay` within bounds. The retries of a window
    /// are spread over the time in which as many releases are expected.
    pub(crate) fn record_refusal(
        &mut self,
        now: Duration,
        min_delay: Duration,
        rng: &mut impl Rng,
    ) -> Duration {
        self.roll(now);
        self.refused = self.refused.saturating_add(1);
        let released = self.released.max(self.released_before).max(1);
        let spread = (WINDOW * self.refused / released).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        let max_micros = u64::try_from(spread.as_micros()).unwrap_or(u64::MAX);
        let micros = rng.random_range(0..=max_micros);
        min_delay.clamp(MIN_RETRY_DELAY / 4, MAX_RETRY_DELAY) + Duration::from_micros(micros)
    }
}
