//! Check of the number of sessions of a title at a front.

use std::collections::{BTreeMap, BTreeSet};

use super::calls::Attempt;
use super::rules::Rules;
use crate::report::Report;
use crate::trace::{Seen, What};

/// Occupied seats, each as an offer and a media server, by front and title.
type OccupiedSeats<'a> = BTreeMap<(u32, &'a str), BTreeSet<(&'a str, u32)>>;

/// Front and title of each offer at a media server.
type SeatOwners<'a> = BTreeMap<(&'a str, u32), (u32, &'a str)>;

/// Counts set-ups by which a front exceeds its seats for a title.
///
/// Seats are counted from the view of the media servers: from an offer to its refusal, its drop or the end of its session.
pub(super) fn check_seats(
    trace: &[&Seen],
    attempts: &BTreeMap<String, Vec<Attempt>>,
    rules: &Rules,
    report: &mut Report,
) {
    if rules.classes.iter().all(|class| class.seats.is_none()) {
        return;
    }
    let mut occupied: OccupiedSeats<'_> = BTreeMap::new();
    let mut seat_owners: SeatOwners<'_> = BTreeMap::new();
    for seen in trace {
        let (offer, server) = match &seen.what {
            What::Offered { server, offer, front, title, .. } => {
                let key = (*front, title.as_str());
                let seats_in_use = occupied.entry(key).or_default();
                seats_in_use.insert((offer, *server));
                seat_owners.insert((offer, *server), key);
                let class = rules.titles.get(title).and_then(|class| rules.classes.get(*class));
                let seats = class.and_then(|class| class.seats);
                if seats.is_some_and(|seats| seats_in_use.len() > seats as usize) {
                    report.seat_breaks += 1;
                    report.describe(
                        "over the seats",
                        format!("{offer}: front {front} holds {} of {title}", seats_in_use.len()),
                    );
                }
                continue;
            }
            What::Answered { server, offer, status } if *status != 201 => (offer, *server),
            What::Dropped { server, offer } | What::Freed { server, offer, .. } => (offer, *server),
            What::Left { offer } => {
                for attempt in attempts.get(offer).into_iter().flatten() {
                    free_seat(&mut occupied, &seat_owners, offer, attempt.server);
                }
                continue;
            }
            What::Died { server } | What::Toppled { server } => {
                occupied.values_mut().for_each(|seats| seats.retain(|seat| seat.1 != *server));
                continue;
            }
            What::FrontKilled { front } => {
                occupied.retain(|owner, _| owner.0 != *front);
                continue;
            }
            _ => continue,
        };
        free_seat(&mut occupied, &seat_owners, offer, server);
    }
}

fn free_seat<'a>(occupied: &mut OccupiedSeats<'a>, owners: &SeatOwners<'a>, offer: &'a str, server: u32) {
    if let Some(seats) = owners.get(&(offer, server)).and_then(|owner| occupied.get_mut(owner)) {
        seats.remove(&(offer, server));
    }
}
