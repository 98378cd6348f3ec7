//! Parameters of the rules that a day is checked against.

use beechloft_checker::Rules;
use beechloft_checker::check::{ClassRules, ColdRules, Repeat};
use beechloft_config::Service;
use beechloft_config_reader::Section;
use beechloft_fakes::fleet::FleetSpec;
use beechloft_session::api::Idempotency;

/// Derives the rules from the service section, the fleet and the `rules` section.
pub(super) fn rules(section: &Section<'_>, service: &Service, fleet: &FleetSpec) -> Rules {
    let settings = &service.settings;
    let class_of = |name: &str| service.classes.iter().position(|class| class == name).unwrap_or(0);
    let classes = settings.classes.iter().map(|class| ClassRules {
        repeat: if class.idempotency == Idempotency::AtMostOnce { Repeat::Once } else { Repeat::Repeatable },
        floor_kb: class.rate_scale
            * settings.ladder.rates_kb.get(usize::from(class.min_rung.0)).copied().unwrap_or(0.0),
        seats: class.max_sessions_per_title,
    });
    let streams = settings.max_streams_by_type.iter().copied().min().unwrap_or(1);
    Rules {
        titles: fleet.titles.iter().map(|title| (title.name.clone(), class_of(&title.class))).collect(),
        classes: classes.collect(),
        drain_grace_us: section.integer("drain_grace_ms", 0..=60_000).unwrap_or(1000) * 1000,
        cold: (settings.slow_start.overload_factor > 0.0).then(|| ColdRules {
            warm_us: settings.slow_start.warm_up.0,
            from: settings.slow_start.initial_fraction,
            multiple: settings.slow_start.overload_factor,
            span_us: settings.slow_start.overload_window.0,
            streams: f64::from(streams),
        }),
        budget: settings.retry_budget.map(|budget| (budget.min_retries, budget.retry_ratio, budget.window.0)),
    }
}
