//! The rules that a script asks for.

use beechloft_checker::Rules;
use beechloft_checker::check::{ClassRules, ColdRules, Repeat};
use beechloft_config::Service;
use beechloft_config_reader::Section;
use beechloft_fakes::fleet::FleetSpec;
use beechloft_session::api::Idempotency;

pub(super) fn rules(s: &Section<'_>, service: &Service, fleet: &FleetSpec) -> Rules {
    let set = &service.settings;
    let class_of = |name: &str| service.classes.iter().position(|c| c == name).unwrap_or(0);
    let classes = set.classes.iter().map(|c| ClassRules {
        repeat: if c.idempotency == Idempotency::AtMostOnce { Repeat::Once } else { Repeat::Repeatable },
        floor_kb: c.rate_scale * set.ladder.rates_kb.get(usize::from(c.min_rung.0)).copied().unwrap_or(0.0),
        seats: c.max_sessions_per_title,
    });
    let streams = set.max_streams_by_type.iter().copied().min().unwrap_or(1);
    Rules {
        titles: fleet.titles.iter().map(|t| (t.name.clone(), class_of(&t.class))).collect(),
        classes: classes.collect(),
        drain_grace_us: s.integer("drain_grace_ms", 0..=60_000).unwrap_or(1000) * 1000,
        cold: (set.slow_start.overload_factor > 0.0).then(|| ColdRules {
            warm_us: set.slow_start.warm_up.0,
            from: set.slow_start.initial_fraction,
            multiple: set.slow_start.overload_factor,
            span_us: set.slow_start.overload_window.0,
            streams: f64::from(streams),
        }),
        budget: set.retry_budget.map(|b| (b.min_retries, b.retry_ratio, b.window.0)),
    }
}
