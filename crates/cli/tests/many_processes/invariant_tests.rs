//! Tests of the invariants on synthetic events, without processes: correct events pass, and each injected fault is found.

use crate::behavior::{Behavior, set_up_id};
use crate::invariants;
use crate::recorder::{CloseKind, Event, EventKind, RestartStyle};

const MS: u64 = 1_000;
const S: u64 = 1_000 * MS;

fn id(serial: u64) -> u64 {
    set_up_id(Behavior::Accept, 3, serial)
}

fn events(timed: &[(u64, EventKind)]) -> Vec<Event> {
    timed.iter().map(|(at, kind)| Event { at: *at, kind: kind.clone() }).collect()
}

fn sent(connection: u64, serial: u64) -> EventKind {
    EventKind::SetUpSent { connection, id: id(serial), retry_of: None }
}

fn answer(serial: u64) -> EventKind {
    EventKind::AnswerReceived { id: id(serial), served: true, correct: true }
}

const TERM: EventKind = EventKind::Terminated { node: 3, style: RestartStyle::Plain };
const EXIT: EventKind = EventKind::ProcessExited { node: 3, code: Some(0) };
const OPEN: EventKind = EventKind::ClientConnected { node: 3, connection: 1 };

#[test]
fn correct_events_violate_no_invariant() {
    let all = events(&[
        (1, EventKind::ProcessStarted { node: 3 }),
        (S, EventKind::TestPassed { node: 3 }),
        (S, OPEN),
        (2 * S, sent(1, 1)),
        (2 * S + 1, EventKind::AttemptReceived { server: 0, id: id(1) }),
        (2 * S + 2, EventKind::AttemptEnded { server: 0, id: id(1) }),
        (2 * S + 3, EventKind::AttemptReceived { server: 1, id: id(1) }),
        (2 * S + 4, EventKind::AttemptEnded { server: 1, id: id(1) }),
        (2 * S + 5, answer(1)),
        (3 * S, TERM),
        (3 * S + 300 * MS, sent(1, 2)),
        (3 * S + 400 * MS, answer(2)),
        (5 * S, EventKind::ConnectionClosed { connection: 1, kind: CloseKind::Fin }),
        (5 * S, EXIT),
    ]);
    assert_eq!(invariants::unanswered(&all, Some(RestartStyle::Plain)), [""; 0]);
    assert_eq!(invariants::unanswered(&all, None), [""; 0]);
    assert_eq!(invariants::attempts_after_departure(&all, 0), [""; 0]);
    assert_eq!(invariants::connection_resets(&all, Some(RestartStyle::Plain)), [""; 0]);
    assert_eq!(invariants::refused_connections(&all), [""; 0]);
    assert_eq!(invariants::failed_exits(&all, 2 * S, 0), [""; 0]);
    assert_eq!(invariants::late_ready(&all), [""; 0]);
    assert_eq!(invariants::outage(&all, 0), [""; 0]);
}

/// The process exits before the backlog is empty.
#[test]
fn finds_set_up_lost_in_backlog() {
    let mut timed = vec![(S, OPEN), (S + 1, sent(1, 1)), (S + 300 * MS, TERM), (S + 310 * MS, EXIT)];
    timed.push((S + 311 * MS, EventKind::ConnectionClosed { connection: 1, kind: CloseKind::Rst }));
    assert_eq!(invariants::unanswered(&events(&timed), Some(RestartStyle::Plain)).len(), 1);
    // The set-up is also lost if the connection isn't closed.
    timed.pop();
    assert_eq!(invariants::unanswered(&events(&timed), Some(RestartStyle::Plain)).len(), 1);
    // A connection that is refused soon after SIGTERM is a violation too.
    let refused_after = |after: u64| {
        let refused = EventKind::ConnectionRefused { node: 3 };
        events(&[(S, TERM), (S + 10 * MS, EXIT), (S + after, refused)])
    };
    assert_eq!(invariants::refused_connections(&refused_after(200 * MS)).len(), 1);
    assert_eq!(invariants::refused_connections(&refused_after(500 * MS)), [""; 0]);
}

