//! Changes of the event bus address, which SIGHUP causes. The offsets must continue in any state of the client.

use beechloft::api::Micros;

use crate::harness::{Harness, SECOND, listen, refusing_address};
use crate::support::messages::EVENT_STREAM_HEAD;
use crate::texts::event;

/// Changes the address to another bus, and checks that the client requests it immediately. Returns the `Last-Event-ID`.
pub fn change_to_another_bus(harness: &mut Harness) -> String {
    let (listener, addr) = listen();
    harness.listener = listener;
    harness.change_address(addr);
    assert!(!harness.is_connected(), "the old connection is still open");
    assert!(harness.sweep(), "the other bus is not requested immediately");
    harness.accept_request()
}

/// Checks that the client ignores old events of the other bus and handles new ones.
fn assert_offsets_continue(harness: &mut Harness) {
    harness.send(EVENT_STREAM_HEAD);
    harness.send_and_sync(&event(41, "old"), 50);
    assert!(!harness.received.contains(&"old".to_owned()));
}

#[test]
fn silent_connection_is_replaced() {
    let mut harness = Harness::connected();
    harness.advance(Micros(2_000_000));
    assert_eq!(change_to_another_bus(&mut harness), "41");
    assert_offsets_continue(&mut harness);
}

#[test]
fn address_change_skips_retry_delay() {
    let mut harness = Harness::connected();
    for _ in 0..8 {
        harness.close_by_bus();
        harness.wait_for_request();
        harness.send(EVENT_STREAM_HEAD);
    }
    harness.close_by_bus();
    assert_eq!(change_to_another_bus(&mut harness), "41");
    assert_offsets_continue(&mut harness);
}

#[test]
fn connect_in_progress_is_replaced() {
    let mut harness = Harness::new(7);
    assert!(harness.sweep());
    // The kernel may have established the connection, but the client has not handled that yet.
    assert_eq!(change_to_another_bus(&mut harness), "41");
    assert_offsets_continue(&mut harness);
}

#[test]
fn unchanged_address_keeps_connection() {
    let mut harness = Harness::connected();
    harness.send_and_sync("", 42);
    harness.change_address(harness.listener.local_addr().expect("no address"));
    harness.assert_no_connect(SECOND);
    assert!(harness.is_connected());
    harness.send_and_sync(&event(43, "a"), 44);
    assert_eq!(harness.received, ["marker-42", "a", "marker-44"]);
}

#[test]
fn refusing_address_is_retried_until_next_change() {
    let mut harness = Harness::connected();
    harness.send_and_sync("", 42);
    let (_bound, addr) = refusing_address();
    harness.change_address(addr);
    for _ in 0..8 {
        harness.time_until_connect(SECOND);
        harness.wait_for_disconnect();
    }
    assert_eq!(change_to_another_bus(&mut harness), "42");
    assert_offsets_continue(&mut harness);
}

#[test]
fn last_of_two_address_changes_applies() {
    let mut harness = Harness::connected();
    let first_addr = harness.listener.local_addr().expect("no address");
    let (other, addr) = listen();
    harness.change_address(addr);
    harness.change_address(first_addr);
    assert!(harness.sweep());
    assert_eq!(harness.accept_request(), "41");
    assert_offsets_continue(&mut harness);
    other.set_nonblocking(true).expect("socket error");
    assert!(other.accept().is_err(), "the intermediate address was requested");
}

#[test]
fn events_in_flight_are_handled_once_and_not_joined() {
    let mut harness = Harness::connected();
    harness.send_and_sync("", 42);
    // One complete and one partial event are unread in the kernel's buffers.
    let partial = event(44, "b");
    harness.send(&format!("{}{}", event(43, "a"), &partial[..partial.len() / 2]));
    harness.wait_for_unread();
    assert_eq!(change_to_another_bus(&mut harness), "42");
    harness.send(&format!("{EVENT_STREAM_HEAD}{}{}", event(43, "a"), event(44, "b")));
    harness.send_and_sync("", 45);
    assert_eq!(harness.received, ["marker-42", "a", "b", "marker-45"]);
}

#[test]
fn partial_event_is_not_joined_with_later_bytes() {
    let mut harness = Harness::connected();
    let partial = event(42, "a");
    harness.send(&partial[..partial.len() / 2]);
    harness.read_available();
    assert_eq!(change_to_another_bus(&mut harness), "41");
    harness.send(EVENT_STREAM_HEAD);
    harness.send_and_sync(&partial, 43);
    assert_eq!(harness.received, ["a", "marker-43"]);
}

#[test]
fn address_change_clears_suspicion() {
    let mut harness = Harness::connected();
    harness.suspect();
    assert_eq!(change_to_another_bus(&mut harness), "41");
    harness.send(EVENT_STREAM_HEAD);
    assert_eq!(harness.send_comments(Micros(60_000_000)), None);
}

#[test]
fn offsets_continue_after_address_change() {
    let mut harness = Harness::connected();
    harness.send_and_sync("", 42);
    for n in 1..=5 {
        assert_eq!(change_to_another_bus(&mut harness), (41 + n).to_string());
        harness.send(EVENT_STREAM_HEAD);
        harness.send_and_sync(&event(41 + n, "duplicate"), 42 + n);
    }
    assert!(!harness.received.contains(&"duplicate".to_owned()));
}
