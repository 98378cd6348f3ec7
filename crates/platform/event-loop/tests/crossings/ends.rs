//! The end of the front node, and what crosses it.

use std::sync::mpsc;

use beechloft::api::Micros;
use beechloft_event_loop::TurnPhase;

use crate::stage::{Client, Stage, Terms, bytes, set_up, test};

/// What a client has got, in the end: final answers, and whether its connection came to a sound end.
fn answers(client: &mut Client) -> usize {
    let (heard, _) = client.hear().expect("no reset");
    heard.iter().filter(|f| matches!(f.kind, 9 | 12)).count()
}

/// The front node is told to end and has served on; from here each turn may be its last.
fn about_to_end(stage: &mut Stage) {
    stage.control.terminate();
    stage.turn();
    let on = stage.shell.limits().serve_after_sigterm;
    stage.now = stage.now + Micros(on.0 - 1);
    stage.turn();
    assert!(!stage.ended);
    stage.now = stage.now + Micros(1);
}

/// Media servers accept whatever is out, until the front node has ended or there is nothing more.
fn play_out(stage: &mut Stage) {
    for _ in 0..200 {
        stage.turn();
        for media in &mut stage.media {
            media.poll();
            media.conns.iter_mut().for_each(crate::stage::Line::answer_all);
        }
        if stage.ended {
            return;
        }
        stage.now = stage.now + Micros(5_000);
    }
}

#[test]
fn set_ups_that_wait_in_the_listener_at_the_end_are_answered() {
    let mut stage = Stage::new(2);
    about_to_end(&mut stage);
    let mut clients: Vec<Client> = (0..100).map(|_| Client::connect(stage.addr)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.say(&set_up(1 + n as u64, 3_000));
    }
    play_out(&mut stage);
    assert!(stage.ended);
    let unanswered = clients.iter_mut().filter_map(|c| (answers(c) != 1).then_some(())).count();
    assert_eq!(unanswered, 0, "of {}", clients.len());
}

#[test]
fn a_set_up_that_comes_at_each_moment_of_the_last_turns_is_answered_or_its_connection_ended_before() {
    for moment in [
        TurnPhase::SocketsPolled,
        TurnPhase::ServersHandled,
        TurnPhase::ViewersHandled,
        TurnPhase::TimeoutsHandled,
    ] {
        for after in 0..4 {
            let mut stage = Stage::new(2);
            let mut client = Some(stage.client());
            about_to_end(&mut stage);
            let (give, given) = mpsc::channel();
            let mut turns = 0;
            stage.shell.on_phase_end(move |at| {
                if at != moment {
                    return;
                }
                turns += 1;
                if turns > after
                    && let Some(mut client) = client.take()
                {
                    // An end that is here already is seen by the client first.
                    let ended = client.hear().map_or(true, |h| h.1);
                    if !ended {
                        client.say(&set_up(1, 3_000));
                    }
                    give.send((client, ended)).expect("held");
                }
            });
            play_out(&mut stage);
            assert!(stage.ended, "{moment:?} {after}");
            if let Ok((mut client, false)) = given.try_recv() {
                assert_eq!(answers(&mut client), 1, "{moment:?}, {after} turns later");
            }
        }
    }
}

#[test]
fn whole_and_half_messages_behind_the_last_answer_do_not_destroy_it() {
    let mut stage = Stage::new(1);
    let (mut client, _, mut line) = stage.asked(1);
    about_to_end(&mut stage);
    line.accept(1);
    // Half a message, which nobody will ever read to its end.
    client.raw(&bytes(&[set_up(2, 3_000)])[..30]);
    play_out(&mut stage);
    assert!(stage.ended);
    drop(stage);
    assert_eq!(answers(&mut client), 1);
}

/// The end of a session waits for a connection that is not up yet, and nothing else is left to be done: the front node waits
/// for it.
#[test]
fn what_media_servers_are_owed_leaves_before_the_end() {
    let (mut stage, mut client, filler) = Stage::standing_out_of_reach();
    about_to_end(&mut stage);
    client.say(&crate::stage::cancel(1));
    client.close();
    stage.settle();
    assert!(!stage.ended, "the session is left standing");
    stage.media[0].empty();
    drop(filler);
    stage.pass(1_500);
    stage.turns_until("the end is said", |s| s.media[0].heard("end").len() == 1);
    play_out(&mut stage);
    assert!(stage.ended);
}

/// SIGKILL comes the longest deadline, counted as 3 s where longer, and 0.7 s after SIGTERM: by then all is answered, whatever
/// the deadline, and the front node has ended by itself.
#[test]
fn all_is_answered_before_the_process_would_be_killed() {
    for (deadline_ms, aim_ms) in [(200, 150), (1_500, 300), (4_000, 800), (20_000, 20_000)] {
        let mut stage = Stage::on(1, &Terms { deadline_ms, aim_ms, ..Terms::default() });
        let killed = deadline_ms.min(3_000) + 700;
        let mut before = stage.client();
        before.say(&set_up(1, deadline_ms));
        stage.settle();
        stage.control.terminate();
        stage.turn();
        stage.pass(600);
        // The last that may come, to media servers that say nothing.
        let mut late = stage.client();
        late.say(&set_up(2, deadline_ms));
        stage.settle();
        let mut passed = 600;
        while !stage.ended && passed < killed {
            stage.pass(25);
            passed += 25;
        }
        assert!(stage.ended, "deadline {deadline_ms} ms: not ended when killed");
        assert_eq!((answers(&mut before), answers(&mut late)), (1, 1), "deadline {deadline_ms} ms");
    }
}

#[test]
fn told_to_end_twice_or_with_a_reload_it_ends_once_and_owes_nothing() {
    let mut stage = Stage::new(1);
    let (mut client, _, mut line) = stage.asked(1);
    stage.control.terminate();
    stage.control.reload();
    stage.control.terminate();
    // All in one turn: the signals, the answer, another set-up and its end.
    line.accept(1);
    client.raw(&bytes(&[set_up(2, 3_000), test(9)]));
    stage.turn();
    stage.control.terminate();
    about_to_end(&mut stage);
    play_out(&mut stage);
    assert!(stage.ended);
    assert_eq!(answers(&mut client), 2);
}
