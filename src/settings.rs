//! Settings of one front: session classes, bitrate ladder, capacities and the options of the deployment.

use crate::api::{Micros, Rung, ZoneId};

/// Whether a set-up of a class may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// A set-up may be repeated and rejected freely.
    Idempotent,
    /// Copies of a set-up are recognised by an idempotency key, within a scope of servers and for a limited
    /// time.
    Deduplicated {
        /// Servers among which copies are recognised.
        scope: DedupScope,
        /// Time after the first attempt during which copies are recognised.
        window: Micros,
    },
    /// A set-up must not be executed twice.
    AtMostOnce,
}

/// The servers that recognise each other's copies of a deduplicated set-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A class of sessions.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Service-level objective for the duration of a set-up.
    pub latency_objective: Micros,
    /// Maximum time that the viewer waits.
    pub deadline: Micros,
    /// Whether and how a set-up may be repeated.
    pub idempotency: Idempotency,
    /// Utility per second at a rung whose own utility is 1.
    pub utility: f64,
    /// Ratio of the rates of this class to those of the ladder.
    pub rate_scale: f64,
    /// The lowest rung that may be set.
    pub min_rung: Rung,
    /// The highest rung of the class.
    pub max_rung: Rung,
    /// Maximum number of sessions of one title at a front, or `None` for no limit.
    pub max_sessions_per_title: Option<u32>,
    /// Fraction of the rate that a further viewer of a live title adds at the same server and rung. At 1
    /// viewers share nothing.
    pub shared_rate_fraction: f64,
}

/// A tenant of the service.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Quota in requests per second over all fronts, or `None` if it is unknown.
    pub quota_per_s: Option<f64>,
}

/// Meaning of a value of a load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportField {
    /// Number of streams that run or are being set up.
    Streams,
    /// Demand on the server's link over its capacity.
    LinkUtilization,
    /// Demand on the rack's uplink over its capacity.
    UplinkUtilization,
    /// A value that the policy does not use.
    Other,
}

/// How load reports reach a front.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LoadReporting {
    /// Load comes with responses, health check results and playback feedback.
    InResponses,
    /// Load comes with health check results alone.
    InHealthChecks,
    /// Load is not reported.
    #[default]
    Disabled,
}

/// Meaning of an endpoint's weight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum WeightMeaning {
    /// The weight has no meaning and is always 1.
    #[default]
    Unset,
    /// The weight is the server's relative capacity, exact or approximate.
    Capacity,
    /// The weight is the capacity divided by the load, which changes all the time.
    LoadAdjusted,
}

/// How the endpoint list reaches a front.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Discovery {
    /// Changes are pushed without a subscription.
    #[default]
    Push,
    /// Changes are sent only after a subscription or a fetch.
    Subscribe,
}

/// Operations that the deployment permits.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Capabilities {
    /// Maximum number of attempts for one session.
    pub max_attempts: u32,
    /// Whether health checks may be sent.
    pub health_checks: bool,
    /// Whether an attempt may be cancelled.
    pub cancel: bool,
    /// Longest `Retry-After` that is passed on with a rejection, or `None` if none is.
    pub max_retry_after: Option<Micros>,
}

/// Limit on the retries in any window: `min_retries` plus `retry_ratio` times the sessions requested in the
/// window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Number of retries that are always allowed.
    pub min_retries: f64,
    /// Number of further retries for each requested session.
    pub retry_ratio: f64,
    /// Length of the sliding window.
    pub window: Micros,
}

/// Rules of slow start, which limit the load on a server that started recently.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct SlowStart {
    /// Time after its start at which a server is warm.
    pub warm_up: Micros,
    /// Smallest fraction of its capacity that a server has at its start.
    pub initial_fraction: f64,
    /// Multiple of a cold server's set-up rate that overloads it if it lasts for `overload_window`.
    pub overload_factor: f64,
    /// Time for which the rate must be exceeded to overload a cold server.
    pub overload_window: Micros,
}

/// The bitrate ladder: the rungs at which sessions can play.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct BitrateLadder {
    /// Rate of each rung, in kB per second.
    pub rates_kb: Vec<f64>,
    /// Utility per second at each rung.
    pub utility: Vec<f64>,
    /// Cost of a change of rung while playing, in seconds of the class's utility.
    pub switch_cost_s: f64,
}

/// All settings of one front.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// Classes of sessions.
    pub classes: Vec<Class>,
    /// Tenants, possibly none.
    pub tenants: Vec<Tenant>,
    /// Maximum number of streams of a server, for each server type.
    pub max_streams_by_type: Vec<u32>,
    /// The bitrate ladder.
    pub ladder: BitrateLadder,
    /// Number of cells over which titles are placed.
    pub cells: u32,
    /// Number of racks. The rack of a server is its cell modulo this number.
    pub racks: u32,
    /// Total capacity of all links at the start, in kB per second, or `None` if it is unknown.
    pub total_link_kb: Option<f64>,
    /// Link capacity of a server for each unit of its weight, in kB per second, or `None` if it is unknown.
    pub link_kb_per_weight: Option<f64>,
    /// Mean uplink capacity of a rack, in kB per second, or `None` if uplinks are unlimited.
    pub mean_uplink_kb: Option<f64>,
    /// Utilization of its link from which a server rejects set-ups, or `None` if it never does.
    pub admission_limit: Option<f64>,
    /// Delay of playback feedback.
    pub feedback_delay: Micros,
    /// Number of fronts in the tier.
    pub front_count: u32,
    /// Slot of this front among the fronts of the tier.
    pub slot: u32,
    /// Zone of this front.
    pub zone: ZoneId,
    /// How load reports reach the front.
    pub load_reporting: LoadReporting,
    /// Meaning of the weights in the endpoint list.
    pub weight_meaning: WeightMeaning,
    /// How the endpoint list reaches the front.
    pub discovery: Discovery,
    /// Operations that the deployment permits.
    pub capabilities: Capabilities,
    /// The retry budget, or `None` for no limit.
    pub retry_budget: Option<RetryBudget>,
    /// Rules of slow start.
    pub slow_start: SlowStart,
    /// Price of one health check per session, as a fraction of the result.
    pub health_check_price: f64,
    /// Price of one migration per session, as a fraction of the result.
    pub migration_price: f64,
    /// Ratio of the utility of a session beyond its tenant's quota to that of a session within it.
    pub over_quota_utility: f64,
}
