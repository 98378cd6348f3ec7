//! One group of tests for each rule but slow start, which has a file of its own.

mod support;

use beechloft::api::{
    Action, Attempt, Class, ClassId, DedupScope, Discovery, EndpointState, Event, Feedback, Idempotency,
    Micros, Outcome, Request, RetryBudget, Rung, SessionId, Settings, TitleId, UpdateKind,
};
use support::{
    Front, MILLIS, SECONDS, class, entry, is_failed, is_rejected, request, set_up, set_ups, settings,
};

// 1. No session is lost.

#[test]
fn every_failed_attempt_leads_to_another_or_to_one_prompt_answer() {
    let mut front = Front::new(settings());
    let mut actions = front.request(1);
    let mut attempts = 0;
    while let Some((server, until)) = set_up(&actions) {
        assert!(until <= front.now + 800 * MILLIS, "an attempt outlives the aim");
        assert!(!is_rejected(&actions) && !is_failed(&actions));
        attempts += 1;
        front.now = until;
        actions = front.ended(1, server, Outcome::Timeout, false);
    }
    assert!(attempts >= 2, "a silent server leaves time for another attempt");
    assert_eq!(actions.iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail(..))).count(), 1);
    assert!(front.now < 100 * SECONDS + 4 * SECONDS, "the answer does not wait for the viewer's deadline");
}

#[test]
fn a_request_is_answered_even_if_no_outcome_comes() {
    let mut front = Front::new(settings());
    assert!(set_up(&front.request(1)).is_some());
    front.advance(4 * SECONDS);
    assert!(is_failed(&front.tick()));
    front.advance(SECONDS);
    assert!(!is_failed(&front.tick()), "answered once only");
}

#[test]
fn an_unknown_class_is_answered() {
    let mut front = Front::new(settings());
    let req = Request { class: ClassId(9), ..request(1, front.now) };
    assert!(is_failed(&front.send(Event::Request(req))));
}

#[test]
fn rejections_are_immediate_and_carry_a_retry_after() {
    let mut front = Front::new(settings());
    let req = Request { cell_count: 0, ..request(1, front.now) };
    let actions = front.send(Event::Request(req));
    assert_eq!(actions, [Action::Reject { session: SessionId(1), retry_after: Some(Micros(500 * MILLIS)) }]);
}

// 2. No set-up happens twice.

#[test]
fn an_at_most_once_set_up_is_not_retried_or_rejected_after_it_may_have_run() {
    for outcome in [Outcome::Timeout, Outcome::Error, Outcome::Reset] {
        let mut front = Front::new(Settings { classes: vec![class(Idempotency::AtMostOnce)], ..settings() });
        let (server, _) = set_up(&front.request(1)).expect("sent");
        let actions = front.ended(1, server, outcome, false);
        assert!(set_up(&actions).is_none() && !is_rejected(&actions) && is_failed(&actions), "{outcome:?}");
    }
}

#[test]
fn an_at_most_once_set_up_is_retried_if_it_never_ran() {
    for outcome in [Outcome::Overloaded, Outcome::ConnectFailed] {
        let mut front = Front::new(Settings { classes: vec![class(Idempotency::AtMostOnce)], ..settings() });
        let (server, _) = set_up(&front.request(1)).expect("sent");
        let (second, _) = set_up(&front.ended(1, server, outcome, false)).expect("sent again");
        assert_ne!(server, second);
    }
}

fn deduplicated(scope: DedupScope, window: u64) -> Class {
    class(Idempotency::Deduplicated { scope, window: Micros(window) })
}

#[test]
fn a_deduplicated_set_up_stays_in_its_scope_and_window() {
    for seed in 0..20 {
        let mut front =
            Front::new(Settings { classes: vec![deduplicated(DedupScope::Zone, 5 * SECONDS)], ..settings() });
        front.now += seed * 7 * MILLIS;
        let (server, _) = set_up(&front.request(1)).expect("sent");
        let actions = front.ended(1, server, Outcome::Error, false);
        let (second, _) = set_up(&actions).expect("sent again");
        assert_eq!(second % 2, server % 2, "another zone");
        let last = front.ended(1, second, Outcome::Error, false);
        assert!(is_failed(&last) && !is_rejected(&last), "no refusal outside the group of all");
    }
}

