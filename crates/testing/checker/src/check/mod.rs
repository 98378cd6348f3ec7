//! Checks of a trace against the rules, one function for each rule.

mod answers;
mod budget;
mod calls;
mod leases;
mod media_servers;
mod overlaps;
mod rules;
mod seats;

use self::answers::check_answers;
use self::budget::check_retry_budget;
use self::calls::{attempts_by_offer, front_kills, front_starts, player_calls};
use self::leases::check_leases;
use self::media_servers::{check_drains, check_floors, check_phantom_sessions, check_warm_ups};
use self::overlaps::check_overlaps;
use self::seats::check_seats;
use crate::report::Report;
use crate::trace::Seen;

pub use rules::{ClassRules, ColdRules, Repeat, Rules};

/// Checks a trace against all rules.
///
/// The trace must extend until no player is left and the media servers have had time to free sessions that nobody plays.
pub fn check(trace: &[Seen], rules: &Rules) -> Report {
    let mut report = Report::default();
    let mut trace: Vec<&Seen> = trace.iter().collect();
    trace.sort_by_key(|seen| seen.at);
    let calls = player_calls(&trace);
    let attempts = attempts_by_offer(&trace);
    let front_starts = front_starts(&trace);
    check_answers(&calls, &front_kills(&trace), &front_starts, &mut report);
    check_overlaps(&attempts, rules, &mut report);
    check_drains(&trace, rules, &mut report);
    check_warm_ups(&trace, rules, &mut report);
    check_floors(&trace, rules, &mut report);
    check_seats(&trace, &attempts, rules, &mut report);
    check_retry_budget(&calls, &attempts, &front_starts, rules, &mut report);
    check_phantom_sessions(&trace, &mut report);
    check_leases(&trace, &mut report);
    report
}
