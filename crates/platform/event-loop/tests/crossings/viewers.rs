//! Clients that go, or withdraw their set-ups, while the front node works for them.

use std::sync::mpsc;

use beechloft::api::Micros;
use beechloft_event_loop::TurnPhase;
use beechloft_event_loop::limits::RESERVED_DESCRIPTORS;

use crate::support::configuration::TestSettings;
use crate::support::manual::{Client, Harness, Received, SocketState};
use crate::support::messages::{encode, final_answers, release, set_up, test};

/// One of two media servers refuses a set-up; before the front node reads that, the client leaves. No further attempt may begin.
fn leave_before_the_error_is_read(leave: impl FnOnce(Client)) {
    let mut harness = Harness::new(2);
    let (client, mut offered) = harness.start_set_up(1);
    offered.connection.end(1, 47);
    leave(client);
    harness.settle();
    harness.advance_ms(500);
    assert_eq!(harness.offer_count(), 1, "a further attempt was begun");
}

#[test]
fn no_further_attempt_for_a_client_that_closed() {
    leave_before_the_error_is_read(Client::close);
}

#[test]
fn no_further_attempt_for_a_client_that_reset() {
    leave_before_the_error_is_read(Client::reset);
}

#[test]
fn no_further_attempt_for_a_client_that_withdrew_its_set_up() {
    leave_before_the_error_is_read(|mut client| {
        client.send(&release(1));
        // The connection stays open, for other sessions.
        std::mem::forget(client);
    });
}

#[test]
fn no_further_attempt_for_a_client_that_withdrew_its_set_up_behind_other_messages() {
    leave_before_the_error_is_read(|mut client| {
        let mut all: Vec<_> = (100..140).map(test).collect();
        all.push(release(1));
        client.send_bytes(&encode(&all));
        std::mem::forget(client);
    });
}

#[test]
fn no_further_attempt_for_a_client_that_closed_behind_a_flood() {
    leave_before_the_error_is_read(|mut client| {
        // More than is read ahead on one connection.
        let all: Vec<_> = (1_000..1_600).map(|id| set_up(id, 3_000)).collect();
        client.send_bytes(&encode(&all));
        client.close();
    });
}

/// The same, with the end of the connection arriving after the poll.
#[test]
fn no_further_attempt_for_a_client_that_closes_during_the_turn() {
    let mut harness = Harness::new(2);
    // Both have an established idle connection, so that a further attempt would be sent at once.
    harness.warm_up_connections();
    let before = harness.offer_count();
    let (client, mut offered) = harness.start_set_up(1);
    offered.connection.end(1, 47);
    let mut leaving = Some(client);
    harness.event_loop.on_phase_end(move |phase| {
        if phase == TurnPhase::SocketsPolled
            && let Some(leaver) = leaving.take()
        {
            leaver.close();
        }
    });
    harness.settle();
    assert_eq!(harness.offer_count(), before + 1, "a further attempt was begun");
}

#[test]
fn no_attempt_for_a_set_up_that_arrives_with_its_release() {
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
    let Received { frames, closed } = client.receive().expect("no reset");
    let answers: Vec<_> = frames.iter().map(|frame| (frame.kind, frame.id.0)).collect();
    assert_eq!((answers, closed), (vec![(16, 2), (9, 3)], false));
}

/// A set-up waits for a connection; its client leaves or withdraws it, and only then the connection is established. Whether
/// cancelling is allowed makes no difference to what has not been sent.
#[test]
fn a_set_up_queued_for_a_connection_is_not_sent_after_its_client_has_gone() {
    for (allowed, closes) in [(true, true), (true, false), (false, true), (false, false)] {
        let mut harness =
            Harness::with_settings(1, &TestSettings { cancel: allowed, ..TestSettings::default() });
        let mut client = harness.connect_client();
        client.send(&set_up(1, 3_000));
        // It is read, and a connection is begun.
        harness.run_turn();
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
        assert_eq!(harness.offer_count(), 0, "cancelling allowed: {allowed}, the client closes: {closes}");
    }
}

/// The answer of a media server and the end of the client cross: no session remains.
#[test]
fn an_answer_that_crosses_its_clients_end_leaves_no_session() {
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
        // Its withdrawal and its answer may cross, so that it is ended a second time, to be sure.
        harness.run_until("the end of the session", |h| !h.servers[0].received("end").is_empty());
        assert!(harness.servers[0].received("end").iter().all(|e| e["why"] == 16));
        harness.settle();
        assert_eq!(harness.event_loop.counts().established, 0);
    }
}

/// Session 1 is answered, and the answer to session 2 arrives; after the poll its client leaves. Session 2 alone is ended.
fn leave_before_the_answer_is_sent(leave: impl Fn(Client) + Send + 'static) {
    let mut harness = Harness::new(1);
    let (mut client, mut offered) = harness.start_set_up(1);
    offered.connection.accept(1);
    harness.settle();
    assert_eq!(client.receive_frames().len(), 1);
    client.send(&set_up(2, 3_000));
    let mut second = harness.wait_for_offer(2);
    second.connection.accept(2);
    let mut leaving = Some(client);
    harness.event_loop.on_phase_end(move |phase| {
        if phase == TurnPhase::SocketsPolled
            && let Some(leaver) = leaving.take()
        {
            leave(leaver);
        }
    });
    harness.run_until("the end of the second session", |h| !h.servers[0].received("end").is_empty());
    let ends = harness.servers[0].received("end");
    assert_eq!((ends.len(), &ends[0]["call"]), (1, &"0000000000000002".into()));
}

