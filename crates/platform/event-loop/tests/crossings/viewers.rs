//! Clients that disconnect or withdraw their set-ups while the front node handles them.

use std::sync::mpsc;

use beechloft::api::Micros;
use beechloft_event_loop::IterationPhase;
use beechloft_event_loop::limits::RESERVED_DESCRIPTORS;

use crate::support::configuration::TestSettings;
use crate::support::manual::{Client, Harness, Received, SocketState};
use crate::support::messages::{encode, final_answers, release, set_up, test};

/// One of two media servers refuses a set-up, and the client disconnects before the front node reads the refusal. No
/// further attempt may start.
fn disconnect_before_error_is_read(disconnect: impl FnOnce(Client)) {
    let mut harness = Harness::new(2);
    let (client, mut offered) = harness.start_set_up(1);
    offered.connection.end(1, 47);
    disconnect(client);
    harness.settle();
    harness.advance_ms(500);
    assert_eq!(harness.offer_count(), 1, "a further attempt was started");
}

#[test]
fn no_retry_after_client_close() {
    disconnect_before_error_is_read(Client::close);
}

#[test]
fn no_retry_after_client_reset() {
    disconnect_before_error_is_read(Client::reset);
}

#[test]
fn no_retry_after_withdrawal() {
    disconnect_before_error_is_read(|mut client| {
        client.send(&release(1));
        // The connection stays open for other sessions.
        std::mem::forget(client);
    });
}

#[test]
fn no_retry_after_withdrawal_behind_other_messages() {
    disconnect_before_error_is_read(|mut client| {
        let mut all: Vec<_> = (100..140).map(test).collect();
        all.push(release(1));
        client.send_bytes(&encode(&all));
        std::mem::forget(client);
    });
}

#[test]
fn no_retry_after_client_close_behind_unread_messages() {
    disconnect_before_error_is_read(|mut client| {
        // These are more bytes than one connection reads ahead.
        let all: Vec<_> = (1_000..1_600).map(|id| set_up(id, 3_000)).collect();
        client.send_bytes(&encode(&all));
        client.close();
    });
}

/// The client closes its connection after the poll of the iteration that reads the refusal.
#[test]
fn no_retry_after_client_close_during_iteration() {
    let mut harness = Harness::new(2);
    // Both media servers have an idle connection, so that a further attempt would be sent immediately.
    harness.warm_up_connections();
    let before = harness.offer_count();
    let (client, mut offered) = harness.start_set_up(1);
    offered.connection.end(1, 47);
    let mut disconnecting = Some(client);
    harness.event_loop.on_phase_end(move |phase| {
        if phase == IterationPhase::SocketsPolled
            && let Some(to_disconnect) = disconnecting.take()
        {
            to_disconnect.close();
        }
    });
    harness.settle();
    assert_eq!(harness.offer_count(), before + 1, "a further attempt was started");
}

#[test]
fn no_attempt_for_set_up_received_with_its_release() {
    let mut harness = Harness::new(1);
    let mut closing = harness.connect_client();
    closing.send(&set_up(1, 3_000));
    closing.close();
    let mut client = harness.connect_client();
    client.send_bytes(&encode(&[set_up(2, 3_000), release(2), set_up(3, 3_000)]));
    let mut offered = harness.wait_for_offer(3);
    offered.connection.accept(3);
    harness.settle();
    assert_eq!(harness.offer_count(), 1);
    let Received { frames, closed } = client.receive().expect("connection reset");
    let answers: Vec<_> = frames.iter().map(|frame| (frame.kind, frame.id.0)).collect();
    assert_eq!((answers, closed), (vec![(16, 2), (9, 3)], false));
}

/// A set-up is queued for a connection that is established only after the client has disconnected or withdrawn the
/// set-up. An unsent set-up is dropped whether or not the settings allow to cancel sent ones.
#[test]
fn queued_set_up_is_dropped_after_client_disconnect() {
    for (cancel, closes) in [(true, true), (true, false), (false, true), (false, false)] {
        let mut harness = Harness::with_settings(1, &TestSettings { cancel, ..TestSettings::default() });
        let mut client = harness.connect_client();
        client.send(&set_up(1, 3_000));
        // Reads the set-up and starts a connect.
        harness.run_iteration();
        if closes {
            client.close();
        } else {
            client.send(&release(1));
            std::mem::forget(client);
        }
        harness.run_until("the connection", |h| {
            h.servers[0].poll();
            !h.servers[0].connections.is_empty()
        });
        harness.settle();
        assert_eq!(harness.offer_count(), 0, "cancel allowed: {cancel}, client closes: {closes}");
    }
}

