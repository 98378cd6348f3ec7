//! Slow start: a cold server is not overloaded by all fronts together.

mod support;

use beechloft::api::{EndpointState, Event, Outcome, Settings, SlotAssignment};
use support::{Front, MILLIS, SECONDS, entry, set_up, settings};

/// The most set-ups within any span of the rule that one front sends to server 0, offered a crowd for 11 s.
fn max_set_ups_in_a_window(front: &mut Front) -> usize {
    let mut sent = Vec::new();
    for id in 1..1_100 {
        front.advance(10 * MILLIS);
        if let Some((server, _)) = set_up(&front.request(id)) {
            if server == 0 {
                sent.push(front.now);
            }
            front.started(id, server);
            front.ended(id, server, Outcome::Ok, true);
        }
    }
    sent.iter()
        .map(|t| sent.iter().filter(|u| **u >= *t && **u <= t + 2 * SECONDS).count())
        .max()
        .unwrap_or(0)
}

/// What all fronts together may send in a span: 2.5 x 20 / 12 s x 0.4 x 2 s.
const MAX_SET_UPS: f64 = 2.5 * 20.0 / 12.0 * 0.4 * 2.0;

fn set_ups_of_all_fronts(prepare: impl Fn(&mut Front)) -> f64 {
    (0..2)
        .map(|number| {
            let mut front = Front::new(Settings { slot: number, ..settings() });
            prepare(&mut front);
            max_set_ups_in_a_window(&mut front) as f64
        })
        .sum()
}

#[test]
fn slow_start_limits_all_fronts_together() {
    let sent = set_ups_of_all_fronts(|front| {
        let now = front.now;
        front.update_endpoint(0, EndpointState::Ready, now);
    });
    assert!((1.0..=MAX_SET_UPS).contains(&sent), "{sent}");
}

/// What its earlier self sent within the span is not known to a front that has just started.
#[test]
fn a_restarted_front_sends_nothing_for_a_window_to_a_server_that_started_before_it() {
    let first = |started: u64| {
        let list = vec![entry(0, EndpointState::Ready, started)];
        let mut front = Front::with_list(Settings { front_count: 1, ..settings() }, list);
        let begin = front.now;
        (1..400).find_map(|id| {
            front.advance(10 * MILLIS);
            set_up(&front.request(id)).map(|_| front.now - begin)
        })
    };
    let cold = first(99 * SECONDS);
    assert!(
        cold.is_some_and(|after| (2 * SECONDS..3 * SECONDS).contains(&after)),
        "{cold:?} us to the first set-up"
    );
    // One that is only doubted gets its part at once: a whole service that starts would stand still.
    assert_eq!(first(0), Some(10 * MILLIS));
}

/// A set-up may wait for its connection: it counts until a span from when it came back, and while it is out.
#[test]
fn long_attempts_count_with_those_of_the_next_window() {
    let mut front = Front::new(Settings { front_count: 1, ..settings() });
    let now = front.now;
    (1..4).for_each(|n| drop(front.update_endpoint(n, EndpointState::Removed, 0)));
    front.update_endpoint(0, EndpointState::Ready, now);
    let sent: Vec<u64> = (1..20).filter(|id| set_up(&front.request(*id)).is_some()).collect();
    assert!(!sent.is_empty() && sent.len() as f64 <= MAX_SET_UPS, "{sent:?}");
    let all = sent.len();
    // Most come back soon, one late.
    sent[1..].iter().for_each(|id| drop((front.started(*id, 0), front.ended(*id, 0, Outcome::Ok, true))));
    front.advance(700 * MILLIS);
    front.started(sent[0], 0);
    front.advance(1_400 * MILLIS);
    let next = (100..120).filter(|id| set_up(&front.request(*id)).is_some()).count();
    assert_eq!(next, all - 1, "the late one may have arrived within the span");
}

#[test]
fn slow_start_begins_at_a_broken_connection_before_the_list_reports_it() {
    for outcome in [Outcome::Reset, Outcome::ConnectFailed] {
        let sent = set_ups_of_all_fronts(|front| {
            front.adopt(9_999, 0);
            front.ended(9_999, 0, outcome, true);
        });
        assert!((1.0..=MAX_SET_UPS).contains(&sent), "{outcome:?}: {sent}");
    }
}

/// Found on sockets: answers that were lost or spoilt made sound servers look freshly started, and be paced.
#[test]
fn no_slow_start_after_a_lost_response_if_sessions_play_on() {
    let sent = set_ups_of_all_fronts(|front| {
        // One stays at each, so that none stands out.
        (0..4).for_each(|server| front.adopt(9_990 + u64::from(server), server));
        front.adopt(9_999, 0);
        front.advance(MILLIS);
        front.ended(9_999, 0, Outcome::Reset, true);
    });
    assert!(sent > MAX_SET_UPS, "{sent}");
}

#[test]
fn a_restarted_front_slow_starts_every_server() {
    let sent: usize = (0..2)
        .map(|number| {
            let mut front = Front::restarted(Settings { slot: number, ..settings() });
            max_set_ups_in_a_window(&mut front)
        })
        .sum();
    assert!(sent >= 1 && sent as f64 <= MAX_SET_UPS, "{sent}");
}

#[test]
fn a_changed_slot_takes_effect_at_once_and_no_slot_has_no_share() {
    let started = |front: &mut Front| {
        let now = front.now;
        front.update_endpoint(0, EndpointState::Ready, now);
    };
    let numbered =
        |number, of| Event::SlotAssigned(SlotAssignment { slot: number, slot_count: of, live_fronts: 4 });
    // Four fronts that had another slot of so many before.
    let sent: Vec<usize> = (0..4)
        .map(|number| {
            let mut front = Front::new(settings());
            front.send(numbered(0, 1));
            front.send(numbered(number, 4));
            started(&mut front);
            max_set_ups_in_a_window(&mut front)
        })
        .collect();
    let sum = sent.iter().sum::<usize>() as f64;
    assert!((1.0..=MAX_SET_UPS).contains(&sum), "{sent:?}");
    let mut alone = Front::new(settings());
    alone.send(numbered(0, 1));
    started(&mut alone);
    let most = max_set_ups_in_a_window(&mut alone);
    assert!(most >= 1 && most as f64 <= MAX_SET_UPS && most > sent[0], "{most} alone, {sent:?} of four");
    // A number that is not under them all has no part, and a warm server needs none.
    let mut none = Front::new(settings());
    none.send(numbered(4, 4));
    let warm = max_set_ups_in_a_window(&mut none);
    started(&mut none);
    assert!(warm > 0 && max_set_ups_in_a_window(&mut none) == 0);
}

#[test]
fn a_warm_server_is_not_limited() {
    let mut front = Front::new(settings());
    assert!(max_set_ups_in_a_window(&mut front) as f64 > MAX_SET_UPS);
}
