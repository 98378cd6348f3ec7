//! One attempt at a time, and none again of what must not happen twice.

use std::collections::BTreeMap;

use super::calls::Attempt;
use super::rules::{Repeat, Rules};
use crate::report::Report;

pub(super) fn overlaps(attempts: &BTreeMap<String, Vec<Attempt>>, rules: &Rules, report: &mut Report) {
    for (offer, list) in attempts {
        report.further_attempts += list.len() as u64 - 1;
        for (n, attempt) in list.iter().enumerate().skip(1) {
            let before = &list[..n];
            // One that was given up before its box read it never was out beside another.
            let was_out = attempt.over != Some(attempt.at);
            let still_out = before.iter().find(|b| was_out && b.over.is_none_or(|over| over > attempt.at));
            let once = rules
                .titles
                .get(&attempt.title)
                .and_then(|c| rules.classes.get(*c))
                .is_some_and(|c| c.repeat == Repeat::Once);
            // A refusal proves that the set-up never ran; an error, a drop or silence does not.
            let may_have_run = before.iter().find(|b| !matches!(b.status, Some(503 | 429)));
            if let Some(out) = still_out {
                report.overlapping_attempts += 1;
                let text = format!("{offer}: at box {} while out at box {}", attempt.server, out.server);
                report.describe("two attempts out", text);
            } else if let Some(ran) = may_have_run.filter(|_| once) {
                report.overlapping_attempts += 1;
                let text =
                    format!("{offer}: at box {}, but it may have run at box {}", attempt.server, ran.server);
                report.describe("set up twice", text);
            }
        }
    }
}
