//! The order of the phases in one turn of the loop.

use std::sync::mpsc;

use beechloft::api::Micros;
use beechloft_event_loop::TurnPhase;

use crate::stage::{Client, Stage, test};

const PHASES: [TurnPhase; 4] = [
    TurnPhase::SocketsPolled,
    TurnPhase::ServersHandled,
    TurnPhase::ViewersHandled,
    TurnPhase::TimeoutsHandled,
];

#[test]
fn each_turn_passes_its_phases_once_and_in_order() {
    let mut stage = Stage::new(1);
    let (report, reported) = mpsc::channel();
    stage.shell.on_phase_end(move |moment| report.send(moment).expect("the test still listens"));
    for _ in 0..3 {
        stage.turn();
        assert_eq!(reported.try_iter().collect::<Vec<_>>(), PHASES);
    }
}

/// Types of the messages that a client has received since it last looked, and whether its connection has ended.
fn received(client: &mut Client) -> (Vec<u8>, bool) {
    let (frames, ended) = client.hear().expect("no reset");
    (frames.iter().map(|frame| frame.kind).collect(), ended)
}

/// All events are in the kernel's buffers before one turn. What each client has received by each phase shows the order:
/// a media server's answer before a viewer's message, and that before the sweep of idle connections.
#[test]
fn a_turn_handles_media_servers_then_viewers_messages_then_idle_connections() {
    let mut stage = Stage::new(1);
    let mut idle = stage.client();
    stage.pass(1_775);
    let (mut waiting, _, mut line) = stage.asked(1);
    let mut testing = stage.client();
    stage.now = stage.now + Micros(200_000);
    line.accept(1);
    testing.say(&test(7));
    let (report, reported) = mpsc::channel();
    stage.shell.on_phase_end(move |moment| {
        let seen = (moment, received(&mut waiting), received(&mut testing), received(&mut idle));
        report.send(seen).expect("the test still listens");
    });
    stage.turn();
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
    let mut stage = Stage::new(2);
    let (mut client, _, mut line) = stage.asked(1);
    line.end(1, 47);
    client.say(&crate::stage::cancel(1));
    let (report, reported) = mpsc::channel();
    stage.shell.on_phase_end(move |moment| {
        report.send((moment, received(&mut client))).expect("the test still listens");
    });
    stage.turn();
    let acknowledged: Vec<_> = reported.try_iter().collect();
    assert_eq!(acknowledged[0], (TurnPhase::SocketsPolled, (vec![], false)));
    assert_eq!(acknowledged[1], (TurnPhase::ServersHandled, (vec![16], false)));
    assert_eq!(stage.offers(), 1, "a further attempt was begun");

    // Nobody is owed anything: the turn that may end serving ends the connection after its last phase.
    stage.control.terminate();
    stage.turn();
    let serve_on = stage.shell.limits().serve_after_sigterm;
    stage.now = stage.now + serve_on;
    let _ = reported.try_iter().count();
    stage.turn();
    let last: Vec<_> = reported.try_iter().collect();
    assert_eq!(
        last[3],
        (TurnPhase::TimeoutsHandled, (vec![], false)),
        "the connection ended before the shutdown's phase"
    );
    assert!(std::net::TcpStream::connect(stage.addr).is_err(), "the listener is still open");
}
