//! Definitions of limits, their validation, and the parameters that all limits share.

mod parameters;
mod validation;

use std::collections::BTreeMap;
use std::fmt;

use beechloft_leases::Name;
use serde::{Deserialize, Serialize};

use crate::key::Key;

pub use self::parameters::{QuotaParameters, QuotaParametersError};
pub use self::validation::DefinitionError;

/// Maximum number of limits, including removed ones whose version is kept.
pub const MAX_LIMITS: usize = 64;
/// Maximum number of weighted customers of one limit.
pub const MAX_WEIGHTS: usize = 256;
/// Maximum value of a limit.
pub const MAX_LIMIT: u64 = 1 << 40;
/// Units of a rate of one per second. Rates are counted in thousandths so that a share of a small rate is more than zero.
pub const MILLI: u64 = 1_000;
/// Maximum number of fronts.
pub const MAX_FRONTS: u32 = 4096;

/// The resource that a limit bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Resource {
    /// Concurrent sessions.
    Sessions,
    /// The sum of the rates of concurrent sessions, kbit/s. Each session counts with the highest rate that it may be given.
    Kbits,
    /// Set-ups per second: first and further attempts.
    SetUps,
    /// Further attempts per second: all attempts of a session except its first.
    Attempts,
}

impl Resource {
    /// Returns whether the resource is a rate rather than a concurrent amount.
    pub fn is_rate(self) -> bool {
        matches!(self, Resource::SetUps | Resource::Attempts)
    }
}

/// The attribute of a session that selects the counter of a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// One counter for all sessions.
    All,
    /// One counter per customer.
    Customer,
    /// One counter per title.
    Title,
    /// One counter per class.
    Class,
    /// One counter per viewer.
    Viewer,
    /// One counter per uplink of a rack.
    Uplink,
    /// One counter per media server.
    #[serde(rename = "box")]
    MediaServer,
}

impl Scope {
    /// Returns whether the key is known only after a media server was chosen.
    pub fn needs_media_server(self) -> bool {
        matches!(self, Scope::Uplink | Scope::MediaServer)
    }
}

/// How a limit is enforced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Enforcement {
    /// The limit is never exceeded.
    Hard,
    /// The limit may be exceeded by a bounded part of it.
    Soft {
        /// Maximum excess, thousandths of the limit.
        over_milli: u32,
    },
}

/// The definition of a limit.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LimitDefinition {
    /// The name of the limit.
    pub name: Name,
    /// The version: 0 for a definition from the settings; otherwise derived from the message's offset in the topic.
    pub version: u64,
    /// The resource that is limited.
    #[serde(rename = "counts")]
    pub resource: Resource,
    /// The attribute that selects the counter.
    #[serde(rename = "of")]
    pub scope: Scope,
    /// The only key that the limit applies to, or `None` if each key has a counter of its own.
    #[serde(rename = "only")]
    pub only_key: Option<Key>,
    /// The value of the limit: sessions, kbit/s, or events per second.
    pub limit: u64,
    /// How the limit is enforced.
    #[serde(rename = "kind")]
    pub enforcement: Enforcement,
    /// Minimum share of each front: sessions, kbit/s, or thousandths of an event per second.
    #[serde(rename = "least")]
    pub min_share: u64,
    /// Weights by which the limit is divided between customers. If empty, the limit is not divided.
    pub weights: BTreeMap<Key, u32>,
    /// Thousandths of each customer's part that are never lent to other customers.
    #[serde(rename = "keep_milli")]
    pub reserved_milli: u32,
    /// Maximum duration of a session, milliseconds.
    #[serde(rename = "longest_ms")]
    pub max_session_ms: u64,
    /// Capacity of the token bucket of a rate, as milliseconds of that rate.
    #[serde(rename = "burst_milli")]
    pub burst_ms: u32,
    /// Maximum number of fronts, for each of which a minimum share is reserved.
    pub fronts: u32,
    /// Maximum time from the admission of a set-up to its arrival at the media server, milliseconds.
    pub settle_ms: u32,
}

impl LimitDefinition {
    /// Creates a hard limit with default values for all other fields.
    pub fn hard(name: Name, resource: Resource, scope: Scope, limit: u64) -> LimitDefinition {
        LimitDefinition {
            name,
            version: 0,
            resource,
            scope,
            only_key: None,
            limit,
            enforcement: Enforcement::Hard,
            min_share: 0,
            weights: BTreeMap::new(),
            reserved_milli: 0,
            max_session_ms: 4 * 3_600_000,
            burst_ms: 1_000,
            fronts: 1,
            settle_ms: 10_000,
        }
    }

    /// Returns the value of the limit in the units of shares.
    pub fn units(&self) -> u64 {
        if self.resource.is_rate() { self.limit.saturating_mul(MILLI) } else { self.limit }
    }

    /// Returns whether the limit is hard. The ledger enforces hard limits only.
    pub fn is_hard(&self) -> bool {
        self.enforcement == Enforcement::Hard
    }

    /// Returns the maximum number of minimum shares: one for each front and weighted customer.
    pub fn max_min_shares(&self) -> u64 {
        u64::from(self.fronts) * (self.weights.len() as u64).max(1)
    }

    /// Returns the part of the limit that belongs to a customer by its weight, in units. Returns `None` if the limit has no weights.
    pub fn customer_part(&self, customer: &Key) -> Option<u64> {
        if self.weights.is_empty() {
            return None;
        }
        let total: u128 = self.weights.values().map(|weight| u128::from(*weight)).sum();
        let weight = u128::from(self.weights.get(customer).copied().unwrap_or(0));
        // The part is at most `units()`, so the conversion succeeds.
        u64::try_from(u128::from(self.units()) * weight / total.max(1)).ok()
    }
}

impl fmt::Display for Resource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Resource::Sessions => "sessions",
            Resource::Kbits => "kbit/s",
            Resource::SetUps => "set-ups per second",
            Resource::Attempts => "further attempts per second",
        })
    }
}
