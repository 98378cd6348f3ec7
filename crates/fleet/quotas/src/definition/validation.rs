//! Validation of definitions.

use std::ops::RangeInclusive;

use thiserror::Error;

use super::{Enforcement, LimitDefinition, MAX_FRONTS, MAX_LIMIT, MAX_WEIGHTS, Scope};

/// Valid weights of a customer.
const WEIGHTS: RangeInclusive<u32> = 1..=1_000_000;
/// Valid maximum times of a set-up, milliseconds.
const SETTLE_MS: RangeInclusive<u32> = 100..=600_000;
/// Valid maximum durations of a session, milliseconds.
const MAX_SESSION_MS: RangeInclusive<u64> = 1_000..=604_800_000;
/// Maximum capacity of a token bucket, milliseconds of its rate.
const MAX_BURST_MS: u32 = 60_000;

/// Why a definition is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DefinitionError {
    /// The value of the limit is out of range.
    #[error("{0} is out of range: 1 to {MAX_LIMIT}")]
    LimitOutOfRange(u64),
    /// The sum of all minimum shares exceeds the limit.
    #[error(
        "{min_share} for each of {count} (fronts times weighted customers) is {sum}, more than the limit of {limit}"
    )]
    MinSharesExceedLimit {
        /// The minimum share, in units.
        min_share: u64,
        /// Number of minimum shares: fronts times weighted customers.
        count: u64,
        /// The sum of all minimum shares, in units.
        sum: u64,
        /// The limit, in units.
        limit: u64,
    },
    /// Viewers are unbounded in number, so no minimum share can be reserved for the counter of each.
    #[error("a minimum share per front is not possible for a limit per viewer; use 0")]
    MinSharePerViewer,
    /// The limit belongs to one customer or one viewer, so weights have no effect.
    #[error("weights divide a limit between customers, but each counter of this one has a single customer")]
    WeightsWithoutEffect,
    /// A weight is out of range, or there are too many.
    #[error("a weight must be from 1 to 1000000, and at most {MAX_WEIGHTS} are allowed")]
    InvalidWeights,
    /// The reserved part is more than a thousand thousandths.
    #[error("{0} thousandths are more than the whole part")]
    ReservedPartOutOfRange(u32),
    /// A soft limit may not be exceeded at all, so that no share could grow.
    #[error("a soft limit must allow an excess of at least one thousandth, or no share can grow")]
    NoExcessAllowed,
    /// The maximum duration of a session is out of range.
    #[error("{0} ms is out of range: 1000 to 604800000")]
    MaxSessionOutOfRange(u64),
    /// The burst is out of range.
    #[error("a burst of {0} ms is out of range: 0 to 60000")]
    BurstOutOfRange(u32),
    /// The number of fronts is out of range.
    #[error("{0} fronts are out of range: 1 to {MAX_FRONTS}")]
    FrontsOutOfRange(u32),
    /// The maximum time of a set-up is out of range.
    #[error("{0} ms is out of range: 100 to 600000")]
    SettleTimeOutOfRange(u32),
    /// A limit of scope `All` has a key.
    #[error("a limit of scope 'all' has no key")]
    KeyOfAll,
    /// A soft limit has weights.
    #[error("weights require a hard limit, because only the ledger lends between customers")]
    WeightsOfSoftLimit,
}

impl DefinitionError {
    /// Returns the key of the settings whose value is invalid.
    pub fn key(&self) -> &'static str {
        match self {
            DefinitionError::LimitOutOfRange(_) => "limit",
            DefinitionError::MinSharesExceedLimit { .. } | DefinitionError::MinSharePerViewer => "least",
            DefinitionError::WeightsWithoutEffect
            | DefinitionError::InvalidWeights
            | DefinitionError::WeightsOfSoftLimit => "weights",
            DefinitionError::ReservedPartOutOfRange(_) => "keep",
            DefinitionError::NoExcessAllowed => "over",
            DefinitionError::MaxSessionOutOfRange(_) => "longest_s",
            DefinitionError::BurstOutOfRange(_) => "burst_ms",
            DefinitionError::KeyOfAll => "key",
            DefinitionError::FrontsOutOfRange(_) => "fronts",
            DefinitionError::SettleTimeOutOfRange(_) => "settle_ms",
        }
    }
}

impl LimitDefinition {
    /// Returns all errors of the definition; an empty list if it is valid.
    pub fn validate(&self) -> Vec<DefinitionError> {
        let mut errors = Vec::new();
        if self.limit == 0 || self.limit > MAX_LIMIT {
            errors.push(DefinitionError::LimitOutOfRange(self.limit));
        }
        let sum = self.min_share.saturating_mul(self.max_min_shares());
        if sum > self.units() {
            errors.push(DefinitionError::MinSharesExceedLimit {
                min_share: self.min_share,
                count: self.max_min_shares(),
                sum,
                limit: self.units(),
            });
        }
        if self.fronts == 0 || self.fronts > MAX_FRONTS {
            errors.push(DefinitionError::FrontsOutOfRange(self.fronts));
        }
        if !SETTLE_MS.contains(&self.settle_ms) {
            errors.push(DefinitionError::SettleTimeOutOfRange(self.settle_ms));
        }
        if self.min_share > 0 && self.scope == Scope::Viewer {
            errors.push(DefinitionError::MinSharePerViewer);
        }
        if !self.weights.is_empty() {
            if matches!(self.scope, Scope::Customer | Scope::Viewer) {
                errors.push(DefinitionError::WeightsWithoutEffect);
            }
            if !self.is_hard() {
                errors.push(DefinitionError::WeightsOfSoftLimit);
            }
        }
        if self.weights.len() > MAX_WEIGHTS || self.weights.values().any(|weight| !WEIGHTS.contains(weight)) {
            errors.push(DefinitionError::InvalidWeights);
        }
        if self.reserved_milli > 1_000 {
            errors.push(DefinitionError::ReservedPartOutOfRange(self.reserved_milli));
        }
        if matches!(self.enforcement, Enforcement::Soft { over_milli } if over_milli == 0) {
            errors.push(DefinitionError::NoExcessAllowed);
        }
        if !MAX_SESSION_MS.contains(&self.max_session_ms) {
            errors.push(DefinitionError::MaxSessionOutOfRange(self.max_session_ms));
        }
        if self.burst_ms > MAX_BURST_MS {
            errors.push(DefinitionError::BurstOutOfRange(self.burst_ms));
        }
        if self.scope == Scope::All && self.only_key.is_some() {
            errors.push(DefinitionError::KeyOfAll);
        }
        errors
    }
}
