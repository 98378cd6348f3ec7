//! Suspicions that a stream with comments but without events has lost its events.

use std::io::{ErrorKind, Read};

use beechloft::api::Micros;

use crate::harness::{Harness, MINUTE, SECOND, limits};
use crate::support::messages::EVENT_STREAM_HEAD;
use crate::texts::event;

#[test]
fn comments_alone_cause_no_request() {
    let mut harness = Harness::connected();
    assert_eq!(harness.send_comments(MINUTE), None);
}

#[test]
fn a_suspicion_leads_to_a_request_from_the_last_number() {
    let mut harness = Harness::connected();
    harness.send_and_sync("", 42);
    let mut old = harness.bus_stream.as_ref().expect("a connection").try_clone().expect("a socket");
    harness.suspect();
    let after = harness.send_comments(MINUTE).expect("another request");
    assert!((4..=8).contains(&(after.0 / SECOND.0)), "{after:?}");
    assert_eq!(harness.accept_request(), "42");
    // The old connection is closed: by an end, or by a reset if a comment crossed it. A timeout would be neither.
    old.set_read_timeout(Some(std::time::Duration::from_secs(15))).expect("a socket");
    let ended = old.read(&mut [0; 16]);
    let gone =
        matches!(&ended, Ok(0)) || ended.as_ref().is_err_and(|e| e.kind() == ErrorKind::ConnectionReset);
    assert!(gone, "the old connection stays open: {ended:?}");
    // An event that the old connection never carried.
    harness.send(&format!("{EVENT_STREAM_HEAD}{}", event(43, "hidden")));
    harness.wait_for_endpoint("hidden");
}

#[test]
fn suspicions_without_new_events_lead_to_fewer_requests() {
    let mut harness = Harness::connected();
    let mut spans = Vec::new();
    for _ in 0..8 {
        let from = harness.now;
        // The failed server is met again and again, also right after the last request.
        while {
            harness.suspect();
            harness.send_comments(Micros(500_000)).is_none()
        } {}
        assert_eq!(harness.accept_request(), "41");
        harness.send(EVENT_STREAM_HEAD);
        harness.read_available();
        spans.push((harness.now - from).0 / SECOND.0);
    }
    for (span, most) in spans.iter().zip([8, 16, 32, 60, 60, 60, 60, 60]) {
        assert!((most / 2..=most + 1).contains(span), "{spans:?}");
    }
    // After a new event, the next suspicion is handled as the first was.
    harness.send(&event(42, "new"));
    harness.wait_for_endpoint("new");
    harness.suspect();
    let after = harness.send_comments(MINUTE).expect("another request");
    assert!((4..=8).contains(&(after.0 / SECOND.0)), "{after:?}");
}

#[test]
fn a_new_event_clears_a_suspicion_and_an_old_one_does_not() {
    let mut harness = Harness::connected();
    harness.suspect();
    harness.advance(SECOND);
    harness.send(&event(42, "new"));
    harness.wait_for_endpoint("new");
    assert_eq!(harness.send_comments(MINUTE), None);
    harness.suspect();
    harness.advance(SECOND);
    harness.send(&event(42, "new"));
    harness.read_available();
    assert!(harness.send_comments(MINUTE).is_some(), "a repeated event counts as new");
}

#[test]
fn fronts_that_suspect_at_one_instant_request_at_different_ones() {
    let after = |seed| {
        let mut harness = Harness::new(seed);
        harness.wait_for_request();
        harness.send(EVENT_STREAM_HEAD);
        harness.suspect();
        harness.send_comments(MINUTE).expect("another request")
    };
    let mut all = (0..16).map(after).collect::<Vec<_>>();
    all.sort_unstable();
    assert!(all[0] >= Micros(4_000_000) && all[15] <= Micros(8_500_000), "{all:?}");
    assert!(all[15] - all[0] >= SECOND, "{all:?}");
}

#[test]
fn a_request_for_another_reason_clears_a_suspicion() {
    let mut harness = Harness::connected();
    harness.close_by_bus();
    harness.suspect();
    assert_eq!(harness.wait_for_request(), "41");
    harness.send(EVENT_STREAM_HEAD);
    assert_eq!(harness.send_comments(MINUTE), None);
}

#[test]
fn a_failed_request_after_a_suspicion_is_retried() {
    let mut harness = Harness::connected();
    harness.suspect();
    assert!(harness.send_comments(MINUTE).is_some());
    let most = limits().bus_retry_max;
    for _ in 0..6 {
        assert_eq!(harness.accept_request(), "41");
        harness.close_by_bus();
        harness.time_until_connect(most + Micros(50_000));
    }
    assert_eq!(harness.accept_request(), "41");
    harness.send(&format!("{EVENT_STREAM_HEAD}{}", event(42, "new")));
    harness.wait_for_endpoint("new");
}
