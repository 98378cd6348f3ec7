//! Events during the shutdown of the front node.

use std::sync::mpsc;

use beechloft::api::Micros;
use beechloft_event_loop::IterationPhase;

use crate::support::configuration::TestSettings;
use crate::support::manual::{Client, Harness, ServerConnection, UnreachableSession};
use crate::support::messages::{encode, final_answers, release, set_up, test};

/// Returns the number of final answers that a client has received since the last call.
fn answer_count(client: &mut Client) -> usize {
    final_answers(&client.receive_frames())
}

/// Sends SIGTERM and advances to the end of the time for which requests are served. Each iteration may then be the last.
fn advance_to_last_iterations(harness: &mut Harness) {
    harness.signals.terminate();
    harness.run_iteration();
    let serve_after_sigterm = harness.event_loop.limits().serve_after_sigterm;
    harness.skip(serve_after_sigterm - Micros(1));
    harness.run_iteration();
    assert!(!harness.stopped);
    harness.skip(Micros(1));
}

/// Runs iterations in which the media servers accept all set-ups, until the loop has stopped or a second has passed.
fn run_until_stopped(harness: &mut Harness) {
    for _ in 0..200 {
        harness.run_iteration();
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
fn shutdown_answers_set_ups_in_listen_queue() {
    let mut harness = Harness::new(2);
    advance_to_last_iterations(&mut harness);
    let mut clients: Vec<Client> = (0..100).map(|_| Client::connect(harness.addr)).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&set_up(1 + number as u64, 3_000));
    }
    run_until_stopped(&mut harness);
    assert!(harness.stopped);
    let unanswered = clients.iter_mut().filter_map(|c| (answer_count(c) != 1).then_some(())).count();
    assert_eq!(unanswered, 0, "of {}", clients.len());
}

#[test]
fn set_up_during_last_iterations_is_answered_or_connection_closed() {
    for phase in [
        IterationPhase::SocketsPolled,
        IterationPhase::ServersHandled,
        IterationPhase::ViewersHandled,
        IterationPhase::TimeoutsHandled,
    ] {
        for after in 0..4 {
            let mut harness = Harness::new(2);
            let mut waiting = Some(harness.connect_client());
            advance_to_last_iterations(&mut harness);
            let (report, reported) = mpsc::channel();
            let mut iterations = 0;
            harness.event_loop.on_phase_end(move |ended_phase| {
                if ended_phase != phase {
                    return;
                }
                iterations += 1;
                if iterations > after
                    && let Some(mut client) = waiting.take()
                {
                    // A client sends nothing on a connection that it knows to be closed.
                    let closed = client.is_closed();
                    if !closed {
                        client.send(&set_up(1, 3_000));
                    }
                    report.send((client, closed)).expect("receiver dropped");
                }
            });
            run_until_stopped(&mut harness);
            assert!(harness.stopped, "{phase:?} {after}");
            if let Ok((mut client, false)) = reported.try_recv() {
                assert_eq!(answer_count(&mut client), 1, "{phase:?}, {after} iterations later");
            }
        }
    }
}

#[test]
fn message_after_last_answer_does_not_destroy_it() {
    let mut harness = Harness::new(1);
    let (mut client, mut offered) = harness.start_set_up(1);
    advance_to_last_iterations(&mut harness);
    offered.connection.accept(1);
    // An incomplete message, which remains unread.
    client.send_bytes(&encode(&[set_up(2, 3_000)])[..30]);
    run_until_stopped(&mut harness);
    assert!(harness.stopped);
    drop(harness);
    assert_eq!(answer_count(&mut client), 1);
}

/// The release of a session is queued for a connection that is not established yet. The front node must not stop before
/// it is sent, even if no other work is left.
#[test]
fn shutdown_sends_pending_lines_to_servers() {
    let UnreachableSession { mut harness, mut client, filler } = Harness::with_unreachable_session();
    advance_to_last_iterations(&mut harness);
    client.send(&release(1));
    client.close();
    harness.settle();
    assert!(!harness.stopped, "the session remains at its media server");
    harness.servers[0].drop_queued_connection();
    drop(filler);
    harness.advance_ms(1_500);
    harness.run_until_end_received();
    run_until_stopped(&mut harness);
    assert!(harness.stopped);
}

/// SIGKILL follows SIGTERM after the longest deadline, but at most 3 s, plus 0.7 s. By then all requests must be
/// answered and the front node must have stopped, whatever the deadline is.
#[test]
fn shutdown_answers_all_requests_before_sigkill() {
    for (deadline_ms, latency_objective_ms) in [(200, 150), (1_500, 300), (4_000, 800), (20_000, 20_000)] {
        let mut harness = Harness::with_settings(
            1,
            &TestSettings { deadline_ms, latency_objective_ms, ..TestSettings::default() },
        );
        let killed_after_ms = deadline_ms.min(3_000) + 700;
        let mut before = harness.connect_client();
        before.send(&set_up(1, deadline_ms));
        harness.settle();
        harness.signals.terminate();
        harness.run_iteration();
        harness.advance_ms(600);
        // The latest possible request, to media servers that do not answer.
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
fn repeated_signals_shut_down_once() {
    let mut harness = Harness::new(1);
    let (mut client, mut offered) = harness.start_set_up(1);
    harness.signals.terminate();
    harness.signals.reload();
    harness.signals.terminate();
    // One iteration handles the signals, the answer, another set-up and a test.
    offered.connection.accept(1);
    client.send_bytes(&encode(&[set_up(2, 3_000), test(9)]));
    harness.run_iteration();
    harness.signals.terminate();
    advance_to_last_iterations(&mut harness);
    run_until_stopped(&mut harness);
    assert!(harness.stopped);
    assert_eq!(answer_count(&mut client), 2);
}
