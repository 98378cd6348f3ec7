//! Malformed events and responses. Other events must not be lost.

use beechloft_event_loop::limits::SocketLimits;

use crate::harness::{Harness, SECOND, limits};
use crate::support::messages::EVENT_STREAM_HEAD;
use crate::texts::{CHUNKED_HEAD, chunk, endpoint, event, event_with_id};

/// Checks that a malformed event is requested again twice, as it may have been corrupted in transit, and then skipped.
///
/// `last_id` is the expected `Last-Event-ID` of the next request.
fn assert_skipped(malformed: &str, good: &str, last_id: &str) {
    let mut harness = Harness::connected();
    let mut retries = 0;
    loop {
        harness.send(&format!("{malformed}{good}"));
        harness.run_until("the event to be handled", |harness| {
            !harness.is_connected() || !harness.received.is_empty()
        });
        if harness.is_connected() {
            break;
        }
        retries += 1;
        assert!(retries <= 5, "too many requests, and later events are not handled");
        assert_eq!(harness.wait_for_request(), "41");
        harness.send(EVENT_STREAM_HEAD);
    }
    assert_eq!((retries, harness.received.as_slice()), (2, &["later".to_owned()][..]));
    harness.close_by_bus();
    assert_eq!(harness.wait_for_request(), last_id);
}

