//! The shutdown of the front node, and what crosses it.

use std::sync::mpsc;

use beechloft::api::Micros;
use beechloft_event_loop::TurnPhase;

use crate::support::configuration::TestSettings;
use crate::support::manual::{Client, Harness, ServerConnection, UnreachableSession};
use crate::support::messages::{encode, final_answers, release, set_up, test};

/// Final answers that a client has received, on a connection that is not reset.
fn answer_count(client: &mut Client) -> usize {
    final_answers(&client.receive_frames())
}

/// SIGTERM has come, and requests were served for a while after; from here on each turn may be the last.
fn advance_to_last_turns(harness: &mut Harness) {
    harness.signals.terminate();
    harness.run_turn();
    let serve_after_sigterm = harness.event_loop.limits().serve_after_sigterm;
    harness.skip(serve_after_sigterm - Micros(1));
    harness.run_turn();
    assert!(!harness.stopped);
    harness.skip(Micros(1));
}

/// Media servers accept all set-ups, until the loop has stopped or a second has passed.
fn run_to_end(harness: &mut Harness) {
    for _ in 0..200 {
        harness.run_turn();
        for server in &mut harness.servers {
            server.poll();
            server.connections.iter_mut().for_each(ServerConnection::accept_all);
        }
        if harness.stopped {
            return;
        }
        harness.skip(Micros(5_000));
    }
}

#[test]
fn set_ups_in_the_listen_queue_at_the_shutdown_are_answered() {
    let mut harness = Harness::new(2);
    advance_to_last_turns(&mut harness);
    let mut clients: Vec<Client> = (0..100).map(|_| Client::connect(harness.addr)).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&set_up(1 + number as u64, 3_000));
    }
    run_to_end(&mut harness);
    assert!(harness.stopped);
    let unanswered = clients.iter_mut().filter_map(|c| (answer_count(c) != 1).then_some(())).count();
    assert_eq!(unanswered, 0, "of {}", clients.len());
}

#[test]
fn a_set_up_at_any_phase_of_the_last_turns_is_answered_or_finds_its_connection_closed() {
    for phase in [
        TurnPhase::SocketsPolled,
        TurnPhase::ServersHandled,
        TurnPhase::ViewersHandled,
        TurnPhase::TimeoutsHandled,
    ] {
        for after in 0..4 {
            let mut harness = Harness::new(2);
            let mut waiting = Some(harness.connect_client());
            advance_to_last_turns(&mut harness);
            let (report, reported) = mpsc::channel();
            let mut turns = 0;
            harness.event_loop.on_phase_end(move |ended_phase| {
                if ended_phase != phase {
                    return;
                }
                turns += 1;
                if turns > after
                    && let Some(mut client) = waiting.take()
                {
                    // A client that has seen its connection's end sends nothing.
                    let closed = client.is_closed();
                    if !closed {
                        client.send(&set_up(1, 3_000));
                    }
                    report.send((client, closed)).expect("received");
                }
            });
            run_to_end(&mut harness);
            assert!(harness.stopped, "{phase:?} {after}");
            if let Ok((mut client, false)) = reported.try_recv() {
                assert_eq!(answer_count(&mut client), 1, "{phase:?}, {after} turns later");
            }
        }
    }
}

#[test]
fn messages_after_the_last_answer_do_not_destroy_it() {
    let mut harness = Harness::new(1);
    let (mut client, mut offered) = harness.start_set_up(1);
    advance_to_last_turns(&mut harness);
    offered.connection.accept(1);
    // Half a message, which nobody will ever read to its end.
    client.send_bytes(&encode(&[set_up(2, 3_000)])[..30]);
    run_to_end(&mut harness);
    assert!(harness.stopped);
    drop(harness);
    assert_eq!(answer_count(&mut client), 1);
}

/// The end of a session waits for a connection that is not established yet, and nothing else is left to be done: the front
/// node waits for it.
#[test]
fn pending_lines_to_media_servers_are_sent_before_the_shutdown_ends() {
    let UnreachableSession { mut harness, mut client, filler } = Harness::with_unreachable_session();
    advance_to_last_turns(&mut harness);
    client.send(&release(1));
    client.close();
    harness.settle();
    assert!(!harness.stopped, "the session remains at its media server");
    harness.servers[0].drop_queued_connection();
    drop(filler);
    harness.advance_ms(1_500);
    harness.run_until_end_received();
    run_to_end(&mut harness);
    assert!(harness.stopped);
}

/// SIGKILL comes the longest deadline, counted as 3 s where longer, and 0.7 s after SIGTERM: by then everything is answered,
/// whatever the deadline, and the front node has stopped by itself.
#[test]
fn everything_is_answered_before_sigkill() {
    for (deadline_ms, aim_ms) in [(200, 150), (1_500, 300), (4_000, 800), (20_000, 20_000)] {
        let mut harness =
            Harness::with_settings(1, &TestSettings { deadline_ms, aim_ms, ..TestSettings::default() });
        let killed_after_ms = deadline_ms.min(3_000) + 700;
        let mut before = harness.connect_client();
        before.send(&set_up(1, deadline_ms));
        harness.settle();
        harness.signals.terminate();
        harness.run_turn();
        harness.advance_ms(600);
        // The last that may come, to media servers that never answer.
        let mut late = harness.connect_client();
        late.send(&set_up(2, deadline_ms));
        harness.settle();
        let mut elapsed_ms = 600;
        while !harness.stopped && elapsed_ms < killed_after_ms {
            harness.advance_ms(25);
            elapsed_ms += 25;
        }
        assert!(harness.stopped, "deadline {deadline_ms} ms: still running at SIGKILL");
        assert_eq!((answer_count(&mut before), answer_count(&mut late)), (1, 1), "deadline {deadline_ms} ms");
    }
}

#[test]
fn repeated_sigterm_and_sighup_shut_down_once_with_everything_answered() {
    let mut harness = Harness::new(1);
    let (mut client, mut offered) = harness.start_set_up(1);
    harness.signals.terminate();
    harness.signals.reload();
    harness.signals.terminate();
    // All in one turn: the signals, the answer, another set-up and a test.
    offered.connection.accept(1);
    client.send_bytes(&encode(&[set_up(2, 3_000), test(9)]));
    harness.run_turn();
    harness.signals.terminate();
    advance_to_last_turns(&mut harness);
    run_to_end(&mut harness);
    assert!(harness.stopped);
    assert_eq!(answer_count(&mut client), 2);
}
