//! Where servers tell nothing but that they fall short: what that says of all others.
// Counts of a test are small.
#![allow(clippy::cast_possible_truncation)]

mod support;

use beechloft::api::*;
use support::*;

/// Sixty servers on twenty racks of which some play a session of this front's each; no report ever comes.
fn silent() -> Front {
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
    let mut f = Front::with_list(set, list);
    (0..12).for_each(|n| f.hand_over(1_000 + u64::from(n), n));
    f.tick();
    f
}

/// How many of so many requests are set up.
fn served(f: &mut Front, from: u64) -> usize {
    (from..from + 40)
        .filter(|id| {
            let to = set_up(&f.ask(*id)).map(|s| s.0);
            to.into_iter().for_each(|n| drop((f.started(*id, n), f.ended(*id, n, Outcome::Ok, true))));
            to.is_some()
        })
        .count()
}

/// Seen on a site without reports: the few servers that fell short spoke for all that say nothing, so that nearly every
/// session was refused, and nothing was sent that could have shown better.
#[test]
fn servers_that_fall_short_say_nothing_of_those_that_say_nothing() {
    let mut f = silent();
    let before = served(&mut f, 1);
    for n in 0..12 {
        f.note(n, Feedback::DeliveredFraction(0.4));
    }
    f.tick();
    assert_eq!((before, served(&mut f, 100)), (40, 40));
}

/// A note that the shortage is over takes back what the notes of it said.
#[test]
fn a_shortage_that_is_over_is_not_held_against_the_server() {
    let mut f = silent();
    for n in 1..60 {
        f.list(n, EndpointState::Removed, 0);
    }
    assert_eq!(served(&mut f, 1), 40);
    f.note(0, Feedback::DeliveredFraction(0.4));
    f.tick();
    assert_eq!(served(&mut f, 100), 0, "it falls short");
    f.note(0, Feedback::DeliveredFraction(1.0));
    f.tick();
    assert_eq!(served(&mut f, 200), 40);
}
