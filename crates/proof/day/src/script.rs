//! The day's script, in YAML, checked like settings.

use std::collections::BTreeSet;
use std::time::Duration;

use beechloft_checker::Rules;
use beechloft_checker::check::{ClassRules, ColdRules, Repeat};
use beechloft_config::reader::{self, Faults, Section};
use beechloft_config::{Service, service};
use beechloft_core::api::Effect;
use beechloft_standin::boxes::Warming;
use beechloft_standin::dice::Dice;
use beechloft_standin::fault::Fault;
use beechloft_standin::fleet::{FleetBox, FleetSpec, TitleSpec};

use crate::keepers::{Between, KeepersSpec};

/// A trouble.
#[derive(Debug, Clone, PartialEq)]
pub enum Trouble {
    /// Boxes have a fault.
    Boxes(Vec<u32>, Fault),
    /// Boxes are listed as draining, one after the other, and taken back at the end.
    Drain(Vec<u32>),
    /// The list service tells changes so much later.
    ListLags(Duration),
    /// The list service is out of reach.
    ListDown,
    /// Its streams break so often a second.
    ListFlaps(f64),
    /// A rack's uplink leaves this part.
    Uplink(u16, f64),
    /// A front is killed outright, and started again at the end.
    KillFront(u32),
    /// Front processes are told to restart at once, and started again as each ends.
    RestartFronts(Vec<u32>),
    /// Between the fleet's processes.
    Between(Between),
    /// All boxes of a zone die, and its fronts too if told; they come back cold.
    ZoneLost(String, bool),
}

/// A trouble with its times, from the start of the day.
#[derive(Debug, Clone, PartialEq)]
pub struct Timed {
    /// It begins.
    pub at: Duration,
    /// It lasts.
    pub lasts: Duration,
    /// What.
    pub trouble: Trouble,
}

/// A crowd for few titles.
#[derive(Debug, Clone, PartialEq)]
pub struct Crowd {
    /// It comes.
    pub at: Duration,
    /// It stays.
    pub lasts: Duration,
    /// How many titles it is after.
    pub titles: usize,
    /// Part of all viewers that it makes up meanwhile.
    pub share: f64,
}

