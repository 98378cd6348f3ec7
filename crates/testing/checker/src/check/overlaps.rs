//! Check that a session has at most one outstanding attempt, and that set-ups which must run only once are not repeated.

use std::collections::BTreeMap;

use super::calls::Attempt;
use super::rules::{Repeat, Rules};
use crate::report::Report;

/// Counts overlapping attempts and forbidden repeats of a set-up.
pub(super) fn check_overlaps(attempts: &BTreeMap<String, Vec<Attempt>>, rules: &Rules, report: &mut Report) {
    for (offer, offer_attempts) in attempts {
        report.further_attempts += offer_attempts.len() as u64 - 1;
        for (index, attempt) in offer_attempts.iter().enumerate().skip(1) {
            let earlier = &offer_attempts[..index];
            // An attempt that was abandoned before its media server read it was never outstanding beside another one.
            let was_outstanding = attempt.ended_at != Some(attempt.at);
            let overlapping = earlier
                .iter()
                .find(|other| was_outstanding && other.ended_at.is_none_or(|ended_at| ended_at > attempt.at));
            let runs_once = rules
                .titles
                .get(&attempt.title)
                .and_then(|class| rules.classes.get(*class))
                .is_some_and(|class| class.repeat == Repeat::Once);
            // Only a refusal proves that the set-up never ran. After an error, a drop or silence it may have run.
            let may_have_run = earlier.iter().find(|other| !matches!(other.status, Some(503 | 429)));
            if let Some(other) = overlapping {
                report.overlapping_attempts += 1;
                let text = format!(
                    "{offer}: at media server {} while outstanding at media server {}",
                    attempt.server, other.server
                );
                report.describe("two attempts out", text);
            } else if let Some(other) = may_have_run.filter(|_| runs_once) {
                report.overlapping_attempts += 1;
                let text = format!(
                    "{offer}: at media server {}, but it may have run at media server {}",
                    attempt.server, other.server
                );
                report.describe("set up twice", text);
            }
        }
    }
}
