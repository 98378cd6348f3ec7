//! Offsets of events. No wrong offset may hide later events.

use crate::harness::Harness;
use crate::support::messages::EVENT_STREAM_HEAD;
use crate::texts::{data, event, event_with_id};

#[test]
fn duplicate_and_old_events_are_handled_once() {
    let mut harness = Harness::connected();
    harness.send(&format!("{}{}{}", event(42, "a"), event(42, "a"), event(43, "b")));
    harness.send_and_sync(&format!("{}{}", event(42, "a"), event(7, "old")), 44);
    assert_eq!(harness.received, ["a", "b", "marker-44"]);
    harness.close_by_bus();
    assert_eq!(harness.wait_for_request(), "44");
}

#[test]
fn gap_in_offsets_is_accepted() {
    let mut harness = Harness::connected();
    harness.send_and_sync(&event(60, "far"), 61);
    assert_eq!(harness.received, ["far", "marker-61"]);
    harness.close_by_bus();
    assert_eq!(harness.wait_for_request(), "61");
}

#[test]
fn implausible_offset_does_not_hide_later_events() {
    let max = u64::MAX;
    let huge = [
        // Both values are implausible.
        event_with_id(&max.to_string(), &data(max, "odd")),
        // One value is implausible, and the other is correct or missing.
        event_with_id(&max.to_string(), &data(42, "odd")),
        event_with_id("42", &data(max, "odd")),
        event_with_id(
            &max.to_string(),
            r#"{"topology":{"endpoints":[{"name":"odd","address":"10.1.0.9:2905","status":"Ready"}]}}"#,
        ),
        format!("data: {}\n\n", data(max, "odd")),
        // Both values are plausible, but they differ.
        event_with_id("9000", &data(42, "odd")),
        event_with_id("42", &data(9000, "odd")),
        // One value is old and the other is new. Neither is used, but the event is handled.
        event_with_id("9000", &data(41, "odd")),
        event_with_id("4", &data(42, "odd")),
        // No value is valid.
        event_with_id("0", &data(0, "odd")),
        event_with_id("99999999999999999999999999", &data(0, "odd")),
        event_with_id("-42", &data(0, "odd")),
    ];
    for odd in huge {
        let mut harness = Harness::connected();
        harness.send_and_sync(&odd, 43);
        assert_eq!(harness.received, ["odd", "marker-43"], "{odd}");
        harness.close_by_bus();
        assert_eq!(harness.wait_for_request(), "43", "{odd}");
    }
}

#[test]
fn implausible_offset_is_not_used_in_requests() {
    let mut harness = Harness::connected();
    harness.send(&event_with_id(&u64::MAX.to_string(), &data(u64::MAX, "odd")));
    harness.wait_for_endpoint("odd");
    harness.close_by_bus();
    assert_eq!(harness.wait_for_request(), "41");
    // The offset of a malformed event is not used either, unless it is the next one.
    harness.send(EVENT_STREAM_HEAD);
    for _ in 0..2 {
        harness.send(&event_with_id("4200", "{noise"));
        harness.wait_for_disconnect();
        assert_eq!(harness.wait_for_request(), "41");
        harness.send(EVENT_STREAM_HEAD);
    }
    harness.send(&event_with_id("4200", "{noise"));
    harness.read_available();
    harness.close_by_bus();
    assert_eq!(harness.wait_for_request(), "41");
}

#[test]
fn smaller_of_two_offsets_is_used_in_requests() {
    for odd in [event_with_id("9000", &data(42, "odd")), event_with_id("42", &data(9000, "odd"))] {
        let mut harness = Harness::connected();
        harness.send(&odd);
        harness.wait_for_endpoint("odd");
        harness.close_by_bus();
        assert_eq!(harness.wait_for_request(), "42", "{odd}");
    }
}

#[test]
fn events_within_gap_of_wrong_offset_are_handled() {
    let mut harness = Harness::connected();
    harness.send(&format!("{}{}{}", event(9_000, "odd"), event(42, "a"), event(43, "b")));
    harness.send_and_sync(&event(43, "b"), 44);
    assert_eq!(harness.received, ["odd", "a", "b", "marker-44"]);
    harness.close_by_bus();
    assert_eq!(harness.wait_for_request(), "44");
}

#[test]
fn event_without_id_uses_offset_field() {
    let mut harness = Harness::connected();
    harness.send_and_sync(&format!("data: {}\n\ndata: {}\n\n", data(42, "a"), data(42, "a")), 43);
    assert_eq!(harness.received, ["a", "marker-43"]);
}

#[test]
fn event_without_offset_field_uses_id() {
    let bare = r#"{"topology":{"endpoints":[{"name":"a","address":"10.1.0.9:2905","status":"Ready"}]}}"#;
    let mut harness = Harness::connected();
    harness.send_and_sync(&format!("{}{}", event_with_id("42", bare), event_with_id("42", bare)), 43);
    assert_eq!(harness.received, ["a", "marker-43"]);
}

#[test]
fn unknown_event_advances_offset() {
    let mut harness = Harness::connected();
    harness.send(&event_with_id("42", r#"{"offset":42,"weather":"dry"}"#));
    harness.close_by_bus();
    assert_eq!(harness.wait_for_request(), "42");
}
