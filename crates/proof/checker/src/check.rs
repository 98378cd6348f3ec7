//! The check itself: one pass for players' calls, one for boxes, one for what joins them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::report::{Report, Times};
use crate::trace::{Ending, Seen, Speaks, What};

/// What must not happen twice, and how far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Set-ups may be repeated, one after the other.
    #[default]
    Repeatable,
    /// A set-up that may have run must not be repeated.
    Once,
}

/// A class's terms.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ClassRules {
    /// What a repeated set-up does.
    pub repeat: Repeat,
    /// The lowest rate that may be set, kB a second.
    pub floor_kb: f64,
    /// Sessions of one title that a front may hold; none: no cap.
    pub seats: Option<u32>,
}

/// How a cold box must be treated.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct ColdRules {
    /// It is warm after this long.
    pub warm_us: u64,
    /// It begins at this share of its pace.
    pub from: f64,
    /// It must not be sent this multiple of its pace...
    pub multiple: f64,
    /// ...over this long.
    pub span_us: u64,
    /// Streams that a warm box runs.
    pub streams: f64,
}

/// The rules in figures.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Rules {
    /// Class of each title.
    pub titles: BTreeMap<String, usize>,
    /// The classes' terms.
    pub classes: Vec<ClassRules>,
    /// How long after a front was told of a drain it may still send.
    pub drain_grace_us: u64,
    /// Cold boxes; none: no rule.
    pub cold: Option<ColdRules>,
    /// Further attempts: always allowed, for each session taken, and the window; none: no limit.
    pub budget: Option<(f64, f64, u64)>,
}

#[derive(Debug, Clone)]
struct Call {
    offer: String,
    front: u32,
    at: u64,
    patience: u64,
    speaks: Speaks,
    end: Option<(u64, Ending, u32)>,
}

#[derive(Debug, Clone)]
struct Attempt {
    server: u32,
    front: u32,
    title: String,
    at: u64,
    over: Option<u64>,
    status: Option<u16>,
}

/// Checks a trace that ran until no player was left and boxes had time to free what nobody plays.
pub fn check(trace: &[Seen], rules: &Rules) -> Report {
    let mut report = Report::default();
    let mut trace: Vec<&Seen> = trace.iter().collect();
    trace.sort_by_key(|s| s.at);
    let calls = calls(&trace);
    let attempts = attempts(&trace);
    answers(&calls, &killings(&trace), &starts(&trace), &mut report);
    overlaps(&attempts, rules, &mut report);
    drains(&trace, rules, &mut report);
    cold(&trace, rules, &mut report);
    floors(&trace, rules, &mut report);
    seats(&trace, &attempts, rules, &mut report);
    budget(&calls, &attempts, &starts(&trace), rules, &mut report);
    phantoms(&trace, &mut report);
    leases(&trace, &mut report);
    report
}

/// A process that was stopped may act once more when it goes on, before whoever watches over it runs again; by then what it
/// acts on has seen a higher token. So long after it went on that is no overlap, but a stale act if it is done.
const WAKES_US: u64 = 2_000_000;

