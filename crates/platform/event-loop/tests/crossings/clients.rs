//! Clients that go, or take back what they asked for, while something is done for them.

use std::sync::mpsc;

use beechloft_event_loop::TurnPhase;

use crate::stage::{Client, Stage, Terms, bytes, cancel, set_up, test};

/// A set-up is out at one of two media servers, which errs; before the front node hears of it, its client has gone as told. No
/// further attempt may begin.
fn goes_before_the_error_is_heard(goes: impl FnOnce(Client)) {
    let mut stage = Stage::new(2);
    let (client, _, mut line) = stage.asked(1);
    line.end(1, 47);
    goes(client);
    stage.settle();
    stage.pass(500);
    assert_eq!(stage.offers(), 1, "a further attempt was begun");
}

#[test]
fn no_further_attempt_for_a_client_that_closed() {
    goes_before_the_error_is_heard(Client::close);
}

#[test]
fn no_further_attempt_for_a_client_that_reset() {
    goes_before_the_error_is_heard(Client::reset);
}

#[test]
fn no_further_attempt_for_a_client_that_took_it_back() {
    goes_before_the_error_is_heard(|mut client| {
        client.say(&cancel(1));
        // It stays, for other sessions.
        std::mem::forget(client);
    });
}

#[test]
fn no_further_attempt_for_a_client_that_took_it_back_behind_much_else() {
    goes_before_the_error_is_heard(|mut client| {
        let mut all: Vec<_> = (100..140).map(test).collect();
        all.push(cancel(1));
        client.raw(&bytes(&all));
        std::mem::forget(client);
    });
}

#[test]
fn no_further_attempt_for_a_client_that_closed_behind_a_flood() {
    goes_before_the_error_is_heard(|mut client| {
        // More than is read ahead on one connection.
        let all: Vec<_> = (1_000..1_600).map(|id| set_up(id, 3_000)).collect();
        client.raw(&bytes(&all));
        client.close();
    });
}

/// The same, with the end of the connection arriving after the sockets were asked what there is.
#[test]
fn no_further_attempt_for_a_client_that_goes_while_the_turn_lasts() {
    let mut stage = Stage::new(2);
    // Both have a connection that is up and idle, so that a further attempt would leave at once.
    stage.warm();
    let before = stage.offers();
    let (client, _, mut line) = stage.asked(1);
    line.end(1, 47);
    let mut client = Some(client);
    stage.shell.on_phase_end(move |moment| {
        if moment == TurnPhase::SocketsPolled
            && let Some(client) = client.take()
        {
            client.close();
        }
    });
    stage.settle();
    assert_eq!(stage.offers(), before + 1, "a further attempt was begun");
}

#[test]
fn no_attempt_for_a_set_up_that_comes_with_its_end() {
    let mut stage = Stage::new(1);
    let mut client = stage.client();
    client.say(&set_up(1, 3_000));
    client.close();
    let mut client = stage.client();
    client.raw(&bytes(&[set_up(2, 3_000), cancel(2), set_up(3, 3_000)]));
    let (_, mut line) = stage.offered(3);
    line.accept(3);
    stage.settle();
    assert_eq!(stage.offers(), 1);
    let (heard, ended) = client.hear().expect("no reset");
    let kinds: Vec<_> = heard.iter().map(|f| (f.kind, f.id.0)).collect();
    assert_eq!((kinds, ended), (vec![(16, 2), (9, 3)], false));
}

/// A set-up waits for a connection that is not up yet; its client goes or takes it back, and only then does the
/// connection come up. Whether cancelling is allowed makes no difference to what has not left.
#[test]
fn a_set_up_that_waits_for_its_connection_is_not_sent_once_its_client_has_gone() {
    for (allowed, closes) in [(true, true), (true, false), (false, true), (false, false)] {
        let mut stage = Stage::on(1, &Terms { cancel: allowed, ..Terms::default() });
        let mut client = stage.client();
        client.say(&set_up(1, 3_000));
        // It is taken, and a connection is begun.
        stage.turn();
        if closes {
            client.close();
        } else {
            client.say(&cancel(1));
            std::mem::forget(client);
        }
        stage.turns_until("the connection is up", |s| {
            s.media[0].poll();
            !s.media[0].conns.is_empty()
        });
        stage.settle();
        assert_eq!(stage.offers(), 0, "cancelling allowed: {allowed}, the client closes: {closes}");
    }
}

