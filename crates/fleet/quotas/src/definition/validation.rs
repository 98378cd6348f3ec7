//! Validation of definitions.

use thiserror::Error;

use super::{Enforcement, LimitDefinition, MAX_FRONTS, MAX_LIMIT, MAX_WEIGHTS, Scope};

/// Why a definition is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DefinitionError {
    /// Out of bounds.
    #[error("{0} is out of range: 1 to {MAX_LIMIT}")]
    Limit(u64),
    /// The sum of all minimum shares is more than the limit.
    #[error(
        "{least} for each of {seats} (fronts, times customers with weights) are {sum}, and the limit is {limit}"
    )]
    Least {
        /// The minimum share.
        least: u64,
        /// Fronts, times customers.
        seats: u64,
        /// Their product.
        sum: u64,
        /// The limit.
        limit: u64,
    },
    /// A minimum share for each of an unbounded number of counters.
    #[error("a least part at each front of each viewer's limit would hold all of it; use 0")]
    LeastOfEach,
    /// Weights without effect.
    #[error("weights divide a limit between customers; one of a customer or a viewer has nothing to divide")]
    Weights,
    /// A weight is out of range, or there are too many.
    #[error("a weight is from 1 to 1000000, and there are {MAX_WEIGHTS} at most")]
    Weight,
    /// More than a thousand thousandths.
    #[error("{0} thousandths are not a part of the whole")]
    Part(u32),
    /// A soft limit's `over` does not let any share grow.
    #[error("a soft limit needs an over of at least a thousandth, or no part could ever grow")]
    Over,
    /// The maximum duration of a session is out of range.
    #[error("{0} ms is out of range: 1000 to 604800000")]
    Longest(u64),
    /// The burst is out of range.
    #[error("{0} ms of burst is out of range: 0 to 60000")]
    Burst(u32),
    /// The number of fronts is out of range.
    #[error("{0} fronts are out of range: 1 to {MAX_FRONTS}")]
    Fronts(u32),
    /// The time of a set-up is out of range.
    #[error("{0} ms are out of range: 100 to 600000")]
    Settle(u32),
    /// A key at a limit of scope `All`.
    #[error("a limit of all has no key")]
    Only,
    /// A soft limit with weights.
    #[error("weights need a hard limit: lending is the ledger's")]
    SoftWeights,
}

impl DefinitionError {
    /// The key of the settings that is invalid.
    pub fn key(&self) -> &'static str {
        match self {
            DefinitionError::Limit(_) => "limit",
            DefinitionError::Least { .. } | DefinitionError::LeastOfEach => "least",
            DefinitionError::Weights | DefinitionError::Weight | DefinitionError::SoftWeights => "weights",
            DefinitionError::Part(_) => "keep",
            DefinitionError::Over => "over",
            DefinitionError::Longest(_) => "longest_s",
            DefinitionError::Burst(_) => "burst_ms",
            DefinitionError::Only => "key",
            DefinitionError::Fronts(_) => "fronts",
            DefinitionError::Settle(_) => "settle_ms",
        }
    }
}

impl LimitDefinition {
    /// Checks the definition; all errors.
    pub fn validate(&self) -> Vec<DefinitionError> {
        let mut all = Vec::new();
        if self.limit == 0 || self.limit > MAX_LIMIT {
            all.push(DefinitionError::Limit(self.limit));
        }
        let sum = self.least.saturating_mul(self.seats());
        if sum > self.units() {
            all.push(DefinitionError::Least {
                least: self.least,
                seats: self.seats(),
                sum,
                limit: self.units(),
            });
        }
        if self.fronts == 0 || self.fronts > MAX_FRONTS {
            all.push(DefinitionError::Fronts(self.fronts));
        }
        if !(100..=600_000).contains(&self.settle_ms) {
            all.push(DefinitionError::Settle(self.settle_ms));
        }
        if self.least > 0 && self.of == Scope::Viewer {
            all.push(DefinitionError::LeastOfEach);
        }
        if !self.weights.is_empty() {
            if matches!(self.of, Scope::Customer | Scope::Viewer) {
                all.push(DefinitionError::Weights);
            }
            if !self.is_hard() {
                all.push(DefinitionError::SoftWeights);
            }
        }
        if self.weights.len() > MAX_WEIGHTS || self.weights.values().any(|w| !(1..=1_000_000).contains(w)) {
            all.push(DefinitionError::Weight);
        }
        if self.keep_milli > 1_000 {
            all.push(DefinitionError::Part(self.keep_milli));
        }
        if matches!(self.kind, Enforcement::Soft { over_milli } if over_milli == 0) {
            all.push(DefinitionError::Over);
        }
        if !(1_000..=604_800_000).contains(&self.longest_ms) {
            all.push(DefinitionError::Longest(self.longest_ms));
        }
        if self.burst_milli > 60_000 {
            all.push(DefinitionError::Burst(self.burst_milli));
        }
        if self.of == Scope::All && self.only.is_some() {
            all.push(DefinitionError::Only);
        }
        all
    }
}
