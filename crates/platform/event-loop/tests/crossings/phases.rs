//! The order of the phases in one turn of the loop.

use std::sync::mpsc;

use beechloft::api::Micros;
use beechloft_event_loop::TurnPhase;

use crate::support::manual::{Client, Harness, Received};
use crate::support::messages::{kinds, release, test};

const PHASES: [TurnPhase; 4] = [
    TurnPhase::SocketsPolled,
    TurnPhase::ServersHandled,
    TurnPhase::ViewersHandled,
    TurnPhase::TimeoutsHandled,
];

#[test]
fn each_turn_passes_its_phases_once_and_in_order() {
    let mut harness = Harness::new(1);
    let (report, reported) = mpsc::channel();
    harness.event_loop.on_phase_end(move |phase| report.send(phase).expect("the test still listens"));
    for _ in 0..3 {
        harness.run_turn();
        assert_eq!(reported.try_iter().collect::<Vec<_>>(), PHASES);
    }
}

/// Types of the messages that a client has received since it last looked, and whether its connection has ended.
fn received(client: &mut Client) -> (Vec<u8>, bool) {
    let Received { frames, closed } = client.receive().expect("no reset");
    (kinds(&frames), closed)
}

/// All events are in the kernel's buffers before one turn. What each client has received by each phase shows the order:
/// a media server's answer before a viewer's message, and that before the sweep of idle connections.
#[test]
fn a_turn_handles_media_servers_then_viewers_messages_then_idle_connections() {
    let mut harness = Harness::new(1);
    let mut idle = harness.connect_client();
    harness.advance_ms(1_775);
    let (mut waiting, mut offered) = harness.start_set_up(1);
    let mut testing = harness.connect_client();
    harness.skip(Micros(200_000));
    offered.connection.accept(1);
    testing.send(&test(7));
    let (report, reported) = mpsc::channel();
    harness.event_loop.on_phase_end(move |phase| {
        let seen = (phase, received(&mut waiting), received(&mut testing), received(&mut idle));
        report.send(seen).expect("the test still listens");
    });
    harness.run_turn();
    let nothing = (vec![], false);
    let expected = [
        (TurnPhase::SocketsPolled, nothing.clone(), nothing.clone(), nothing.clone()),
        (TurnPhase::ServersHandled, (vec![9], false), nothing.clone(), nothing.clone()),
        (TurnPhase::ViewersHandled, nothing.clone(), (vec![53], false), nothing.clone()),
        (TurnPhase::TimeoutsHandled, nothing.clone(), nothing.clone(), (vec![], true)),
    ];
    assert_eq!(reported.try_iter().collect::<Vec<_>>(), expected);
}

/// A client's withdrawal is handled before its media server's error in the same turn, and the shutdown comes last.
#[test]
fn a_turn_handles_withdrawals_before_media_servers_and_the_shutdown_last() {
    let mut harness = Harness::new(2);
    let (mut client, mut offered) = harness.start_set_up(1);
    offered.connection.end(1, 47);
    client.send(&release(1));
    let (report, reported) = mpsc::channel();
    harness.event_loop.on_phase_end(move |phase| {
        report.send((phase, received(&mut client))).expect("the test still listens");
    });
    harness.run_turn();
    let acknowledged: Vec<_> = reported.try_iter().collect();
    assert_eq!(acknowledged[0], (TurnPhase::SocketsPolled, (vec![], false)));
    assert_eq!(acknowledged[1], (TurnPhase::ServersHandled, (vec![16], false)));
    assert_eq!(harness.offer_count(), 1, "a further attempt was begun");

    // Nothing is pending: the turn that may stop serving closes the connection after its last phase.
    harness.signals.terminate();
    harness.run_turn();
    let serve_on = harness.event_loop.limits().serve_after_sigterm;
    harness.skip(serve_on);
    let _ = reported.try_iter().count();
    harness.run_turn();
    let last: Vec<_> = reported.try_iter().collect();
    assert_eq!(
        last[3],
        (TurnPhase::TimeoutsHandled, (vec![], false)),
        "the connection ended before the shutdown's phase"
    );
    assert!(std::net::TcpStream::connect(harness.addr).is_err(), "the listener is still open");
}