#[test]
fn malformed_event_does_not_hide_later_events() {
    assert_skipped(&event_with_id("42", "{noise"), &event(43, "later"), "43");
    assert_skipped(
        &event_with_id("42", r#"{"offset":42,"topology":{"endpoints":7}}"#),
        &event(43, "later"),
        "43",
    );
}

#[test]
fn skipped_event_is_not_requested_again() {
    let mut harness = Harness::connected();
    for attempt in 0..3 {
        harness.send(&event_with_id("42", "{noise"));
        if attempt < 2 {
            harness.wait_for_disconnect();
            assert_eq!(harness.wait_for_request(), "41");
            harness.send(EVENT_STREAM_HEAD);
        }
    }
    // A partial event follows, and then the connection is closed.
    harness.send("id: 43\nda");
    harness.close_by_bus();
    assert_eq!(harness.wait_for_request(), "42");
}

#[test]
fn malformed_event_without_offset_is_skipped() {
    assert_skipped("data: {noise\n\n", &event(42, "later"), "42");
    assert_skipped(&event_with_id("forty", "{noise"), &event(42, "later"), "42");
    // An implausible offset is ignored.
    assert_skipped(&event_with_id(&u64::MAX.to_string(), "{noise"), &event(42, "later"), "42");
}

#[test]
fn consecutive_malformed_events_share_two_retries() {
    let bad: String = (42..92).map(|n| event_with_id(&n.to_string(), "{noise")).collect();
    assert_skipped(&bad, &event(92, "later"), "92");
}

#[test]
fn malformed_duplicate_event_is_ignored() {
    let mut harness = Harness::connected();
    harness.send_and_sync(&event_with_id("41", "{noise"), 42);
    assert!(harness.is_connected());
}

#[test]
fn only_malformed_endpoint_is_skipped() {
    let malformed_endpoints = [
        r#"{"name":"b","address":"10.1.0.9:2905","status":"Resting"}"#,
        r#"{"name":"b","address":"10.1.0.9:2905","status":"Ready","weight":"four"}"#,
        r#"{"name":"b","status":"Ready"}"#,
        r#"{"name":"b","address":"10.1.0.9:2905","status":"Ready","group":70000}"#,
        r#"{"name":"b","address":"10.1.0.9:2905","status":"Ready","since_ms":-1}"#,
        r#"{"address":"10.1.0.9:2905","status":"Ready"}"#,
        "7",
        "null",
        "[]",
    ];
    for bad in malformed_endpoints {
        let mut harness = Harness::connected();
        let lines = format!("{},{bad},{}", endpoint("a"), endpoint("c"));
        harness.send_and_sync(
            &event_with_id("42", &format!(r#"{{"offset":42,"topology":{{"endpoints":[{lines}]}}}}"#)),
            43,
        );
        assert_eq!(harness.received, ["a", "c", "marker-43"], "{bad}");
    }
}

#[test]
fn snapshot_with_malformed_endpoint_is_no_snapshot() {
    let list = |lines: &str| {
        event_with_id(
            "42",
            &format!(r#"{{"offset":42,"topology":{{"snapshot":true,"endpoints":[{lines}]}}}}"#),
        )
    };
    let mut harness = Harness::connected();
    harness.send(&list(&endpoint("a")));
    harness.wait_for_endpoint("a");
    assert!(harness.last_was_snapshot);
    let mut with_malformed = Harness::connected();
    with_malformed.send(&list(&format!(r#"{{"name":"b","status":"Resting"}},{}"#, endpoint("a"))));
    with_malformed.wait_for_endpoint("a");
    assert!(
        !with_malformed.last_was_snapshot,
        "the media server with the malformed entry would count as removed"
    );
}

#[test]
fn oversized_event_does_not_hide_later_events() {
    // The event exceeds the size limit, but it ends.
    let long = format!("data: {}\n\n", "x".repeat(limits().max_event_bytes + 10));
    assert_skipped(&long, &event(42, "later"), "42");
    let lines = format!("{}\n", "data: some noise\r\n".repeat(limits().max_event_bytes / 12));
    assert_skipped(&lines, &event(42, "later"), "42");
}

#[test]
fn endless_event_closes_connection_and_increases_retry_delay() {
    let mut harness = Harness::connected();
    let mut last = Default::default();
    for _ in 0..12 {
        harness.send_repeatedly("x", 4 << 20);
        assert!(!harness.is_connected(), "4 MiB of one event were accepted");
        last = harness.time_until_connect(SECOND + SECOND);
        assert_eq!(harness.accept_request(), "41");
        harness.send(EVENT_STREAM_HEAD);
    }
    assert!(last >= limits().bus_retry_max, "the delay is only {last:?} after 12 requests");
}

#[test]
fn malformed_chunk_does_not_hide_earlier_events() {
    let mut harness = Harness::new(7);
    assert_eq!(harness.wait_for_request(), "41");
    // Events before a malformed chunk in the same read are handled.
    harness.send(&format!("{CHUNKED_HEAD}{}noise\r\n", chunk(&event(42, "before"))));
    harness.wait_for_disconnect();
    assert_eq!(harness.received, ["before"]);
    assert_eq!(harness.wait_for_request(), "42");
    harness.send(&format!("{CHUNKED_HEAD}{}{}", chunk(&event(43, "after")), chunk(":\n\n")));
    harness.wait_for_endpoint("after");
}

#[test]
fn complete_events_before_oversized_event_are_handled() {
    // Both events arrive in one read.
    let mut harness = Harness::with_limits(SocketLimits { max_event_bytes: 1_000, ..limits() }, 7);
    assert_eq!(harness.wait_for_request(), "41");
    harness.send(&format!("{EVENT_STREAM_HEAD}{}data: {}", event(42, "before"), "x".repeat(2_000)));
    harness.wait_for_disconnect();
    assert_eq!(harness.received, ["before"]);
    assert_eq!(harness.wait_for_request(), "42");
}

/// Bytes at random positions are corrupted in the same way at each request. Some events may be lost and some requests
/// repeated, but the last event, which is not corrupted, must be handled.
#[test]
fn last_event_of_corrupted_stream_is_handled() {
    for seed in 0..40_u64 {
        let mut state = seed;
        let mut random_below = |bound: usize| {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (state >> 33) as usize % bound
        };
        let mut events = (42..62).map(|n| event(n, &format!("s-{n}")).into_bytes()).collect::<Vec<_>>();
        for _ in 0..1 + random_below(12) {
            let event = random_below(events.len());
            let position = random_below(events[event].len());
            events[event][position] = b"0123456789{}[]:,\"\n\r x"[random_below(21)];
        }
        let mut harness = Harness::new(seed);
        for requests in 1.. {
            assert!(requests <= 60, "seed {seed}: {requests} requests, {:?}", harness.received);
            let from: usize = harness.wait_for_request().parse().expect("invalid Last-Event-ID");
            let rest = events.iter().skip(from.saturating_sub(41)).flatten().copied().collect::<Vec<_>>();
            harness.send(&format!("{EVENT_STREAM_HEAD}{}", String::from_utf8(rest).expect("invalid UTF-8")));
            harness.send(&event(62, "last"));
            harness.run_until("the event to be handled", |harness| {
                !harness.is_connected() || harness.received.last().is_some_and(|n| n == "last")
            });
            if harness.is_connected() {
                break;
            }
        }
        harness.close_by_bus();
        assert_eq!(harness.wait_for_request(), "62", "seed {seed}");
    }
}
