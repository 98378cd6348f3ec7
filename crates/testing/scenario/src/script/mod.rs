//! The day's script, in YAML, checked like settings.

mod fleet;
mod load;
mod rules;
mod troubles;

use std::time::Duration;

use beechloft_checker::Rules;
use beechloft_config::{Service, service};
use beechloft_config_reader::{self as config_reader, ConfigErrors, Section};
use beechloft_fakes::boxes::Warming;
use beechloft_fakes::dice::Dice;
use beechloft_fakes::fleet::FleetSpec;

use self::fleet::{boxes, titles};
use self::load::{crowd, load};
use self::rules::rules;
use self::troubles::trouble;
use crate::keepers::KeepersSpec;

pub use load::{Crowd, Load};
pub use troubles::{Timed, Trouble};

/// A front of the day.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FrontSpec {
    /// Name of its zone.
    pub zone: String,
}

/// A whole day.
#[derive(Debug, Clone)]
pub struct Day {
    /// The deployment.
    pub service: Service,
    /// The same as text, for the fronts' settings.
    pub service_text: String,
    /// The fleet.
    pub fleet: FleetSpec,
    /// The fronts.
    pub fronts: Vec<FrontSpec>,
    /// The keepers and who asks them; none: fronts know nothing of each other.
    pub keepers: Option<KeepersSpec>,
    /// The players.
    pub load: Load,
    /// Crowds.
    pub crowds: Vec<Crowd>,
    /// Troubles.
    pub troubles: Vec<Timed>,
    /// The rules in figures.
    pub rules: Rules,
}

/// Reads a script; what a seed draws in it (which boxes hold which title) follows from the seed.
pub fn parse(text: &str, seed: u64) -> Result<Day, ConfigErrors> {
    config_reader::read(text, |top| day(top, seed))
}

fn seconds(s: &Section<'_>, key: &'static str, default: f64) -> Duration {
    Duration::from_secs_f64(s.number(key, 0.0..=86_400.0).unwrap_or(default))
}

fn day(top: &Section<'_>, seed: u64) -> Day {
    let mut dice = Dice::new(seed ^ 0xda7);
    let service = service::service(&top.section("service"));
    let service_text = top.node("service").map(|n| n.to_json().to_string()).unwrap_or_default();
    let fleet_section = top.section("fleet");
    let boxes = boxes(&fleet_section, &service);
    let titles = titles(&top.sections("titles"), &service, boxes.len() as u32, &mut dice);
    let cold = service.settings.slow_start;
    let warming = (cold.overload_factor > 0.0).then(|| Warming {
        after: Duration::from_micros(cold.warm_up.0),
        from: cold.initial_fraction,
        multiple: cold.overload_factor,
        span: Duration::from_micros(cold.overload_window.0),
    });
    let uplinks_kb = fleet_section.numbers("uplinks_kb", 1.0..=1e12);
    let racks = service.settings.racks as usize;
    if uplinks_kb.len() != racks {
        fleet_section.report("uplinks_kb", format!("one uplink for each of the {racks} racks is expected"));
    }
    let fleet = FleetSpec {
        uplinks_kb,
        set_up: fleet_section.millis("set_up_ms", 0..=60_000).unwrap_or(Duration::from_millis(10)),
        guard: service.settings.admission_limit.unwrap_or(0.0),
        warming,
        seed,
        boxes,
        titles,
    };
    let fronts: Vec<FrontSpec> = top
        .sections("fronts")
        .iter()
        .map(|f| {
            f.index("zone", &service.zones, "zone");
            FrontSpec { zone: f.required_text("zone") }
        })
        .collect();
    if fronts.is_empty() || fronts.len() > 64 {
        top.report("fronts", "1 to 64 fronts are needed");
    }
    let keepers = top.has("keepers").then(|| KeepersSpec::of(&top.section("keepers")));
    let load = load(&top.section("load"));
    let crowds = top.sections("crowds").iter().map(crowd).collect();
    let troubles = top
        .sections("troubles")
        .iter()
        .filter_map(|t| trouble(t, &service, &fleet, (fronts.len(), keepers.as_ref())))
        .collect();
    let rules = rules(&top.section("rules"), &service, &fleet);
    Day { service, service_text, fleet, fronts, keepers, load, crowds, troubles, rules }
}
