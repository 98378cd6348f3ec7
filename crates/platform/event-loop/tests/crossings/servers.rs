//! Connections to media servers that are closed, reset or not established while they are needed.

use std::sync::mpsc;

use beechloft::api::Micros;
use beechloft_event_loop::IterationPhase;

use crate::support::configuration::{TestSettings, endpoint, server_name};
use crate::support::manual::{Client, Harness, Received, ServerConnection, UnreachableSession};
use crate::support::messages::{kinds, release, set_up};

/// Returns an idle connection that has carried a session, and its client.
fn idle_connection(harness: &mut Harness) -> (Client, ServerConnection) {
    let (mut client, mut connection) = harness.establish_session(1);
    connection.end(1, 16);
    harness.settle();
    assert_eq!(client.receive_frames().len(), 2);
    (client, connection)
}

/// The media server closes an idle connection just before a set-up would be sent on it. The set-up must be sent on
/// another connection. If it was sent on the first, a set-up of a class that may not be repeated would fail.
#[test]
fn set_up_avoids_connection_closed_by_server() {
    let mut harness = Harness::with_settings(1, &TestSettings { effect: "once", ..TestSettings::default() });
    let (mut client, mut idle) = idle_connection(&mut harness);
    client.send(&set_up(2, 3_000));
    let (closed, closing) = mpsc::channel();
    let mut to_close = Some(idle.duplicate());
    harness.event_loop.on_phase_end(move |phase| {
        // Media servers have already been read in this iteration.
        if phase == IterationPhase::ServersHandled
            && let Some(mut connection) = to_close.take()
        {
            connection.close();
            closed.send(()).expect("receiver dropped");
        }
    });
    let mut offered = harness.wait_for_offer(2);
    closing.recv().expect("connection was not closed");
    idle.read();
    assert!(!idle.has_offer(2), "the set-up was sent on the closed connection");
    offered.connection.accept(2);
    harness.settle();
    assert_eq!(kinds(&client.receive_frames()), [9]);
}

/// The release of a session is queued for a connection that is not established. It must be sent on the next one.
#[test]
fn session_release_survives_failed_connect() {
    let UnreachableSession { mut harness, mut client, filler } = Harness::with_unreachable_session();
    client.send(&release(1));
    harness.settle();
    // After the connect timeout.
    harness.advance_ms(400);
    harness.servers[0].drop_queued_connection();
    drop(filler);
    harness.advance_ms(1_500);
    harness.run_until_end_received();
    assert_eq!(harness.servers[0].received("end")[0]["call"], "0000000000000001");
}

/// A media server sends a truncated answer, and the next one sends two complete answers. The viewer must get one answer.
#[test]
fn truncated_answer_fails_only_its_attempt() {
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
    let Received { frames, closed } = client.receive().expect("connection reset");
    assert_eq!((frames.len(), frames[0].kind, closed), (1, 9, false));
}

/// The answer arrives at the time of the timeout or shortly after it. The viewer gets one answer, and the media server
/// keeps the session only if that answer accepts it.
#[test]
fn answer_concurrent_with_timeout_yields_one_answer() {
    for late_ms in [0, 25, 50] {
        let mut harness = Harness::with_settings(
            1,
            &TestSettings { effect: "once", max_attempts: 1, ..TestSettings::default() },
        );
        let (mut client, mut offered) = harness.start_set_up(1);
        // The only attempt times out after the latency objective.
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
            "{late_ms} ms late: a session is kept only if it was accepted"
        );
    }
}

/// The media server answers just after the attempt was abandoned. The session must be released there.
#[test]
fn answer_after_abandoned_attempt_is_released() {
    let mut harness = Harness::with_settings(1, &TestSettings { effect: "once", ..TestSettings::default() });
    let (mut client, mut offered) = harness.start_set_up(1);
    harness.advance_ms(1_000);
    let frames = client.receive_frames();
    assert_eq!((frames.len(), frames[0].kind), (1, 12));
    offered.connection.accept(1);
    harness.run_until("the release at the media server", |h| h.servers[0].received("end").len() == 2);
}

/// The endpoint list removes a media server while the release of its last session is queued for a connection.
#[test]
fn removed_server_receives_pending_release() {
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

/// A retry of a keyed class is queued for a connection that is established after the key window. The retry must not be
/// sent, as the media server would execute it a second time.
#[test]
fn retry_is_not_sent_after_key_window() {
    for (delay_ms, expected_offers) in [(50, 1), (250, 0)] {
        let settings = TestSettings {
            effect: "by_key",
            key_window_ms: Some(300),
            latency_objective_ms: 2_000,
            ..TestSettings::default()
        };
        let mut harness = Harness::with_settings(2, &settings);
        let (client, mut offered) = harness.start_set_up(1);
        harness.advance_ms(100);
        offered.connection.end(1, 47);
        // Starts the further attempt and its connect, whose result is handled only in a later iteration.
        harness.run_iteration();
        harness.skip(Micros(delay_ms * 1000));
        harness.settle();
        let other = &mut harness.servers[1 - offered.server];
        assert_eq!(other.received("offer").len(), expected_offers, "after {delay_ms} ms more");
        drop(client);
    }
}
