//! A token bucket whose rate changes as shares move.

use std::time::Duration;

/// Tokens are counted in millionths.
const MICRO: u64 = 1_000_000;

/// A token bucket (RFC 2697) that fills at a share's rate. It holds the tokens of its burst time, and at least one. It is empty at
/// first, so that a share that moves between fronts yields no additional tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(crate) struct Bucket {
    level: u64,
    at: Duration,
    /// Thousandths of a token per second.
    rate: u64,
    burst_milli: u32,
}

impl Bucket {
    fn capacity(&self) -> u64 {
        if self.rate == 0 {
            return 0;
        }
        // Thousandths a second times thousandths of a second are millionths.
        self.rate.saturating_mul(u64::from(self.burst_milli)).max(MICRO)
    }

    /// Adds the tokens of the time until `now`, at the present rate.
    fn fill(&mut self, now: Duration) {
        let nanos = now.saturating_sub(self.at).as_nanos();
        self.at = self.at.max(now);
        // Thousandths a second times nanoseconds, over a million: millionths.
        let added = nanos.saturating_mul(u128::from(self.rate)) / 1_000_000;
        self.level = self.level.saturating_add(u64::try_from(added).unwrap_or(u64::MAX)).min(self.capacity());
    }

    /// Changes the rate.
    pub(crate) fn set(&mut self, now: Duration, rate: u64, burst_milli: u32) {
        self.fill(now);
        (self.rate, self.burst_milli) = (rate, burst_milli);
        self.level = self.level.min(self.capacity());
    }

    /// Whether there are this many tokens.
    pub(crate) fn has(&mut self, now: Duration, tokens: u64) -> bool {
        self.fill(now);
        self.level >= tokens.saturating_mul(MICRO)
    }

    /// Removes tokens.
    pub(crate) fn take(&mut self, tokens: u64) {
        self.level = self.level.saturating_sub(tokens.saturating_mul(MICRO));
    }

    /// The time until there is a token at the present rate; `None` at rate zero.
    pub(crate) fn wait(&self) -> Option<Duration> {
        let lacks = MICRO.saturating_sub(self.level);
        (self.rate > 0).then(|| Duration::from_micros(lacks.saturating_mul(1_000) / self.rate))
    }

    /// Empties the bucket: the account was opened now, and no tokens are due for the time before.
    pub(crate) fn empty(&mut self, now: Duration) {
        (self.level, self.at) = (0, self.at.max(now));
    }
}

#[cfg(test)]
mod tests;
