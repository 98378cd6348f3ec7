//! The rules on records that are made up, without processes: what is whole passes, and each fault is found.

use crate::facts::{Behaviour, End, Fact, Style, What, id_of};
use crate::rules;

const MS: u64 = 1_000;
const S: u64 = 1_000 * MS;

fn id(serial: u64) -> u64 {
    id_of(Behaviour::Accept, 3, serial)
}

fn record(of: &[(u64, What)]) -> Vec<Fact> {
    of.iter().map(|(at, what)| Fact { at: *at, what: what.clone() }).collect()
}

fn taken(conn: u64, serial: u64) -> What {
    What::Taken { conn, id: id(serial), again: None }
}

fn answer(serial: u64) -> What {
    What::Answer { id: id(serial), served: true, right: true }
}

const TERM: What = What::Term { node: 3, style: Style::Plain };
const EXIT: What = What::Exited { node: 3, code: Some(0) };
const OPEN: What = What::Connected { node: 3, conn: 1 };

#[test]
fn a_whole_record_breaks_no_rule() {
    let facts = record(&[
        (1, What::Started { node: 3 }),
        (S, What::Passed { node: 3 }),
        (S, OPEN),
        (2 * S, taken(1, 1)),
        (2 * S + 1, What::Attempt { server: 0, id: id(1) }),
        (2 * S + 2, What::Over { server: 0, id: id(1) }),
        (2 * S + 3, What::Attempt { server: 1, id: id(1) }),
        (2 * S + 4, What::Over { server: 1, id: id(1) }),
        (2 * S + 5, answer(1)),
        (3 * S, TERM),
        (3 * S + 300 * MS, taken(1, 2)),
        (3 * S + 400 * MS, answer(2)),
        (5 * S, What::Closed { conn: 1, how: End::Fin }),
        (5 * S, EXIT),
    ]);
    assert_eq!(rules::answers(&facts, Some(Style::Plain)), [""; 0]);
    assert_eq!(rules::answers(&facts, None), [""; 0]);
    assert_eq!(rules::after_gone(&facts, 0), [""; 0]);
    assert_eq!(rules::resets(&facts, Some(Style::Plain)), [""; 0]);
    assert_eq!(rules::refused(&facts), [""; 0]);
    assert_eq!(rules::exits(&facts, 2 * S, 0), [""; 0]);
    assert_eq!(rules::ready(&facts), [""; 0]);
    assert_eq!(rules::goes_on(&facts, 0), [""; 0]);
}

/// An end before the backlog is empty.
#[test]
fn a_set_up_lost_in_the_backlog_is_found() {
    let mut of = vec![(S, OPEN), (S + 1, taken(1, 1)), (S + 300 * MS, TERM), (S + 310 * MS, EXIT)];
    of.push((S + 311 * MS, What::Closed { conn: 1, how: End::Rst }));
    assert_eq!(rules::answers(&record(&of), Some(Style::Plain)).len(), 1);
    // Nor is it whole without any close.
    of.pop();
    assert_eq!(rules::answers(&record(&of), Some(Style::Plain)).len(), 1);
    // A refusal soon after SIGTERM is one too.
    let facts = record(&[(S, TERM), (S + 10 * MS, EXIT), (S + 200 * MS, What::Refused { node: 3 })]);
    assert_eq!(rules::refused(&facts).len(), 1);
    let facts = record(&[(S, TERM), (S + 10 * MS, EXIT), (S + 500 * MS, What::Refused { node: 3 })]);
    assert_eq!(rules::refused(&facts), [""; 0]);
}

#[test]
fn what_crosses_a_close_goes_again_once_and_only_where_nothing_was_sent_on() {
    let again = |old| What::Taken { conn: 2, id: id(2), again: Some(id(old)) };
    let closed = |conn, how| What::Closed { conn, how };
    let crossing = |at: u64| {
        vec![
            (S, OPEN),
            (S + 1, taken(1, 1)),
            (S + at, closed(1, End::Fin)),
            (S + at + 1, again(1)),
            (2 * S, answer(2)),
        ]
    };
    assert_eq!(rules::answers(&record(&crossing(20 * MS)), None), [""; 0]);
    assert_eq!(rules::answers(&record(&crossing(400 * MS)), None).len(), 1, "too late to cross");
    let mut sent_on = crossing(20 * MS);
    sent_on.push((S + 2, What::Attempt { server: 0, id: id(1) }));
    assert_eq!(rules::answers(&record(&sent_on), None).len(), 1, "it was sent on");
    let mut never = crossing(20 * MS);
    never.truncate(3);
    assert_eq!(rules::answers(&record(&never), None).len(), 1, "it did not go again");
    let mut twice = crossing(20 * MS);
    twice[4] = (S + 40 * MS, closed(2, End::Fin));
    assert_eq!(rules::answers(&record(&twice), None).len(), 1, "it was lost again");
}

