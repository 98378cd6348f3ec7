//! Exponential backoff with jitter for processes that retry independently of each other.

use beechloft::api::Micros;

/// Maximum number of doublings, which bounds the shift. The delay reaches its maximum earlier.
const MAX_DOUBLINGS: u8 = 16;

/// Exponential backoff with jitter.
///
/// The delay doubles with each failure up to a maximum, and is shortened by a random part of up to one half. The jitter
/// prevents processes that lose the same server at the same time from retrying at the same time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExponentialBackoff {
    initial: Micros,
    max: Micros,
    failures: u8,
    random_state: u64,
}

impl ExponentialBackoff {
    /// Creates a backoff whose delays grow from `initial` to `max`. Each process needs a different `seed`.
    pub fn new(initial: Micros, max: Micros, seed: u64) -> ExponentialBackoff {
        ExponentialBackoff { initial, max, failures: 0, random_state: seed }
    }

    /// Returns the delay before the next attempt, and counts another failure.
    pub fn next_delay(&mut self) -> Micros {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let full_delay = (self.initial.0 << doublings).min(self.max.0).max(1);
        self.failures = self.failures.saturating_add(1);
        let half_delay = full_delay / 2;
        Micros(half_delay + self.next_random() % (full_delay - half_delay + 1))
    }

    /// Resets the delay to its initial value after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the next number of the SplitMix64 generator (Steele, Lea and Flood, OOPSLA 2014).
    fn next_random(&mut self) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let state = self.random_state;
        let mixed_once = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed_twice = (mixed_once ^ (mixed_once >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed_twice ^ (mixed_twice >> 31)
    }
}
