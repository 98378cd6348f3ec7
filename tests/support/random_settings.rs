//! Settings as any customer might have them, drawn by chance.

use beechloft::api::{
    BitrateLadder, Capabilities, Class, DedupScope, Discovery, Idempotency, LoadReporting, Micros,
    RetryBudget, Rung, Settings, Tenant,
};
use proptest::prelude::*;

use crate::support::{MILLIS, class, settings};

/// Settings of any customer: what the drawn settings change in the usual ones.
#[derive(Debug, Clone)]
pub struct RandomSettings {
    kind: u8,
    classes: usize,
    deadline_ms: u64,
    window_ms: u64,
    pub zones: bool,
    budget: Option<(f64, f64, u64)>,
    seats: Option<u32>,
    cells: u32,
    subscribe: bool,
    attempts: u32,
}

pub fn random_settings() -> impl Strategy<Value = RandomSettings> {
    let deadline = prop_oneof![2 => Just(4_000), 1 => Just(200), 1 => Just(20_000), 1 => 200..20_000u64];
    let window = prop_oneof![2 => Just(2_000), 2 => 0..400u64, 1 => 400..20_000u64];
    let budget = prop_oneof![1 => Just(None), 2 => (0.0..3.0f64, 0.0..0.5f64, 1..4_000u64).prop_map(Some)];
    let seats = prop_oneof![Just(None), (0..3u32).prop_map(Some)];
    let cells = prop_oneof![3 => Just(4), 1 => Just(1), 1 => 0..9u32];
    let rest = (seats, cells, any::<bool>(), 1..5u32);
    (0..4u8, 1..10usize, deadline, window, any::<bool>(), budget, rest).prop_map(
        |(kind, classes, deadline_ms, window_ms, zones, budget, (seats, cells, subscribe, attempts))| {
            RandomSettings {
                kind,
                classes,
                deadline_ms,
                window_ms,
                zones,
                budget,
                seats,
                cells,
                subscribe,
                attempts,
            }
        },
    )
}

pub fn settings_from(random_settings: &RandomSettings) -> Settings {
    let window = Micros(random_settings.window_ms * MILLIS);
    let deadline = Micros(random_settings.deadline_ms * MILLIS);
    let one = |n: usize| {
        let effect = match n % 5 {
            0 => Idempotency::Idempotent,
            1 => Idempotency::AtMostOnce,
            2 => Idempotency::Deduplicated { scope: DedupScope::Zone, window },
            3 => Idempotency::Deduplicated { scope: DedupScope::All, window },
            _ => Idempotency::Deduplicated { scope: DedupScope::Cell, window },
        };
        let mut class = Class { deadline, latency_objective: Micros(deadline.0 / 5), ..class(effect) };
        if n % 3 == 1 {
            (class.min_rung, class.max_rung, class.max_sessions_per_title) =
                (Rung(1), Rung(2), random_settings.seats);
        }
        if n % 3 == 2 {
            class.shared_rate_fraction = 0.2;
        }
        class
    };
    let mut s = Settings {
        classes: (0..random_settings.classes).map(one).collect(),
        cells: random_settings.cells,
        ..settings()
    };
    s.retry_budget = random_settings.budget.map(|(free, share, ms)| RetryBudget {
        min_retries: free,
        retry_ratio: share,
        window: Micros(ms * MILLIS),
    });
    s.capabilities.max_attempts = random_settings.attempts;
    if random_settings.subscribe {
        s.discovery = Discovery::Subscribe;
    }
    match random_settings.kind % 4 {
        0 => {}
        1 => {
            s.load_reporting = LoadReporting::InHealthChecks;
            s.capabilities =
                Capabilities { health_checks: true, cancel: false, max_retry_after: None, ..s.capabilities };
            s.tenants = vec![Tenant { quota_per_s: Some(0.5) }];
            s.over_quota_utility = 0.1;
        }
        2 => {
            s.load_reporting = LoadReporting::Disabled;
            (s.total_link_kb, s.link_kb_per_weight, s.mean_uplink_kb) = (None, None, None);
        }
        _ => {
            s.ladder = BitrateLadder { rates_kb: vec![], utility: vec![], switch_cost_s: 0.0 };
            s.max_streams_by_type = vec![];
            (s.racks, s.front_count) = (0, 0);
            s.slow_start.warm_up = Micros(0);
        }
    }
    s
}
