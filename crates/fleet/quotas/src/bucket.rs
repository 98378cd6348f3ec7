//! A token bucket whose rate changes as shares move.

use std::time::Duration;

/// Tokens are counted in millionths.
const MICRO: u64 = 1_000_000;

/// It fills at a share's rate and holds some time of it, one token at least. It begins empty, so that a share that moves to and fro brings
/// no tokens of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(crate) struct Bucket {
    level: u64,
    at: Duration,
    /// Thousandths of a token a second.
    rate: u64,
    burst_milli: u32,
}

impl Bucket {
    fn most(&self) -> u64 {
        if self.rate == 0 {
            return 0;
        }
        // Thousandths a second times thousandths of a second are millionths.
        self.rate.saturating_mul(u64::from(self.burst_milli)).max(MICRO)
    }

    /// Fills it up to now, at the rate that was.
    fn fill(&mut self, now: Duration) {
        let nanos = now.saturating_sub(self.at).as_nanos();
        self.at = self.at.max(now);
        // Thousandths a second times nanoseconds, over a million: millionths.
        let more = nanos.saturating_mul(u128::from(self.rate)) / 1_000_000;
        self.level = self.level.saturating_add(u64::try_from(more).unwrap_or(u64::MAX)).min(self.most());
    }

    /// The rate is another from now on.
    pub(crate) fn set(&mut self, now: Duration, rate: u64, burst_milli: u32) {
        self.fill(now);
        (self.rate, self.burst_milli) = (rate, burst_milli);
        self.level = self.level.min(self.most());
    }

    /// Whether there are so many tokens.
    pub(crate) fn has(&mut self, now: Duration, tokens: u64) -> bool {
        self.fill(now);
        self.level >= tokens.saturating_mul(MICRO)
    }

    /// Takes them.
    pub(crate) fn take(&mut self, tokens: u64) {
        self.level = self.level.saturating_sub(tokens.saturating_mul(MICRO));
    }

    /// How long until there is one, if the rate stays.
    pub(crate) fn wait(&self) -> Option<Duration> {
        let lacks = MICRO.saturating_sub(self.level);
        (self.rate > 0).then(|| Duration::from_micros(lacks.saturating_mul(1_000) / self.rate))
    }

    /// Nothing is minted before this: the account was opened now.
    pub(crate) fn empty(&mut self, now: Duration) {
        (self.level, self.at) = (0, self.at.max(now));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_holds_its_burst_and_mints_at_its_rate_whatever_the_steps() {
        let mut b = Bucket::default();
        let ms = Duration::from_millis;
        b.set(ms(0), 5_000, 1_000);
        let mut taken = 0;
        for t in 0..10_000 {
            if b.has(ms(t), 1) {
                b.take(1);
                taken += 1;
            }
        }
        assert!((49..=50).contains(&taken), "{taken}");
        // A rest fills it to its burst and no further.
        assert!(b.has(ms(60_000), 5) && !b.has(ms(60_000), 6));
        // A lower rate holds less, none holds nothing, and what comes back is empty.
        b.set(ms(60_000), 1_000, 1_000);
        assert!(b.has(ms(60_000), 1) && !b.has(ms(60_000), 2));
        b.set(ms(60_000), 0, 1_000);
        b.set(ms(61_000), 5_000, 1_000);
        assert!(!b.has(ms(61_000), 1));
        assert_eq!(b.wait(), Some(ms(200)));
    }
}
