//! When to try again after a failure, by many at once.

use beechloft::api::Micros;

/// An exponential back-off with jitter: each wait is twice the one before, up to a bound, and between half of that and all of it by chance.
/// Guards against hundreds of front nodes that lose the same event bus at the same instant and would ask again together, at
/// each step of the same ladder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExponentialBackoff {
    first: Micros,
    most: Micros,
    failures: u8,
    dice: u64,
}

impl ExponentialBackoff {
    /// Waits that begin at `first` and grow to `most`; `seed` is each process's own.
    pub fn new(first: Micros, most: Micros, seed: u64) -> ExponentialBackoff {
        ExponentialBackoff { first, most, failures: 0, dice: seed }
    }

    /// A try failed: how long to wait for the next.
    pub fn next_delay(&mut self) -> Micros {
        let whole = (self.first.0 << self.failures.min(16)).min(self.most.0).max(1);
        self.failures = self.failures.saturating_add(1);
        // Splitmix64 (Steele, Lea and Flood, 2014): enough to keep processes apart.
        self.dice = self.dice.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.dice ^ (self.dice >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        let half = whole / 2;
        Micros(half + (z ^ (z >> 31)) % (whole - half + 1))
    }

    /// It went well: the next failure begins anew.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
