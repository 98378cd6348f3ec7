//! The troubles of a script.

use std::time::Duration;

use beechloft_config::Service;
use beechloft_config_reader::Section;
use beechloft_fakes::fault::Fault;
use beechloft_fakes::fleet::FleetSpec;

use super::seconds;
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

fn fault(s: &Section<'_>) -> Option<Fault> {
    let share = || s.required_number("share", 0.0..=1.0);
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
        "late" => Fault::Late { ms: s.required_integer("ms", 1..=60_000) },
        "deaf" => Fault::Deaf { ms: s.required_integer("ms", 1..=60_000) },
        "deliver_nothing" => Fault::DeliverNothing,
        "fail" => Fault::Fail { share: share() },
        "reset" => Fault::Reset,
        "refuse" => Fault::Refuse,
        "stand_still" => Fault::StandStill,
        "grow_slow" => Fault::GrowSlow {
            ms_per_s: s.required_number("ms_per_s", 0.0..=60_000.0),
            dies_after_s: s.required_number("dies_after_s", 0.0..=86_400.0),
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

pub(super) fn trouble(
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
        Trouble::Uplink(s.integer("uplink", 0..=last)? as u16, s.required_number("left", 0.01..=1.0))
    } else if s.has("kill_front") {
        Trouble::KillFront(s.integer("kill_front", 0..=fronts as u64 - 1)? as u32)
    } else if s.has("zone_lost") {
        s.index("zone_lost", &service.zones, "zone")?;
        Trouble::ZoneLost(s.text("zone_lost")?, s.flag("with_fronts", false))
    } else if s.has("restart_fronts") {
        let told = s.integers("restart_fronts", 0..=fronts as u64 - 1);
        Trouble::RestartFronts(told.into_iter().map(|n| n as u32).collect())
    } else if let Some(between) = Between::of(s, keepers.map_or(0, |k| k.count), fronts) {
        if keepers.is_none() {
            s.report("", "there are no keepers: the section 'keepers' is missing");
        }
        Trouble::Between(between)
    } else {
        s.report(
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
    let list = s.integers(key, 1..=last.max(1));
    if list.is_empty() {
        s.report(key, "numbers of boxes, counted from 1, are needed");
    }
    list.into_iter().map(|n| n as u32).collect()
}
