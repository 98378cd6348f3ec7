//! The budget for further attempts.

use std::collections::BTreeMap;

use super::calls::{Attempt, Call};
use super::rules::Rules;
use crate::report::Report;
use crate::trace::Ending;

/// A front that was killed and started again counts from its start.
pub(super) fn budget(
    calls: &[Call],
    attempts: &BTreeMap<String, Vec<Attempt>>,
    starts: &BTreeMap<u32, Vec<u64>>,
    rules: &Rules,
    report: &mut Report,
) {
    let Some((free, share, window)) = rules.budget else { return };
    let mut taken: BTreeMap<u32, Vec<u64>> = BTreeMap::new();
    for call in calls.iter().filter(|c| !matches!(c.end, Some((_, Ending::NotTaken, _)))) {
        taken.entry(call.front).or_default().push(call.at);
    }
    let mut further: BTreeMap<u32, Vec<u64>> = BTreeMap::new();
    for list in attempts.values() {
        // A viewer who comes again has a new offer; what follows the first attempt of one is a further one.
        for attempt in list.iter().skip(1) {
            further.entry(attempt.front).or_default().push(attempt.at);
        }
    }
    for (front, mut times) in further {
        times.sort_unstable();
        let taken = taken.get(&front).map_or(&[][..], Vec::as_slice);
        for (n, at) in times.iter().enumerate() {
            let start = starts.get(&front).and_then(|s| s.iter().rev().find(|s| *s <= at));
            let since = at.saturating_sub(window).max(start.copied().unwrap_or(0));
            let made = times[..=n].iter().filter(|t| **t > since).count() as f64;
            let sessions = taken.iter().filter(|t| **t >= since && *t <= at).count() as f64;
            if made > free + share * sessions + 1e-9 {
                report.budget_breaks += 1;
                let text = format!("front {front}: {made} further attempts for {sessions} sessions");
                report.describe("over the budget", text);
            }
        }
    }
}
