//! Delays between retries of many processes at once.

use beechloft::api::Micros;

/// Doublings after which the delay is at its maximum in any case.
const MAX_DOUBLINGS: u8 = 16;

/// Exponential backoff with jitter: the delay doubles with each failure up to a maximum, and a random part of up to half of
/// it is left out. The jitter keeps processes that lose the same server at the same time from retrying together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExponentialBackoff {
    initial: Micros,
    max: Micros,
    failures: u8,
    random_state: u64,
}

impl ExponentialBackoff {
    /// Delays from `initial` to `max`. Each process needs a `seed` of its own.
    pub fn new(initial: Micros, max: Micros, seed: u64) -> ExponentialBackoff {
        ExponentialBackoff { initial, max, failures: 0, random_state: seed }
    }

    /// The delay until the next try, after another failure.
    pub fn next_delay(&mut self) -> Micros {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let full = (self.initial.0 << doublings).min(self.max.0).max(1);
        self.failures = self.failures.saturating_add(1);
        let half = full / 2;
        Micros(half + self.next_random() % (full - half + 1))
    }

    /// Starts with the initial delay again, after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// SplitMix64 (Steele, Lea and Flood, OOPSLA 2014).
    fn next_random(&mut self) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let state = self.random_state;
        let mixed_once = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed_twice = (mixed_once ^ (mixed_once >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed_twice ^ (mixed_twice >> 31)
    }
}
