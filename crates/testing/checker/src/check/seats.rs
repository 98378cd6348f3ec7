//! Seats of a title at a front.

use std::collections::{BTreeMap, BTreeSet};

use super::calls::Attempt;
use super::rules::Rules;
use crate::report::Report;
use crate::trace::{Seen, What};

/// Seats are counted as boxes see them: from an offer to its refusal, its drop or the end of its session.
pub(super) fn seats(
    trace: &[&Seen],
    attempts: &BTreeMap<String, Vec<Attempt>>,
    rules: &Rules,
    report: &mut Report,
) {
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

pub(super) fn free<'a>(
    held: &mut BTreeMap<(u32, &'a str), BTreeSet<(&'a str, u32)>>,
    place: &BTreeMap<(&'a str, u32), (u32, &'a str)>,
    offer: &'a str,
    server: u32,
) {
    if let Some(held) = place.get(&(offer, server)).and_then(|key| held.get_mut(key)) {
        held.remove(&(offer, server));
    }
}
