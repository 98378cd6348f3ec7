//! A watch that goes on with comments and tells nothing new, against what is met at the media servers.

use std::io::{ErrorKind, Read};

use beechloft::api::Micros;

use crate::rig::*;

const MINUTE: Micros = Micros(60_000_000);

#[test]
fn comments_alone_are_no_cause_to_ask_anew() {
    let mut rig = Rig::open();
    assert_eq!(rig.comments(MINUTE), None);
}

#[test]
fn after_a_doubt_the_list_is_asked_for_anew_from_the_last_number() {
    let mut rig = Rig::open();
    rig.say_and_hear("", 42);
    let mut old = rig.peer.as_ref().expect("a connection").try_clone().expect("a socket");
    rig.bus.suspect(rig.now);
    let after = rig.comments(MINUTE).expect("it asks anew");
    assert!((4..=8).contains(&(after.0 / SECOND.0)), "{after:?}");
    assert_eq!(rig.asked_on(), "42");
    // It has the old one no more.
    old.set_read_timeout(Some(std::time::Duration::from_secs(15))).expect("a socket");
    // An end, or a reset if a comment crossed it; a time-out would be neither.
    let ended = old.read(&mut [0; 16]);
    let gone =
        matches!(&ended, Ok(0)) || ended.as_ref().is_err_and(|e| e.kind() == ErrorKind::ConnectionReset);
    assert!(gone, "the old watch stays open: {ended:?}");
    // What the old one never told.
    rig.say(&format!("{HEAD}{}", event(43, "hidden")));
    rig.hear("hidden");
}

#[test]
fn doubts_that_bring_nothing_new_are_asked_about_less_and_less_often() {
    let mut rig = Rig::open();
    let mut spans = Vec::new();
    for _ in 0..8 {
        let from = rig.now;
        // The dead server is met again and again, right after the last call too.
        while {
            rig.bus.suspect(rig.now);
            rig.comments(Micros(500_000)).is_none()
        } {}
        assert_eq!(rig.asked_on(), "41");
        rig.say(HEAD);
        rig.until_read();
        spans.push((rig.now - from).0 / SECOND.0);
    }
    for (span, most) in spans.iter().zip([8, 16, 32, 60, 60, 60, 60, 60]) {
        assert!((most / 2..=most + 1).contains(span), "{spans:?}");
    }
    // Something new: the next doubt is taken as the first was.
    rig.say(&event(42, "new"));
    rig.hear("new");
    rig.bus.suspect(rig.now);
    let after = rig.comments(MINUTE).expect("it asks anew");
    assert!((4..=8).contains(&(after.0 / SECOND.0)), "{after:?}");
}

#[test]
fn something_new_settles_a_doubt_and_something_old_does_not() {
    let mut rig = Rig::open();
    rig.bus.suspect(rig.now);
    rig.step(SECOND);
    rig.say(&event(42, "new"));
    rig.hear("new");
    assert_eq!(rig.comments(MINUTE), None);
    rig.bus.suspect(rig.now);
    rig.step(SECOND);
    rig.say(&event(42, "new"));
    rig.until_read();
    assert!(rig.comments(MINUTE).is_some(), "an event told before is taken for news");
}

#[test]
fn fronts_that_doubt_at_the_same_instant_ask_at_several() {
    let after = |seed| {
        let mut rig = Rig::new(seed);
        rig.asked();
        rig.say(HEAD);
        rig.bus.suspect(rig.now);
        rig.comments(MINUTE).expect("it asks anew")
    };
    let mut all = (0..16).map(after).collect::<Vec<_>>();
    all.sort_unstable();
    assert!(all[0] >= Micros(4_000_000) && all[15] <= Micros(8_500_000), "{all:?}");
    assert!(all[15] - all[0] >= SECOND, "{all:?}");
}

#[test]
fn a_call_for_another_reason_settles_a_doubt() {
    let mut rig = Rig::open();
    rig.end();
    rig.bus.suspect(rig.now);
    assert_eq!(rig.asked(), "41");
    rig.say(HEAD);
    assert_eq!(rig.comments(MINUTE), None);
}

#[test]
fn a_bus_that_does_not_answer_the_call_after_a_doubt_is_tried_until_it_does() {
    let mut rig = Rig::open();
    rig.bus.suspect(rig.now);
    assert!(rig.comments(MINUTE).is_some());
    let most = limits().bus_retry_max;
    for _ in 0..6 {
        assert_eq!(rig.asked_on(), "41");
        rig.end();
        rig.until_it_connects(most + Micros(50_000));
    }
    assert_eq!(rig.asked_on(), "41");
    rig.say(&format!("{HEAD}{}", event(42, "new")));
    rig.hear("new");
}
