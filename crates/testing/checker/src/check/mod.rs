//! The check itself: one pass for players' calls, one for boxes, one for what joins them.

mod answers;
mod boxes;
mod budget;
mod calls;
mod leases;
mod overlaps;
mod rules;
mod seats;

use self::answers::answers;
use self::boxes::{cold, drains, floors, phantoms};
use self::budget::budget;
use self::calls::{attempts, calls, killings, starts};
use self::leases::leases;
use self::overlaps::overlaps;
use self::seats::seats;
use crate::report::Report;
use crate::trace::Seen;

pub use rules::{ClassRules, ColdRules, Repeat, Rules};

/// Checks a trace that ran until no player was left and boxes had time to free what nobody plays.
pub fn check(trace: &[Seen], rules: &Rules) -> Report {
    let mut report = Report::default();
    let mut trace: Vec<&Seen> = trace.iter().collect();
    trace.sort_by_key(|s| s.at);
    let calls = calls(&trace);
    let attempts = attempts(&trace);
    answers(&calls, &killings(&trace), &starts(&trace), &mut report);
    overlaps(&attempts, rules, &mut report);
    drains(&trace, rules, &mut report);
    cold(&trace, rules, &mut report);
    floors(&trace, rules, &mut report);
    seats(&trace, &attempts, rules, &mut report);
    budget(&calls, &attempts, &starts(&trace), rules, &mut report);
    phantoms(&trace, &mut report);
    leases(&trace, &mut report);
    report
}
