//! Suspicions that a stream with comments but without events has lost events.

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
fn suspicion_requests_events_after_last_offset() {
    let mut harness = Harness::connected();
    harness.send_and_sync("", 42);
    let mut old = harness.bus_stream.as_ref().expect("no connection").try_clone().expect("socket error");
    harness.suspect();
    let after = harness.send_comments(MINUTE).expect("no further request");
    assert!((4..=8).contains(&(after.0 / SECOND.0)), "{after:?}");
    assert_eq!(harness.accept_request(), "42");
    // The old connection is closed, or reset if a comment arrived after the close. A timeout would mean that it is open.
    old.set_read_timeout(Some(std::time::Duration::from_secs(15))).expect("socket error");
    let ended = old.read(&mut [0; 16]);
    let closed =
        matches!(&ended, Ok(0)) || ended.as_ref().is_err_and(|e| e.kind() == ErrorKind::ConnectionReset);
    assert!(closed, "the old connection stays open: {ended:?}");
    // This event was not sent on the old connection.
    harness.send(&format!("{EVENT_STREAM_HEAD}{}", event(43, "hidden")));
    harness.wait_for_endpoint("hidden");
}

#[test]
fn unfounded_suspicions_increase_request_delay() {
    let mut harness = Harness::connected();
    let mut spans = Vec::new();
    for _ in 0..8 {
        let from = harness.now;
        // The failed media server is detected repeatedly, also immediately after a request.
        while {
            harness.suspect();
            harness.send_comments(Micros(500_000)).is_none()
        } {}
        assert_eq!(harness.accept_request(), "41");
        harness.send(EVENT_STREAM_HEAD);
        harness.read_available();
        spans.push((harness.now - from).0 / SECOND.0);
    }
    for (span, max) in spans.iter().zip([8, 16, 32, 60, 60, 60, 60, 60]) {
        assert!((max / 2..=max + 1).contains(span), "{spans:?}");
    }
    // A new event resets the delay of the next suspicion.
    harness.send(&event(42, "new"));
    harness.wait_for_endpoint("new");
    harness.suspect();
    let after = harness.send_comments(MINUTE).expect("no further request");
    assert!((4..=8).contains(&(after.0 / SECOND.0)), "{after:?}");
}

#[test]
fn only_new_event_clears_suspicion() {
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
fn concurrent_suspicions_request_at_different_times() {
    let after = |seed| {
        let mut harness = Harness::new(seed);
        harness.wait_for_request();
        harness.send(EVENT_STREAM_HEAD);
        harness.suspect();
        harness.send_comments(MINUTE).expect("no further request")
    };
    let mut all = (0..16).map(after).collect::<Vec<_>>();
    all.sort_unstable();
    assert!(all[0] >= Micros(4_000_000) && all[15] <= Micros(8_500_000), "{all:?}");
    assert!(all[15] - all[0] >= SECOND, "{all:?}");
}

#[test]
fn any_request_clears_suspicion() {
    let mut harness = Harness::connected();
    harness.close_by_bus();
    harness.suspect();
    assert_eq!(harness.wait_for_request(), "41");
    harness.send(EVENT_STREAM_HEAD);
    assert_eq!(harness.send_comments(MINUTE), None);
}

#[test]
fn failed_request_after_suspicion_is_retried() {
    let mut harness = Harness::connected();
    harness.suspect();
    assert!(harness.send_comments(MINUTE).is_some());
    let max_delay = limits().bus_retry_max;
    for _ in 0..6 {
        assert_eq!(harness.accept_request(), "41");
        harness.close_by_bus();
        harness.time_until_connect(max_delay + Micros(50_000));
    }
    assert_eq!(harness.accept_request(), "41");
    harness.send(&format!("{EVENT_STREAM_HEAD}{}", event(42, "new")));
    harness.wait_for_endpoint("new");
}
