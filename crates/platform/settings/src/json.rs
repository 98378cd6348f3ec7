//! The JSON form of the platform's settings: the keys and their defaults.
//!
//! [`crate::parse`] gives the values their meaning.

use serde::Deserialize;

/// Default time after which an idle connection is closed, in microseconds.
const DEFAULT_IDLE_TIMEOUT_US: u64 = 30_000_000;

/// Default time after which a connection that is not established counts as failed, in microseconds.
const DEFAULT_CONNECT_TIMEOUT_US: u64 = 250_000;

/// The complete settings text.
#[derive(Deserialize)]
pub(crate) struct SettingsJson {
    #[serde(default, rename = "caps")]
    pub capabilities: CapabilitiesJson,
    pub classes: Vec<ClassJson>,
    #[serde(default)]
    pub discovery: String,
    #[serde(rename = "family_info")]
    pub video: VideoJson,
    #[serde(default = "one_front", rename = "group_size")]
    pub front_count: u32,
    #[serde(default, rename = "kinds")]
    pub server_types: Vec<String>,
    #[serde(default, rename = "locality")]
    pub zone: u16,
    #[serde(default, rename = "my_number")]
    pub slot: u32,
    #[serde(default = "one", rename = "over_share_worth")]
    pub over_quota_utility: f64,
    #[serde(default)]
    pub prices: PricesJson,
    #[serde(default)]
    pub reporting: ReportingJson,
    #[serde(default)]
    pub rules: RulesJson,
    #[serde(default)]
    pub tenants: Vec<TenantJson>,
    #[serde(default)]
    pub weights: String,
    #[serde(default)]
    pub zones: Vec<String>,
}

/// Operations that the deployment permits, and timeouts of connections.
#[derive(Deserialize)]
#[serde(default)]
pub(crate) struct CapabilitiesJson {
    pub cancel: bool,
    #[serde(rename = "conn_idle_us")]
    pub idle_timeout_us: u64,
    #[serde(rename = "dial_timeout_us")]
    pub connect_timeout_us: u64,
    pub max_attempts: u32,
    pub max_retry_after_us: u64,
    #[serde(rename = "probes")]
    pub health_checks: bool,
    pub retry_after: bool,
}

impl Default for CapabilitiesJson {
    fn default() -> Self {
        CapabilitiesJson {
            cancel: false,
            idle_timeout_us: DEFAULT_IDLE_TIMEOUT_US,
            connect_timeout_us: DEFAULT_CONNECT_TIMEOUT_US,
            max_attempts: u32::MAX,
            max_retry_after_us: 0,
            health_checks: false,
            retry_after: false,
        }
    }
}

/// A class of sessions.
#[derive(Deserialize)]
pub(crate) struct ClassJson {
    #[serde(default)]
    pub name: String,
    #[serde(rename = "aim_us")]
    pub latency_objective_us: u64,
    pub deadline_us: u64,
    #[serde(rename = "effect")]
    pub idempotency: String,
    #[serde(default, rename = "group")]
    pub scope: String,
    #[serde(default)]
    pub window_us: u64,
    #[serde(default = "one", rename = "points")]
    pub utility: f64,
}

/// Settings of a video service.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct VideoJson {
    #[serde(rename = "all_links_kb")]
    pub total_link_kb: Option<f64>,
    #[serde(rename = "change_costs_s")]
    pub switch_cost_s: f64,
    #[serde(rename = "floor_by_class")]
    pub min_rung_by_class: Vec<u8>,
    #[serde(rename = "guard")]
    pub admission_limit: f64,
    pub is_live: Vec<bool>,
    #[serde(rename = "join_adds")]
    pub shared_rate_fraction: Option<f64>,
    #[serde(rename = "kind_streams")]
    pub max_streams_by_type: Vec<f64>,
    #[serde(rename = "link_unit_kb")]
    pub link_kb_per_weight: Option<f64>,
    #[serde(rename = "places")]
    pub cells: u32,
    #[serde(rename = "rack_link_kb")]
    pub mean_uplink_kb: Option<f64>,
    pub rates_kb: Vec<f64>,
    #[serde(rename = "scale_by_class")]
    pub rate_scale_by_class: Vec<f64>,
    #[serde(rename = "seats")]
    pub max_sessions_by_class: Vec<u32>,
    #[serde(rename = "see_us")]
    pub feedback_delay_us: u64,
    #[serde(rename = "shelves")]
    pub racks: u32,
    #[serde(rename = "top_by_class")]
    pub max_rung_by_class: Vec<u8>,
    #[serde(rename = "worth_by_rung")]
    pub utility_by_rung: Vec<f64>,
}

/// Prices of operations, as fractions of the result.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct PricesJson {
    #[serde(rename = "moves")]
    pub migration: f64,
    #[serde(rename = "probe")]
    pub health_check: f64,
}

/// How load is reported, and the names of the reported values in order.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct ReportingJson {
    #[serde(rename = "how")]
    pub channel: String,
    pub names: Vec<String>,
}

/// The retry budget and the rules of slow start.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct RulesJson {
    #[serde(rename = "budget_free")]
    pub min_retries: Option<f64>,
    #[serde(rename = "extra_per_request")]
    pub retry_ratio: Option<f64>,
    #[serde(rename = "resend_span_us")]
    pub retry_window_us: Option<u64>,
    #[serde(rename = "cold_from")]
    pub initial_fraction: f64,
    #[serde(rename = "cold_us")]
    pub warm_up_us: u64,
    #[serde(rename = "fall_multiple")]
    pub overload_factor: f64,
    #[serde(rename = "fall_us")]
    pub overload_window_us: u64,
}

/// A tenant.
#[derive(Deserialize)]
pub(crate) struct TenantJson {
    pub quota_per_s: Option<f64>,
}

fn one() -> f64 {
    1.0
}

fn one_front() -> u32 {
    1
}
