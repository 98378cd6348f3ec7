//! The core's time, and chance where no seed is given.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};

pub use beechloft_clock::Clock;

/// A seed where none is given. The standard library's hash keys come from the system's random source.
pub fn entropy() -> u64 {
    RandomState::new().build_hasher().finish()
}