#[test]
fn set_up_crossing_a_close_is_retried_once_unless_forwarded() {
    let retry = |old| EventKind::SetUpSent { connection: 2, id: id(2), retry_of: Some(id(old)) };
    let closed = |connection, kind| EventKind::ConnectionClosed { connection, kind };
    let crossing = |at: u64| {
        vec![
            (S, OPEN),
            (S + 1, sent(1, 1)),
            (S + at, closed(1, CloseKind::Fin)),
            (S + at + 1, retry(1)),
            (2 * S, answer(2)),
        ]
    };
    assert_eq!(invariants::unanswered(&events(&crossing(20 * MS)), None), [""; 0]);
    assert_eq!(invariants::unanswered(&events(&crossing(400 * MS)), None).len(), 1, "too late to cross");
    let mut forwarded = crossing(20 * MS);
    forwarded.push((S + 2, EventKind::AttemptReceived { server: 0, id: id(1) }));
    assert_eq!(invariants::unanswered(&events(&forwarded), None).len(), 1, "it was forwarded");
    let mut not_retried = crossing(20 * MS);
    not_retried.truncate(3);
    assert_eq!(invariants::unanswered(&events(&not_retried), None).len(), 1, "it was not retried");
    let mut lost_twice = crossing(20 * MS);
    lost_twice[4] = (S + 40 * MS, closed(2, CloseKind::Fin));
    assert_eq!(invariants::unanswered(&events(&lost_twice), None).len(), 1, "the retry was lost");
}

/// The process resets a connection when it exits.
#[test]
fn finds_reset_unless_a_set_up_crossed_it() {
    let reset = EventKind::ConnectionClosed { connection: 1, kind: CloseKind::Rst };
    let reset_events = |sent_at: u64, at: u64| {
        let all = [(S, OPEN), (S + sent_at, sent(1, 1)), (S + sent_at + 1, answer(1)), (2 * S, TERM)];
        events(&[&all[..], &[(S + at, reset.clone()), (3 * S, EXIT)]].concat())
    };
    assert_eq!(
        invariants::connection_resets(&reset_events(5, 1_500 * MS), Some(RestartStyle::Plain)).len(),
        1
    );
    assert_eq!(
        invariants::connection_resets(&reset_events(1_400 * MS, 1_450 * MS), Some(RestartStyle::Plain)),
        [""; 0]
    );
    assert_eq!(
        invariants::connection_resets(&reset_events(5, 1_500 * MS), None),
        [""; 0],
        "the reset belongs to a restart"
    );
}

/// An attempt begins after its client departed.
#[test]
fn finds_attempt_after_departure() {
    let departure_events = |after: u64| {
        let attempt = |server| EventKind::AttemptReceived { server, id: id(1) };
        events(&[
            (S, sent(1, 1)),
            (S + 1, attempt(0)),
            (S + 2, EventKind::ClientDeparted { id: id(1) }),
            (S + 2 + after, attempt(1)),
        ])
    };
    assert_eq!(invariants::attempts_after_departure(&departure_events(300 * MS), 0).len(), 1);
    assert_eq!(invariants::attempts_after_departure(&departure_events(90 * MS), 0), [""; 0]);
    // A client that departed needs no answer.
    assert_eq!(invariants::unanswered(&departure_events(90 * MS), None), [""; 0]);
}

