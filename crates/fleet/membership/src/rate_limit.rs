//! A token bucket that limits the rate of what a member sends.

use std::time::Duration;

/// A token bucket whose capacity equals its refill rate per second.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    capacity: f64,
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// Creates a full bucket. `now` is read from the same clock as the time of all later calls.
    pub fn full(capacity: f64, now: Duration) -> TokenBucket {
        TokenBucket { capacity, tokens: capacity, refilled_at: now }
    }

    /// Takes `cost` tokens. Returns false and takes none if there are too few.
    pub fn try_take(&mut self, now: Duration, cost: f64) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.capacity).min(self.capacity);
        self.refilled_at = now;
        if self.tokens < cost {
            return false;
        }
        self.tokens -= cost;
        true
    }
}
