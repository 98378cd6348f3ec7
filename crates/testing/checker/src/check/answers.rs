//! Check that each call gets exactly one answer before the player's timeout.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use super::calls::Call;
use crate::report::{LatencyQuantiles, Report};
use crate::trace::{Ending, Speaks};

/// Counts the calls by outcome, and those that were answered late, more than once or not at all.
///
/// A call that began while its front was down counts as not taken unless it was answered later, because over datagrams
/// the player gets no immediate refusal.
pub(super) fn check_answers(
    calls: &[Call],
    front_kills: &BTreeMap<u32, Vec<u64>>,
    front_starts: &BTreeMap<u32, Vec<u64>>,
    report: &mut Report,
) {
    let mut latencies: BTreeMap<Speaks, Histogram<u64>> = BTreeMap::new();
    for call in calls {
        let (end, ending, extra) = call.end.unwrap_or((u64::MAX, Ending::TimedOut, 0));
        let front_killed = front_kills
            .get(&call.front)
            .is_some_and(|kills| kills.iter().any(|at| *at >= call.at && *at <= end));
        let latency_us = end.saturating_sub(call.at);
        let last_before_call = |events: &BTreeMap<u32, Vec<u64>>| {
            events.get(&call.front).and_then(|times| times.iter().rev().find(|at| **at <= call.at)).copied()
        };
        let front_is_down = last_before_call(front_kills)
            .is_some_and(|killed| last_before_call(front_starts).is_none_or(|started| started < killed));
        if extra > 0 {
            report.duplicate_answers += 1;
            report.describe("answered twice", format!("{}: {extra} more", call.offer));
        }
        match ending {
            Ending::TimedOut | Ending::Broken if front_is_down => {
                report.not_taken += 1;
                continue;
            }
            Ending::NotTaken => {
                report.not_taken += 1;
                continue;
            }
            Ending::Status(status) if latency_us <= call.patience => {
                if !latencies.contains_key(&call.speaks) {
                    latencies.extend(latency_histogram().map(|histogram| (call.speaks, histogram)));
                }
                if let Some(histogram) = latencies.get_mut(&call.speaks) {
                    histogram.saturating_record(latency_us);
                }
                let counts = report.by.entry(call.speaks).or_default();
                match status {
                    201 => (report.playing, counts.playing) = (report.playing + 1, counts.playing + 1),
                    503 => (report.refused, counts.refused) = (report.refused + 1, counts.refused + 1),
                    504 => (report.failed, counts.failed) = (report.failed + 1, counts.failed + 1),
                    _ => report.declined += 1,
                }
            }
            Ending::HungUp => report.hung_up += 1,
            _ if front_killed => report.lost_with_front += 1,
            _ => {
                report.unanswered += 1;
                report.describe(
                    "unanswered",
                    format!("{} at front {}: {ending:?} after {latency_us} us", call.offer, call.front),
                );
            }
        }
        report.sessions += 1;
        report.by.entry(call.speaks).or_default().sessions += 1;
    }
    let mut all = latency_histogram();
    for (speaks, histogram) in &latencies {
        report.by.entry(*speaks).or_default().answer_ms = quantiles(histogram);
        // Addition can't fail because both histograms have the same bounds.
        all.as_mut().and_then(|all| all.add(histogram).ok());
    }
    report.answer_ms = all.as_ref().map(quantiles).unwrap_or_default();
}

/// Returns a histogram of 1 us to 100 s with three significant digits.
///
/// Returns `None` only if the bounds are invalid, which these are not.
fn latency_histogram() -> Option<Histogram<u64>> {
    Histogram::new_with_bounds(1, 100_000_000, 3).ok()
}

fn quantiles(histogram: &Histogram<u64>) -> LatencyQuantiles {
    let ms = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    LatencyQuantiles { p50: ms(0.5), p99: ms(0.99), max: ms(1.0) }
}
