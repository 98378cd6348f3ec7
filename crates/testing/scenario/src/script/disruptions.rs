//! Disruptions of a script.

use std::time::Duration;

use beechloft_config::Service;
use beechloft_config_reader::Section;
use beechloft_fakes::fault::Fault;
use beechloft_fakes::fleet::FleetSpec;

use super::seconds;
use crate::coordinator::{CoordinatorSpec, ProcessFault};

/// Disruption of the fleet, the endpoint list service, the fronts or the coordinator.
#[derive(Debug, Clone, PartialEq)]
pub enum Disruption {
    /// Media servers have a fault.
    MediaServers(Vec<u32>, Fault),
    /// Media servers are listed as draining one after the other, and as ready at the end.
    Drain(Vec<u32>),
    /// The endpoint list service sends changes after this delay.
    ListLags(Duration),
    /// The endpoint list service is unreachable.
    ListDown,
    /// The streams of the endpoint list service break this often per second.
    ListFlaps(f64),
    /// The uplink of a rack has this share of its capacity left.
    Uplink(u16, f64),
    /// A front is killed, and started again at the end.
    KillFront(u32),
    /// Fronts get SIGTERM at the same time, and each is started again when it exits.
    RestartFronts(Vec<u32>),
    /// Fault of the coordinator's processes or their links.
    Process(ProcessFault),
    /// All media servers of a zone die, and also its fronts if the flag is set. They return at the end with a cold start.
    ZoneLost(String, bool),
}

/// Disruption with its times.
#[derive(Debug, Clone, PartialEq)]
pub struct TimedDisruption {
    /// Start, from the start of the day.
    pub at: Duration,
    /// Duration.
    pub lasts: Duration,
    /// The disruption.
    pub disruption: Disruption,
}

/// Reads the fault of media servers.
fn fault(section: &Section<'_>) -> Option<Fault> {
    let share = || section.required_number("share", 0.0..=1.0);
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
    Some(match section.choice("fault", &kinds.map(|k| (k, k)))? {
        "never_answer" => Fault::NeverAnswer,
        "late" => Fault::Late { ms: section.required_integer("ms", 1..=60_000) },
        "deaf" => Fault::Deaf { ms: section.required_integer("ms", 1..=60_000) },
        "deliver_nothing" => Fault::DeliverNothing,
        "fail" => Fault::Fail { share: share() },
        "reset" => Fault::Reset,
        "refuse" => Fault::Refuse,
        "stand_still" => Fault::StandStill,
        "grow_slow" => Fault::GrowSlow {
            ms_per_s: section.required_number("ms_per_s", 0.0..=60_000.0),
            dies_after_s: section.required_number("dies_after_s", 0.0..=86_400.0),
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

/// Reads a disruption with its times. Returns `None` after reporting an error if there is none.
pub(super) fn disruption(
    section: &Section<'_>,
    service: &Service,
    fleet: &FleetSpec,
    (front_count, coordinator): (usize, Option<&CoordinatorSpec>),
) -> Option<TimedDisruption> {
    let (at, lasts) = (seconds(section, "at_s", 0.0), seconds(section, "for_s", 5.0));
    let count = fleet.boxes.len() as u64;
    let disruption = if section.has("fault") {
        Disruption::MediaServers(server_ids(section, "boxes", count), fault(section)?)
    } else if section.has("drain") {
        Disruption::Drain(server_ids(section, "drain", count))
    } else if section.has("list_lags_ms") {
        Disruption::ListLags(section.millis("list_lags_ms", 0..=600_000)?)
    } else if section.has("list_down") {
        section.flag("list_down", true).then_some(Disruption::ListDown)?
    } else if section.has("list_flaps_per_s") {
        Disruption::ListFlaps(section.number("list_flaps_per_s", 0.01..=100.0)?)
    } else if section.has("uplink") {
        let last = u64::from(service.settings.racks.max(1)) - 1;
        Disruption::Uplink(
            section.integer("uplink", 0..=last)? as u16,
            section.required_number("left", 0.01..=1.0),
        )
    } else if section.has("kill_front") {
        Disruption::KillFront(section.integer("kill_front", 0..=front_count as u64 - 1)? as u32)
    } else if section.has("zone_lost") {
        section.index("zone_lost", &service.zones, "zone")?;
        Disruption::ZoneLost(section.text("zone_lost")?, section.flag("with_fronts", false))
    } else if section.has("restart_fronts") {
        let numbers = section.integers("restart_fronts", 0..=front_count as u64 - 1);
        Disruption::RestartFronts(numbers.into_iter().map(|n| n as u32).collect())
    } else if let Some(fault) =
        ProcessFault::read(section, coordinator.map_or(0, |spec| spec.count), front_count)
    {
        if coordinator.is_none() {
            section.report("", "the section 'keepers' is missing, which this fault requires");
        }
        Disruption::Process(fault)
    } else {
        section.report(
            "",
            "no trouble is given, expected one of fault, drain, list_lags_ms, list_down, list_flaps_per_s, \
             uplink, kill_front, restart_fronts, zone_lost, kill_keeper, stop_keeper, kill_keepers, \
             cut_keeper, slow_keeper, cut_leader_with_holder, kill_holder, stop_holder, cut_front",
        );
        return None;
    };
    Some(TimedDisruption { at, lasts, disruption })
}

/// Reads a list of media servers.
fn server_ids(section: &Section<'_>, key: &'static str, last: u64) -> Vec<u32> {
    let list = section.integers(key, 1..=last.max(1));
    if list.is_empty() {
        section.report(key, "numbers of media servers, counted from 1, are needed");
    }
    list.into_iter().map(|n| n as u32).collect()
}
