//! Definitions of limits, and what is wrong with them.

use std::collections::BTreeMap;
use std::fmt;

use beechloft_leases::{DriftBound, Name};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::key::Key;

/// Limits at most.
pub const MAX_LIMITS: usize = 64;
/// Customers with weights at one limit.
pub const MAX_WEIGHTS: usize = 256;
/// The most that a limit can be.
pub const MAX_LIMIT: u64 = 1 << 40;
/// Rates are counted in thousandths a second, so that a share of a small rate is more than nothing.
pub const MILLI: u64 = 1_000;
/// Fronts at most.
pub const MAX_FRONTS: u32 = 4096;

/// What is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Resource {
    /// Sessions at once.
    Sessions,
    /// Kbit/s at once: the highest that each session may be given.
    Kbits,
    /// Set-ups a second, first and further ones.
    SetUps,
    /// Further attempts a second: each after a session's first.
    Attempts,
}

impl Resource {
    /// Whether it is counted a second rather than at once.
    pub fn is_rate(self) -> bool {
        matches!(self, Resource::SetUps | Resource::Attempts)
    }
}

/// Of whom.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// Of all together.
    All,
    /// Of a customer.
    Customer,
    /// Of a title.
    Title,
    /// Of a class.
    Class,
    /// Of a viewer.
    Viewer,
    /// Of a rack's uplink.
    Uplink,
    /// Of a box.
    Box,
}

impl Scope {
    /// Whether it is known only once a box was chosen.
    pub fn needs_box(self) -> bool {
        matches!(self, Scope::Uplink | Scope::Box)
    }
}

/// How a limit is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Enforcement {
    /// Never over.
    Hard,
    /// Over by at most this many thousandths of it.
    Soft {
        /// Thousandths of the limit.
        over_milli: u32,
    },
}

/// A limit.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LimitDefinition {
    /// Its name.
    pub name: Name,
    /// Settings are version 0; the topic's offset is above.
    pub version: u64,
    /// What it counts.
    pub counts: Resource,
    /// Of whom.
    pub of: Scope,
    /// Only of this one; none: of each by itself.
    pub only: Option<Key>,
    /// How many at most: sessions, kbit/s, or a second.
    pub limit: u64,
    /// How it is kept.
    pub kind: Enforcement,
    /// Each front has this much of it at least: sessions, kbit/s, or thousandths a second.
    pub least: u64,
    /// Customers' weights; empty: nobody has a part of its own.
    pub weights: BTreeMap<Key, u32>,
    /// Thousandths of each weighted part that are never lent.
    pub keep_milli: u32,
    /// No session lives longer, milliseconds.
    pub longest_ms: u64,
    /// Seconds of its rate that a bucket holds, thousandths.
    pub burst_milli: u32,
    /// Fronts at most: for so many the least part is kept.
    pub fronts: u32,
    /// The longest that a set-up may be on its way to a box after it was admitted, milliseconds.
    pub settle_ms: u32,
}

/// What is wrong with a definition; `key` of the settings that says it.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DefinitionError {
    /// Out of bounds.
    #[error("{0} is out of range: 1 to {MAX_LIMIT}")]
    Limit(u64),
    /// The least parts of all fronts are more than the limit.
    #[error(
        "{least} for each of {seats} (fronts, times customers with weights) are {sum}, and the limit is {limit}"
    )]
    Least {
        /// The least part.
        least: u64,
        /// Fronts, times customers.
        seats: u64,
        /// Their product.
        sum: u64,
        /// The limit.
        limit: u64,
    },
    /// A least part for each of unboundedly many counters.
    #[error("a least part at each front of each viewer's limit would hold all of it; use 0")]
    LeastOfEach,
    /// A weight without effect.
    #[error("weights divide a limit between customers; one of a customer or a viewer has nothing to divide")]
    Weights,
    /// A weight out of bounds.
    #[error("a weight is from 1 to 1000000, and there are {MAX_WEIGHTS} at most")]
    Weight,
    /// No part of a thousand.
    #[error("{0} thousandths are not a part of the whole")]
    Part(u32),
    /// A soft limit's `over` that lets nothing grow.
    #[error("a soft limit needs an over of at least a thousandth, or no part could ever grow")]
    Over,
    /// No time after which a session is surely over.
    #[error("{0} ms is out of range: 1000 to 604800000")]
    Longest(u64),
    /// A burst out of bounds.
    #[error("{0} ms of burst is out of range: 0 to 60000")]
    Burst(u32),
    /// Too many fronts, or none.
    #[error("{0} fronts are out of range: 1 to {MAX_FRONTS}")]
    Fronts(u32),
    /// A set-up's time out of bounds.
    #[error("{0} ms are out of range: 100 to 600000")]
    Settle(u32),
    /// A key on a limit of all.
    #[error("a limit of all has no key")]
    Only,
    /// A soft limit with weights.
    #[error("weights need a hard limit: lending is the ledger's")]
    SoftWeights,
}

