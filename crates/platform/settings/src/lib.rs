//! Parses the platform's settings from JSON into the policy's settings and the further values that a driver
//! needs.
//!
//! Unknown keys are ignored. The simulator's adapter and the front node read the same text.
#![forbid(unsafe_code)]

mod json;

use beechloft::api::{self, Micros, Rung};

use json::{CapabilitiesJson, ClassJson, RulesJson, SettingsJson, TenantJson, VideoJson};

/// Names from the settings. The position of a name is the number that the policy uses in its place.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Names {
    /// Names of the session classes.
    pub classes: Vec<String>,
    /// Names of the network's zones.
    pub zones: Vec<String>,
    /// Names of the server types.
    pub server_types: Vec<String>,
    /// Names of the values of a load report.
    pub report_values: Vec<String>,
}

/// Timeouts of connections to servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Connections {
    /// Time after which a connection that is not established counts as failed.
    pub connect_timeout: Micros,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Micros,
}

/// The parsed settings of a front and its driver.
pub struct Parsed {
    /// The policy's settings.
    pub settings: api::Settings,
    /// Meaning of each value of a load report, in order.
    pub report_fields: Vec<api::ReportField>,
    /// Names, for a driver whose peers use them in place of numbers.
    pub names: Names,
    /// Timeouts, for a driver that connects to servers.
    pub connections: Connections,
}

/// Parses the settings text.
///
/// # Errors
///
/// Returns an error if the text is not JSON, lacks a required key or has a value of the wrong type.
pub fn parse(text: &[u8]) -> Result<Parsed, serde_json::Error> {
    let json: SettingsJson = serde_json::from_slice(text)?;
    let settings = settings(&json);
    let report_fields = json.reporting.names.iter().map(|name| report_field(name)).collect();
    let connections = Connections {
        connect_timeout: Micros(json.capabilities.connect_timeout_us),
        idle_timeout: Micros(json.capabilities.idle_timeout_us),
    };
    let names = Names {
        classes: json.classes.into_iter().map(|class| class.name).collect(),
        zones: json.zones,
        server_types: json.server_types,
        report_values: json.reporting.names,
    };
    Ok(Parsed { settings, report_fields, names, connections })
}

fn settings(json: &SettingsJson) -> api::Settings {
    let video = &json.video;
    let classes = json.classes.iter().enumerate();
    api::Settings {
        classes: classes.map(|(index, class)| session_class(class, index, video)).collect(),
        tenants: json.tenants.iter().map(tenant).collect(),
        max_streams_by_type: video.max_streams_by_type.iter().map(|count| truncated_count(*count)).collect(),
        ladder: api::BitrateLadder {
            rates_kb: video.rates_kb.clone(),
            utility: video.utility_by_rung.clone(),
            switch_cost_s: video.switch_cost_s,
        },
        cells: video.cells,
        racks: video.racks,
        total_link_kb: video.total_link_kb,
        link_kb_per_weight: video.link_kb_per_weight,
        mean_uplink_kb: video.mean_uplink_kb.filter(|capacity| *capacity > 0.0),
        admission_limit: Some(video.admission_limit).filter(|limit| *limit > 0.0),
        feedback_delay: Micros(video.feedback_delay_us),
        front_count: json.front_count,
        slot: json.slot,
        zone: api::ZoneId(json.zone),
        load_reporting: load_reporting(&json.reporting.channel),
        weight_meaning: weight_meaning(&json.weights),
        discovery: discovery(&json.discovery),
        capabilities: capabilities(&json.capabilities),
        retry_budget: retry_budget(&json.rules),
        slow_start: slow_start(&json.rules),
        health_check_price: json.prices.health_check,
        migration_price: json.prices.migration,
        over_quota_utility: json.over_quota_utility,
    }
}

