//! Check of the retry budget.

use std::collections::BTreeMap;

use super::calls::{Attempt, Call};
use super::rules::Rules;
use crate::report::Report;
use crate::trace::Ending;

/// Tolerance for rounding in the comparison of retries with the budget.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Counts retries beyond the budget of each front, which starts over when the front restarts.
pub(super) fn check_retry_budget(
    calls: &[Call],
    attempts: &BTreeMap<String, Vec<Attempt>>,
    front_starts: &BTreeMap<u32, Vec<u64>>,
    rules: &Rules,
    report: &mut Report,
) {
    let Some((free_retries, retries_per_session, window_us)) = rules.budget else { return };
    let mut session_starts: BTreeMap<u32, Vec<u64>> = BTreeMap::new();
    for call in calls.iter().filter(|call| !matches!(call.end, Some((_, Ending::NotTaken, _)))) {
        session_starts.entry(call.front).or_default().push(call.at);
    }
    let mut retries: BTreeMap<u32, Vec<u64>> = BTreeMap::new();
    for offer_attempts in attempts.values() {
        // A viewer that returns has a new offer, so every attempt after the first of an offer is a retry.
        for attempt in offer_attempts.iter().skip(1) {
            retries.entry(attempt.front).or_default().push(attempt.at);
        }
    }
    for (front, mut times) in retries {
        times.sort_unstable();
        let session_starts = session_starts.get(&front).map_or(&[][..], Vec::as_slice);
        for (n, at) in times.iter().enumerate() {
            let start =
                front_starts.get(&front).and_then(|starts| starts.iter().rev().find(|start| *start <= at));
            let since = at.saturating_sub(window_us).max(start.copied().unwrap_or(0));
            let made = times[..=n].iter().filter(|time| **time > since).count() as f64;
            let sessions = session_starts.iter().filter(|time| **time >= since && *time <= at).count() as f64;
            if made > free_retries + retries_per_session * sessions + ROUNDING_TOLERANCE {
                report.budget_breaks += 1;
                let text = format!("front {front}: {made} further attempts for {sessions} sessions");
                report.describe("over the budget", text);
            }
        }
    }
}
