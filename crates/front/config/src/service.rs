//! The settings of a deployment, which are the same for all of its fronts: classes, bitrate ladder, links and limits.

use beechloft::api::{
    BitrateLadder, Capabilities, Class, DedupScope, Discovery, Idempotency, LoadReporting, Micros,
    RetryBudget, Rung, Settings, SlowStart, Tenant, WeightMeaning, ZoneId,
};
use beechloft_config_reader::Section;

use crate::narrow::narrow;

/// The longest duration that can be set: one day.
const MAX_MILLIS: u64 = 86_400_000;
/// Maximum number of rungs in the bitrate ladder.
const MAX_RUNGS: usize = 64;

/// The settings of a deployment.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Service {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the types of media servers.
    pub kinds: Vec<String>,
    /// Settings of the policy, without the front's own slot and zone.
    pub settings: Settings,
}

/// The value of `effect` in the settings, which describes the effect of a repeated set-up.
#[derive(Clone, Copy)]
enum EffectName {
    Repeatable,
    Keyed,
    Once,
}

/// Reads the `service` section.
pub fn service(section: &Section<'_>) -> Service {
    let zones = section.texts("zones");
    if zones.is_empty() {
        section.report("zones", "at least one zone is needed");
    }
    let ladder = ladder(section);
    let rung_count = ladder.rates_kb.len().max(1);

    let class_sections = section.sections("classes");
    if class_sections.is_empty() {
        section.report("classes", "at least one class is needed");
    }
    let tenant_sections = section.sections("tenants");
    let kind_sections = section.sections("kinds");
    if kind_sections.is_empty() {
        section.report("kinds", "at least one type of media server is needed");
    }
    let settings = Settings {
        classes: class_sections.iter().map(|class_section| class(class_section, rung_count)).collect(),
        tenants: tenant_sections.iter().map(tenant).collect(),
        max_streams_by_type: kind_sections.iter().map(max_streams).collect(),
        ladder,
        ..deployment(section)
    };
    if settings.load_reporting == LoadReporting::InHealthChecks && !settings.capabilities.health_checks {
        section.report(
            "reports",
            "media servers report load in health checks only, but limits.probes does not allow any",
        );
    }
    Service {
        zones,
        classes: names(&class_sections, "class"),
        tenants: names(&tenant_sections, "tenant"),
        kinds: names(&kind_sections, "kind"),
        settings,
    }
}

/// Reads the settings that apply to the deployment as a whole.
fn deployment(section: &Section<'_>) -> Settings {
    let racks = narrow(section.integer("racks", 1..=60_000).unwrap_or(1));
    let links = section.section("links");
    let prices = section.section("prices");
    Settings {
        // The endpoint list names racks, not cells; titles name their holders.
        cells: racks,
        racks,
        total_link_kb: links.number("all_kb", 1.0..=1e12),
        link_kb_per_weight: links.number("unit_kb", 1.0..=1e9),
        mean_uplink_kb: links.number("uplink_kb", 1.0..=1e12),
        admission_limit: links.number("guard", 0.1..=10.0),
        feedback_delay: micros(section, "notes_late_ms", 1000),
        front_count: 1,
        slot: 0,
        zone: ZoneId(0),
        load_reporting: load_reporting(section),
        weight_meaning: weight_meaning(section),
        discovery: Discovery::Push,
        capabilities: capabilities(&section.section("limits")),
        retry_budget: section.has("budget").then(|| retry_budget(&section.section("budget"))),
        slow_start: slow_start(&section.section("cold")),
        health_check_price: prices.number("probe", 0.0..=1.0).unwrap_or(0.01),
        migration_price: prices.number("move", 0.0..=1.0).unwrap_or(0.1),
        over_quota_utility: prices.number("over_share_worth", 0.0..=1.0).unwrap_or(1.0),
        ..Settings::default()
    }
}

fn load_reporting(section: &Section<'_>) -> LoadReporting {
    let choices = [
        ("answers", LoadReporting::InResponses),
        ("probes", LoadReporting::InHealthChecks),
        ("none", LoadReporting::Disabled),
    ];
    section.choice("reports", &choices).unwrap_or(LoadReporting::InResponses)
}

fn weight_meaning(section: &Section<'_>) -> WeightMeaning {
    let choices = [
        ("size", WeightMeaning::Capacity),
        ("live", WeightMeaning::LoadAdjusted),
        ("none", WeightMeaning::Unset),
    ];
    section.choice("sizes", &choices).unwrap_or(WeightMeaning::Capacity)
}

fn capabilities(section: &Section<'_>) -> Capabilities {
    let retry_after_ms = section.integer("retry_after_ms", 0..=MAX_MILLIS);
    Capabilities {
        max_attempts: narrow(section.integer("attempts", 1..=100).unwrap_or(4)),
        health_checks: section.flag("probes", false),
        cancel: true,
        max_retry_after: retry_after_ms.map(micros_of_millis),
    }
}