/// A media server that warms up gets all set-ups.
#[test]
fn finds_slow_start_bound_exceeded() {
    let attempts_at = |count: u64, interval: u64| {
        let attempts =
            (0..count).map(|n| (S + n * interval, EventKind::AttemptReceived { server: 7, id: id(n) }));
        events(&attempts.collect::<Vec<_>>())
    };
    assert_eq!(invariants::slow_start_bound(80.0), 99);
    assert_eq!(invariants::slow_start_exceeded(&attempts_at(99, MS), 7, S, 500 * MS, 80.0), [""; 0]);
    assert_eq!(invariants::slow_start_exceeded(&attempts_at(100, MS), 7, S, 500 * MS, 80.0).len(), 1);
    assert_eq!(
        invariants::slow_start_exceeded(&attempts_at(300, 6 * MS), 7, S, 500 * MS, 80.0),
        [""; 0],
        "spread over several windows"
    );
    assert_eq!(
        invariants::slow_start_exceeded(&attempts_at(100, MS), 6, S, 500 * MS, 80.0),
        [""; 0],
        "another media server"
    );
    assert_eq!(
        invariants::slow_start_exceeded(&attempts_at(100, MS), 7, 2 * S, 500 * MS, 80.0),
        [""; 0],
        "before the start was published"
    );
}

/// Front nodes adopt an empty endpoint list.
#[test]
fn finds_outage() {
    let refused = |n| EventKind::AnswerReceived { id: id(n), served: false, correct: true };
    let served_events = |served: u64| {
        let each = (0..10).flat_map(|n| {
            [(S + n, sent(1, n)), (S + 20 + n, if n < served { answer(n) } else { refused(n) })]
        });
        events(&each.collect::<Vec<_>>())
    };
    assert_eq!(invariants::outage(&served_events(9), S), [""; 0]);
    assert_eq!(invariants::outage(&served_events(8), S).len(), 1);
    assert_eq!(invariants::outage(&[], S).len(), 1, "no set-ups");
}

#[test]
fn finds_repeated_wrong_and_unsolicited_results() {
    let attempt = |server| EventKind::AttemptReceived { server, id: id(1) };
    let twice = events(&[(S, sent(1, 1)), (S + 1, answer(1)), (S + 2, answer(1))]);
    assert_eq!(invariants::unanswered(&twice, None).len(), 1);
    let wrong = EventKind::AnswerReceived { id: id(1), served: true, correct: false };
    assert_eq!(invariants::unanswered(&events(&[(S, sent(1, 1)), (S + 1, wrong)]), None).len(), 1);
    let unasked = events(&[(S, attempt(0))]);
    assert_eq!(invariants::unanswered(&unasked, None).len(), 1);
}

#[test]
fn finds_failed_exits_and_late_starts() {
    let term = (S, TERM);
    let exit =
        |after: u64, code| events(&[term.clone(), (S + after, EventKind::ProcessExited { node: 3, code })]);
    assert_eq!(invariants::failed_exits(&exit(3_600 * MS, Some(0)), 2 * S, 0), [""; 0]);
    assert_eq!(
        invariants::failed_exits(&exit(3_700 * MS, Some(0)), 2 * S, 0).len(),
        1,
        "the process would be killed"
    );
    assert_eq!(
        invariants::failed_exits(&exit(4_600 * MS, Some(0)), 4 * S, 0),
        [""; 0],
        "a longer deadline extends the time"
    );
    assert_eq!(invariants::failed_exits(&exit(S, Some(101)), 2 * S, 0).len(), 1);
    assert_eq!(invariants::failed_exits(&exit(S, None), 2 * S, 0).len(), 1);
    assert_eq!(invariants::failed_exits(&events(std::slice::from_ref(&term)), 2 * S, 0).len(), 1);
    let starts = |slow: usize| {
        let each = (0..20).flat_map(|node| {
            let passed = if node < slow { 11 * S } else { S };
            [(0, EventKind::ProcessStarted { node }), (passed, EventKind::TestPassed { node })]
        });
        let mut all: Vec<_> = each.collect();
        all.sort_by_key(|(at, _)| *at);
        events(&all)
    };
    assert_eq!(invariants::late_ready(&starts(2)), [""; 0]);
    assert_eq!(invariants::late_ready(&starts(3)).len(), 1);
}
