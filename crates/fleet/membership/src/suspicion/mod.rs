//! Suspicion timeouts that shrink with independent confirmations (Lifeguard, section IV-B).

use std::collections::BTreeSet;
use std::time::Duration;

use crate::identity::{Incarnation, MemberId};

/// Number of independent confirmations at which the timeout reaches its minimum (the paper's K).
const MAX_CONFIRMATIONS: usize = 3;
/// Minimum timeout in protocol periods, per decimal logarithm of the number of members (the paper's alpha).
const MIN_TIMEOUT_FACTOR: f64 = 5.0;
/// Maximum timeout as a multiple of the minimum timeout (the paper's beta).
const MAX_TIMEOUT_FACTOR: f64 = 6.0;

/// A suspicion of one incarnation of a member.
#[derive(Debug, Clone)]
pub(crate) struct Suspicion {
    pub incarnation: Incarnation,
    started_at: Duration,
    first_suspecter: MemberId,
    /// Members that confirmed the suspicion, without the first suspecter.
    confirmations: BTreeSet<MemberId>,
}

impl Suspicion {
    pub fn new(incarnation: Incarnation, by: MemberId, now: Duration) -> Suspicion {
        Suspicion { incarnation, started_at: now, first_suspecter: by, confirmations: BTreeSet::new() }
    }

    /// Counts a confirmation. Returns whether it is new and shortens the timeout.
    pub fn confirm(&mut self, by: MemberId) -> bool {
        by != self.first_suspecter
            && self.confirmations.len() < MAX_CONFIRMATIONS
            && self.confirmations.insert(by)
    }

    /// Returns the time at which the member is declared dead, in a fleet of `members` active members.
    pub fn deadline(&self, members: usize, period: Duration) -> Duration {
        let min = MIN_TIMEOUT_FACTOR * (members as f64).log10().max(1.0) * period.as_secs_f64();
        let max = MAX_TIMEOUT_FACTOR * min;
        // Neither the suspected member nor the first suspecter can confirm the suspicion.
        let expected = MAX_CONFIRMATIONS.min(members.saturating_sub(2));
        let confirmed = if expected == 0 {
            1.0
        } else {
            (self.confirmations.len() as f64 + 1.0).ln() / (expected as f64 + 1.0).ln()
        };
        let timeout = (max - (max - min) * confirmed).max(min);
        self.started_at + Duration::from_secs_f64(timeout)
    }

    /// Postpones the deadline by the time for which this process was paused.
    pub fn postpone(&mut self, pause: Duration) {
        self.started_at += pause;
    }
}

#[cfg(test)]
mod tests;
