//! Hand-overs of sessions whose end arrives before, after, or on another connection.

mod support;

use beechloft_front_node::{Input, Output, ViewerConnection};
use beechloft_protocol::bus::{Status, Topology};
use beechloft_protocol::server::FromServer;
use beechloft_protocol::viewer::{FromViewer, ToViewer};
use beechloft_protocol::{CallId, Cause};
use support::{Harness, MAX_SESSIONS, endpoint, server_message};

const CONNECTION: u64 = 1;
const OTHER_CONNECTION: u64 = 2;
const SESSION: u64 = 7;
/// A session that is set up, and not handed over.
const SET_UP: u64 = 1 << 40;
/// Index of the media server that the session plays at.
const SERVER: u16 = 1;
/// Upper bound of the number of entries in all records: five records of 8192 entries.
const MAX_RECORDED: usize = 5 * 8192;
/// Time after which all ends are forgotten.
const RETENTION_MS: u64 = 31_000;

fn release_to_viewer(connection: u64, cause: Cause) -> Output {
    let message = ToViewer::Release(CallId(SESSION), cause);
    Output::SendToViewer(ViewerConnection(connection), message)
}

fn viewer_release(connection: u64) -> Input {
    Input::ViewerMessage(ViewerConnection(connection), FromViewer::Release(CallId(SESSION)))
}

