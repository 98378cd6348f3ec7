//! Tests of slow start: all fronts together do not overload a cold server.

mod support;

use beechloft::api::{EndpointState, Event, Outcome, Settings, SlotAssignment};
use support::{Front, MILLIS, SECONDS, endpoint, set_up, settings};

/// Requests a session every 10 ms for 11 s, and returns the maximum number of set-ups that the front sends to
/// server 0 within any overload window.
fn max_set_ups_in_window(front: &mut Front) -> usize {
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
    let sent_in_window =
        |start: &u64| sent.iter().filter(|at| (*start..=start + 2 * SECONDS).contains(*at)).count();
    sent.iter().map(sent_in_window).max().unwrap_or(0)
}

/// Maximum number of set-ups of all fronts together within an overload window: 2.5 x 20 / 12 s x 0.4 x 2 s.
const MAX_SET_UPS: f64 = 2.5 * 20.0 / 12.0 * 0.4 * 2.0;

/// Returns the sum over both fronts of the maximum number of set-ups in a window.
fn set_ups_of_all_fronts(prepare: impl Fn(&mut Front)) -> f64 {
    (0..2)
        .map(|slot| {
            let mut front = Front::new(Settings { slot, ..settings() });
            prepare(&mut front);
            max_set_ups_in_window(&mut front) as f64
        })
        .sum()
}

#[test]
fn limits_all_fronts_together() {
    let sent = set_ups_of_all_fronts(|front| {
        let now = front.now;
        front.update_endpoint(0, EndpointState::Ready, now);
    });
    assert!((1.0..=MAX_SET_UPS).contains(&sent), "{sent}");
}

/// A front that has just started does not know what its predecessor sent within the window.
#[test]
fn restarted_front_waits_one_window_for_server_started_before_it() {
    let time_to_first_set_up = |started_at: u64| {
        let list = vec![endpoint(0, EndpointState::Ready, started_at)];
        let mut front = Front::with_list(Settings { front_count: 1, ..settings() }, list);
        let begin = front.now;
        (1..400).find_map(|id| {
            front.advance(10 * MILLIS);
            set_up(&front.request(id)).map(|_| front.now - begin)
        })
    };
    let cold = time_to_first_set_up(99 * SECONDS);
    assert!(
        cold.is_some_and(|after| (2 * SECONDS..3 * SECONDS).contains(&after)),
        "{cold:?} us to the first set-up"
    );
    // A server that is only suspected to be cold gets its part at once, so that a service can start.
    assert_eq!(time_to_first_set_up(0), Some(10 * MILLIS));
}

/// A set-up may wait for its connection. It counts while it is in flight and for one window after its return.
#[test]
fn long_attempts_count_in_next_window() {
    let mut front = Front::new(Settings { front_count: 1, ..settings() });
    let now = front.now;
    (1..4).for_each(|n| drop(front.update_endpoint(n, EndpointState::Removed, 0)));
    front.update_endpoint(0, EndpointState::Ready, now);
    let sent: Vec<u64> = (1..20).filter(|id| set_up(&front.request(*id)).is_some()).collect();
    assert!(!sent.is_empty() && sent.len() as f64 <= MAX_SET_UPS, "{sent:?}");
    let sent_before = sent.len();
    // One attempt returns late.
    sent[1..].iter().for_each(|id| drop((front.started(*id, 0), front.ended(*id, 0, Outcome::Ok, true))));
    front.advance(700 * MILLIS);
    front.started(sent[0], 0);
    front.advance(1_400 * MILLIS);
    let next = (100..120).filter(|id| set_up(&front.request(*id)).is_some()).count();
    assert_eq!(next, sent_before - 1, "the late attempt may have arrived within the window");
}

#[test]
fn begins_at_broken_connection_before_list_update() {
    for outcome in [Outcome::Reset, Outcome::ConnectFailed] {
        let sent = set_ups_of_all_fronts(|front| {
            front.adopt(9_999, 0);
            front.ended(9_999, 0, outcome, true);
        });
        assert!((1.0..=MAX_SET_UPS).contains(&sent), "{outcome:?}: {sent}");
    }
}

/// Guards against slow start of a running server after a lost or malformed answer.
#[test]
fn skips_slow_start_after_lost_response_if_sessions_survive() {
    let sent = set_ups_of_all_fronts(|front| {
        // One session plays on at each server, so that their loads are equal.
        (0..4).for_each(|server| front.adopt(9_990 + u64::from(server), server));
        front.adopt(9_999, 0);
        front.advance(MILLIS);
        front.ended(9_999, 0, Outcome::Reset, true);
    });
    assert!(sent > MAX_SET_UPS, "{sent}");
}

#[test]
fn restarted_front_slow_starts_each_server() {
    let sent: usize = (0..2)
        .map(|slot| {
            let mut front = Front::restarted(Settings { slot, ..settings() });
            max_set_ups_in_window(&mut front)
        })
        .sum();
    assert!(sent >= 1 && sent as f64 <= MAX_SET_UPS, "{sent}");
}

#[test]
fn applies_changed_slot_at_once() {
    let restart_server = |front: &mut Front| {
        let now = front.now;
        front.update_endpoint(0, EndpointState::Ready, now);
    };
    let slot_assigned =
        |slot, slot_count| Event::SlotAssigned(SlotAssignment { slot, slot_count, live_fronts: 4 });
    // Each of four fronts had another slot before.
    let sent: Vec<usize> = (0..4)
        .map(|slot| {
            let mut front = Front::new(settings());
            front.send(slot_assigned(0, 1));
            front.send(slot_assigned(slot, 4));
            restart_server(&mut front);
            max_set_ups_in_window(&mut front)
        })
        .collect();
    let sum = sent.iter().sum::<usize>() as f64;
    assert!((1.0..=MAX_SET_UPS).contains(&sum), "{sent:?}");
    let mut alone = Front::new(settings());
    alone.send(slot_assigned(0, 1));
    restart_server(&mut alone);
    let sent_alone = max_set_ups_in_window(&mut alone);
    assert!(
        sent_alone >= 1 && sent_alone as f64 <= MAX_SET_UPS && sent_alone > sent[0],
        "{sent_alone} alone, {sent:?} of four"
    );
    // A front whose slot is not below the count has no part in slow start, which a warm server does not need.
    let mut without_slot = Front::new(settings());
    without_slot.send(slot_assigned(4, 4));
    let warm = max_set_ups_in_window(&mut without_slot);
    restart_server(&mut without_slot);
    assert!(warm > 0 && max_set_ups_in_window(&mut without_slot) == 0);
}

#[test]
fn does_not_limit_warm_servers() {
    let mut front = Front::new(settings());
    assert!(max_set_ups_in_window(&mut front) as f64 > MAX_SET_UPS);
}