/// The answer of a media server and the end of the client meet: nothing is left standing.
#[test]
fn an_answer_that_meets_its_clients_end_leaves_no_session() {
    for how in 0..3 {
        let mut stage = Stage::new(1);
        let (mut client, _, mut line) = stage.asked(1);
        line.accept(1);
        match how {
            0 => client.close(),
            1 => client.reset(),
            _ => {
                client.say(&cancel(1));
                std::mem::forget(client);
            }
        }
        // Its giving-up and its answer may cross, so that it is ended a second time, to be sure.
        stage.turns_until("it is ended there", |s| !s.media[0].heard("end").is_empty());
        assert!(stage.media[0].heard("end").iter().all(|e| e["why"] == 16));
        stage.settle();
        assert_eq!(stage.shell.counts().established, 0);
    }
}

#[test]
fn an_answer_that_can_not_leave_ends_its_session_and_one_that_left_does_not() {
    let mut stage = Stage::new(1);
    let (mut client, _, mut line) = stage.asked(1);
    line.accept(1);
    stage.settle();
    assert_eq!(client.hear().expect("no reset").0.len(), 1);
    client.say(&set_up(2, 3_000));
    let (_, mut line) = stage.offered(2);
    line.accept(2);
    // Its client is reset after it was looked at, so that the answer has nowhere to go.
    let (tell, told) = mpsc::channel();
    tell.send(client).expect("held");
    stage.shell.on_phase_end(move |moment| {
        if moment == TurnPhase::SocketsPolled
            && let Ok(client) = told.try_recv()
        {
            client.reset();
        }
    });
    stage.turns_until("the second is ended there", |s| !s.media[0].heard("end").is_empty());
    let ends = stage.media[0].heard("end");
    assert_eq!((ends.len(), &ends[0]["call"]), (1, &"0000000000000002".into()));
}

/// What was written last is read by the client, whatever it had sent that nobody has read: no reset destroys it.
#[test]
fn a_connection_closed_for_rubbish_does_not_take_back_what_was_said_on_it() {
    let mut stage = Stage::new(1);
    let mut client = stage.client();
    let rubbish = vec![0xee; 40_000];
    client.raw(&[bytes(&[test(7)]), rubbish].concat());
    stage.settle();
    let (heard, ended) = client.hear().expect("no reset");
    assert_eq!((heard.len(), heard[0].kind, ended), (1, 53, true));
}

/// A connection idle for too long, and one that is to make room, on each of which a set-up comes at that instant.
#[test]
fn a_set_up_that_meets_the_end_of_its_idle_connection_is_served() {
    let mut stage = Stage::new(1);
    let mut client = Some(stage.client());
    stage.pass(1_775);
    stage.now = stage.now + beechloft::api::Micros(200_000);
    let (give, given) = mpsc::channel();
    stage.shell.on_phase_end(move |moment| {
        if moment == TurnPhase::ViewersHandled
            && let Some(mut client) = client.take()
        {
            client.say(&set_up(1, 3_000));
            give.send(client).expect("held");
        }
    });
    let (_, mut line) = stage.offered(1);
    line.accept(1);
    stage.settle();
    let mut client = given.recv().expect("it has asked");
    assert_eq!(client.hear().expect("no reset").0[0].kind, 9);
}

