//! The answer "no": which limit, why, and when to come again.

use std::time::Duration;

use beechloft_leases::Name;
use rand::{Rng, RngExt};
use thiserror::Error;

use crate::key::Key;

/// Why somebody is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// This front's share is in use.
    Full,
    /// More is over than the limit allows since it was lowered.
    Lowered,
    /// The rate is used up for now.
    Rate,
    /// This front has no account at the keepers, and so no share.
    NoAccount,
}

/// Not admitted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the limit '{limit}' of '{key}' is reached")]
pub struct Refusal {
    /// Which limit.
    pub limit: Name,
    /// Whose.
    pub key: Key,
    /// Why.
    pub why: RefusalReason,
    /// Come again after this.
    pub again: Duration,
}

/// The shortest and the longest time after which one that was refused is told to come again.
const AGAIN: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(60));
/// Refusals and ends are counted over so long.
const WINDOW: Duration = Duration::from_secs(1);

/// How many were refused, and how many places came free, of late.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(crate) struct Lately {
    since: Duration,
    refused: u32,
    freed: u32,
    /// Freed in the window before, so that the first of a window are not told of none.
    freed_before: u32,
}

impl Lately {
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

    /// Another is refused: when it is to come again. Those of a window are spread over the time in which so many places come
    /// free, as far as is seen.
    pub(crate) fn again(&mut self, now: Duration, first: Duration, rng: &mut impl Rng) -> Duration {
        self.roll(now);
        self.refused = self.refused.saturating_add(1);
        let freed = self.freed.max(self.freed_before).max(1);
        let spread = (WINDOW * self.refused / freed).clamp(AGAIN.0, AGAIN.1);
        let micros = rng.random_range(0..=spread.as_micros() as u64);
        first.clamp(AGAIN.0 / 4, AGAIN.1) + Duration::from_micros(micros)
    }
}
