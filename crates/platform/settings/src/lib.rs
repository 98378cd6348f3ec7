//! The platform's settings, as JSON, turned into the module's settings and what a driver needs besides.
//! Unknown keys are skipped. The simulator's adapter and the front node read the same text.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::missing_errors_doc, clippy::too_many_lines)]
#![forbid(unsafe_code)]

use beechloft::api;
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(default)]
struct Caps {
    cancel: bool,
    conn_idle_us: u64,
    dial_timeout_us: u64,
    max_attempts: u32,
    max_retry_after_us: u64,
    probes: bool,
    retry_after: bool,
}

impl Default for Caps {
    fn default() -> Self {
        Caps {
            cancel: false,
            conn_idle_us: 30_000_000,
            dial_timeout_us: 250_000,
            max_attempts: u32::MAX,
            max_retry_after_us: 0,
            probes: false,
            retry_after: false,
        }
    }
}

#[derive(Deserialize)]
struct Class {
    #[serde(default)]
    name: String,
    aim_us: u64,
    deadline_us: u64,
    effect: String,
    #[serde(default)]
    group: String,
    #[serde(default)]
    window_us: u64,
    #[serde(default = "one")]
    points: f64,
}

fn one() -> f64 {
    1.0
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct FamilyInfo {
    all_links_kb: Option<f64>,
    change_costs_s: f64,
    floor_by_class: Vec<u8>,
    guard: f64,
    is_live: Vec<bool>,
    join_adds: Option<f64>,
    kind_streams: Vec<f64>,
    link_unit_kb: Option<f64>,
    places: u32,
    rack_link_kb: Option<f64>,
    rates_kb: Vec<f64>,
    scale_by_class: Vec<f64>,
    seats: Vec<u32>,
    see_us: u64,
    shelves: u32,
    top_by_class: Vec<u8>,
    worth_by_rung: Vec<f64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Prices {
    moves: f64,
    probe: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct ReportingInfo {
    how: String,
    names: Vec<String>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Rules {
    budget_free: Option<f64>,
    extra_per_request: Option<f64>,
    resend_span_us: Option<u64>,
    cold_from: f64,
    cold_us: u64,
    fall_multiple: f64,
    fall_us: u64,
}

#[derive(Deserialize)]
struct Tenant {
    quota_per_s: Option<f64>,
}

#[derive(Deserialize)]
struct Setup {
    #[serde(default)]
    caps: Caps,
    classes: Vec<Class>,
    #[serde(default)]
    discovery: String,
    family_info: FamilyInfo,
    #[serde(default = "unit")]
    group_size: u32,
    #[serde(default)]
    kinds: Vec<String>,
    #[serde(default)]
    locality: u16,
    #[serde(default)]
    my_number: u32,
    #[serde(default = "one")]
    over_share_worth: f64,
    #[serde(default)]
    prices: Prices,
    #[serde(default)]
    reporting: ReportingInfo,
    #[serde(default)]
    rules: Rules,
    #[serde(default)]
    tenants: Vec<Tenant>,
    #[serde(default)]
    weights: String,
    #[serde(default)]
    zones: Vec<String>,
}

fn unit() -> u32 {
    1
}

/// What the settings call things; each name's position is the module's number for it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Names {
    /// Classes of sessions.
    pub classes: Vec<String>,
    /// Zones of the network.
    pub zones: Vec<String>,
    /// Kinds of servers.
    pub kinds: Vec<String>,
    /// Values of a load report.
    pub reported: Vec<String>,
}

/// Time limits of connections to servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Connections {
    /// A connection that is not up by then counts as failed.
    pub connect_within: api::Micros,
    /// A connection idle for so long is closed.
    pub idle: api::Micros,
}

/// The settings, and what the values of a load report mean, in order.
pub struct Parsed {
    /// What the module is told.
    pub settings: api::Settings,
    /// Meaning of each value of a load report.
    pub fields: Vec<api::ReportField>,
    /// Names, for a driver that is told names.
    pub names: Names,
    /// Limits of connections, for a driver that has some.
    pub connections: Connections,
}

/// Parses the settings text.
pub fn parse(text: &[u8]) -> Result<Parsed, serde_json::Error> {
    let s: Setup = serde_json::from_slice(text)?;
    let f = &s.family_info;
    let steps = f.rates_kb.len().max(1) as u8;
    let classes = s
        .classes
        .iter()
        .enumerate()
        .map(|(i, c)| api::Class {
            latency_objective: api::Micros(c.aim_us),
            deadline: api::Micros(c.deadline_us),
            idempotency: match c.effect.as_str() {
                "repeatable" => api::Idempotency::Idempotent,
                "by_key" => api::Idempotency::Deduplicated {
                    scope: match c.group.as_str() {
                        "all" => api::DedupScope::All,
                        "zone" | "same zone" => api::DedupScope::Zone,
                        _ => api::DedupScope::Cell,
                    },
                    window: api::Micros(c.window_us),
                },
                _ => api::Idempotency::AtMostOnce,
            },
            utility: c.points,
            rate_scale: f.scale_by_class.get(i).copied().unwrap_or(1.0),
            min_rung: api::Rung(f.floor_by_class.get(i).copied().unwrap_or(0)),
            max_rung: api::Rung(f.top_by_class.get(i).copied().unwrap_or(steps - 1).min(steps - 1)),
            max_sessions_per_title: f.seats.get(i).copied().filter(|n| *n > 0),
            shared_rate_fraction: match (f.is_live.get(i), f.join_adds) {
                (Some(true), Some(j)) => j,
                _ => 1.0,
            },
        })
        .collect();
    let fields = s.reporting.names.iter().map(|n| match n.as_str() {
        "outstanding" => api::ReportField::Streams,
        "utilization" | "x0" => api::ReportField::LinkUtilization,
        "x1" => api::ReportField::UplinkUtilization,
        _ => api::ReportField::Other,
    });
    let budget = match (s.rules.extra_per_request, s.rules.resend_span_us) {
        (Some(share), Some(span)) => Some(api::RetryBudget {
            min_retries: s.rules.budget_free.unwrap_or(0.0),
            retry_ratio: share,
            window: api::Micros(span),
        }),
        _ => None,
    };
    let settings = api::Settings {
        classes,
        tenants: s.tenants.iter().map(|t| api::Tenant { quota_per_s: t.quota_per_s }).collect(),
        max_streams_by_type: f.kind_streams.iter().map(|n| *n as u32).collect(),
        ladder: api::BitrateLadder {
            rates_kb: f.rates_kb.clone(),
            utility: f.worth_by_rung.clone(),
            switch_cost_s: f.change_costs_s,
        },
        cells: f.places,
        racks: f.shelves,
        total_link_kb: f.all_links_kb,
        link_kb_per_weight: f.link_unit_kb,
        mean_uplink_kb: f.rack_link_kb.filter(|k| *k > 0.0),
        admission_limit: Some(f.guard).filter(|g| *g > 0.0),
        feedback_delay: api::Micros(f.see_us),
        front_count: s.group_size,
        slot: s.my_number,
        zone: api::ZoneId(s.locality),
        load_reporting: match s.reporting.how.as_str() {
            "piggyback" => api::LoadReporting::InResponses,
            "pull" => api::LoadReporting::InHealthChecks,
            _ => api::LoadReporting::Disabled,
        },
        weight_meaning: match s.weights.as_str() {
            "nominal" | "rough" => api::WeightMeaning::Capacity,
            "live" => api::WeightMeaning::LoadAdjusted,
            _ => api::WeightMeaning::Unset,
        },
        discovery: if s.discovery == "ask" { api::Discovery::Subscribe } else { api::Discovery::Push },
        capabilities: api::Capabilities {
            max_attempts: s.caps.max_attempts,
            health_checks: s.caps.probes,
            cancel: s.caps.cancel,
            max_retry_after: s.caps.retry_after.then_some(api::Micros(s.caps.max_retry_after_us)),
        },
        retry_budget: budget,
        slow_start: api::SlowStart {
            warm_up: api::Micros(s.rules.cold_us),
            initial_fraction: s.rules.cold_from,
            overload_factor: s.rules.fall_multiple,
            overload_window: api::Micros(s.rules.fall_us),
        },
        health_check_price: s.prices.probe,
        migration_price: s.prices.moves,
        over_quota_utility: s.over_share_worth,
    };
    let fields = fields.collect();
    let connections = Connections {
        connect_within: api::Micros(s.caps.dial_timeout_us),
        idle: api::Micros(s.caps.conn_idle_us),
    };
    let names = Names {
        classes: s.classes.into_iter().map(|c| c.name).collect(),
        zones: s.zones,
        kinds: s.kinds,
        reported: s.reporting.names,
    };
    Ok(Parsed { settings, fields, names, connections })
}
