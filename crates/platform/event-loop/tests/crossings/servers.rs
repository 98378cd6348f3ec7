//! Connections to media servers that end, break or are never established, at the wrong instant.

use std::sync::mpsc;

use beechloft::api::Micros;
use beechloft_event_loop::TurnPhase;

use crate::support::configuration::{TestSettings, endpoint, server_name};
use crate::support::manual::{Client, Harness, Received, ServerConnection, UnreachableSession};
use crate::support::messages::{kinds, release, set_up};

/// A connection that has carried a session and is idle now.
fn idle_connection(harness: &mut Harness) -> (Client, ServerConnection) {
    let (mut client, mut connection) = harness.establish_session(1);
    connection.end(1, 16);
    harness.settle();
    assert_eq!(client.receive_frames().len(), 2);
    (client, connection)
}

/// The media server closes an idle connection at the instant at which a set-up is to be sent on it: the set-up is sent on
/// another, and counts as never sent on the first. Otherwise a class that may not be repeated would lose it.
#[test]
fn a_set_up_is_not_sent_on_a_connection_whose_end_has_arrived() {
    let mut harness = Harness::with_settings(1, &TestSettings { effect: "once", ..TestSettings::default() });
    let (mut client, mut idle) = idle_connection(&mut harness);
    client.send(&set_up(2, 3_000));
    let (closed, closing) = mpsc::channel();
    let mut to_close = Some(idle.duplicate());
    harness.event_loop.on_phase_end(move |phase| {
        // Media servers have been read in this turn.
        if phase == TurnPhase::ServersHandled
            && let Some(mut connection) = to_close.take()
        {
            connection.close();
            closed.send(()).expect("received");
        }
    });
    let mut offered = harness.wait_for_offer(2);
    closing.recv().expect("it was closed");
    idle.read();
    assert!(!idle.has_offer(2), "it was sent on the connection that had ended");
    offered.connection.accept(2);
    harness.settle();
    assert_eq!(kinds(&client.receive_frames()), [9]);
}

/// The end of a session waits for a connection that is never established: it is sent on the next that is.
#[test]
fn the_end_of_a_session_survives_a_failed_connection() {
    let UnreachableSession { mut harness, mut client, filler } = Harness::with_unreachable_session();
    client.send(&release(1));
    harness.settle();
    // Past the connect timeout.
    harness.advance_ms(400);
    harness.servers[0].drop_queued_connection();
    drop(filler);
    harness.advance_ms(1_500);
    harness.run_until_end_received();
    assert_eq!(harness.servers[0].received("end")[0]["call"], "0000000000000001");
}

/// An answer is cut off in the middle; two whole ones come on another connection: one answer to the viewer, and no session
/// remains from the others.
#[test]
fn a_truncated_answer_fails_its_attempt_alone() {
    let mut harness = Harness::new(2);
    let (mut client, mut offered) = harness.start_set_up(1);
    offered.connection.send_bytes(br#"{"op":"accept","call":"00000000"#);
    offered.connection.close();
    harness.settle();
    let mut second = harness.wait_for_offer_elsewhere(1, offered.server);
    assert_ne!(offered.server, second.server);
    second.connection.accept(1);
    second.connection.accept(1);
    harness.settle();
    let Received { frames, closed } = client.receive().expect("no reset");
    assert_eq!((frames.len(), frames[0].kind, closed), (1, 9, false));
}

/// The answer arrives at the instant of the timeout, or shortly after.
#[test]
fn an_answer_at_the_instant_of_the_timeout_gives_one_answer() {
    for late_ms in [0, 25, 50] {
        let mut harness = Harness::with_settings(
            1,
            &TestSettings { effect: "once", max_attempts: 1, ..TestSettings::default() },
        );
        let (mut client, mut offered) = harness.start_set_up(1);
        // The only attempt times out after the aim.
        harness.advance_ms(775);
        harness.skip(Micros(25_000 + late_ms * 1000));
        offered.connection.accept(1);
        harness.settle();
        harness.advance_ms(200);
        let frames = client.receive_frames();
        assert_eq!(frames.len(), 1, "{late_ms} ms late: {frames:?}");
        let ends = harness.servers[0].received("end").len();
        assert_eq!(
            ends,
            usize::from(frames[0].kind != 9),
            "{late_ms} ms late: the session that remains is the one that was answered"
        );
    }
}

/// An answer for a session that was abandoned an instant earlier is released at its media server.
#[test]
fn an_answer_just_after_its_session_was_abandoned_leaves_no_session() {
    let mut harness = Harness::with_settings(1, &TestSettings { effect: "once", ..TestSettings::default() });
    let (mut client, mut offered) = harness.start_set_up(1);
    harness.advance_ms(1_000);
    let frames = client.receive_frames();
    assert_eq!((frames.len(), frames[0].kind), (1, 12));
    offered.connection.accept(1);
    harness.run_until("its release there", |h| h.servers[0].received("end").len() == 2);
}

/// The list removes a media server while the end of its last session waits for a connection.
#[test]
fn a_server_removed_from_the_list_still_receives_the_end_of_its_session() {
    let mut harness = Harness::new(1);
    let (mut client, mut offered) = harness.start_set_up(1);
    offered.connection.accept(1);
    harness.settle();
    assert_eq!(client.receive_frames()[0].kind, 9);
    offered.connection.close();
    harness.servers[0].connections.clear();
    harness.settle();
    harness.servers[0].poll();
    harness.servers[0].connections.clear();
    let addr = harness.servers[0].addr;
    client.send(&release(1));
    harness.send_event(&[endpoint(&server_name(0), addr, 0, "Gone")]);
    harness.run_until_end_received();
}

/// A repeat of a keyed class waits for a connection, which is established after the key's window: it would run a second time.
#[test]
fn a_repeat_is_not_sent_after_its_key_window() {
    for (waits_ms, sent) in [(50, 1), (250, 0)] {
        let settings = TestSettings {
            effect: "by_key",
            key_window_ms: Some(300),
            aim_ms: 2_000,
            ..TestSettings::default()
        };
        let mut harness = Harness::with_settings(2, &settings);
        let (client, mut offered) = harness.start_set_up(1);
        harness.advance_ms(100);
        offered.connection.end(1, 47);
        // The further attempt is begun, and its connection too; that the connection is established is noticed only later.
        harness.run_turn();
        harness.skip(Micros(waits_ms * 1000));
        harness.settle();
        let other = &mut harness.servers[1 - offered.server];
        assert_eq!(other.received("offer").len(), sent, "after {waits_ms} ms more");
        drop(client);
    }
}
