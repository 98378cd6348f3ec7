//! The front's clock, and a random seed for fronts without a configured one.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};

pub use beechloft_clock::Clock;

/// Returns a random seed. It is derived from the standard library's hash keys, which come from the system's random source.
pub fn entropy() -> u64 {
    RandomState::new().build_hasher().finish()
}
