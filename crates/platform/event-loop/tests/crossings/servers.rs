//! Connections to media servers that end, break or never come up at the wrong instant.

use std::sync::mpsc;

use beechloft_event_loop::TurnPhase;
use serde_json::json;

use crate::stage::{Stage, Terms, cancel, set_up};

/// A connection that carried a session before and is idle now.
fn idle_connection(stage: &mut Stage) -> (crate::stage::Client, crate::stage::Line) {
    let (mut client, _, mut line) = stage.asked(1);
    line.accept(1);
    stage.settle();
    line.end(1, 16);
    stage.settle();
    assert_eq!(client.hear().expect("no reset").0.len(), 2);
    (client, line)
}

/// The media server closes an idle connection at the instant at which a set-up is to leave on it: the set-up goes on another,
/// and counts as never sent on the first. Without that, a class that may not be repeated loses it.
#[test]
fn a_set_up_does_not_leave_on_a_connection_whose_end_is_here() {
    let mut stage = Stage::on(1, &Terms { effect: "once", ..Terms::default() });
    let (mut client, mut line) = idle_connection(&mut stage);
    client.say(&set_up(2, 3_000));
    let (give, given) = mpsc::channel();
    let mut once = Some(());
    let mut ending = line.clone();
    stage.shell.on_phase_end(move |moment| {
        // Media servers have been read in this turn.
        if moment == TurnPhase::ServersHandled && once.take().is_some() {
            ending.shut();
            give.send(()).expect("held");
        }
    });
    let (_, mut other) = stage.offered(2);
    given.recv().expect("it was closed");
    line.poll_all();
    assert!(!line.has_offer(2), "it left on the connection that had ended");
    other.accept(2);
    stage.settle();
    let (heard, _) = client.hear().expect("no reset");
    assert_eq!(heard.iter().map(|f| f.kind).collect::<Vec<_>>(), [9]);
}

/// The end of a session waits for a connection that never comes up: it is said on the next that does.
#[test]
fn the_end_of_a_session_outlives_a_connection_that_never_comes_up() {
    let (mut stage, mut client, filler) = Stage::standing_out_of_reach();
    client.say(&cancel(1));
    stage.settle();
    // Past the time that a connection has to come up.
    stage.pass(400);
    stage.media[0].empty();
    drop(filler);
    stage.pass(1_500);
    stage.turns_until("the end is said", |s| s.media[0].heard("end").len() == 1);
    assert_eq!(stage.media[0].heard("end")[0]["call"], "0000000000000001");
}

/// An answer that breaks off in the middle; the rest and a second one come on other connections: one answer to the viewer, and
/// nothing left standing.
#[test]
fn an_answer_that_breaks_off_costs_its_attempt_alone() {
    let mut stage = Stage::new(2);
    let (mut client, first, mut line) = stage.asked(1);
    line.raw(br#"{"op":"accept","call":"00000000"#);
    line.shut();
    stage.settle();
    let (second, mut other) = stage.offered_elsewhere(1, first);
    assert_ne!(first, second);
    other.accept(1);
    other.accept(1);
    stage.settle();
    let (heard, ended) = client.hear().expect("no reset");
    assert_eq!((heard.len(), heard[0].kind, ended), (1, 9, false));
}

/// The answer comes in the instant of the time-out, before it and after it.
#[test]
fn an_answer_in_the_instant_of_the_time_out_is_one_answer() {
    for late_ms in [0, 25, 50] {
        let mut stage = Stage::on(1, &Terms { effect: "once", attempts: 1, ..Terms::default() });
        let (mut client, _, mut line) = stage.asked(1);
        // The only attempt's time is the aim, from when it was asked for.
        stage.pass(775);
        stage.now = stage.now + beechloft::api::Micros(25_000 + late_ms * 1000);
        line.accept(1);
        stage.settle();
        stage.pass(200);
        let (heard, _) = client.hear().expect("no reset");
        assert_eq!(heard.len(), 1, "{late_ms} ms late: {heard:?}");
        let ends = stage.media[0].heard("end").len();
        assert_eq!(
            ends,
            usize::from(heard[0].kind != 9),
            "{late_ms} ms late: what stands is what was answered"
        );
    }
}

/// An answer for a session that was given up an instant earlier is released at its media server.
#[test]
fn an_answer_for_a_session_given_up_an_instant_before_leaves_nothing_standing() {
    let mut stage = Stage::on(1, &Terms { effect: "once", ..Terms::default() });
    let (mut client, _, mut line) = stage.asked(1);
    stage.pass(1_000);
    let (heard, _) = client.hear().expect("no reset");
    assert_eq!((heard.len(), heard[0].kind), (1, 12));
    line.accept(1);
    stage.turns_until("it is released there", |s| s.media[0].heard("end").len() == 2);
}

/// The list takes a media server off while the end of its last session waits for a connection.
#[test]
fn a_server_that_leaves_the_list_still_hears_the_end_of_its_session() {
    let mut stage = Stage::new(1);
    let (mut client, _, mut line) = stage.asked(1);
    line.accept(1);
    stage.settle();
    assert_eq!(client.hear().expect("no reset").0[0].kind, 9);
    line.shut();
    stage.media[0].conns.clear();
    stage.settle();
    stage.media[0].poll();
    stage.media[0].conns.clear();
    let addr = stage.media[0].addr.to_string();
    client.say(&cancel(1));
    stage.tell_bus(&json!([{"name": "s-00000000", "address": addr, "zone": "a", "type": "small", "group": 0,
        "status": "Gone", "weight": 1, "since_ms": 0}]));
    stage.turns_until("the end is said", |s| s.media[0].heard("end").len() == 1);
}

/// A repeat of a keyed class waits for a connection, which comes up when the window is over: it would run a second time.
#[test]
fn a_repeat_does_not_leave_once_its_window_is_over() {
    for (waits_ms, sent) in [(50, 1), (250, 0)] {
        let terms = Terms { effect: "by_key", window_ms: 300, aim_ms: 2_000, ..Terms::default() };
        let mut stage = Stage::on(2, &terms);
        let (client, first, mut line) = stage.asked(1);
        stage.pass(100);
        line.end(1, 47);
        // The further attempt is begun, and its connection too; the connection is seen to be up only later.
        stage.turn();
        stage.now = stage.now + beechloft::api::Micros(waits_ms * 1000);
        stage.settle();
        let other = &mut stage.media[1 - first];
        assert_eq!(other.heard("offer").len(), sent, "after {waits_ms} ms more");
        drop(client);
    }
}