/// The answer of a media server and the disconnect of the client arrive at the same time. No session may remain.
#[test]
fn answer_concurrent_with_client_disconnect_leaves_no_session() {
    for how in 0..3 {
        let mut harness = Harness::new(1);
        let (mut client, mut offered) = harness.start_set_up(1);
        offered.connection.accept(1);
        match how {
            0 => client.close(),
            1 => client.reset(),
            _ => {
                client.send(&release(1));
                std::mem::forget(client);
            }
        }
        // The session is released twice if its withdrawal is sent before its answer is read.
        harness.run_until("the release of the session", |h| !h.servers[0].received("end").is_empty());
        assert!(harness.servers[0].received("end").iter().all(|e| e["why"] == 16));
        harness.settle();
        assert_eq!(harness.event_loop.counts().established, 0);
    }
}

/// Session 1 is established. The answer for session 2 arrives, and the client disconnects after the poll of the
/// iteration that reads it. Only session 2 must be released, as its answer was not sent.
fn disconnect_before_answer_is_sent(disconnect: impl Fn(Client) + Send + 'static) {
    let mut harness = Harness::new(1);
    let (mut client, mut offered) = harness.start_set_up(1);
    offered.connection.accept(1);
    harness.settle();
    assert_eq!(client.receive_frames().len(), 1);
    client.send(&set_up(2, 3_000));
    let mut second = harness.wait_for_offer(2);
    second.connection.accept(2);
    let mut disconnecting = Some(client);
    harness.event_loop.on_phase_end(move |phase| {
        if phase == IterationPhase::SocketsPolled
            && let Some(to_disconnect) = disconnecting.take()
        {
            disconnect(to_disconnect);
        }
    });
    harness.run_until("the release of the second session", |h| !h.servers[0].received("end").is_empty());
    let ends = harness.servers[0].received("end");
    assert_eq!((ends.len(), &ends[0]["call"]), (1, &"0000000000000002".into()));
}

#[test]
fn client_reset_ends_only_session_with_unsent_answer() {
    disconnect_before_answer_is_sent(Client::reset);
}

#[test]
fn client_close_ends_only_session_with_unsent_answer() {
    disconnect_before_answer_is_sent(Client::close);
}

/// The client has sent malformed bytes that are not all read. The close of the connection must not cause a reset, which
/// would destroy the previous answer.
#[test]
fn malformed_bytes_do_not_destroy_earlier_answers() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect_client();
    let malformed = vec![0xee; 40_000];
    client.send_bytes(&[encode(&[test(7)]), malformed].concat());
    harness.settle();
    let Received { frames, closed } = client.receive().expect("connection reset");
    assert_eq!((frames.len(), frames[0].kind, closed), (1, 53, true));
}

/// A set-up arrives at the time at which its connection reaches the idle timeout.
#[test]
fn set_up_concurrent_with_idle_timeout_is_served() {
    let mut harness = Harness::new(1);
    let mut idle = Some(harness.connect_client());
    harness.advance_ms(1_775);
    harness.skip(Micros(200_000));
    let (requested, request) = mpsc::channel();
    harness.event_loop.on_phase_end(move |phase| {
        if phase == IterationPhase::ViewersHandled
            && let Some(mut client) = idle.take()
        {
            client.send(&set_up(1, 3_000));
            requested.send(client).expect("receiver dropped");
        }
    });
    let mut offered = harness.wait_for_offer(1);
    offered.connection.accept(1);
    harness.settle();
    let mut client = request.recv().expect("no request was sent");
    assert_eq!(client.receive_frames()[0].kind, 9);
}