#[test]
fn a_deduplicated_set_up_fails_if_its_scope_has_no_other_server() {
    let mut front =
        Front::new(Settings { classes: vec![deduplicated(DedupScope::Cell, 5 * SECONDS)], ..settings() });
    let (server, _) = set_up(&front.request(1)).expect("sent");
    assert!(is_failed(&front.ended(1, server, Outcome::Error, false)), "no second server in the cell");
}

#[test]
fn a_deduplicated_set_up_of_all_servers_is_rejected_past_its_window() {
    let mut front =
        Front::new(Settings { classes: vec![deduplicated(DedupScope::All, 100 * MILLIS)], ..settings() });
    let (server, _) = set_up(&front.request(1)).expect("sent");
    front.advance(200 * MILLIS);
    assert!(
        is_rejected(&front.ended(1, server, Outcome::Error, false)),
        "past the window, harmless to refuse"
    );
}

/// A repeat takes time to arrive: sent as the window ends, it would run as a second one.
#[test]
fn a_retry_of_a_deduplicated_set_up_can_still_arrive_within_the_window() {
    let mut repeats = 0;
    for window in [50 * MILLIS, 100 * MILLIS, 250 * MILLIS, 500 * MILLIS, 2 * SECONDS] {
        for failed_after in (0..700).step_by(10) {
            let effect = Idempotency::Deduplicated { scope: DedupScope::All, window: Micros(window) };
            let mut front = Front::new(Settings { classes: vec![class(effect)], ..settings() });
            let first = front.now;
            let (server, _) = set_up(&front.request(1)).expect("sent");
            front.advance(failed_after * MILLIS);
            let actions = front.ended(1, server, Outcome::Error, false);
            if let Some((_, until)) = set_up(&actions) {
                repeats += 1;
                let left = first + window - front.now.min(first + window);
                assert!(left >= 100 * MILLIS, "{left} us before the end of a window of {window}");
                assert!(until <= first + window, "it may wait for a connection past a window of {window}");
            } else {
                assert!(is_rejected(&actions), "one answer at once");
            }
        }
    }
    assert!(repeats > 100, "{repeats} repeats, where there is time for them");
}

#[test]
fn never_two_attempts_in_flight() {
    let mut front = Front::new(settings());
    assert_eq!(set_ups(&front.request(1)), 1);
    for _ in 0..6 {
        front.advance(100 * MILLIS);
        assert_eq!(set_ups(&front.tick()), 0);
    }
}

#[test]
fn a_withdrawn_request_is_cancelled_and_not_answered() {
    let mut front = Front::new(settings());
    let (server, _) = set_up(&front.request(1)).expect("sent");
    assert_eq!(
        front.send(Event::Withdrawn(SessionId(1))),
        [Action::CancelAttempt { session: SessionId(1), attempt: Attempt(0) }]
    );
    assert_eq!(front.ended(1, server, Outcome::Cancelled, true), []);
    assert_eq!(front.send(Event::Withdrawn(SessionId(1))), []);
}

// 3. Drains are kept.

#[test]
fn nothing_new_goes_to_a_draining_or_removed_server() {
    let mut front = Front::new(settings());
    front.update_endpoint(0, EndpointState::Draining, 0);
    front.update_endpoint(1, EndpointState::Removed, 0);
    for id in 1..60 {
        front.advance(200 * MILLIS);
        if let Some((server, _)) = set_up(&front.request(id)) {
            assert!(server >= 2);
            front.started(id, server);
            front.ended(id, server, Outcome::Ok, true);
        }
    }
    let full = vec![entry(2, EndpointState::Ready, 0)];
    front.send(Event::EndpointsUpdated { kind: UpdateKind::Full, endpoints: full });
    assert!(set_up(&front.request(100)).is_some_and(|s| s.0 == 2), "absent from a full list is gone");
}

