//! Order of the phases in one iteration of the loop.

use std::sync::mpsc;

use beechloft::api::Micros;
use beechloft_event_loop::IterationPhase;

use crate::support::manual::{Client, Harness, Received};
use crate::support::messages::{kinds, release, test};

const PHASES: [IterationPhase; 4] = [
    IterationPhase::SocketsPolled,
    IterationPhase::ServersHandled,
    IterationPhase::ViewersHandled,
    IterationPhase::TimeoutsHandled,
];

#[test]
fn runs_each_phase_once_and_in_order() {
    let mut harness = Harness::new(1);
    let (report, reported) = mpsc::channel();
    harness.event_loop.on_phase_end(move |phase| report.send(phase).expect("receiver dropped"));
    for _ in 0..3 {
        harness.run_iteration();
        assert_eq!(reported.try_iter().collect::<Vec<_>>(), PHASES);
    }
}

/// Returns the types of the messages that a client has received since the last call, and whether its connection is
/// closed.
fn received(client: &mut Client) -> (Vec<u8>, bool) {
    let Received { frames, closed } = client.receive().expect("connection reset");
    (kinds(&frames), closed)
}

/// All events are in the kernel's buffers before one iteration. The messages that each client has received after each
/// phase show the order: the answer of a media server, then the message of a viewer, then the sweep of idle
/// connections.
#[test]
fn handles_servers_then_viewers_then_timeouts() {
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
        report.send(seen).expect("receiver dropped");
    });
    harness.run_iteration();
    let nothing = (vec![], false);
    let expected = [
        (IterationPhase::SocketsPolled, nothing.clone(), nothing.clone(), nothing.clone()),
        (IterationPhase::ServersHandled, (vec![9], false), nothing.clone(), nothing.clone()),
        (IterationPhase::ViewersHandled, nothing.clone(), (vec![53], false), nothing.clone()),
        (IterationPhase::TimeoutsHandled, nothing.clone(), nothing.clone(), (vec![], true)),
    ];
    assert_eq!(reported.try_iter().collect::<Vec<_>>(), expected);
}

/// The withdrawal of a client is handled before the error of its media server in the same iteration. The shutdown is
/// last.
#[test]
fn handles_withdrawals_first_and_shutdown_last() {
    let mut harness = Harness::new(2);
    let (mut client, mut offered) = harness.start_set_up(1);
    offered.connection.end(1, 47);
    client.send(&release(1));
    let (report, reported) = mpsc::channel();
    harness.event_loop.on_phase_end(move |phase| {
        report.send((phase, received(&mut client))).expect("receiver dropped");
    });
    harness.run_iteration();
    let first: Vec<_> = reported.try_iter().collect();
    assert_eq!(first[0], (IterationPhase::SocketsPolled, (vec![], false)));
    assert_eq!(first[1], (IterationPhase::ServersHandled, (vec![16], false)));
    assert_eq!(harness.offer_count(), 1, "a further attempt was started");

    // Nothing is pending, so the iteration that may stop serving closes the connection after its last phase.
    harness.signals.terminate();
    harness.run_iteration();
    let serve_after_sigterm = harness.event_loop.limits().serve_after_sigterm;
    harness.skip(serve_after_sigterm);
    let _ = reported.try_iter().count();
    harness.run_iteration();
    let last: Vec<_> = reported.try_iter().collect();
    assert_eq!(
        last[3],
        (IterationPhase::TimeoutsHandled, (vec![], false)),
        "the connection was closed before the shutdown phase"
    );
    assert!(std::net::TcpStream::connect(harness.addr).is_err(), "the listener is still open");
}