fn session_class(class: &ClassJson, index: usize, video: &VideoJson) -> api::Class {
    let highest = highest_rung(video);
    let min_rung = video.min_rung_by_class.get(index).copied().unwrap_or(0);
    let max_rung = video.max_rung_by_class.get(index).copied().unwrap_or(highest);
    let is_live = video.is_live.get(index) == Some(&true);
    let max_sessions = video.max_sessions_by_class.get(index).copied();
    api::Class {
        latency_objective: Micros(class.latency_objective_us),
        deadline: Micros(class.deadline_us),
        idempotency: idempotency(class),
        utility: class.utility,
        rate_scale: video.rate_scale_by_class.get(index).copied().unwrap_or(1.0),
        min_rung: Rung(min_rung),
        max_rung: Rung(max_rung.min(highest)),
        max_sessions_per_title: max_sessions.filter(|max| *max > 0),
        shared_rate_fraction: video.shared_rate_fraction.filter(|_| is_live).unwrap_or(1.0),
    }
}

fn tenant(tenant: &TenantJson) -> api::Tenant {
    api::Tenant { quota_per_s: tenant.quota_per_s }
}

fn idempotency(class: &ClassJson) -> api::Idempotency {
    let scope = match class.scope.as_str() {
        "all" => api::DedupScope::All,
        "zone" | "same zone" => api::DedupScope::Zone,
        _ => api::DedupScope::Cell,
    };
    match class.idempotency.as_str() {
        "repeatable" => api::Idempotency::Idempotent,
        "by_key" => api::Idempotency::Deduplicated { scope, window: Micros(class.window_us) },
        _ => api::Idempotency::AtMostOnce,
    }
}

/// Returns the highest rung of the ladder.
#[expect(
    clippy::cast_possible_truncation,
    reason = "a ladder has a few rungs; the platform's rungs are bytes"
)]
fn highest_rung(video: &VideoJson) -> u8 {
    video.rates_kb.len().max(1) as u8 - 1
}

/// Converts a count that is given as a float.
#[expect(clippy::cast_possible_truncation, reason = "rounded towards zero; casts from floats saturate")]
fn truncated_count(count: f64) -> u32 {
    count as u32
}

fn report_field(name: &str) -> api::ReportField {
    match name {
        "outstanding" => api::ReportField::Streams,
        "utilization" | "x0" => api::ReportField::LinkUtilization,
        "x1" => api::ReportField::UplinkUtilization,
        _ => api::ReportField::Other,
    }
}

fn load_reporting(channel: &str) -> api::LoadReporting {
    match channel {
        "piggyback" => api::LoadReporting::InResponses,
        "pull" => api::LoadReporting::InHealthChecks,
        _ => api::LoadReporting::Disabled,
    }
}

fn weight_meaning(weights: &str) -> api::WeightMeaning {
    match weights {
        "nominal" | "rough" => api::WeightMeaning::Capacity,
        "live" => api::WeightMeaning::LoadAdjusted,
        _ => api::WeightMeaning::Unset,
    }
}

fn discovery(discovery: &str) -> api::Discovery {
    match discovery {
        "ask" => api::Discovery::Subscribe,
        _ => api::Discovery::Push,
    }
}

fn capabilities(json: &CapabilitiesJson) -> api::Capabilities {
    api::Capabilities {
        max_attempts: json.max_attempts,
        health_checks: json.health_checks,
        cancel: json.cancel,
        max_retry_after: json.retry_after.then_some(Micros(json.max_retry_after_us)),
    }
}

/// Returns the retry budget, or `None` unless both its ratio and its window are set.
fn retry_budget(rules: &RulesJson) -> Option<api::RetryBudget> {
    Some(api::RetryBudget {
        min_retries: rules.min_retries.unwrap_or(0.0),
        retry_ratio: rules.retry_ratio?,
        window: Micros(rules.retry_window_us?),
    })
}

fn slow_start(rules: &RulesJson) -> api::SlowStart {
    api::SlowStart {
        warm_up: Micros(rules.warm_up_us),
        initial_fraction: rules.initial_fraction,
        overload_factor: rules.overload_factor,
        overload_window: Micros(rules.overload_window_us),
    }
}
