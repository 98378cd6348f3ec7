//! Checks of what media servers receive: set-ups during a drain or a warm-up, rates below the floor, and sessions that are
//! never freed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::rules::Rules;
use crate::report::Report;
use crate::trace::{Seen, What};

/// Counts set-ups that a front sent to a media server after it had known of the drain for longer than the grace period.
pub(super) fn check_drains(trace: &[&Seen], rules: &Rules, report: &mut Report) {
    let mut draining_since: BTreeMap<(u32, u32), u64> = BTreeMap::new();
    for seen in trace {
        match &seen.what {
            What::Listed { front, server, ready: false } => {
                draining_since.entry((*front, *server)).or_insert(seen.at);
            }
            What::Listed { front, server, ready: true } => {
                draining_since.remove(&(*front, *server));
            }
            // A restarted front has not received the endpoint list yet.
            What::FrontKilled { front } => draining_since.retain(|key, _| key.0 != *front),
            What::Offered { server, front, offer, .. } => {
                let late = draining_since
                    .get(&(*front, *server))
                    .map(|since| seen.at - since)
                    .filter(|late| *late > rules.drain_grace_us);
                if let Some(late) = late {
                    report.drain_breaks += 1;
                    let text = format!(
                        "{offer}: front {front} to media server {server} {late} us after it was listed as draining"
                    );
                    report.describe("sent to a draining box", text);
                }
            }
            _ => {}
        }
    }
}

/// Counts media servers that were sent more set-ups during their warm-up than they can take.
pub(super) fn check_warm_ups(trace: &[&Seen], rules: &Rules, report: &mut Report) {
    let Some(rule) = rules.cold.filter(|cold| cold.multiple > 0.0 && cold.span_us > 0) else { return };
    let mut started: BTreeMap<u32, u64> = BTreeMap::new();
    let mut sent: BTreeMap<u32, VecDeque<u64>> = BTreeMap::new();
    for seen in trace {
        match &seen.what {
            What::Started { server, warm: false } => {
                started.insert(*server, seen.at);
                sent.remove(server);
            }
            What::Toppled { server } => {
                report.cold_breaks += 1;
                report.describe("cold box pushed over", format!("media server {server}"));
                started.remove(server);
            }
            What::Offered { server, .. } => {
                let Some(since) = started.get(server) else { continue };
                let age_us = seen.at - since;
                if age_us > rule.warm_us {
                    started.remove(server);
                    continue;
                }
                let recent = sent.entry(*server).or_default();
                recent.push_back(seen.at);
                while recent.front().is_some_and(|sent_at| seen.at - sent_at > rule.span_us) {
                    recent.pop_front();
                }
                let rate_share = rule.from + (1.0 - rule.from) * age_us as f64 / rule.warm_us as f64;
                let set_ups_per_us = rule.streams / rule.warm_us as f64 * rate_share;
                let allowed = rule.multiple * set_ups_per_us * rule.span_us as f64;
                // One set-up above the limit is tolerated because set-ups come in whole numbers.
                if recent.len() as f64 > allowed.max(1.0) + 1.0 {
                    report.cold_breaks += 1;
                    let text = format!(
                        "media server {server}: {} set-ups in its span, limit {allowed:.1}",
                        recent.len()
                    );
                    report.describe("cold box pushed over", text);
                    started.remove(server);
                }
            }
            _ => {}
        }
    }
}

/// Share of the floor below which a rate violates it, to allow for rounding.
const FLOOR_TOLERANCE: f64 = 0.999;

/// Counts rates below the floor of the title's class.
pub(super) fn check_floors(trace: &[&Seen], rules: &Rules, report: &mut Report) {
    let mut classes: BTreeMap<&str, usize> = BTreeMap::new();
    for seen in trace {
        let (offer, rate) = match &seen.what {
            What::Offered { offer, title, rate_kb, .. } => {
                if let Some(class) = rules.titles.get(title) {
                    classes.insert(offer, *class);
                }
                (offer, *rate_kb)
            }
            What::Rate { offer, rate_kb, .. } => (offer, *rate_kb),
            _ => continue,
        };
        let class = classes.get(offer.as_str()).and_then(|c| rules.classes.get(*c));
        if let Some(class) = class.filter(|c| rate < c.floor_kb * FLOOR_TOLERANCE) {
            report.floor_breaks += 1;
            report.describe("under the floor", format!("{offer}: {rate} kB/s, floor {}", class.floor_kb));
        }
    }
}

/// Counts sessions that are left at media servers at the end of the trace, and those that expired before.
pub(super) fn check_phantom_sessions(trace: &[&Seen], report: &mut Report) {
    let mut sessions: BTreeSet<(u32, &str)> = BTreeSet::new();
    for seen in trace {
        match &seen.what {
            What::Began { server, offer } => {
                sessions.insert((*server, offer));
            }
            What::Freed { server, offer, expired } => {
                sessions.remove(&(*server, offer.as_str()));
                report.expired_sessions += u64::from(*expired);
            }
            What::Died { server } | What::Toppled { server } => {
                sessions.retain(|session| session.0 != *server)
            }
            _ => {}
        }
    }
    report.phantom_sessions = sessions.len() as u64;
    for (server, offer) in sessions {
        report.describe("left at a box", format!("{offer} at media server {server}"));
    }
}
