//! The deployment: classes, ladder, links, rules. The same for every front of it.

use beechloft::api::*;

use beechloft_config_reader::Section;

/// A deployment, as settings tell it.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Service {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the kinds of media servers.
    pub kinds: Vec<String>,
    /// For the policy; a front's own number and zone are still to be set.
    pub settings: Settings,
}

const DAY_MS: u64 = 86_400_000;

fn micros(s: &Section<'_>, key: &'static str, from: u64, default: u64) -> Micros {
    Micros(s.integer(key, from..=DAY_MS).unwrap_or(default) * 1000)
}

fn names(list: &[Section<'_>], what: &str) -> Vec<String> {
    let mut names: Vec<String> = Vec::new();
    for s in list {
        let name = s.required_text("name");
        if names.contains(&name) {
            s.report("name", format!("a second {what} of this name"));
        }
        names.push(name);
    }
    names
}

/// Reads the `service` section.
pub fn service(s: &Section<'_>) -> Service {
    let zones = s.texts("zones");
    if zones.is_empty() {
        s.report("zones", "at least one zone is needed");
    }
    let ladder = ladder(s);
    let steps = ladder.rates_kb.len().max(1);

    let class_sections = s.sections("classes");
    if class_sections.is_empty() {
        s.report("classes", "at least one class is needed");
    }
    let classes = names(&class_sections, "class");
    let class_list = class_sections.iter().map(|c| class(c, steps)).collect();

    let tenant_sections = s.sections("tenants");
    let tenants = names(&tenant_sections, "tenant");
    let tenant_list =
        tenant_sections.iter().map(|t| Tenant { quota_per_s: t.number("quota_per_s", 0.0..=1e6) }).collect();

    let kind_sections = s.sections("kinds");
    if kind_sections.is_empty() {
        s.report("kinds", "at least one kind of box is needed");
    }
    let kinds = names(&kind_sections, "kind");
    let kind_streams =
        kind_sections.iter().map(|k| k.required_integer("streams", 1..=1_000_000) as u32).collect();

    let racks = s.integer("racks", 1..=60_000).unwrap_or(1) as u32;
    let links = s.section("links");
    let limits = s.section("limits");
    let prices = s.section("prices");
    let settings = Settings {
        classes: class_list,
        tenants: tenant_list,
        max_streams_by_type: kind_streams,
        ladder,
        // The list names racks, not cells; titles name their holders.
        cells: racks,
        racks,
        total_link_kb: links.number("all_kb", 1.0..=1e12),
        link_kb_per_weight: links.number("unit_kb", 1.0..=1e9),
        mean_uplink_kb: links.number("uplink_kb", 1.0..=1e12),
        admission_limit: links.number("guard", 0.1..=10.0),
        feedback_delay: micros(s, "notes_late_ms", 0, 1000),
        front_count: 1,
        slot: 0,
        zone: ZoneId(0),
        load_reporting: s
            .choice(
                "reports",
                &[
                    ("answers", LoadReporting::InResponses),
                    ("probes", LoadReporting::InHealthChecks),
                    ("none", LoadReporting::Disabled),
                ],
            )
            .unwrap_or(LoadReporting::InResponses),
        weight_meaning: s
            .choice(
                "sizes",
                &[
                    ("size", WeightMeaning::Capacity),
                    ("live", WeightMeaning::LoadAdjusted),
                    ("none", WeightMeaning::Unset),
                ],
            )
            .unwrap_or(WeightMeaning::Capacity),
        discovery: Discovery::Push,
        capabilities: Capabilities {
            max_attempts: limits.integer("attempts", 1..=100).unwrap_or(4) as u32,
            health_checks: limits.flag("probes", false),
            cancel: true,
            max_retry_after: limits.integer("retry_after_ms", 0..=DAY_MS).map(|ms| Micros(ms * 1000)),
        },
        retry_budget: s.has("budget").then(|| budget(&s.section("budget"))),
        slow_start: cold(&s.section("cold")),
        health_check_price: prices.number("probe", 0.0..=1.0).unwrap_or(0.01),
        migration_price: prices.number("move", 0.0..=1.0).unwrap_or(0.1),
        over_quota_utility: prices.number("over_share_worth", 0.0..=1.0).unwrap_or(1.0),
    };
    if settings.load_reporting == LoadReporting::InHealthChecks && !settings.capabilities.health_checks {
        s.report("reports", "boxes report with probes alone, but limits.probes does not allow any");
    }
    Service { zones, classes, tenants, kinds, settings }
}

fn ladder(s: &Section<'_>) -> BitrateLadder {
    let rungs = s.sections("ladder");
    if rungs.is_empty() || rungs.len() > 64 {
        s.report("ladder", "1 to 64 rungs are needed, the lowest first");
    }
    let mut ladder = BitrateLadder {
        switch_cost_s: s.number("change_costs_s", 0.0..=3600.0).unwrap_or(0.5),
        ..BitrateLadder::default()
    };
    for rung in &rungs {
        let rate = rung.required_number("rate_kb", 0.001..=1e9);
        let worth = rung.required_number("worth", 0.0..=1e6);
        if ladder.rates_kb.last().is_some_and(|below| rate <= *below) {
            rung.report("rate_kb", "each rung needs a higher rate than the one before");
        }
        if ladder.utility.last().is_some_and(|below| worth < *below) {
            rung.report("worth", "a rung can't be worth less than the one before");
        }
        ladder.rates_kb.push(rate);
        ladder.utility.push(worth);
    }
    ladder
}

fn class(c: &Section<'_>, steps: usize) -> Class {
    let last = steps as u64 - 1;
    let aim = Micros(c.required_integer("aim_ms", 1..=DAY_MS) * 1000);
    let deadline = Micros(c.required_integer("patience_ms", 1..=DAY_MS) * 1000);
    if aim > deadline {
        c.report("aim_ms", "more than patience_ms: a session can't be wanted later than its viewer waits");
    }
    let (floor, top) =
        (c.integer("floor", 0..=last).unwrap_or(0), c.integer("top", 0..=last).unwrap_or(last));
    if floor > top {
        c.report("floor", "above top");
    }
    let window = || Micros(c.required_integer("window_ms", 1..=DAY_MS) * 1000);
    let group = || {
        let groups = [("all", DedupScope::All), ("zone", DedupScope::Zone), ("rack", DedupScope::Cell)];
        c.choice("group", &groups).unwrap_or(DedupScope::All)
    };
    #[derive(Clone, Copy)]
    enum Word {
        Repeatable,
        Keyed,
        Once,
    }
    let words = [("repeatable", Word::Repeatable), ("keyed", Word::Keyed), ("once", Word::Once)];
    let effect = match c.choice("effect", &words).unwrap_or(Word::Repeatable) {
        Word::Repeatable => Idempotency::Idempotent,
        Word::Keyed => Idempotency::Deduplicated { scope: group(), window: window() },
        Word::Once => Idempotency::AtMostOnce,
    };
    Class {
        latency_objective: aim,
        deadline,
        idempotency: effect,
        utility: c.number("worth", 0.0..=1e6).unwrap_or(1.0),
        rate_scale: c.number("rate_scale", 0.001..=1000.0).unwrap_or(1.0),
        min_rung: Rung(floor as u8),
        max_rung: Rung(top as u8),
        max_sessions_per_title: c.integer("seats", 1..=1_000_000).map(|n| n as u32),
        shared_rate_fraction: c.number("join", 0.0..=1.0).unwrap_or(1.0),
    }
}

fn budget(b: &Section<'_>) -> RetryBudget {
    RetryBudget {
        min_retries: b.required_number("free", 0.0..=1e6),
        retry_ratio: b.required_number("share", 0.0..=100.0),
        window: Micros(b.required_integer("window_ms", 1..=DAY_MS) * 1000),
    }
}

fn cold(c: &Section<'_>) -> SlowStart {
    let multiple = c.number("multiple", 0.0..=1000.0).unwrap_or(0.0);
    if multiple > 0.0 {
        for key in ["warm_ms", "span_ms"] {
            if !c.has(key) {
                c.report(key, "missing, though multiple is given");
            }
        }
    }
    SlowStart {
        warm_up: micros(c, "warm_ms", 0, 0),
        initial_fraction: c.number("from", 0.0..=1.0).unwrap_or(0.3),
        overload_factor: multiple,
        overload_window: micros(c, "span_ms", 0, 0),
    }
}