fn leases(trace: &[&Seen], report: &mut Report) {
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

fn calls(trace: &[&Seen]) -> Vec<Call> {
    let mut calls: Vec<Call> = Vec::new();
    // The same offer may be posted again by a proxy: the latest call without an end is the one that ends.
    let mut open: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for seen in trace {
        match &seen.what {
            What::Asked { offer, front, patience_us, speaks, .. } => {
                open.entry(offer).or_default().push(calls.len());
                let (offer, patience) = (offer.clone(), *patience_us);
                let (front, speaks) = (*front, *speaks);
                calls.push(Call { offer, front, at: seen.at, patience, speaks, end: None });
            }
            What::Ended { offer, ending, extra } => {
                if let Some(call) = open
                    .get_mut(offer.as_str())
                    .and_then(|o| if o.is_empty() { None } else { Some(o.remove(0)) })
                {
                    calls[call].end = Some((seen.at, *ending, *extra));
                }
            }
            _ => {}
        }
    }
    calls
}

fn attempts(trace: &[&Seen]) -> BTreeMap<String, Vec<Attempt>> {
    let mut all: BTreeMap<String, Vec<Attempt>> = BTreeMap::new();
    for seen in trace {
        let (server, offer, status) = match &seen.what {
            What::Offered { server, offer, front, title, .. } => {
                let attempt = Attempt {
                    server: *server,
                    front: *front,
                    title: title.clone(),
                    at: seen.at,
                    over: None,
                    status: None,
                };
                all.entry(offer.clone()).or_default().push(attempt);
                continue;
            }
            What::Answered { server, offer, status } => (server, offer, Some(*status)),
            What::Dropped { server, offer } => (server, offer, None),
            What::Died { server } | What::Toppled { server } => {
                // With its process, whatever was out there is over.
                for attempt in all.values_mut().flatten().filter(|a| a.server == *server && a.over.is_none())
                {
                    attempt.over = Some(seen.at);
                }
                continue;
            }
            _ => continue,
        };
        let out = all.get_mut(offer).into_iter().flatten().find(|a| a.server == *server && a.over.is_none());
        if let Some(attempt) = out {
            (attempt.over, attempt.status) = (Some(seen.at), status);
        }
    }
    all
}

fn killings(trace: &[&Seen]) -> BTreeMap<u32, Vec<u64>> {
    let mut killed: BTreeMap<u32, Vec<u64>> = BTreeMap::new();
    for seen in trace {
        if let What::FrontKilled { front } = seen.what {
            killed.entry(front).or_default().push(seen.at);
        }
    }
    killed
}

fn starts(trace: &[&Seen]) -> BTreeMap<u32, Vec<u64>> {
    let mut up: BTreeMap<u32, Vec<u64>> = BTreeMap::new();
    for seen in trace {
        if let What::FrontUp { front } = seen.what {
            up.entry(front).or_default().push(seen.at);
        }
    }
    up
}

/// A call that began while its front's process was not there was not taken by it, unless it was answered later: over
/// datagrams nothing says so at once.
fn answers(
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

fn overlaps(attempts: &BTreeMap<String, Vec<Attempt>>, rules: &Rules, report: &mut Report) {
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

fn drains(trace: &[&Seen], rules: &Rules, report: &mut Report) {
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

fn cold(trace: &[&Seen], rules: &Rules, report: &mut Report) {
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

fn floors(trace: &[&Seen], rules: &Rules, report: &mut Report) {
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

/// Seats are counted as boxes see them: from an offer to its refusal, its drop or the end of its session.
fn seats(trace: &[&Seen], attempts: &BTreeMap<String, Vec<Attempt>>, rules: &Rules, report: &mut Report) {
    if rules.classes.iter().all(|c| c.seats.is_none()) {
        return;
    }
    let mut held: BTreeMap<(u32, &str), BTreeSet<(&str, u32)>> = BTreeMap::new();
    let mut place: BTreeMap<(&str, u32), (u32, &str)> = BTreeMap::new();
    for seen in trace {
        let (offer, server) = match &seen.what {
            What::Offered { server, offer, front, title, .. } => {
                let key = (*front, title.as_str());
                let held = held.entry(key).or_default();
                held.insert((offer, *server));
                place.insert((offer, *server), key);
                let seats = rules.titles.get(title).and_then(|c| rules.classes.get(*c)).and_then(|c| c.seats);
                if seats.is_some_and(|s| held.len() > s as usize) {
                    report.seat_breaks += 1;
                    report.describe(
                        "over the seats",
                        format!("{offer}: front {front} holds {} of {title}", held.len()),
                    );
                }
                continue;
            }
            What::Answered { server, offer, status } if *status != 201 => (offer, *server),
            What::Dropped { server, offer } | What::Freed { server, offer, .. } => (offer, *server),
            What::Left { offer } => {
                let gone: Vec<_> = attempts.get(offer).into_iter().flatten().map(|a| a.server).collect();
                for server in gone {
                    free(&mut held, &place, offer, server);
                }
                continue;
            }
            What::Died { server } | What::Toppled { server } => {
                held.values_mut().for_each(|h| h.retain(|s| s.1 != *server));
                continue;
            }
            What::FrontKilled { front } => {
                held.retain(|k, _| k.0 != *front);
                continue;
            }
            _ => continue,
        };
        free(&mut held, &place, offer, server);
    }
}

fn free<'a>(
    held: &mut BTreeMap<(u32, &'a str), BTreeSet<(&'a str, u32)>>,
    place: &BTreeMap<(&'a str, u32), (u32, &'a str)>,
    offer: &'a str,
    server: u32,
) {
    if let Some(held) = place.get(&(offer, server)).and_then(|key| held.get_mut(key)) {
        held.remove(&(offer, server));
    }
}

/// A front that was killed and started again counts from its start.
fn budget(
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

fn phantoms(trace: &[&Seen], report: &mut Report) {
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