#[test]
fn an_answer_that_can_not_be_sent_ends_its_session_and_a_sent_one_does_not() {
    leave_before_the_answer_is_sent(Client::reset);
}

#[test]
fn an_answer_to_a_client_that_has_closed_ends_its_session() {
    leave_before_the_answer_is_sent(Client::close);
}

/// The client reads what was written last, though it has sent bytes that nobody reads: no reset destroys it.
#[test]
fn closing_a_connection_for_malformed_bytes_does_not_destroy_earlier_answers() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect_client();
    let malformed = vec![0xee; 40_000];
    client.send_bytes(&[encode(&[test(7)]), malformed].concat());
    harness.settle();
    let Received { frames, closed } = client.receive().expect("no reset");
    assert_eq!((frames.len(), frames[0].kind, closed), (1, 53, true));
}

/// A set-up arrives at the instant at which its connection has been idle for too long.
#[test]
fn a_set_up_that_crosses_the_idle_timeout_of_its_connection_is_served() {
    let mut harness = Harness::new(1);
    let mut idle = Some(harness.connect_client());
    harness.advance_ms(1_775);
    harness.skip(Micros(200_000));
    let (requested, request) = mpsc::channel();
    harness.event_loop.on_phase_end(move |phase| {
        if phase == TurnPhase::ViewersHandled
            && let Some(mut client) = idle.take()
        {
            client.send(&set_up(1, 3_000));
            requested.send(client).expect("received");
        }
    });
    let mut offered = harness.wait_for_offer(1);
    offered.connection.accept(1);
    harness.settle();
    let mut client = request.recv().expect("a request was sent");
    assert_eq!(client.receive_frames()[0].kind, 9);
}

#[test]
fn a_set_up_that_crosses_the_eviction_of_its_connection_is_served() {
    let mut harness = Harness::with_settings(1, &TestSettings { sockets: 64, ..TestSettings::default() });
    let capacity = harness.event_loop.limits().max_viewer_connections;
    let mut oldest = harness.connect_client();
    let mut others: Vec<Client> = (1..capacity).map(|_| harness.connect_client()).collect();
    // It sends a request; before the front node has read that, one more connection comes than there is capacity for.
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

/// When all connections wait for their answers, one more waits as well, and gets its own.
#[test]
fn a_connection_beyond_the_capacity_waits_and_is_answered() {
    let mut harness = Harness::with_settings(1, &TestSettings { sockets: 64, ..TestSettings::default() });
    let capacity = harness.event_loop.limits().max_viewer_connections;
    let mut clients = Vec::new();
    for id in 1..=capacity as u64 {
        let mut client = harness.connect_client();
        client.send(&set_up(id, 3_000));
        clients.push(client);
        harness.settle();
    }
    // Set-ups that the policy refused have their answers; their connections are free, and are filled again by other set-ups.
    harness.servers[0].poll();
    assert!(!harness.servers[0].connections.is_empty());
    let mut further: Vec<Client> = (0..capacity).map(|_| Client::connect(harness.addr)).collect();
    for (number, client) in further.iter_mut().enumerate() {
        client.send(&set_up(1_000 + number as u64, 3_000));
    }
    harness.settle();
    harness.advance_ms(4_000);
    for client in &mut further {
        assert_eq!(final_answers(&client.receive_frames()), 1, "one answer each");
    }
}

/// Connections with half a set-up, or a byte now and then, are closed in time; a set-up that arrives slowly is answered.
#[test]
fn slow_clients_are_given_a_bounded_time() {
    let mut harness = Harness::new(1);
    let whole = encode(&[set_up(1, 3_000)]);
    let mut half = harness.connect_client();
    half.send_bytes(&whole[..20]);
    let mut drip = harness.connect_client();
    let mut honest = harness.connect_client();
    let mut sent = 0;
    for tick in 0..25 {
        if tick % 10 == 0 && drip.state_at_front() != SocketState::Absent {
            drip.send_bytes(&whole[tick / 10..=tick / 10]);
        }
        let until = whole.len() * (tick + 1) / 25;
        if until > sent {
            honest.send_bytes(&whole[sent..until]);
            sent = until;
        }
        harness.advance_ms(100);
    }
    let mut offered = harness.wait_for_offer(1);
    offered.connection.accept(1);
    harness.settle();
    assert_eq!(honest.receive_frames()[0].kind, 9);
    harness.advance_ms(450);
    for client in [&mut half, &mut drip] {
        assert!(client.is_closed(), "it is still open after 3 s");
    }
}

/// Idle clients want every descriptor while the event bus is down: they get the viewers' part of them, the event bus is requested
/// again, and an active client and its media server are served.
#[test]
fn idle_clients_leave_descriptors_for_the_event_bus_media_servers_and_active_clients() {
    let mut harness = Harness::with_settings(1, &TestSettings { sockets: 64, ..TestSettings::default() });
    harness.disconnect_event_bus();
    let mut idle: Vec<Client> = (0..100).map(|_| Client::connect(harness.addr)).collect();
    harness.settle();
    let open = idle.iter_mut().map(|c| c.receive().is_ok_and(|r| !r.closed)).filter(|open| *open).count();
    let limits = harness.event_loop.limits();
    assert!(open <= limits.max_viewer_connections, "{open} of {}", limits.max_viewer_connections);
    assert!(limits.max_viewer_connections + limits.max_server_connections + RESERVED_DESCRIPTORS <= 64);
    let (mut honest, mut offered) = harness.start_set_up(1);
    offered.connection.accept(1);
    harness.settle();
    assert_eq!(honest.receive_frames()[0].kind, 9);
    harness.advance_ms(500);
    harness.disconnect_event_bus();
}
