//! What boxes are owed: nothing sent to one that drains, a cold one spared, floors kept, nothing left behind.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::rules::Rules;
use crate::report::Report;
use crate::trace::{Seen, What};

pub(super) fn drains(trace: &[&Seen], rules: &Rules, report: &mut Report) {
    let mut told: BTreeMap<(u32, u32), u64> = BTreeMap::new();
    for seen in trace {
        match &seen.what {
            What::Listed { front, server, ready: false } => {
                told.entry((*front, *server)).or_insert(seen.at);
            }
            What::Listed { front, server, ready: true } => {
                told.remove(&(*front, *server));
            }
            // A front that starts anew has learned nothing yet.
            What::FrontKilled { front } => told.retain(|k, _| k.0 != *front),
            What::Offered { server, front, offer, .. } => {
                let late =
                    told.get(&(*front, *server)).map(|t| seen.at - t).filter(|l| *l > rules.drain_grace_us);
                if let Some(late) = late {
                    report.drain_breaks += 1;
                    let text = format!("{offer}: front {front} to box {server} {late} us after it was told");
                    report.describe("sent to a draining box", text);
                }
            }
            _ => {}
        }
    }
}

pub(super) fn cold(trace: &[&Seen], rules: &Rules, report: &mut Report) {
    let Some(rule) = rules.cold.filter(|c| c.multiple > 0.0 && c.span_us > 0) else { return };
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
                report.describe("cold box pushed over", format!("box {server}"));
                started.remove(server);
            }
            What::Offered { server, .. } => {
                let Some(since) = started.get(server) else { continue };
                let age = seen.at - since;
                if age > rule.warm_us {
                    started.remove(server);
                    continue;
                }
                let recent = sent.entry(*server).or_default();
                recent.push_back(seen.at);
                while recent.front().is_some_and(|t| seen.at - t > rule.span_us) {
                    recent.pop_front();
                }
                let warmth = rule.from + (1.0 - rule.from) * age as f64 / rule.warm_us as f64;
                let pace = rule.streams / rule.warm_us as f64 * warmth;
                let bears = rule.multiple * pace * rule.span_us as f64;
                // One set-up more than the budget is chance, as set-ups are whole.
                if recent.len() as f64 > bears.max(1.0) + 1.0 {
                    report.cold_breaks += 1;
                    let text =
                        format!("box {server}: {} set-ups in its span, bears {bears:.1}", recent.len());
                    report.describe("cold box pushed over", text);
                    started.remove(server);
                }
            }
            _ => {}
        }
    }
}

pub(super) fn floors(trace: &[&Seen], rules: &Rules, report: &mut Report) {
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
        if let Some(class) = class.filter(|c| rate < c.floor_kb * 0.999) {
            report.floor_breaks += 1;
            report.describe("under the floor", format!("{offer}: {rate} kB/s, floor {}", class.floor_kb));
        }
    }
}

pub(super) fn phantoms(trace: &[&Seen], report: &mut Report) {
    let mut at_boxes: BTreeSet<(u32, &str)> = BTreeSet::new();
    for seen in trace {
        match &seen.what {
            What::Began { server, offer } => {
                at_boxes.insert((*server, offer));
            }
            What::Freed { server, offer, expired } => {
                at_boxes.remove(&(*server, offer.as_str()));
                report.expired_sessions += u64::from(*expired);
            }
            What::Died { server } | What::Toppled { server } => at_boxes.retain(|s| s.0 != *server),
            _ => {}
        }
    }
    report.phantom_sessions = at_boxes.len() as u64;
    for (server, offer) in at_boxes {
        report.describe("left at a box", format!("{offer} at box {server}"));
    }
}