#[test]
fn a_set_up_that_meets_the_need_for_room_is_served() {
    let mut stage = Stage::on(1, &Terms { sockets: 64, ..Terms::default() });
    let room = stage.shell.limits().max_viewer_connections;
    let mut oldest = stage.client();
    let mut others: Vec<Client> = (1..room).map(|_| stage.client()).collect();
    // It asks; before the front node has read that, one more comes than there is room for.
    oldest.say(&set_up(1, 3_000));
    let newest = Client::connect(stage.addr);
    let (_, mut line) = stage.offered(1);
    line.accept(1);
    stage.settle();
    assert_eq!(oldest.hear().expect("no reset").0[0].kind, 9);
    let closed = others.iter_mut().map(|c| c.hear().is_ok_and(|h| h.1)).filter(|ended| *ended).count();
    assert_eq!(closed, 1);
    drop(newest);
}

/// Where all connections wait for their answers, one more waits as well, and gets its own.
#[test]
fn one_more_than_there_is_room_for_waits_and_is_answered() {
    let mut stage = Stage::on(1, &Terms { sockets: 64, ..Terms::default() });
    let room = stage.shell.limits().max_viewer_connections;
    let mut lines = Vec::new();
    let mut held = Vec::new();
    for id in 1..=room as u64 {
        let mut client = stage.client();
        client.say(&set_up(id, 3_000));
        held.push(client);
        stage.settle();
    }
    // Those that the module refused have their answers; their connections are free. Fill these up again by sets-up that are out.
    stage.media[0].poll();
    lines.extend(stage.media[0].conns.iter().cloned());
    assert!(!lines.is_empty());
    let mut more: Vec<Client> = (0..room).map(|_| Client::connect(stage.addr)).collect();
    for (n, client) in more.iter_mut().enumerate() {
        client.say(&set_up(1_000 + n as u64, 3_000));
    }
    stage.settle();
    stage.pass(4_000);
    for client in &mut more {
        let (heard, _) = client.hear().expect("no reset");
        assert_eq!(heard.iter().filter(|f| matches!(f.kind, 9 | 12)).count(), 1, "one answer each");
    }
}

/// Half a set-up and then nothing, and a byte now and then, are ended in time; an honest slow one is answered.
#[test]
fn slow_clients_are_waited_for_within_bounds() {
    let mut stage = Stage::new(1);
    let whole = bytes(&[set_up(1, 3_000)]);
    let mut half = stage.client();
    half.raw(&whole[..20]);
    let mut drip = stage.client();
    let mut honest = stage.client();
    let mut sent = 0;
    for tick in 0..25 {
        if tick % 10 == 0 && drip.held() != crate::stage::Held::None {
            drip.raw(&whole[tick / 10..=tick / 10]);
        }
        let until = whole.len() * (tick + 1) / 25;
        if until > sent {
            honest.raw(&whole[sent..until]);
            sent = until;
        }
        stage.pass(100);
    }
    let (_, mut line) = stage.offered(1);
    line.accept(1);
    stage.settle();
    assert_eq!(honest.hear().expect("no reset").0[0].kind, 9);
    stage.pass(450);
    for client in [&mut half, &mut drip] {
        assert!(client.hear().map_or(true, |h| h.1), "it is still open 3 s after it was");
    }
}

/// Idle clients want every descriptor while the event bus is away: they get the viewers' share of them, the bus is asked again, and
/// an honest client and its media server are served.
#[test]
fn idle_clients_take_no_descriptor_of_the_bus_of_media_servers_or_of_honest_clients() {
    let mut stage = Stage::on(1, &Terms { sockets: 64, ..Terms::default() });
    stage.cut_bus();
    let mut idle: Vec<Client> = (0..100).map(|_| Client::connect(stage.addr)).collect();
    stage.settle();
    let open = idle.iter_mut().map(|c| c.hear().is_ok_and(|h| !h.1)).filter(|open| *open).count();
    let limits = stage.shell.limits();
    assert!(open <= limits.max_viewer_connections, "{open} of {}", limits.max_viewer_connections);
    assert!(
        limits.max_viewer_connections
            + limits.max_server_connections
            + beechloft_event_loop::limits::RESERVED_DESCRIPTORS
            <= 64
    );
    let (mut honest, _, mut line) = stage.asked(1);
    line.accept(1);
    stage.settle();
    assert_eq!(honest.hear().expect("no reset").0[0].kind, 9);
    stage.pass(500);
    stage.cut_bus();
}
