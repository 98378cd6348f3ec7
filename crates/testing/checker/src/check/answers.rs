//! One answer for each call, in time.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use super::calls::Call;
use crate::report::{Report, Times};
use crate::trace::{Ending, Speaks};

/// A call that began while its front's process was not there was not taken by it, unless it was answered later: over
/// datagrams nothing says so at once.
pub(super) fn answers(
    calls: &[Call],
    killed: &BTreeMap<u32, Vec<u64>>,
    up: &BTreeMap<u32, Vec<u64>>,
    report: &mut Report,
) {
    let mut times: BTreeMap<Speaks, Histogram<u64>> = BTreeMap::new();
    for call in calls {
        let (end, ending, extra) = call.end.unwrap_or((u64::MAX, Ending::TimedOut, 0));
        let died = killed.get(&call.front).is_some_and(|k| k.iter().any(|t| *t >= call.at && *t <= end));
        let took = end.saturating_sub(call.at);
        let last = |of: &BTreeMap<u32, Vec<u64>>| {
            of.get(&call.front).and_then(|t| t.iter().rev().find(|t| **t <= call.at)).copied()
        };
        let absent = last(killed).is_some_and(|k| last(up).is_none_or(|u| u < k));
        if extra > 0 {
            report.duplicate_answers += 1;
            report.describe("answered twice", format!("{}: {extra} more", call.offer));
        }
        match ending {
            Ending::TimedOut | Ending::Broken if absent => {
                report.not_taken += 1;
                continue;
            }
            Ending::NotTaken => {
                report.not_taken += 1;
                continue;
            }
            Ending::Status(status) if took <= call.patience => {
                if !times.contains_key(&call.speaks) {
                    times.extend(histogram().map(|h| (call.speaks, h)));
                }
                if let Some(times) = times.get_mut(&call.speaks) {
                    times.saturating_record(took);
                }
                let part = report.by.entry(call.speaks).or_default();
                match status {
                    201 => (report.playing, part.playing) = (report.playing + 1, part.playing + 1),
                    503 => (report.refused, part.refused) = (report.refused + 1, part.refused + 1),
                    504 => (report.failed, part.failed) = (report.failed + 1, part.failed + 1),
                    _ => report.declined += 1,
                }
            }
            Ending::HungUp => report.hung_up += 1,
            _ if died => report.lost_with_front += 1,
            _ => {
                report.unanswered += 1;
                report.describe(
                    "unanswered",
                    format!("{} at front {}: {ending:?} after {took} us", call.offer, call.front),
                );
            }
        }
        report.sessions += 1;
        report.by.entry(call.speaks).or_default().sessions += 1;
    }
    let mut all = histogram();
    for (speaks, part) in &times {
        report.by.entry(*speaks).or_default().answer_ms = quantiles(part);
        // Both have the same bounds.
        all.as_mut().and_then(|all| all.add(part).ok());
    }
    report.answer_ms = all.as_ref().map(quantiles).unwrap_or_default();
}

/// 1 us to 100 s at three digits: sound bounds, so that there always is one.
fn histogram() -> Option<Histogram<u64>> {
    Histogram::new_with_bounds(1, 100_000_000, 3).ok()
}

fn quantiles(of: &Histogram<u64>) -> Times {
    let ms = |q: f64| of.value_at_quantile(q) as f64 / 1000.0;
    Times { p50: ms(0.5), p99: ms(0.99), max: ms(1.0) }
}
