//! The platform's settings, as JSON, turned into the policy's settings and what a driver needs besides.
//! Unknown keys are skipped. The simulator's adapter and the front node read the same text.
#![forbid(unsafe_code)]

mod json;

use beechloft::api::{self, Micros, Rung};

use json::{CapabilitiesJson, ClassJson, RulesJson, SettingsJson, VideoJson};

/// What the settings call things; each name's position is the policy's number for it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Names {
    /// Classes of sessions.
    pub classes: Vec<String>,
    /// Zones of the network.
    pub zones: Vec<String>,
    /// Types of servers.
    pub server_types: Vec<String>,
    /// Values of a load report.
    pub report_values: Vec<String>,
}

/// Time limits of connections to servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Connections {
    /// A connection that is not established by then counts as failed.
    pub connect_timeout: Micros,
    /// A connection idle for so long is closed.
    pub idle_timeout: Micros,
}

/// The settings, and what the values of a load report mean, in order.
pub struct Parsed {
    /// The policy's settings.
    pub settings: api::Settings,
    /// Meaning of each value of a load report.
    pub report_fields: Vec<api::ReportField>,
    /// Names, for a driver whose peers use names.
    pub names: Names,
    /// Limits of connections, for a driver that has some.
    pub connections: Connections,
}

/// Parses the settings text.
///
/// # Errors
///
/// When the text is not JSON, lacks a required key or has a value of another type.
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
        tenants: json.tenants.iter().map(|t| api::Tenant { quota_per_s: t.quota_per_s }).collect(),
        max_streams_by_type: video.max_streams_by_type.iter().map(|count| whole(*count)).collect(),
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
    let max_rung = video.max_rung_by_class.get(index).copied().unwrap_or(highest);
    let is_live = video.is_live.get(index) == Some(&true);
    api::Class {
        latency_objective: Micros(class.latency_objective_us),
        deadline: Micros(class.deadline_us),
        idempotency: idempotency(class),
        utility: class.utility,
        rate_scale: video.rate_scale_by_class.get(index).copied().unwrap_or(1.0),
        min_rung: Rung(video.min_rung_by_class.get(index).copied().unwrap_or(0)),
        max_rung: Rung(max_rung.min(highest)),
        max_sessions_per_title: video.max_sessions_by_class.get(index).copied().filter(|max| *max > 0),
        shared_rate_fraction: video.shared_rate_fraction.filter(|_| is_live).unwrap_or(1.0),
    }
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

/// The ladder's highest rung.
#[expect(
    clippy::cast_possible_truncation,
    reason = "a ladder has a few rungs; the platform's rungs are bytes"
)]
fn highest_rung(video: &VideoJson) -> u8 {
    video.rates_kb.len().max(1) as u8 - 1
}

/// A count that comes as a float.
#[expect(clippy::cast_possible_truncation, reason = "rounded towards zero; casts from floats saturate")]
fn whole(count: f64) -> u32 {
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

/// The retry budget, if both its ratio and its window are set.
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
