//! Who acts under a lease, by its tokens.

use std::collections::{BTreeMap, BTreeSet};

use crate::report::Report;
use crate::trace::{Seen, What};

/// A process that was stopped may act once more when it goes on, before whoever watches over it runs again; by then what it
/// acts on has seen a higher token. So long after it went on that is no overlap, but a stale act if it is done.
const WAKES_US: u64 = 2_000_000;

pub(super) fn leases(trace: &[&Seen], report: &mut Report) {
    let (mut highest, mut tokens, mut last): (u64, BTreeSet<u64>, Option<u64>) = Default::default();
    // Until when a holder that was stopped is excused; for as long as it is stopped, for ever.
    let mut excused: BTreeMap<&str, u64> = BTreeMap::new();
    for seen in trace {
        match &seen.what {
            What::Stopped { holder } => drop(excused.insert(holder, u64::MAX)),
            What::WentOn { holder } => drop(excused.insert(holder, seen.at + WAKES_US)),
            What::Acted { token, holder, done } => {
                tokens.insert(*token);
                if *token < highest {
                    let text =
                        format!("{holder} by {token} at {} us, after {highest} had been seen", seen.at);
                    if excused.get(holder.as_str()).is_none_or(|until| seen.at > *until) {
                        report.lease_overlaps += 1;
                        report.describe("two holders", text.clone());
                    }
                    if *done {
                        report.stale_acts += 1;
                        report.describe("stale acts", text);
                    } else {
                        report.refused_acts += 1;
                    }
                }
                highest = highest.max(*token);
                if *done {
                    let gap = last.map_or(0, |l| seen.at.saturating_sub(l)) / 1_000;
                    report.longest_without_holder_ms = report.longest_without_holder_ms.max(gap);
                    last = Some(seen.at);
                }
            }
            What::ActsEnd => {
                let gap = last.map_or(0, |l| seen.at.saturating_sub(l)) / 1_000;
                report.longest_without_holder_ms = report.longest_without_holder_ms.max(gap);
            }
            _ => {}
        }
    }
    report.leases_granted = tokens.len() as u64;
}
