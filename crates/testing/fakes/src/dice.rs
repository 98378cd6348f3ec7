//! Seeded chance.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

/// A seeded source; the same seed gives the same draws.
#[derive(Debug, Clone)]
pub struct Dice(ChaCha8Rng);

impl Dice {
    /// Draws that follow from a seed.
    pub fn new(seed: u64) -> Self {
        Dice(ChaCha8Rng::seed_from_u64(seed))
    }

    /// Any number.
    pub fn number(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// From 0 up to 1.
    pub fn part(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Between two figures.
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.part()
    }

    /// True with this probability.
    pub fn chance(&mut self, p: f64) -> bool {
        self.part() < p
    }

    /// The time to the next of events that come at this rate.
    pub fn gap(&mut self, rate: f64) -> f64 {
        -(1.0 - self.part()).ln() / rate.max(1e-9)
    }

    /// An index, by weight.
    pub fn weighted(&mut self, weights: &[f64]) -> usize {
        let mut left = self.part() * weights.iter().sum::<f64>();
        for (n, weight) in weights.iter().enumerate() {
            left -= weight;
            if left < 0.0 {
                return n;
            }
        }
        weights.len().saturating_sub(1)
    }
}
