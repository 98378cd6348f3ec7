//! A token bucket whose rate changes as shares move between fronts.

use std::time::Duration;

/// The level of one token. Levels are counted in millionths of a token.
const MICRO_PER_TOKEN: u64 = 1_000_000;

/// A token bucket (RFC 2697) that fills at the rate of a share.
///
/// It holds the tokens of its burst time, and at least one. It is empty at first, so that a share that moves between fronts yields no
/// additional tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(crate) struct TokenBucket {
    /// Millionths of a token.
    level: u64,
    filled_at: Duration,
    /// Thousandths of a token per second.
    rate: u64,
    burst_ms: u32,
}

impl TokenBucket {
    /// Returns the maximum level.
    fn capacity(&self) -> u64 {
        if self.rate == 0 {
            return 0;
        }
        // Thousandths per second times milliseconds are millionths.
        self.rate.saturating_mul(u64::from(self.burst_ms)).max(MICRO_PER_TOKEN)
    }

    /// Adds the tokens of the time until `now`, at the present rate.
    fn fill(&mut self, now: Duration) {
        let nanos = now.saturating_sub(self.filled_at).as_nanos();
        self.filled_at = self.filled_at.max(now);
        // Thousandths per second times nanoseconds, divided by a million, are millionths.
        let added = nanos.saturating_mul(u128::from(self.rate)) / 1_000_000;
        self.level = self.level.saturating_add(u64::try_from(added).unwrap_or(u64::MAX)).min(self.capacity());
    }

    /// Changes the rate, in thousandths of a token per second.
    pub(crate) fn set_rate(&mut self, now: Duration, rate: u64, burst_ms: u32) {
        self.fill(now);
        (self.rate, self.burst_ms) = (rate, burst_ms);
        self.level = self.level.min(self.capacity());
    }

    /// Returns whether the bucket holds this many tokens.
    pub(crate) fn has(&mut self, now: Duration, tokens: u64) -> bool {
        self.fill(now);
        self.level >= tokens.saturating_mul(MICRO_PER_TOKEN)
    }

    /// Removes tokens.
    pub(crate) fn take(&mut self, tokens: u64) {
        self.level = self.level.saturating_sub(tokens.saturating_mul(MICRO_PER_TOKEN));
    }

    /// Returns the time from the last fill until the bucket holds a token. Returns `None` if the rate is zero.
    pub(crate) fn time_until_token(&self) -> Option<Duration> {
        let missing = MICRO_PER_TOKEN.saturating_sub(self.level);
        (self.rate > 0).then(|| Duration::from_micros(missing.saturating_mul(1_000) / self.rate))
    }

    /// Empties the bucket, because no tokens are due for the time before the account was opened.
    pub(crate) fn clear(&mut self, now: Duration) {
        (self.level, self.filled_at) = (0, self.filled_at.max(now));
    }
}

#[cfg(test)]
mod tests;
