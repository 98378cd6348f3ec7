//! Definitions of limits, and what is wrong with them.

use std::collections::BTreeMap;
use std::fmt;

use beechloft_leases::{DriftBound, Name};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::words::Key;

/// Limits at most.
pub const MOST_LIMITS: usize = 64;
/// Customers with weights at one limit.
pub const MOST_WEIGHTS: usize = 256;
/// The most that a limit can be.
pub const MOST: u64 = 1 << 40;
/// Rates are counted in thousandths a second, so that a share of a small rate is more than nothing.
pub const MILLI: u64 = 1_000;
/// Fronts at most.
pub const MOST_FRONTS: u32 = 4096;

/// What is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Counts {
    /// Sessions at once.
    Sessions,
    /// Kbit/s at once: the highest that each session may be given.
    Kbits,
    /// Set-ups a second, first and further ones.
    SetUps,
    /// Further attempts a second: each after a session's first.
    Attempts,
}

impl Counts {
    /// Whether it is counted a second rather than at once.
    pub fn is_rate(self) -> bool {
        matches!(self, Counts::SetUps | Counts::Attempts)
    }
}

/// Of whom.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Of {
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

impl Of {
    /// Whether it is known only once a box was chosen.
    pub fn needs_box(self) -> bool {
        matches!(self, Of::Uplink | Of::Box)
    }
}

/// How a limit is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
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
pub struct Definition {
    /// Its name.
    pub name: Name,
    /// Settings are version 0; the topic's offset is above.
    pub version: u64,
    /// What it counts.
    pub counts: Counts,
    /// Of whom.
    pub of: Of,
    /// Only of this one; none: of each by itself.
    pub only: Option<Key>,
    /// How many at most: sessions, kbit/s, or a second.
    pub limit: u64,
    /// How it is kept.
    pub kind: Kind,
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
pub enum Unsound {
    /// Out of bounds.
    #[error("{0} is out of range: 1 to {MOST}")]
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
    #[error("a weight is from 1 to 1000000, and there are {MOST_WEIGHTS} at most")]
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
    #[error("{0} fronts are out of range: 1 to {MOST_FRONTS}")]
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

impl Unsound {
    /// The settings' key at fault.
    pub fn key(&self) -> &'static str {
        match self {
            Unsound::Limit(_) => "limit",
            Unsound::Least { .. } | Unsound::LeastOfEach => "least",
            Unsound::Weights | Unsound::Weight | Unsound::SoftWeights => "weights",
            Unsound::Part(_) => "keep",
            Unsound::Over => "over",
            Unsound::Longest(_) => "longest_s",
            Unsound::Burst(_) => "burst_ms",
            Unsound::Only => "key",
            Unsound::Fronts(_) => "fronts",
            Unsound::Settle(_) => "settle_ms",
        }
    }
}

impl Definition {
    /// A hard limit with nothing special.
    pub fn hard(name: Name, counts: Counts, of: Of, limit: u64) -> Definition {
        Definition {
            name,
            version: 0,
            counts,
            of,
            only: None,
            limit,
            kind: Kind::Hard,
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
        self.kind == Kind::Hard
    }

    /// Least parts that there may be at once: one for each front, and for each customer that has a weight.
    pub fn seats(&self) -> u64 {
        u64::from(self.fronts) * (self.weights.len() as u64).max(1)
    }

    /// What is wrong with it; all of it.
    pub fn faults(&self) -> Vec<Unsound> {
        let mut all = Vec::new();
        if self.limit == 0 || self.limit > MOST {
            all.push(Unsound::Limit(self.limit));
        }
        let sum = self.least.saturating_mul(self.seats());
        if sum > self.units() {
            all.push(Unsound::Least { least: self.least, seats: self.seats(), sum, limit: self.units() });
        }
        if self.fronts == 0 || self.fronts > MOST_FRONTS {
            all.push(Unsound::Fronts(self.fronts));
        }
        if !(100..=600_000).contains(&self.settle_ms) {
            all.push(Unsound::Settle(self.settle_ms));
        }
        if self.least > 0 && self.of == Of::Viewer {
            all.push(Unsound::LeastOfEach);
        }
        if !self.weights.is_empty() {
            if matches!(self.of, Of::Customer | Of::Viewer) {
                all.push(Unsound::Weights);
            }
            if !self.is_hard() {
                all.push(Unsound::SoftWeights);
            }
        }
        if self.weights.len() > MOST_WEIGHTS || self.weights.values().any(|w| !(1..=1_000_000).contains(w)) {
            all.push(Unsound::Weight);
        }
        if self.keep_milli > 1_000 {
            all.push(Unsound::Part(self.keep_milli));
        }
        if matches!(self.kind, Kind::Soft { over_milli } if over_milli == 0) {
            all.push(Unsound::Over);
        }
        if !(1_000..=604_800_000).contains(&self.longest_ms) {
            all.push(Unsound::Longest(self.longest_ms));
        }
        if self.burst_milli > 60_000 {
            all.push(Unsound::Burst(self.burst_milli));
        }
        if self.of == Of::All && self.only.is_some() {
            all.push(Unsound::Only);
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

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Counts::Sessions => "sessions",
            Counts::Kbits => "kbit/s",
            Counts::SetUps => "set-ups a second",
            Counts::Attempts => "further attempts a second",
        })
    }
}

/// What all limits share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rules {
    /// Fronts at most; more than that may find no least part.
    pub fronts: u32,
    /// A front's account runs for so long each time, milliseconds.
    pub ttl_ms: u32,
    /// The longest that a set-up may be on its way to a box after it was admitted, milliseconds.
    pub settle_ms: u32,
    /// A front that hears from no more than half of the others for so long is cut off, milliseconds.
    pub horizon_ms: u32,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules { fronts: 8, ttl_ms: 2_000, settle_ms: 10_000, horizon_ms: 3_000 }
    }
}

/// Times that can't hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Untimely {
    /// The account's time.
    #[error(
        "{ttl_ms} ms leave {left_ms} ms after a drift of {ppm} ppm, and {LEAST_MS} are needed to renew it"
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
    #[error("{0} fronts are out of range: 1 to {MOST_FRONTS}")]
    Fronts(u32),
}

/// What must be left of an account's time once the drift is off.
const LEAST_MS: u64 = 450;

impl Rules {
    /// Whether an account can be renewed in time.
    ///
    /// # Errors
    /// The time is under what the drift allows, or there are too many fronts.
    pub fn check(&self, drift: DriftBound) -> Result<(), Untimely> {
        let ttl = std::time::Duration::from_millis(u64::from(self.ttl_ms));
        let left_ms = drift.shorter(ttl).as_millis() as u64;
        if left_ms < LEAST_MS {
            return Err(Untimely::Short { ttl_ms: self.ttl_ms, left_ms, ppm: drift.as_ppm() });
        }
        if self.fronts == 0 || self.fronts > MOST_FRONTS {
            return Err(Untimely::Fronts(self.fronts));
        }
        Ok(())
    }
}
