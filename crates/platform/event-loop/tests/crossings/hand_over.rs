//! Hand-overs of sessions that end meanwhile, on other connections or on the same one.

use beechloft_event_loop::IterationPhase;

use crate::support::configuration::server_name;
use crate::support::manual::{Client, Harness, ServerConnection};
use crate::support::messages::{encode, hand_over, kinds, release};

/// First of the sessions that are handed over.
const FIRST: u64 = 1_000;
/// Number of sessions that are handed over. Their messages exceed what one iteration handles of a connection.
const SESSIONS: u64 = 200;
/// Time for which a viewer's release may wait for a connection to the media server.
const RELEASE_MS: u64 = 500;

/// Returns the sessions for which a client has received a release.
fn released(client: &mut Client) -> Vec<u64> {
    let frames = client.receive_frames();
    frames.iter().filter(|frame| frame.kind == 12).map(|frame| frame.id.0).collect()
}

/// Returns all sessions that are handed over.
fn all_sessions() -> Vec<u64> {
    (FIRST..FIRST + SESSIONS).collect()
}

/// Waits for as many releases as there are sessions, and returns the sessions of all that have arrived.
fn all_released(harness: &mut Harness, client: &mut Client) -> Vec<u64> {
    let mut ended = Vec::new();
    harness.run_until("the releases of all sessions", |_| {
        ended.extend(released(client));
        ended.len() >= all_sessions().len()
    });
    harness.settle();
    ended.extend(released(client));
    ended
}

/// Returns the hand-overs of all sessions.
fn hand_overs() -> Vec<u8> {
    let frames: Vec<_> = all_sessions().into_iter().map(|id| hand_over(id, &server_name(0))).collect();
    encode(&frames)
}

/// Guards against sessions that stay established for ever, because their media server's releases were read before the
/// hand-overs on the viewers' connection.
#[test]
fn sessions_ended_before_their_hand_over_are_released() {
    let mut harness = Harness::new(1);
    let (_first, mut connection) = harness.establish_session(1);
    let mut client = harness.connect_client();
    client.send_bytes(&hand_overs());
    for id in all_sessions() {
        connection.end(id, 16);
    }
    assert_eq!(all_released(&mut harness, &mut client), all_sessions());
}

/// Guards against a session that plays on for nobody, because its viewer's release was read with its hand-over.
#[test]
fn session_released_directly_behind_its_hand_over_is_ended_at_server() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect_client();
    client.send_bytes(&encode(&[hand_over(FIRST, &server_name(0)), release(FIRST)]));
    harness.run_until_end_received();
    harness.advance_ms(RELEASE_MS);
    assert_eq!(kinds(&client.receive_frames()), [16]);
    assert_eq!(harness.servers[0].received("end").len(), 1);
}

/// Asserts that the sessions that were handed over end with their media server's releases, which reach the other client.
fn assert_released_on(other: &mut Client, connection: &mut ServerConnection, harness: &mut Harness) {
    for id in all_sessions() {
        connection.end(id, 16);
    }
    let mut ended = all_released(harness, other);
    ended.sort_unstable();
    assert_eq!(ended, all_sessions());
}

/// Guards against a session that is never released, because the client that handed it over had disconnected when its
/// messages were read.
#[test]
fn session_handed_over_before_disconnect_is_released_on_another_connection() {
    let mut harness = Harness::new(1);
    let (mut other, mut connection) = harness.establish_session(1);
    assert_eq!(kinds(&other.receive_frames()), [9]);
    let mut closing = harness.connect_client();
    closing.send_bytes(&hand_overs());
    closing.close();
    harness.settle();
    assert_released_on(&mut other, &mut connection, &mut harness);
}

/// Guards against a session that is never released, because its hand-over was queued when a message to its client could not be
/// written.
#[test]
fn session_handed_over_before_failed_write_is_released_on_another_connection() {
    let mut harness = Harness::new(1);
    let (mut other, mut connection) = harness.establish_session(1);
    assert_eq!(kinds(&other.receive_frames()), [9]);
    let (mut closing, _) = harness.establish_session(2);
    closing.send_bytes(&hand_overs());
    // Reads all hand-overs, and handles the first of them.
    harness.run_iteration();
    connection.end(2, 16);
    let mut resetting = Some(closing);
    harness.event_loop.on_phase_end(move |phase| {
        if phase == IterationPhase::SocketsPolled
            && let Some(client) = resetting.take()
        {
            client.reset();
        }
    });
    harness.settle();
    // The release of session 2 was written to the connection that was reset.
    other.receive_frames();
    assert_released_on(&mut other, &mut connection, &mut harness);
}
