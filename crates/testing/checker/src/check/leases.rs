//! Check of the operations on a resource that a lease guards, by their fencing tokens.

use std::collections::{BTreeMap, BTreeSet};

use crate::report::Report;
use crate::trace::{Seen, What};

/// Time after the resumption of a suspended process in which its operations are not counted as overlaps.
///
/// Such a process may operate once more before the supervisor that guards its lease runs, and by then the resource has seen
/// a higher token. The operation still counts as stale if it is carried out.
const RESUME_GRACE_US: u64 = 2_000_000;

/// Counts operations with superseded tokens, and measures the longest time without an operation.
pub(super) fn check_leases(trace: &[&Seen], report: &mut Report) {
    let mut highest_token = 0;
    let mut tokens: BTreeSet<u64> = BTreeSet::new();
    let mut last_done_at: Option<u64> = None;
    // Time until which a holder is excused because it was suspended, `u64::MAX` while it is.
    let mut excused_until: BTreeMap<&str, u64> = BTreeMap::new();
    for seen in trace {
        match &seen.what {
            What::Stopped { holder } => drop(excused_until.insert(holder, u64::MAX)),
            What::WentOn { holder } => drop(excused_until.insert(holder, seen.at + RESUME_GRACE_US)),
            What::Acted { token, holder, done } => {
                tokens.insert(*token);
                if *token < highest_token {
                    let text = format!(
                        "{holder} with token {token} at {} us, after {highest_token} had been seen",
                        seen.at
                    );
                    if excused_until.get(holder.as_str()).is_none_or(|until| seen.at > *until) {
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
                highest_token = highest_token.max(*token);
                if *done {
                    let gap_ms = last_done_at.map_or(0, |done_at| seen.at.saturating_sub(done_at)) / 1_000;
                    report.longest_without_holder_ms = report.longest_without_holder_ms.max(gap_ms);
                    last_done_at = Some(seen.at);
                }
            }
            What::ActsEnd => {
                let gap_ms = last_done_at.map_or(0, |done_at| seen.at.saturating_sub(done_at)) / 1_000;
                report.longest_without_holder_ms = report.longest_without_holder_ms.max(gap_ms);
            }
            _ => {}
        }
    }
    report.leases_granted = tokens.len() as u64;
}