fn end_lines(outputs: &[Output]) -> usize {
    let is_end = |output: &&Output| {
        let Output::SendToServer(_, _, line) = output else { return false };
        String::from_utf8_lossy(line).contains(r#""op":"end""#)
    };
    outputs.iter().filter(is_end).count()
}

/// Guards against sessions that stay established for ever because their end arrived before their hand-over.
#[test]
fn session_ended_by_server_before_hand_over_is_released() {
    for (cause, expected) in [
        (Cause::Normal, Cause::Normal),
        (Cause::Cancelled, Cause::Normal),
        (Cause::TemporaryFailure, Cause::TemporaryFailure),
    ] {
        let mut harness = Harness::new(1, 4);
        let incarnation = harness.latest_incarnation(SERVER);
        // The media server repeats its release on the next connection.
        assert_eq!(harness.end(incarnation, SESSION, cause), []);
        assert_eq!(harness.end(incarnation, SESSION, cause), []);
        for connection in [CONNECTION, OTHER_CONNECTION] {
            let answer = harness.hand_over(connection, SESSION, SERVER);
            assert_eq!(answer, [release_to_viewer(connection, expected)]);
        }
        assert_eq!(harness.node.counts().established, 0);
    }
}

/// Guards against a session that is established anew by a repeated hand-over after its end.
#[test]
fn hand_over_repeated_after_end_does_not_establish_session() {
    let mut harness = Harness::new(1, 4);
    harness.hand_over(CONNECTION, SESSION, SERVER);
    harness.add_adopted(CallId(SESSION), SERVER);
    let incarnation = harness.latest_incarnation(SERVER);
    harness.end(incarnation, SESSION, Cause::Normal);
    let answer = harness.hand_over(OTHER_CONNECTION, SESSION, SERVER);
    assert_eq!(answer, [release_to_viewer(OTHER_CONNECTION, Cause::Normal)]);
    assert_eq!(harness.node.counts().established, 0);
}

/// Guards against a session that plays on at its media server because its viewer's release arrived before its hand-over.
#[test]
fn session_released_by_viewer_before_hand_over_is_ended_at_server() {
    let mut harness = Harness::new(1, 4);
    harness.handle(viewer_release(CONNECTION));
    for connection in [OTHER_CONNECTION, CONNECTION] {
        let outputs = harness.hand_over(connection, SESSION, SERVER);
        assert_eq!((end_lines(&outputs), outputs.len()), (1, 1), "{outputs:?}");
    }
    assert_eq!(harness.node.counts().established, 0);
}

/// Guards against a session that is established anew by a late hand-over after its viewer has released it.
#[test]
fn hand_over_repeated_after_viewer_release_does_not_establish_session() {
    let mut harness = Harness::new(1, 4);
    harness.hand_over(CONNECTION, SESSION, SERVER);
    harness.add_adopted(CallId(SESSION), SERVER);
    assert_eq!(end_lines(&harness.handle(viewer_release(CONNECTION))), 1);
    assert_eq!(end_lines(&harness.hand_over(OTHER_CONNECTION, SESSION, SERVER)), 1);
    assert_eq!(harness.node.counts().established, 0);
}

/// Guards against a session of a media server's previous process that is established at its next one.
#[test]
fn session_lost_with_previous_process_is_not_established_at_next() {
    let mut harness = Harness::new(1, 4);
    harness.hand_over(CONNECTION, SESSION, SERVER);
    harness.add_adopted(CallId(SESSION), SERVER);
    let mut restarted = endpoint(SERVER, Status::Ready);
    restarted.started_ms = harness.now.0 / 1000;
    let released = harness.handle(Input::Topology(Topology { snapshot: false, endpoints: vec![restarted] }));
    assert!(released.contains(&release_to_viewer(CONNECTION, Cause::TemporaryFailure)), "{released:?}");
    let answer = harness.hand_over(OTHER_CONNECTION, SESSION, SERVER);
    assert!(answer.contains(&release_to_viewer(OTHER_CONNECTION, Cause::TemporaryFailure)), "{answer:?}");
    assert_eq!(harness.node.counts().established, 0);
}

/// A client that disconnects after its hand-over does not end the session, whose release goes to another connection.
#[test]
fn hand_over_of_closed_connection_is_released_on_another() {
    let mut harness = Harness::new(1, 4);
    harness.handle(Input::ViewerConnectionClosed(ViewerConnection(CONNECTION)));
    harness.hand_over(CONNECTION, SESSION, SERVER);
    harness.add_adopted(CallId(SESSION), SERVER);
    harness.hand_over(OTHER_CONNECTION, SESSION + 1, SERVER);
    harness.add_adopted(CallId(SESSION + 1), SERVER);
    let incarnation = harness.latest_incarnation(SERVER);
    let released = harness.end(incarnation, SESSION, Cause::Normal);
    assert_eq!(released, [release_to_viewer(OTHER_CONNECTION, Cause::Normal)]);
    // The same holds for a hand-over of a session that is over already.
    let answer = harness.hand_over(CONNECTION, SESSION, SERVER);
    assert_eq!(answer, [release_to_viewer(OTHER_CONNECTION, Cause::Normal)]);
}

/// A session under an id that ended before is new: neither its set-up nor its later end is taken for the earlier one.
#[test]
fn session_under_id_that_ended_before_is_set_up_and_released() {
    let mut harness = Harness::new(1, 1);
    harness.handle(viewer_release(CONNECTION));
    let incarnation = harness.latest_incarnation(0);
    harness.end(incarnation, SESSION, Cause::Normal);
    harness.set_up(OTHER_CONNECTION, SESSION, 2_000);
    let answer = harness.accept(SESSION);
    assert_eq!(harness.node.counts().established, 1, "{answer:?}");
    // A hand-over of the session is a repetition while it is established.
    assert_eq!(harness.hand_over(OTHER_CONNECTION, SESSION, 0), []);
    let ended = harness.end(incarnation, SESSION, Cause::Normal);
    assert_eq!(
        ended,
        [Output::KeepConnected(incarnation, false), release_to_viewer(OTHER_CONNECTION, Cause::Normal)]
    );
    assert_eq!(harness.node.counts().established, 0);
}

/// Guards against a connection whose hand-overs use up the capacity of the front node, so that set-ups are refused.
#[test]
fn hand_overs_on_one_connection_leave_capacity_for_set_ups() {
    let mut harness = Harness::new(1, 4);
    for (id, _) in (1..).zip(0..MAX_SESSIONS) {
        harness.hand_over(CONNECTION, id, SERVER);
    }
    assert_eq!(harness.node.counts().established, MAX_SESSIONS / 2);
    harness.set_up(OTHER_CONNECTION, SET_UP, 2_000);
    assert_eq!(harness.node.counts().pending, 1);
    assert!(harness.in_flight.contains_key(&CallId(SET_UP)));
}

/// Guards against memory that grows with ends that no hand-over follows.
#[test]
fn ends_without_hand_over_are_forgotten() {
    let mut harness = Harness::new(1, 4);
    let incarnation = harness.latest_incarnation(SERVER);
    for id in 1..50_000 {
        let end = server_message(FromServer::End(CallId(id), Cause::Normal));
        harness.node.handle(harness.now, Input::ServerMessage(incarnation, end));
        let release = FromViewer::Release(CallId(id));
        harness.node.handle(harness.now, Input::ViewerMessage(ViewerConnection(CONNECTION), release));
    }
    assert!(harness.node.counts().recorded <= MAX_RECORDED, "{:?}", harness.node.counts());
    // The newest end is remembered for some time.
    let answer = harness.hand_over(CONNECTION, 49_999, SERVER);
    assert_eq!(end_lines(&answer), 1, "{answer:?}");
    harness.advance(RETENTION_MS);
    assert_eq!(harness.node.counts().recorded, 0);
    harness.hand_over(CONNECTION, 49_998, SERVER);
    assert_eq!(harness.node.counts().established, 1);
}