#[test]
fn a_subscription_is_made_at_once_and_renewed_after_a_failure() {
    let mut front = Front {
        policy: beechloft::policy::Policy::new(Settings { discovery: Discovery::Subscribe, ..settings() }, 1),
        now: SECONDS,
    };
    let first = front.send(Event::EndpointsUpdated { kind: UpdateKind::Cached, endpoints: vec![] });
    assert!(first.contains(&Action::Subscribe));
    let mut again = front.send(Event::EndpointsUpdated { kind: UpdateKind::Failed, endpoints: vec![] });
    for _ in 0..6 {
        front.advance(500 * MILLIS);
        again.extend(front.tick());
    }
    assert_eq!(again.iter().filter(|a| **a == Action::Subscribe).count(), 1);
}

// 4. Floors and seats.

#[test]
fn no_rung_below_the_class_minimum_or_above_the_viewers_maximum() {
    let floored = Class { min_rung: Rung(1), ..class(Idempotency::Idempotent) };
    let mut front = Front::new(Settings { classes: vec![floored], ..settings() });
    let mut out = Vec::new();
    for id in 1..200 {
        front.advance(50 * MILLIS);
        let req = Request { max_rung: Rung(1 + (id % 3) as u8), ..request(id, front.now) };
        let actions = front.send(Event::Request(req));
        if let Some((server, _)) = set_up(&actions) {
            front.started(id, server);
        }
        out.extend(actions);
        front.feedback((id % 4) as u32, Feedback::LinkUtilization(if id % 40 < 20 { 1.3 } else { 0.2 }));
        if id % 10 == 0 {
            out.extend(front.tick());
        }
    }
    for a in &out {
        if let Action::SetRung { session: s, rung: r } = a {
            assert!(r.0 >= 1 && u64::from(r.0) <= 1 + s.0 % 3, "{a:?}");
        }
    }
    let req = Request { max_rung: Rung(0), ..request(900, front.now) };
    assert!(is_rejected(&front.send(Event::Request(req))), "a viewer who can't use the floor is refused");
}

#[test]
fn the_title_limit_counts_set_ups_and_adopted_sessions() {
    let seated = Class { max_sessions_per_title: Some(2), ..class(Idempotency::Idempotent) };
    let mut front = Front::new(Settings { classes: vec![seated], ..settings() });
    front.adopt(50, 3);
    let (server, _) = set_up(&front.request(1)).expect("one seat is left");
    assert!(is_rejected(&front.request(2)));
    let other = Request { title: TitleId(8), ..request(3, front.now) };
    assert!(set_up(&front.send(Event::Request(other))).is_some(), "seats are for each title");
    front.send(Event::Withdrawn(SessionId(1)));
    assert!(is_rejected(&front.request(4)), "the seat is held until the outcome");
    front.ended(1, server, Outcome::Cancelled, true);
    assert!(set_up(&front.request(5)).is_some());
}

// 5. The budget for further attempts.

#[test]
fn retries_stay_within_the_budget_in_any_window() {
    let budget = RetryBudget { min_retries: 3.0, retry_ratio: 0.1, window: Micros(10 * SECONDS) };
    let mut front = Front::new(Settings { retry_budget: Some(budget), ..settings() });
    let (mut taken, mut extra) = (Vec::new(), Vec::new());
    for id in 1..600 {
        front.advance(50 * MILLIS);
        taken.push(front.now);
        let mut actions = front.request(id);
        let mut attempts = 0;
        while let Some((server, _)) = set_up(&actions) {
            attempts += 1;
            if attempts > 1 {
                extra.push(front.now);
                let since = |v: &[u64]| v.iter().filter(|t| front.now - **t < 10 * SECONDS).count() as f64;
                assert!(since(&extra) <= 3.0 + 0.1 * since(&taken) + 1e-9);
            }
            front.advance(MILLIS);
            if id % 4 != 0 {
                front.started(id, server);
                front.ended(id, server, Outcome::Ok, true);
                break;
            }
            actions = front.ended(id, server, Outcome::Error, false);
        }
        assert!(id % 4 != 0 || is_rejected(&actions));
    }
    assert!(extra.len() > 10, "further attempts are made: {}", extra.len());
}