fn micros_of_millis(millis: u64) -> Micros {
    Micros(millis * 1000)
}

fn micros(section: &Section<'_>, key: &'static str, default_ms: u64) -> Micros {
    micros_of_millis(section.integer(key, 0..=MAX_MILLIS).unwrap_or(default_ms))
}

fn required_micros(section: &Section<'_>, key: &'static str) -> Micros {
    micros_of_millis(section.required_integer(key, 1..=MAX_MILLIS))
}

fn names(sections: &[Section<'_>], what: &str) -> Vec<String> {
    let mut names: Vec<String> = Vec::new();
    for section in sections {
        let name = section.required_text("name");
        if names.contains(&name) {
            section.report("name", format!("another {what} has the same name"));
        }
        names.push(name);
    }
    names
}

fn tenant(section: &Section<'_>) -> Tenant {
    Tenant { quota_per_s: section.number("quota_per_s", 0.0..=1e6) }
}

fn max_streams(section: &Section<'_>) -> u32 {
    narrow(section.required_integer("streams", 1..=1_000_000))
}

fn ladder(section: &Section<'_>) -> BitrateLadder {
    let rungs = section.sections("ladder");
    if rungs.is_empty() || rungs.len() > MAX_RUNGS {
        section.report("ladder", format!("1 to {MAX_RUNGS} rungs are needed, in ascending order"));
    }
    let mut ladder = BitrateLadder {
        switch_cost_s: section.number("change_costs_s", 0.0..=3600.0).unwrap_or(0.5),
        ..BitrateLadder::default()
    };
    for rung in &rungs {
        let rate = rung.required_number("rate_kb", 0.001..=1e9);
        let utility = rung.required_number("worth", 0.0..=1e6);
        if ladder.rates_kb.last().is_some_and(|below| rate <= *below) {
            rung.report("rate_kb", "each rung needs a higher rate than the one before");
        }
        if ladder.utility.last().is_some_and(|below| utility < *below) {
            rung.report("worth", "each rung needs at least the worth of the one before");
        }
        ladder.rates_kb.push(rate);
        ladder.utility.push(utility);
    }
    ladder
}

fn class(section: &Section<'_>, rung_count: usize) -> Class {
    let last_rung = rung_count as u64 - 1;
    let latency_objective = required_micros(section, "aim_ms");
    let deadline = required_micros(section, "patience_ms");
    if latency_objective > deadline {
        section.report("aim_ms", "more than patience_ms: the target can't be later than the deadline");
    }
    let min_rung = section.integer("floor", 0..=last_rung).unwrap_or(0);
    let max_rung = section.integer("top", 0..=last_rung).unwrap_or(last_rung);
    if min_rung > max_rung {
        section.report("floor", "above top");
    }
    Class {
        latency_objective,
        deadline,
        idempotency: idempotency(section),
        utility: section.number("worth", 0.0..=1e6).unwrap_or(1.0),
        rate_scale: section.number("rate_scale", 0.001..=1000.0).unwrap_or(1.0),
        min_rung: Rung(narrow(min_rung)),
        max_rung: Rung(narrow(max_rung)),
        max_sessions_per_title: section.integer("seats", 1..=1_000_000).map(narrow),
        shared_rate_fraction: section.number("join", 0.0..=1.0).unwrap_or(1.0),
    }
}

fn idempotency(section: &Section<'_>) -> Idempotency {
    let effects =
        [("repeatable", EffectName::Repeatable), ("keyed", EffectName::Keyed), ("once", EffectName::Once)];
    match section.choice("effect", &effects).unwrap_or(EffectName::Repeatable) {
        EffectName::Repeatable => Idempotency::Idempotent,
        EffectName::Keyed => {
            let scopes = [("all", DedupScope::All), ("zone", DedupScope::Zone), ("rack", DedupScope::Cell)];
            Idempotency::Deduplicated {
                scope: section.choice("group", &scopes).unwrap_or(DedupScope::All),
                window: required_micros(section, "window_ms"),
            }
        }
        EffectName::Once => Idempotency::AtMostOnce,
    }
}

fn retry_budget(section: &Section<'_>) -> RetryBudget {
    RetryBudget {
        min_retries: section.required_number("free", 0.0..=1e6),
        retry_ratio: section.required_number("share", 0.0..=100.0),
        window: required_micros(section, "window_ms"),
    }
}

fn slow_start(section: &Section<'_>) -> SlowStart {
    let overload_factor = section.number("multiple", 0.0..=1000.0).unwrap_or(0.0);
    if overload_factor > 0.0 {
        for key in ["warm_ms", "span_ms"] {
            if !section.has(key) {
                section.report(key, "missing, but required by multiple");
            }
        }
    }
    SlowStart {
        warm_up: micros(section, "warm_ms", 0),
        initial_fraction: section.number("from", 0.0..=1.0).unwrap_or(0.3),
        overload_factor,
        overload_window: micros(section, "span_ms", 0),
    }
}
