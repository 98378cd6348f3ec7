//! Random settings for property tests.

use beechloft::api::{
    BitrateLadder, Capabilities, Class, DedupScope, Discovery, Idempotency, LoadReporting, Micros,
    RetryBudget, Rung, Settings, Tenant,
};
use proptest::prelude::*;

use crate::support::{MILLIS, class, settings};

/// Random differences from the default settings.
#[derive(Debug, Clone)]
pub struct RandomSettings {
    /// Selects a combination of load reporting and capacities.
    variant: u8,
    classes: usize,
    deadline_ms: u64,
    window_ms: u64,
    /// Whether servers are in two zones in place of one.
    pub has_zones: bool,
    /// Minimum number of retries, ratio and window in milliseconds of the retry budget.
    budget: Option<(f64, f64, u64)>,
    max_sessions: Option<u32>,
    cells: u32,
    subscribe: bool,
    max_attempts: u32,
}

/// Returns a strategy for random settings.
pub fn random_settings() -> impl Strategy<Value = RandomSettings> {
    let deadlines = prop_oneof![2 => Just(4_000), 1 => Just(200), 1 => Just(20_000), 1 => 200..20_000u64];
    let windows = prop_oneof![2 => Just(2_000), 2 => 0..400u64, 1 => 400..20_000u64];
    let budgets = prop_oneof![1 => Just(None), 2 => (0.0..3.0f64, 0.0..0.5f64, 1..4_000u64).prop_map(Some)];
    let session_limits = prop_oneof![Just(None), (0..3u32).prop_map(Some)];
    let cell_counts = prop_oneof![3 => Just(4), 1 => Just(1), 1 => 0..9u32];
    let rest = (session_limits, cell_counts, any::<bool>(), 1..5u32);
    (0..4u8, 1..10usize, deadlines, windows, any::<bool>(), budgets, rest).prop_map(
        |(variant, classes, deadline_ms, window_ms, has_zones, budget, rest)| {
            let (max_sessions, cells, subscribe, max_attempts) = rest;
            RandomSettings {
                variant,
                classes,
                deadline_ms,
                window_ms,
                has_zones,
                budget,
                max_sessions,
                cells,
                subscribe,
                max_attempts,
            }
        },
    )
}

/// Returns complete settings with the given differences from the default ones.
pub fn settings_from(random: &RandomSettings) -> Settings {
    let window = Micros(random.window_ms * MILLIS);
    let deadline = Micros(random.deadline_ms * MILLIS);
    let random_class = |n: usize| {
        let idempotency = match n % 5 {
            0 => Idempotency::Idempotent,
            1 => Idempotency::AtMostOnce,
            2 => Idempotency::Deduplicated { scope: DedupScope::Zone, window },
            3 => Idempotency::Deduplicated { scope: DedupScope::All, window },
            _ => Idempotency::Deduplicated { scope: DedupScope::Cell, window },
        };
        let mut class = Class { deadline, latency_objective: Micros(deadline.0 / 5), ..class(idempotency) };
        if n % 3 == 1 {
            class.min_rung = Rung(1);
            class.max_rung = Rung(2);
            class.max_sessions_per_title = random.max_sessions;
        }
        if n % 3 == 2 {
            class.shared_rate_fraction = 0.2;
        }
        class
    };
    let mut settings = Settings {
        classes: (0..random.classes).map(random_class).collect(),
        cells: random.cells,
        ..settings()
    };
    settings.retry_budget = random.budget.map(|(min_retries, retry_ratio, window_ms)| RetryBudget {
        min_retries,
        retry_ratio,
        window: Micros(window_ms * MILLIS),
    });
    settings.capabilities.max_attempts = random.max_attempts;
    if random.subscribe {
        settings.discovery = Discovery::Subscribe;
    }
    match random.variant % 4 {
        0 => {}
        1 => {
            settings.load_reporting = LoadReporting::InHealthChecks;
            settings.capabilities = Capabilities {
                health_checks: true,
                cancel: false,
                max_retry_after: None,
                ..settings.capabilities
            };
            settings.tenants = vec![Tenant { quota_per_s: Some(0.5) }];
            settings.over_quota_utility = 0.1;
        }
        2 => {
            settings.load_reporting = LoadReporting::Disabled;
            settings.total_link_kb = None;
            settings.link_kb_per_weight = None;
            settings.mean_uplink_kb = None;
        }
        _ => {
            settings.ladder = BitrateLadder { rates_kb: vec![], utility: vec![], switch_cost_s: 0.0 };
            settings.max_streams_by_type = vec![];
            settings.racks = 0;
            settings.front_count = 0;
            settings.slow_start.warm_up = Micros(0);
        }
    }
    settings
}
