//! An explicit-state model checker.
//!
//! The checker explores every order of events of a model in breadth-first order up to a depth, and finds a shortest sequence that
//! violates an invariant.
//!
//! The method is that of TLC (Yu, Manolios and Lamport, "Model Checking TLA+ Specifications", CHARME 1999). Visited states are
//! recorded by a fingerprint of 128 bits. Two states with the same fingerprint would be taken for one; among ten million states
//! the probability of that is below 10⁻²⁴.
//!
//! The model drives the production code; this crate does not depend on it. Each level is expanded by several threads and merged in
//! order, so that the result of a model is always the same.
#![forbid(unsafe_code)]

mod explorer;
mod fingerprint;
mod model;
mod network;
#[cfg(test)]
mod tests;

pub use explorer::explore;
pub use fingerprint::{FingerprintHasher, hash_unordered};
pub use model::{Counterexample, Exploration, Limits, Model};
pub use network::insert_unique;