/// A reset as the process ends.
#[test]
fn a_reset_is_found_and_none_is_seen_in_a_crossing() {
    let reset = What::Closed { conn: 1, how: End::Rst };
    let of = |sent: u64, at: u64| {
        let all = [(S, OPEN), (S + sent, taken(1, 1)), (S + sent + 1, answer(1)), (2 * S, TERM)];
        record(&[&all[..], &[(S + at, reset.clone()), (3 * S, EXIT)]].concat())
    };
    assert_eq!(rules::resets(&of(5, 1_500 * MS), Some(Style::Plain)).len(), 1);
    assert_eq!(rules::resets(&of(1_400 * MS, 1_450 * MS), Some(Style::Plain)), [""; 0]);
    assert_eq!(rules::resets(&of(5, 1_500 * MS), None), [""; 0], "it belongs to an end");
}

/// An attempt after its client went.
#[test]
fn an_attempt_after_its_client_went_is_found() {
    let of = |after: u64| {
        let attempt = |server| What::Attempt { server, id: id(1) };
        record(&[
            (S, taken(1, 1)),
            (S + 1, attempt(0)),
            (S + 2, What::Gone { id: id(1) }),
            (S + 2 + after, attempt(1)),
        ])
    };
    assert_eq!(rules::after_gone(&of(300 * MS), 0).len(), 1);
    assert_eq!(rules::after_gone(&of(90 * MS), 0), [""; 0]);
    // And no answer is owed to it.
    assert_eq!(rules::answers(&of(90 * MS), None), [""; 0]);
}

/// A cold media server that gets all that is asked for.
#[test]
fn a_cold_sum_above_the_bound_is_found() {
    let told = |count: u64, apart: u64| {
        let attempts = (0..count).map(|n| (S + n * apart, What::Attempt { server: 7, id: id(n) }));
        record(&attempts.collect::<Vec<_>>())
    };
    assert_eq!(rules::cold_bound(80.0), 99);
    assert_eq!(rules::cold(&told(99, MS), 7, S, 500 * MS, 80.0), [""; 0]);
    assert_eq!(rules::cold(&told(100, MS), 7, S, 500 * MS, 80.0).len(), 1);
    assert_eq!(rules::cold(&told(300, 6 * MS), 7, S, 500 * MS, 80.0), [""; 0], "spread over several spans");
    assert_eq!(rules::cold(&told(100, MS), 6, S, 500 * MS, 80.0), [""; 0], "another one");
    assert_eq!(rules::cold(&told(100, MS), 7, 2 * S, 500 * MS, 80.0), [""; 0], "before it was told");
}

/// An empty list that is believed.
#[test]
fn a_front_that_serves_nobody_is_found() {
    let refused = |n| What::Answer { id: id(n), served: false, right: true };
    let of = |served: u64| {
        let each = (0..10).flat_map(|n| {
            [(S + n, taken(1, n)), (S + 20 + n, if n < served { answer(n) } else { refused(n) })]
        });
        record(&each.collect::<Vec<_>>())
    };
    assert_eq!(rules::goes_on(&of(9), S), [""; 0]);
    assert_eq!(rules::goes_on(&of(8), S).len(), 1);
    assert_eq!(rules::goes_on(&[], S).len(), 1, "nobody asked");
}

#[test]
fn two_answers_are_found() {
    let attempt = |server| What::Attempt { server, id: id(1) };
    let twice = record(&[(S, taken(1, 1)), (S + 1, answer(1)), (S + 2, answer(1))]);
    assert_eq!(rules::answers(&twice, None).len(), 1);
    let wrong = What::Answer { id: id(1), served: true, right: false };
    assert_eq!(rules::answers(&record(&[(S, taken(1, 1)), (S + 1, wrong)]), None).len(), 1);
    let unasked = record(&[(S, attempt(0))]);
    assert_eq!(rules::answers(&unasked, None).len(), 1);
}

#[test]
fn ends_and_starts_that_go_wrong_are_found() {
    let term = (S, TERM);
    let end = |after: u64, code| record(&[term.clone(), (S + after, What::Exited { node: 3, code })]);
    assert_eq!(rules::exits(&end(3_600 * MS, Some(0)), 2 * S, 0), [""; 0]);
    assert_eq!(rules::exits(&end(3_700 * MS, Some(0)), 2 * S, 0).len(), 1, "it would be killed");
    assert_eq!(rules::exits(&end(4_600 * MS, Some(0)), 4 * S, 0), [""; 0], "a longer deadline counts");
    assert_eq!(rules::exits(&end(S, Some(101)), 2 * S, 0).len(), 1);
    assert_eq!(rules::exits(&end(S, None), 2 * S, 0).len(), 1);
    assert_eq!(rules::exits(&record(std::slice::from_ref(&term)), 2 * S, 0).len(), 1);
    let starts = |slow: usize| {
        let each = (0..20).flat_map(|node| {
            let passed = if node < slow { 11 * S } else { S };
            [(0, What::Started { node }), (passed, What::Passed { node })]
        });
        let mut all: Vec<_> = each.collect();
        all.sort_by_key(|f| f.0);
        record(&all)
    };
    assert_eq!(rules::ready(&starts(2)), [""; 0]);
    assert_eq!(rules::ready(&starts(3)).len(), 1);
}
