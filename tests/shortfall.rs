//! Where servers tell nothing but that they fall short: what that says of all others.
// Counts of a test are small.
#![allow(clippy::cast_possible_truncation)]

mod support;

use beechloft::api::{CellId, Endpoint, EndpointState, Feedback, LoadReporting, Outcome, Settings};
use support::{Front, entry, set_up, settings};

/// Sixty servers on twenty racks of which some play a session of this front's each; no report ever comes.
fn without_reports() -> Front {
    let set = Settings {
        load_reporting: LoadReporting::Disabled,
        cells: 1,
        racks: 20,
        total_link_kb: None,
        front_count: 300,
        max_streams_by_type: vec![200],
        mean_uplink_kb: Some(30_000.0),
        ..settings()
    };
    let list =
        (0..60).map(|n| Endpoint { cell: CellId(n as u16), ..entry(n, EndpointState::Ready, 0) }).collect();
    let mut front = Front::with_list(set, list);
    (0..12).for_each(|n| front.adopt(1_000 + u64::from(n), n));
    front.tick();
    front
}

/// How many of so many requests are set up.
fn count_served(front: &mut Front, from: u64) -> usize {
    (from..from + 40)
        .filter(|id| {
            let to = set_up(&front.request(*id)).map(|s| s.0);
            to.into_iter()
                .for_each(|n| drop((front.started(*id, n), front.ended(*id, n, Outcome::Ok, true))));
            to.is_some()
        })
        .count()
}

/// Seen on a site without reports: the few servers that fell short spoke for all that say nothing, so that nearly every
/// session was refused, and nothing was sent that could have shown better.
#[test]
fn shortfalls_tell_nothing_of_servers_without_reports() {
    let mut front = without_reports();
    let before = count_served(&mut front, 1);
    for n in 0..12 {
        front.feedback(n, Feedback::DeliveredFraction(0.4));
    }
    front.tick();
    assert_eq!((before, count_served(&mut front, 100)), (40, 40));
}

/// A note that the shortage is over takes back what the notes of it said.
#[test]
fn a_shortfall_that_is_over_is_forgotten() {
    let mut front = without_reports();
    for n in 1..60 {
        front.update_endpoint(n, EndpointState::Removed, 0);
    }
    assert_eq!(count_served(&mut front, 1), 40);
    front.feedback(0, Feedback::DeliveredFraction(0.4));
    front.tick();
    assert_eq!(count_served(&mut front, 100), 0, "it falls short");
    front.feedback(0, Feedback::DeliveredFraction(1.0));
    front.tick();
    assert_eq!(count_served(&mut front, 200), 40);
}
