//! Suspicions that a stream with comments but without events has lost events.

use beechloft::api::Micros;
use beechloft_event_loop::limits::MAX_BUS_CONNECTIONS;

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
    harness.suspect();
    let after = harness.send_comments(MINUTE).expect("no further request");
    assert!((4..=8).contains(&(after.0 / SECOND.0)), "{after:?}");
    let suspected = harness.take_unanswered_request();
    assert_eq!(harness.accept_request(), "42");
    // This event was not sent on the old connection, which is closed now.
    harness.send(&format!("{EVENT_STREAM_HEAD}{}", event(43, "hidden")));
    harness.wait_for_endpoint("hidden");
    assert_eq!(harness.client.connection_count(), 1);
    suspected.assert_closed();
}

/// The suspected stream was closed before the repeated request was answered. Events that a slow event bus told meanwhile were
/// received late.
#[test]
fn suspected_stream_is_read_until_request_is_answered() {
    let mut harness = Harness::connected();
    harness.suspect();
    harness.send_comments(MINUTE).expect("no further request");
    let suspected = harness.take_unanswered_request();
    assert_eq!(harness.accept_request(), "41");
    let repeated = harness.take_unanswered_request();
    harness.answer(suspected, &event(42, "told-meanwhile"));
    harness.wait_for_endpoint("told-meanwhile");
    let replaced = harness.take_unanswered_request();
    harness.answer(repeated, &format!("{EVENT_STREAM_HEAD}{}", event(42, "duplicate")));
    harness.send_and_sync(&event(43, "next"), 44);
    assert_eq!(harness.received, ["told-meanwhile", "next", "marker-44"]);
    assert_eq!(harness.client.connection_count(), 1);
    replaced.assert_closed();
}

#[test]
fn suspected_stream_is_read_while_requests_are_not_answered() {
    let mut harness = Harness::connected();
    harness.suspect();
    harness.send_comments(MINUTE).expect("no further request");
    let mut stream = harness.take_unanswered_request();
    harness.accept_request();
    let mut unanswered = vec![harness.take_unanswered_request()];
    for offset in 42..72 {
        unanswered.extend(harness.accept_requests(SECOND));
        assert!(harness.client.connection_count() <= MAX_BUS_CONNECTIONS);
        harness.answer(stream, &event(offset, &offset.to_string()));
        harness.wait_for_endpoint(&offset.to_string());
        stream = harness.take_unanswered_request();
    }
    let gaps: Vec<Micros> = unanswered.windows(2).map(|pair| pair[1].at - pair[0].at).collect();
    assert!(gaps.len() >= 9 && gaps.iter().all(|gap| *gap < Micros(4_000_000)), "{gaps:?}");
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