impl DefinitionError {
    /// The settings' key at fault.
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
    /// A hard limit with nothing special.
    pub fn hard(name: Name, counts: Resource, of: Scope, limit: u64) -> LimitDefinition {
        LimitDefinition {
            name,
            version: 0,
            counts,
            of,
            only: None,
            limit,
            kind: Enforcement::Hard,
            least: 0,
            weights: BTreeMap::new(),
            keep_milli: 0,
            longest_ms: 4 * 3_600_000,
            burst_milli: 1_000,
            fronts: 1,
            settle_ms: 10_000,
        }
    }

    /// The limit in the units of shares.
    pub fn units(&self) -> u64 {
        if self.counts.is_rate() { self.limit.saturating_mul(MILLI) } else { self.limit }
    }

    /// Whether the ledger holds it.
    pub fn is_hard(&self) -> bool {
        self.kind == Enforcement::Hard
    }

    /// Least parts that there may be at once: one for each front, and for each customer that has a weight.
    pub fn seats(&self) -> u64 {
        u64::from(self.fronts) * (self.weights.len() as u64).max(1)
    }

    /// What is wrong with it; all of it.
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

    /// A customer's own part, in units; none where nobody has one.
    pub fn part(&self, customer: &Key) -> Option<u64> {
        if self.weights.is_empty() {
            return None;
        }
        let sum: u128 = self.weights.values().map(|w| u128::from(*w)).sum();
        let own = u128::from(self.weights.get(customer).copied().unwrap_or(0));
        // A part of the whole is not more than the whole.
        Some((u128::from(self.units()) * own / sum.max(1)) as u64)
    }
}

impl fmt::Display for Resource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Resource::Sessions => "sessions",
            Resource::Kbits => "kbit/s",
            Resource::SetUps => "set-ups a second",
            Resource::Attempts => "further attempts a second",
        })
    }
}

/// What all limits share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QuotaParameters {
    /// Fronts at most; more than that may find no least part.
    pub fronts: u32,
    /// A front's account runs for so long each time, milliseconds.
    pub ttl_ms: u32,
    /// The longest that a set-up may be on its way to a box after it was admitted, milliseconds.
    pub settle_ms: u32,
    /// A front that hears from no more than half of the others for so long is cut off, milliseconds.
    pub horizon_ms: u32,
}

impl Default for QuotaParameters {
    fn default() -> QuotaParameters {
        QuotaParameters { fronts: 8, ttl_ms: 2_000, settle_ms: 10_000, horizon_ms: 3_000 }
    }
}

/// Times that can't hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum QuotaParametersError {
    /// The account's time.
    #[error(
        "{ttl_ms} ms leave {left_ms} ms after a drift of {ppm} ppm, and {MIN_USABLE_TTL_MS} are needed to renew it"
    )]
    Short {
        /// As set.
        ttl_ms: u32,
        /// What the drift leaves.
        left_ms: u64,
        /// The drift.
        ppm: u32,
    },
    /// Too many fronts.
    #[error("{0} fronts are out of range: 1 to {MAX_FRONTS}")]
    Fronts(u32),
}

/// What must be left of an account's time once the drift is off.
const MIN_USABLE_TTL_MS: u64 = 450;

impl QuotaParameters {
    /// Whether an account can be renewed in time.
    ///
    /// # Errors
    /// The time is under what the drift allows, or there are too many fronts.
    pub fn check(&self, drift: DriftBound) -> Result<(), QuotaParametersError> {
        let ttl = std::time::Duration::from_millis(u64::from(self.ttl_ms));
        let left_ms = drift.shorter(ttl).as_millis() as u64;
        if left_ms < MIN_USABLE_TTL_MS {
            return Err(QuotaParametersError::Short { ttl_ms: self.ttl_ms, left_ms, ppm: drift.as_ppm() });
        }
        if self.fronts == 0 || self.fronts > MAX_FRONTS {
            return Err(QuotaParametersError::Fronts(self.fronts));
        }
        Ok(())
    }
}