#[test]
fn set_up_concurrent_with_eviction_is_served() {
    let mut harness = Harness::with_settings(1, &TestSettings { sockets: 64, ..TestSettings::default() });
    let capacity = harness.event_loop.limits().max_viewer_connections;
    let mut oldest = harness.connect_client();
    let mut others: Vec<Client> = (1..capacity).map(|_| harness.connect_client()).collect();
    // A connection beyond the capacity arrives before the front node has read the set-up of the oldest.
    oldest.send(&set_up(1, 3_000));
    let newest = Client::connect(harness.addr);
    let mut offered = harness.wait_for_offer(1);
    offered.connection.accept(1);
    harness.settle();
    assert_eq!(oldest.receive_frames()[0].kind, 9);
    let closed =
        others.iter_mut().map(|c| c.receive().is_ok_and(|r| r.closed)).filter(|closed| *closed).count();
    assert_eq!(closed, 1);
    drop(newest);
}

/// If all connections within the capacity wait for answers, further connections wait for capacity and are then answered.
#[test]
fn connection_beyond_capacity_waits_and_is_answered() {
    let mut harness = Harness::with_settings(1, &TestSettings { sockets: 64, ..TestSettings::default() });
    let capacity = harness.event_loop.limits().max_viewer_connections;
    let mut clients = Vec::new();
    for id in 1..=capacity as u64 {
        let mut client = harness.connect_client();
        client.send(&set_up(id, 3_000));
        clients.push(client);
        harness.settle();
    }
    // Connections whose set-ups the policy has refused can be evicted for other set-ups.
    harness.servers[0].poll();
    assert!(!harness.servers[0].connections.is_empty());
    let mut further: Vec<Client> = (0..capacity).map(|_| Client::connect(harness.addr)).collect();
    for (number, client) in further.iter_mut().enumerate() {
        client.send(&set_up(1_000 + number as u64, 3_000));
    }
    harness.settle();
    harness.advance_ms(4_000);
    for client in &mut further {
        assert_eq!(final_answers(&client.receive_frames()), 1, "each client gets one answer");
    }
}

/// Connections with an incomplete set-up are closed in time, even if single bytes keep arriving. A set-up that arrives
/// slowly is answered.
#[test]
fn slow_clients_have_bounded_time() {
    let mut harness = Harness::new(1);
    let complete = encode(&[set_up(1, 3_000)]);
    let mut partial = harness.connect_client();
    partial.send_bytes(&complete[..20]);
    let mut trickling = harness.connect_client();
    let mut slow = harness.connect_client();
    let mut sent = 0;
    for tick in 0..25 {
        if tick % 10 == 0 && trickling.state_at_front() != SocketState::Absent {
            trickling.send_bytes(&complete[tick / 10..=tick / 10]);
        }
        let until = complete.len() * (tick + 1) / 25;
        if until > sent {
            slow.send_bytes(&complete[sent..until]);
            sent = until;
        }
        harness.advance_ms(100);
    }
    let mut offered = harness.wait_for_offer(1);
    offered.connection.accept(1);
    harness.settle();
    assert_eq!(slow.receive_frames()[0].kind, 9);
    harness.advance_ms(450);
    for client in [&mut partial, &mut trickling] {
        assert!(client.is_closed(), "the connection is still open after 3 s");
    }
}

/// Idle clients open more connections than there are file descriptors while the event bus is down. Their share of the
/// descriptors is limited, so that the event bus is requested again and an active client is served.
#[test]
fn idle_clients_do_not_exhaust_descriptors() {
    let mut harness = Harness::with_settings(1, &TestSettings { sockets: 64, ..TestSettings::default() });
    harness.disconnect_event_bus();
    let mut idle: Vec<Client> = (0..100).map(|_| Client::connect(harness.addr)).collect();
    harness.settle();
    let open = idle.iter_mut().map(|c| c.receive().is_ok_and(|r| !r.closed)).filter(|open| *open).count();
    let limits = harness.event_loop.limits();
    assert!(open <= limits.max_viewer_connections, "{open} of {}", limits.max_viewer_connections);
    assert!(limits.max_viewer_connections + limits.max_server_connections + RESERVED_DESCRIPTORS <= 64);
    let (mut active, mut offered) = harness.start_set_up(1);
    offered.connection.accept(1);
    harness.settle();
    assert_eq!(active.receive_frames()[0].kind, 9);
    harness.advance_ms(500);
    harness.disconnect_event_bus();
}
