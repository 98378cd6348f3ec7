//! Refusals: which limit was reached, why, and when to retry.

use std::time::Duration;

use beechloft_leases::Name;
use rand::{Rng, RngExt};
use thiserror::Error;

use crate::key::Key;

/// Why a session or an attempt is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// This front's share is used up.
    Full,
    /// The limit was lowered below the present use.
    Lowered,
    /// The rate is used up at present.
    Rate,
    /// This front has no account at the replicas, and so no share.
    NoAccount,
}

/// A refusal.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the limit '{limit}' of '{key}' is reached")]
pub struct Refusal {
    /// The limit.
    pub limit: Name,
    /// The key of the counter.
    pub key: Key,
    /// The reason.
    pub why: RefusalReason,
    /// Delay before a retry.
    pub again: Duration,
}

/// Minimum delay before a retry.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum delay before a retry.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);
/// The window over which refusals and releases are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Recent refusals and releases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(crate) struct RecentCounts {
    since: Duration,
    refused: u32,
    freed: u32,
    /// Releases in the previous window, so that the first refusals of a window have an estimate.
    freed_before: u32,
}

impl RecentCounts {
    fn roll(&mut self, now: Duration) {
        if now.saturating_sub(self.since) >= WINDOW {
            self.freed_before = if now.saturating_sub(self.since) >= 2 * WINDOW { 0 } else { self.freed };
            (self.since, self.refused, self.freed) = (now, 0, 0);
        }
    }

    pub(crate) fn freed(&mut self, now: Duration) {
        self.roll(now);
        self.freed = self.freed.saturating_add(1);
    }

    /// Counts a refusal and returns the delay before its retry. The retries of a window are spread over the time in which as many
    /// releases are expected.
    pub(crate) fn retry_delay(&mut self, now: Duration, first: Duration, rng: &mut impl Rng) -> Duration {
        self.roll(now);
        self.refused = self.refused.saturating_add(1);
        let freed = self.freed.max(self.freed_before).max(1);
        let spread = (WINDOW * self.refused / freed).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        let max_micros = u64::try_from(spread.as_micros()).unwrap_or(u64::MAX);
        let micros = rng.random_range(0..=max_micros);
        first.clamp(MIN_RETRY_DELAY / 4, MAX_RETRY_DELAY) + Duration::from_micros(micros)
    }
}