/// What players do.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    /// New viewers come for so long.
    pub lasts: Duration,
    /// New viewers a second: second of the day, rate; straight between.
    pub curve: Vec<(f64, f64)>,
    /// They watch so many seconds.
    pub watch_s: (f64, f64),
    /// Part of them that comes again after a refusal or a break.
    pub returns: f64,
    /// So many seconds later.
    pub again_s: (f64, f64),
    /// Part that hangs up before the answer.
    pub hangs_up: f64,
    /// Part that leaves without a word.
    pub vanishes: f64,
    /// Part that can't use the upper rungs.
    pub capped: f64,
    /// Part that trickles candidates.
    pub trickles: f64,
    /// Part whose offer is posted twice by a proxy.
    pub repeats: f64,
    /// How unevenly titles are wanted.
    pub zipf: f64,
    /// Part that calls by SIP rather than WHEP.
    pub sip: f64,
    /// Part of SIP datagrams that is lost, both ways.
    pub loses: f64,
    /// Part of SIP datagrams that is overtaken by later ones, both ways.
    pub overtakes: f64,
}

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
pub fn parse(text: &str, seed: u64) -> Result<Day, Faults> {
    reader::read(text, |top| day(top, seed))
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
    let cold = service.settings.cold;
    let warming = (cold.multiple > 0.0).then(|| Warming {
        after: Duration::from_micros(cold.warm_after.0),
        from: cold.from,
        multiple: cold.multiple,
        span: Duration::from_micros(cold.span.0),
    });
    let uplinks_kb = fleet_section.numbers("uplinks_kb", 1.0..=1e12);
    let racks = service.settings.racks as usize;
    if uplinks_kb.len() != racks {
        fleet_section.fault("uplinks_kb", format!("one uplink for each of the {racks} racks is expected"));
    }
    let fleet = FleetSpec {
        uplinks_kb,
        set_up: fleet_section.millis("set_up_ms", 0..=60_000).unwrap_or(Duration::from_millis(10)),
        guard: service.settings.guard.unwrap_or(0.0),
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
            FrontSpec { zone: f.needed_text("zone") }
        })
        .collect();
    if fronts.is_empty() || fronts.len() > 64 {
        top.fault("fronts", "1 to 64 fronts are needed");
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

fn boxes(s: &Section<'_>, service: &Service) -> Vec<FleetBox> {
    let mut all = Vec::new();
    let racks = u64::from(service.settings.racks.max(1));
    for b in s.sections("boxes") {
        let count = b.whole("count", 1..=10_000).unwrap_or(1);
        b.index("zone", &service.zones, "zone");
        let kind = b.index("kind", &service.kinds, "kind").unwrap_or(0);
        let mut in_racks = b.wholes("racks", 0..=racks - 1);
        if in_racks.is_empty() {
            in_racks = (0..racks).collect();
        }
        let made = FleetBox {
            rack: 0,
            zone: b.needed_text("zone"),
            kind: service.kinds.get(kind).cloned().unwrap_or_default(),
            size: b.number("size", 0.001..=1e6).unwrap_or(1.0),
            link_kb: b.needed_number("link_kb", 1.0..=1e9),
            streams: service.settings.kind_streams.get(kind).map_or(1, |n| *n as usize),
            cores: b.whole("cores", 1..=1024).unwrap_or(2) as usize,
        };
        for n in 0..count {
            let rack = in_racks[(n % in_racks.len() as u64) as usize] as u16;
            all.push(FleetBox { rack, ..made.clone() });
        }
    }
    if all.is_empty() {
        s.fault("boxes", "at least one box is needed");
    }
    all
}

fn titles(sections: &[Section<'_>], service: &Service, boxes: u32, dice: &mut Dice) -> Vec<TitleSpec> {
    let mut all = Vec::new();
    for t in sections {
        let count = t.whole("count", 1..=100_000).unwrap_or(1);
        let name = t.needed_text("name");
        let class = t.index("class", &service.classes, "class").unwrap_or(0);
        let holders = t.whole("holders", 0..=u64::from(boxes.max(1))).unwrap_or(3);
        let scale = service.settings.classes.get(class).map_or(1.0, |c| c.scale);
        let rates_kb: Vec<f64> = service.settings.ladder.rates_kb.iter().map(|r| r * scale).collect();
        for n in 0..count {
            // Boxes in a row from a drawn one, as libraries are copied.
            let home = dice.number() % u64::from(boxes.max(1));
            let row = (0..holders).map(|k| ((home + k) % u64::from(boxes.max(1))) as u32 + 1);
            all.push(TitleSpec {
                name: if count == 1 { name.clone() } else { format!("{name}-{n}") },
                class: service.classes.get(class).cloned().unwrap_or_default(),
                rates_kb: rates_kb.clone(),
                holders: row.collect::<BTreeSet<u32>>(),
            });
        }
    }
    all
}

fn load(s: &Section<'_>) -> Load {
    let lasts = seconds(s, "seconds", 10.0);
    let flat = s.numbers("per_s", 0.0..=1e5);
    if flat.is_empty() {
        s.fault("per_s", "rates of new viewers a second, evenly over the day, are needed");
    }
    let step = lasts.as_secs_f64() / (flat.len().max(2) - 1) as f64;
    let curve = flat.iter().enumerate().map(|(n, rate)| (n as f64 * step, *rate)).collect();
    let part = |key, default| s.number(key, 0.0..=1.0).unwrap_or(default);
    Load {
        lasts,
        curve,
        watch_s: s.pair("watch_s", 0.0..=86_400.0, (2.0, 6.0)),
        returns: part("returns", 0.9),
        again_s: s.pair("again_s", 0.0..=3600.0, (0.6, 2.6)),
        hangs_up: part("hangs_up", 0.02),
        vanishes: part("vanishes", 0.05),
        capped: part("capped", 0.2),
        trickles: part("trickles", 0.2),
        repeats: part("repeats", 0.01),
        sip: protocol(s),
        loses: part("loses", 0.0),
        overtakes: part("overtakes", 0.0),
        zipf: s.number("zipf", 0.0..=3.0).unwrap_or(0.8),
    }
}

/// The part of viewers that calls by SIP.
fn protocol(s: &Section<'_>) -> f64 {
    let words = [("whep", Some(0.0)), ("sip", Some(1.0)), ("mix", None)];
    let share = s.number("sip_share", 0.0..=1.0);
    match s.choice("protocol", &words) {
        Some(None) => share.unwrap_or(0.5),
        said => {
            if share.is_some() {
                s.fault("sip_share", "makes sense with 'protocol: mix' alone");
            }
            said.flatten().unwrap_or(0.0)
        }
    }
}

fn crowd(s: &Section<'_>) -> Crowd {
    Crowd {
        at: seconds(s, "at_s", 0.0),
        lasts: seconds(s, "for_s", 5.0),
        titles: s.whole("titles", 1..=1000).unwrap_or(2) as usize,
        share: s.needed_number("share", 0.0..=1.0),
    }
}

fn fault(s: &Section<'_>) -> Option<Fault> {
    let share = || s.needed_number("share", 0.0..=1.0);
    let kinds = [
        "never_answer",
        "late",
        "deaf",
        "deliver_nothing",
        "fail",
        "reset",
        "refuse",
        "stand_still",
        "grow_slow",
        "lose_answers",
        "take_link",
        "bad_answer",
        "stuck",
        "ring",
        "answer_cancelled",
        "lose_bye",
        "other_port",
        "half_close",
        "die",
    ];
    Some(match s.choice("fault", &kinds.map(|k| (k, k)))? {
        "never_answer" => Fault::NeverAnswer,
        "late" => Fault::Late { ms: s.needed_whole("ms", 1..=60_000) },
        "deaf" => Fault::Deaf { ms: s.needed_whole("ms", 1..=60_000) },
        "deliver_nothing" => Fault::DeliverNothing,
        "fail" => Fault::Fail { share: share() },
        "reset" => Fault::Reset,
        "refuse" => Fault::Refuse,
        "stand_still" => Fault::StandStill,
        "grow_slow" => Fault::GrowSlow {
            ms_per_s: s.needed_number("ms_per_s", 0.0..=60_000.0),
            dies_after_s: s.needed_number("dies_after_s", 0.0..=86_400.0),
        },
        "lose_answers" => Fault::LoseAnswers { share: share() },
        "take_link" => Fault::TakeLink { share: share() },
        "bad_answer" => Fault::BadAnswer,
        "stuck" => Fault::Stuck,
        "ring" => Fault::Ring,
        "answer_cancelled" => Fault::AnswerCancelled,
        "lose_bye" => Fault::LoseBye,
        "other_port" => Fault::OtherPort,
        "half_close" => Fault::HalfClose,
        _ => Fault::Die,
    })
}

fn trouble(
    s: &Section<'_>,
    service: &Service,
    fleet: &FleetSpec,
    (fronts, keepers): (usize, Option<&KeepersSpec>),
) -> Option<Timed> {
    let (at, lasts) = (seconds(s, "at_s", 0.0), seconds(s, "for_s", 5.0));
    let count = fleet.boxes.len() as u64;
    let trouble = if s.has("fault") {
        Trouble::Boxes(numbers(s, "boxes", count), fault(s)?)
    } else if s.has("drain") {
        Trouble::Drain(numbers(s, "drain", count))
    } else if s.has("list_lags_ms") {
        Trouble::ListLags(s.millis("list_lags_ms", 0..=600_000)?)
    } else if s.has("list_down") {
        s.flag("list_down", true).then_some(Trouble::ListDown)?
    } else if s.has("list_flaps_per_s") {
        Trouble::ListFlaps(s.number("list_flaps_per_s", 0.01..=100.0)?)
    } else if s.has("uplink") {
        let last = u64::from(service.settings.racks.max(1)) - 1;
        Trouble::Uplink(s.whole("uplink", 0..=last)? as u16, s.needed_number("left", 0.01..=1.0))
    } else if s.has("kill_front") {
        Trouble::KillFront(s.whole("kill_front", 0..=fronts as u64 - 1)? as u32)
    } else if s.has("zone_lost") {
        s.index("zone_lost", &service.zones, "zone")?;
        Trouble::ZoneLost(s.text("zone_lost")?, s.flag("with_fronts", false))
    } else if s.has("restart_fronts") {
        let told = s.wholes("restart_fronts", 0..=fronts as u64 - 1);
        Trouble::RestartFronts(told.into_iter().map(|n| n as u32).collect())
    } else if let Some(between) = Between::of(s, keepers.map_or(0, |k| k.count), fronts) {
        if keepers.is_none() {
            s.fault("", "there are no keepers: the section 'keepers' is missing");
        }
        Trouble::Between(between)
    } else {
        s.fault(
            "",
            "no trouble: one of fault, drain, list_lags_ms, list_down, list_flaps_per_s, uplink, kill_front, \
             restart_fronts, zone_lost, kill_keeper, stop_keeper, kill_keepers, cut_keeper, slow_keeper, \
             cut_leader_with_holder, kill_holder, stop_holder, cut_front",
        );
        return None;
    };
    Some(Timed { at, lasts, trouble })
}

fn numbers(s: &Section<'_>, key: &'static str, last: u64) -> Vec<u32> {
    let list = s.wholes(key, 1..=last.max(1));
    if list.is_empty() {
        s.fault(key, "numbers of boxes, counted from 1, are needed");
    }
    list.into_iter().map(|n| n as u32).collect()
}

fn rules(s: &Section<'_>, service: &Service, fleet: &FleetSpec) -> Rules {
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
        drain_grace_us: s.whole("drain_grace_ms", 0..=60_000).unwrap_or(1000) * 1000,
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
