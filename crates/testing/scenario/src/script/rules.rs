//! The rules that a script asks for.

use beechloft_checker::Rules;
use beechloft_checker::check::{ClassRules, ColdRules, Repeat};
use beechloft_config::Service;
use beechloft_config_reader::Section;
use beechloft_fakes::fleet::FleetSpec;
use beechloft_session::api::Effect;

pub(super) fn rules(s: &Section<'_>, service: &Service, fleet: &FleetSpec) -> Rules {
    let set = &service.settings;
    let class_of = |name: &str| service.classes.iter().position(|c| c == name).unwrap_or(0);
    let classes = set.classes.iter().map(|c| ClassRules {
        repeat: if c.effect == Effect::Once { Repeat::Once } else { Repeat::Repeatable },
        floor_kb: c.scale * set.ladder.rates_kb.get(usize::from(c.floor.0)).copied().unwrap_or(0.0),
        seats: c.seats,
    });
    let streams = set.kind_streams.iter().copied().min().unwrap_or(1);
    Rules {
        titles: fleet.titles.iter().map(|t| (t.name.clone(), class_of(&t.class))).collect(),
        classes: classes.collect(),
        drain_grace_us: s.integer("drain_grace_ms", 0..=60_000).unwrap_or(1000) * 1000,
        cold: (set.cold.multiple > 0.0).then(|| ColdRules {
            warm_us: set.cold.warm_after.0,
            from: set.cold.from,
            multiple: set.cold.multiple,
            span_us: set.cold.span.0,
            streams: f64::from(streams),
        }),
        budget: set.budget.map(|b| (b.free, b.share, b.window.0)),
    }
}
