//! Definitions of limits, their validation, and parameters of the whole ledger.

mod parameters;
mod validation;

use std::collections::BTreeMap;
use std::fmt;

use beechloft_leases::Name;
use serde::{Deserialize, Serialize};

use crate::key::Key;

pub use self::parameters::{QuotaParameters, QuotaParametersError};
pub use self::validation::DefinitionError;

/// Maximum number of limits.
pub const MAX_LIMITS: usize = 64;
/// Maximum number of customers with weights at one limit.
pub const MAX_WEIGHTS: usize = 256;
/// Maximum value of a limit.
pub const MAX_LIMIT: u64 = 1 << 40;
/// Rates are counted in thousandths per second, so that a share of a small rate is more than zero.
pub const MILLI: u64 = 1_000;
/// Maximum number of fronts.
pub const MAX_FRONTS: u32 = 4096;

/// The resource that a limit bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Resource {
    /// Concurrent sessions.
    Sessions,
    /// The sum of kbit/s of concurrent sessions, each with the highest rate that it may be given.
    Kbits,
    /// Set-ups per second, first and further attempts.
    SetUps,
    /// Further attempts per second: each after a session's first.
    Attempts,
}

impl Resource {
    /// Whether it is a rate rather than a concurrent amount.
    pub fn is_rate(self) -> bool {
        matches!(self, Resource::SetUps | Resource::Attempts)
    }
}

/// Whose use is summed up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// All sessions.
    All,
    /// Those of a customer.
    Customer,
    /// Those of a title.
    Title,
    /// Those of a class.
    Class,
    /// Those of a viewer.
    Viewer,
    /// Those over a rack's uplink.
    Uplink,
    /// Those at a media server.
    Box,
}

impl Scope {
    /// Whether it is known only once a media server was chosen.
    pub fn needs_box(self) -> bool {
        matches!(self, Scope::Uplink | Scope::Box)
    }
}

/// How a limit is enforced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Enforcement {
    /// Never exceeded.
    Hard,
    /// Exceeded by at most this many thousandths of it.
    Soft {
        /// Thousandths of the limit.
        over_milli: u32,
    },
}

/// The definition of a limit.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LimitDefinition {
    /// Its name.
    pub name: Name,
    /// 0 for a definition of the settings; above that, the offset in the topic.
    pub version: u64,
    /// The resource.
    pub counts: Resource,
    /// Whose use is summed up.
    pub of: Scope,
    /// The key that it applies to; `None` for each key by itself.
    pub only: Option<Key>,
    /// Its value: sessions, kbit/s, or per second.
    pub limit: u64,
    /// Its enforcement.
    pub kind: Enforcement,
    /// Minimum share of each front: sessions, kbit/s, or thousandths per second.
    pub least: u64,
    /// Weights of customers; empty if the limit is not divided between customers.
    pub weights: BTreeMap<Key, u32>,
    /// Thousandths of each weighted part that are never lent to others.
    pub keep_milli: u32,
    /// Maximum duration of a session, milliseconds.
    pub longest_ms: u64,
    /// Capacity of a token bucket, milliseconds of its rate.
    pub burst_milli: u32,
    /// Maximum number of fronts, for which minimum shares are reserved.
    pub fronts: u32,
    /// Maximum time from the admission of a set-up to its arrival at the media server, milliseconds.
    pub settle_ms: u32,
}

impl LimitDefinition {
    /// A hard limit with defaults.
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

    /// The value in the units of shares.
    pub fn units(&self) -> u64 {
        if self.counts.is_rate() { self.limit.saturating_mul(MILLI) } else { self.limit }
    }

    /// Whether it is a hard limit, which the ledger enforces.
    pub fn is_hard(&self) -> bool {
        self.kind == Enforcement::Hard
    }

    /// Maximum number of minimum shares: one for each front and customer with a weight.
    pub fn seats(&self) -> u64 {
        u64::from(self.fronts) * (self.weights.len() as u64).max(1)
    }

    /// A customer's own part, in units; `None` if the limit has no weights.
    pub fn part(&self, customer: &Key) -> Option<u64> {
        if self.weights.is_empty() {
            return None;
        }
        let sum: u128 = self.weights.values().map(|w| u128::from(*w)).sum();
        let own = u128::from(self.weights.get(customer).copied().unwrap_or(0));
        // A part of the whole is not more than the whole.
        u64::try_from(u128::from(self.units()) * own / sum.max(1)).ok()
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
