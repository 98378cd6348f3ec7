//! Script of a day in YAML, which is read and checked like settings.

mod disruptions;
mod fleet;
mod load;
mod rules;

use std::time::Duration;

use beechloft_checker::Rules;
use beechloft_config::{Service, service};
use beechloft_config_reader::{self as config_reader, ConfigErrors, Section};
use beechloft_fakes::boxes::Warming;
use beechloft_fakes::dice::Dice;
use beechloft_fakes::fleet::FleetSpec;

use self::disruptions::disruption;
use self::fleet::{media_servers, titles};
use self::load::{crowd, load};
use self::rules::rules;
use crate::coordinator::CoordinatorSpec;

pub use disruptions::{Disruption, TimedDisruption};
pub use load::{FlashCrowd, Load};

/// Front of a day.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FrontSpec {
    /// Name of the zone.
    pub zone: String,
}

/// Complete description of a day.
#[derive(Debug, Clone)]
pub struct Day {
    /// Service section, which all fronts use.
    pub service: Service,
    /// Service section as JSON, for the settings of the fronts.
    pub service_text: String,
    /// Fleet of media servers and titles.
    pub fleet: FleetSpec,
    /// Fronts.
    pub fronts: Vec<FrontSpec>,
    /// Coordinator and its clients, or `None` if the fronts run without one.
    pub coordinator: Option<CoordinatorSpec>,
    /// Arrival and behaviour of players.
    pub load: Load,
    /// Flash crowds.
    pub crowds: Vec<FlashCrowd>,
    /// Disruptions with their times.
    pub disruptions: Vec<TimedDisruption>,
    /// Parameters of the rules that the trace is checked against.
    pub rules: Rules,
}

/// Reads a script. The seed determines which media servers hold which title.
pub fn parse(text: &str, seed: u64) -> Result<Day, ConfigErrors> {
    config_reader::read(text, |top| day(top, seed))
}

fn seconds(section: &Section<'_>, key: &'static str, default: f64) -> Duration {
    Duration::from_secs_f64(section.number(key, 0.0..=86_400.0).unwrap_or(default))
}

fn day(top: &Section<'_>, seed: u64) -> Day {
    let mut dice = Dice::new(seed ^ 0xda7);
    let service = service::service(&top.section("service"));
    let service_text = top.node("service").map(|node| node.to_json().to_string()).unwrap_or_default();
    let fleet_section = top.section("fleet");
    let boxes = media_servers(&fleet_section, &service);
    let titles = titles(&top.sections("titles"), &service, boxes.len() as u32, &mut dice);
    let slow_start = service.settings.slow_start;
    let warming = (slow_start.overload_factor > 0.0).then(|| Warming {
        after: Duration::from_micros(slow_start.warm_up.0),
        from: slow_start.initial_fraction,
        multiple: slow_start.overload_factor,
        span: Duration::from_micros(slow_start.overload_window.0),
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
        .map(|front| {
            front.index("zone", &service.zones, "zone");
            FrontSpec { zone: front.required_text("zone") }
        })
        .collect();
    if fronts.is_empty() || fronts.len() > 64 {
        top.report("fronts", "1 to 64 fronts are needed");
    }
    let coordinator = top.has("keepers").then(|| CoordinatorSpec::read(&top.section("keepers")));
    let load = load(&top.section("load"));
    let crowds = top.sections("crowds").iter().map(crowd).collect();
    let disruptions = top
        .sections("troubles")
        .iter()
        .filter_map(|section| disruption(section, &service, &fleet, (fronts.len(), coordinator.as_ref())))
        .collect();
    let rules = rules(&top.section("rules"), &service, &fleet);
    Day { service, service_text, fleet, fronts, coordinator, load, crowds, disruptions, rules }
}
