//! Moves to another address, as SIGHUP causes them: the numbering continues there, whatever state the client is in.

use beechloft::api::Micros;

use crate::harness::{Harness, SECOND, listen, refusing_address};
use crate::support::messages::EVENT_STREAM_HEAD;
use crate::texts::event;

/// Moves the client to another bus, which it requests at once; its `Last-Event-ID`.
fn move_to_another_bus(harness: &mut Harness) -> String {
    let (listener, addr) = listen();
    harness.listener = listener;
    harness.move_to(addr);
    assert!(!harness.is_connected(), "the old connection is still open");
    assert!(harness.sweep(), "the other bus is not requested at once");
    harness.accept_request()
}

/// The client handles the other bus's events, in order and once each.
fn assert_numbering_continues(harness: &mut Harness) {
    harness.send(EVENT_STREAM_HEAD);
    harness.send_and_sync(&event(41, "old"), 50);
    assert!(!harness.received.contains(&"old".to_owned()));
}

#[test]
fn a_silent_connection_moves() {
    let mut harness = Harness::connected();
    harness.advance(Micros(2_000_000));
    assert_eq!(move_to_another_bus(&mut harness), "41");
    assert_numbering_continues(&mut harness);
}

#[test]
fn a_connection_just_closed_moves_without_a_wait() {
    let mut harness = Harness::connected();
    for _ in 0..8 {
        harness.close_by_bus();
        harness.wait_for_request();
        harness.send(EVENT_STREAM_HEAD);
    }
    harness.close_by_bus();
    assert_eq!(move_to_another_bus(&mut harness), "41");
    assert_numbering_continues(&mut harness);
}

#[test]
fn a_connection_in_progress_moves() {
    let mut harness = Harness::new(7);
    assert!(harness.sweep());
    // The kernel may have established it; the client does not know.
    assert_eq!(move_to_another_bus(&mut harness), "41");
    assert_numbering_continues(&mut harness);
}

#[test]
fn a_move_to_the_same_address_changes_nothing() {
    let mut harness = Harness::connected();
    harness.send_and_sync("", 42);
    harness.move_to(harness.listener.local_addr().expect("an address"));
    harness.assert_no_connect(SECOND);
    assert!(harness.is_connected());
    harness.send_and_sync(&event(43, "a"), 44);
    assert_eq!(harness.received, ["mark-42", "a", "mark-44"]);
}

#[test]
fn a_refusing_address_is_retried_until_the_next_move() {
    let mut harness = Harness::connected();
    harness.send_and_sync("", 42);
    let (_bound, addr) = refusing_address();
    harness.move_to(addr);
    for _ in 0..8 {
        harness.time_until_connect(SECOND);
        harness.wait_for_disconnect();
    }
    assert_eq!(move_to_another_bus(&mut harness), "42");
    assert_numbering_continues(&mut harness);
}

#[test]
fn two_moves_in_a_row_end_at_the_last() {
    let mut harness = Harness::connected();
    let home = harness.listener.local_addr().expect("an address");
    let (other, addr) = listen();
    harness.move_to(addr);
    harness.move_to(home);
    assert!(harness.sweep());
    assert_eq!(harness.accept_request(), "41");
    assert_numbering_continues(&mut harness);
    other.set_nonblocking(true).expect("a socket");
    assert!(other.accept().is_err(), "the bus in between was requested");
}

#[test]
fn events_in_flight_at_a_move_are_handled_once_and_not_joined() {
    let mut harness = Harness::connected();
    harness.send_and_sync("", 42);
    // One and a half events are unread in the kernel's buffers.
    let half = event(44, "b");
    harness.send(&format!("{}{}", event(43, "a"), &half[..half.len() / 2]));
    harness.wait_for_unread();
    assert_eq!(move_to_another_bus(&mut harness), "42");
    harness.send(&format!("{EVENT_STREAM_HEAD}{}{}", event(43, "a"), event(44, "b")));
    harness.send_and_sync("", 45);
    assert_eq!(harness.received, ["mark-42", "a", "b", "mark-45"]);
}

#[test]
fn half_an_event_before_a_move_is_not_joined_with_later_bytes() {
    let mut harness = Harness::connected();
    let half = event(42, "a");
    harness.send(&half[..half.len() / 2]);
    harness.read_available();
    assert_eq!(move_to_another_bus(&mut harness), "41");
    harness.send(EVENT_STREAM_HEAD);
    harness.send_and_sync(&half, 43);
    assert_eq!(harness.received, ["a", "mark-43"]);
}

#[test]
fn a_move_clears_a_suspicion() {
    let mut harness = Harness::connected();
    harness.suspect();
    assert_eq!(move_to_another_bus(&mut harness), "41");
    harness.send(EVENT_STREAM_HEAD);
    assert_eq!(harness.send_comments(Micros(60_000_000)), None);
}

#[test]
fn numbering_continues_after_a_move() {
    let mut harness = Harness::connected();
    harness.send_and_sync("", 42);
    for n in 1..=5 {
        assert_eq!(move_to_another_bus(&mut harness), (41 + n).to_string());
        harness.send(EVENT_STREAM_HEAD);
        harness.send_and_sync(&event(41 + n, "twice"), 42 + n);
    }
    assert!(!harness.received.contains(&"twice".to_owned()));
}
