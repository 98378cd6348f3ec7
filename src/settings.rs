//! Settings of one front: session classes, bitrate ladder, capacities and what the deployment permits.

use crate::api::{Micros, Rung, ZoneId};

/// Whether a set-up of a class may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be repeated and rejected freely.
    Idempotent,
    /// Copies are recognised within a scope of servers for a while, by an idempotency key.
    Deduplicated {
        /// Where copies are recognised.
        scope: DedupScope,
        /// For how long after the first send.
        window: Micros,
    },
    /// It must not happen twice.
    AtMostOnce,
}

/// The servers that recognise each other's copies of a deduplicated set-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of sessions.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Service-level objective: the set-up is wanted within this time.
    pub latency_objective: Micros,
    /// The viewer waits at most this long.
    pub deadline: Micros,
    /// Whether a set-up may be repeated.
    pub idempotency: Idempotency,
    /// Utility of a second at a rung of utility 1.
    pub utility: f64,
    /// Rates of this class over those of the ladder.
    pub rate_scale: f64,
    /// The lowest rung that may be set.
    pub min_rung: Rung,
    /// The highest rung of the class.
    pub max_rung: Rung,
    /// Sessions of one title that a front may hold; none: no limit.
    pub max_sessions_per_title: Option<u32>,
    /// Fraction of a rate that a further viewer of a live title adds at the same server and rung; 1: all of it.
    pub shared_rate_fraction: f64,
}

/// A tenant's share of the service.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Requests a second within its share, over all fronts; none: unknown.
    pub quota_per_s: Option<f64>,
}

/// What a value of a load report means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportField {
    /// Streams running or being set up.
    Streams,
    /// Demand on the link over its capacity.
    LinkUtilization,
    /// Demand on the rack's uplink over its capacity.
    UplinkUtilization,
    /// Anything the module has no use for.
    Other,
}

/// How load reports reach a front.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LoadReporting {
    /// With responses, health check results and playback feedback.
    InResponses,
    /// With health check results alone.
    InHealthChecks,
    /// Never.
    #[default]
    Disabled,
}

/// What an endpoint's weight means.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum WeightMeaning {
    /// Nothing: it is always 1.
    #[default]
    Unset,
    /// The server's capacity, more or less exactly.
    Capacity,
    /// The capacity divided by the load: it changes all the time.
    LoadAdjusted,
}

/// How the endpoint list reaches a front.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Discovery {
    /// Changes are pushed unasked.
    #[default]
    Push,
    /// Only after a subscription or a fetch.
    Subscribe,
}

/// What the deployment permits.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Capabilities {
    /// Maximum number of attempts for one session.
    pub max_attempts: u32,
    /// Health checks may be sent.
    pub health_checks: bool,
    /// An attempt may be cancelled.
    pub cancel: bool,
    /// Longest `Retry-After` passed on with a rejection; none: none is passed on.
    pub max_retry_after: Option<Micros>,
}

/// Retries allowed in any window: `min_retries` plus `retry_ratio` of the sessions requested in it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Retries that are always allowed.
    pub min_retries: f64,
    /// Further ones for each session requested.
    pub retry_ratio: f64,
    /// Length of the sliding window.
    pub window: Micros,
}

/// Slow start: how a freshly started server must be treated.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct SlowStart {
    /// It is warm after this long.
    pub warm_up: Micros,
    /// It begins at this fraction of its capacity or above.
    pub initial_fraction: f64,
    /// It is overloaded when sent this multiple of its rate...
    pub overload_factor: f64,
    /// ...for this long.
    pub overload_window: Micros,
}

/// The bitrate ladder.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct BitrateLadder {
    /// Rate of each rung, kB a second.
    pub rates_kb: Vec<f64>,
    /// Utility of a second at each rung.
    pub utility: Vec<f64>,
    /// A change of rung while playing costs so many seconds of the class's utility.
    pub switch_cost_s: f64,
}

/// Everything a front knows when it starts.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// Classes of sessions.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Maximum number of streams of a server, for each server type.
    pub max_streams_by_type: Vec<u32>,
    /// The bitrate ladder.
    pub ladder: BitrateLadder,
    /// Number of cells that titles are placed over.
    pub cells: u32,
    /// Number of racks; a server's rack is its cell modulo this.
    pub racks: u32,
    /// Capacity of all links together at the start, kB a second; none: unknown.
    pub total_link_kb: Option<f64>,
    /// Link capacity of a server for each unit of its weight, kB a second; none: unknown.
    pub link_kb_per_weight: Option<f64>,
    /// Mean uplink capacity of a rack, kB a second; none: uplinks don't bind.
    pub mean_uplink_kb: Option<f64>,
    /// A server rejects set-ups at this utilization of its link; none: never.
    pub admission_limit: Option<f64>,
    /// How late playback feedback is.
    pub feedback_delay: Micros,
    /// Number of fronts of this tier.
    pub front_count: u32,
    /// This front's slot among them.
    pub slot: u32,
    /// This front's zone.
    pub zone: ZoneId,
    /// How load is reported.
    pub load_reporting: LoadReporting,
    /// What the weights in the endpoint list mean.
    pub weight_meaning: WeightMeaning,
    /// How the endpoint list comes.
    pub discovery: Discovery,
    /// What is permitted.
    pub capabilities: Capabilities,
    /// The retry budget; none: no limit.
    pub retry_budget: Option<RetryBudget>,
    /// How cold servers are treated.
    pub slow_start: SlowStart,
    /// Price of one health check a session, as a fraction of the result.
    pub health_check_price: f64,
    /// Price of one migration a session, as a fraction of the result.
    pub migration_price: f64,
    /// Utility of a session past its tenant's quota, over that of one within.
    pub over_quota_utility: f64,
}
