//! Tests of the rules that the policy guarantees. Those of slow start are in `slow_start.rs`.

mod support;

use beechloft::api::{
    Action, Attempt, Class, ClassId, DedupScope, Discovery, EndpointState, Event, Feedback, Idempotency,
    Micros, Outcome, Request, RetryBudget, Rung, SessionId, Settings, TitleId, UpdateKind,
};
use support::{
    Front, MILLIS, SECONDS, class, endpoint, is_failed, is_rejected, request, set_up, set_ups, settings,
};

// Each request gets an answer.

#[test]
fn failed_attempt_leads_to_retry_or_one_prompt_answer() {
    let mut front = Front::new(settings());
    let mut actions = front.request(1);
    let mut attempts = 0;
    while let Some((server, deadline)) = set_up(&actions) {
        assert!(deadline <= front.now + 800 * MILLIS, "an attempt exceeds the latency objective");
        assert!(!is_rejected(&actions) && !is_failed(&actions));
        attempts += 1;
        front.now = deadline;
        actions = front.ended(1, server, Outcome::Timeout, false);
    }
    assert!(attempts >= 2, "an unresponsive server leaves time for a retry");
    let is_answer = |action: &&Action| matches!(action, Action::Reject { .. } | Action::Fail(..));
    assert_eq!(actions.iter().filter(is_answer).count(), 1);
    assert!(front.now < 100 * SECONDS + 4 * SECONDS, "the answer does not wait for the viewer's deadline");
}

#[test]
fn request_without_outcome_fails_at_deadline() {
    let mut front = Front::new(settings());
    assert!(set_up(&front.request(1)).is_some());
    front.advance(4 * SECONDS);
    assert!(is_failed(&front.tick()));
    front.advance(SECONDS);
    assert!(!is_failed(&front.tick()), "the request is answered only once");
}

#[test]
fn fails_request_of_unknown_class() {
    let mut front = Front::new(settings());
    let request = Request { class: ClassId(9), ..request(1, front.now) };
    assert!(is_failed(&front.send(Event::Request(request))));
}

#[test]
fn rejection_is_immediate_and_has_retry_after() {
    let mut front = Front::new(settings());
    let request = Request { cell_count: 0, ..request(1, front.now) };
    let actions = front.send(Event::Request(request));
    assert_eq!(actions, [Action::Reject { session: SessionId(1), retry_after: Some(Micros(500 * MILLIS)) }]);
}

// No set-up is executed twice.

#[test]
fn at_most_once_set_up_fails_after_it_may_have_run() {
    for outcome in [Outcome::Timeout, Outcome::Error, Outcome::Reset] {
        let mut front = Front::new(Settings { classes: vec![class(Idempotency::AtMostOnce)], ..settings() });
        let (server, _) = set_up(&front.request(1)).expect("an attempt");
        let actions = front.ended(1, server, outcome, false);
        assert!(set_up(&actions).is_none() && !is_rejected(&actions) && is_failed(&actions), "{outcome:?}");
    }
}

#[test]
fn at_most_once_set_up_is_retried_if_it_never_ran() {
    for outcome in [Outcome::Overloaded, Outcome::ConnectFailed] {
        let mut front = Front::new(Settings { classes: vec![class(Idempotency::AtMostOnce)], ..settings() });
        let (server, _) = set_up(&front.request(1)).expect("an attempt");
        let (second, _) = set_up(&front.ended(1, server, outcome, false)).expect("a retry");
        assert_ne!(server, second);
    }
}

fn deduplicated(scope: DedupScope, window: u64) -> Class {
    class(Idempotency::Deduplicated { scope, window: Micros(window) })
}

#[test]
fn deduplicated_set_up_stays_in_scope() {
    for seed in 0..20 {
        let mut front =
            Front::new(Settings { classes: vec![deduplicated(DedupScope::Zone, 5 * SECONDS)], ..settings() });
        front.now += seed * 7 * MILLIS;
        let (server, _) = set_up(&front.request(1)).expect("an attempt");
        let actions = front.ended(1, server, Outcome::Error, false);
        let (second, _) = set_up(&actions).expect("a retry");
        assert_eq!(second % 2, server % 2, "the retry goes to another zone");
        let last = front.ended(1, second, Outcome::Error, false);
        assert!(is_failed(&last) && !is_rejected(&last), "a viewer may not repeat it elsewhere");
    }
}

#[test]
fn deduplicated_set_up_fails_without_other_server_in_scope() {
    let mut front =
        Front::new(Settings { classes: vec![deduplicated(DedupScope::Cell, 5 * SECONDS)], ..settings() });
    let (server, _) = set_up(&front.request(1)).expect("an attempt");
    assert!(is_failed(&front.ended(1, server, Outcome::Error, false)), "the cell has no second server");
}

#[test]
fn globally_deduplicated_set_up_is_rejected_after_window() {
    let mut front =
        Front::new(Settings { classes: vec![deduplicated(DedupScope::All, 100 * MILLIS)], ..settings() });
    let (server, _) = set_up(&front.request(1)).expect("an attempt");
    front.advance(200 * MILLIS);
    assert!(
        is_rejected(&front.ended(1, server, Outcome::Error, false)),
        "no retry, but a rejection after the window"
    );
}

/// A retry takes time to arrive. Guards against one that is sent near the end of the window and runs as a
/// second set-up.
#[test]
fn retry_of_deduplicated_set_up_arrives_within_window() {
    let mut retries = 0;
    for window in [50 * MILLIS, 100 * MILLIS, 250 * MILLIS, 500 * MILLIS, 2 * SECONDS] {
        for failed_after in (0..700).step_by(10) {
            let classes = vec![deduplicated(DedupScope::All, window)];
            let mut front = Front::new(Settings { classes, ..settings() });
            let window_end = front.now + window;
            let (server, _) = set_up(&front.request(1)).expect("an attempt");
            front.advance(failed_after * MILLIS);
            let actions = front.ended(1, server, Outcome::Error, false);
            if let Some((_, deadline)) = set_up(&actions) {
                retries += 1;
                let left = window_end - front.now.min(window_end);
                assert!(left >= 100 * MILLIS, "{left} us before the end of a window of {window} us");
                assert!(deadline <= window_end, "the retry may wait for a connection after the window");
            } else {
                assert!(is_rejected(&actions), "the request is answered at once");
            }
        }
    }
    assert!(retries > 100, "{retries} retries");
}

#[test]
fn has_one_attempt_in_flight() {
    let mut front = Front::new(settings());
    assert_eq!(set_ups(&front.request(1)), 1);
    for _ in 0..6 {
        front.advance(100 * MILLIS);
        assert_eq!(set_ups(&front.tick()), 0);
    }
}

#[test]
fn withdrawn_request_is_cancelled_and_not_answered() {
    let mut front = Front::new(settings());
    let (server, _) = set_up(&front.request(1)).expect("an attempt");
    assert_eq!(
        front.send(Event::Withdrawn(SessionId(1))),
        [Action::CancelAttempt { session: SessionId(1), attempt: Attempt(0) }]
    );
    assert_eq!(front.ended(1, server, Outcome::Cancelled, true), []);
    assert_eq!(front.send(Event::Withdrawn(SessionId(1))), []);
}

// Draining servers get no new sessions.

#[test]
fn draining_and_removed_servers_get_no_sessions() {
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
    let full = vec![endpoint(2, EndpointState::Ready, 0)];
    front.send(Event::EndpointsUpdated { kind: UpdateKind::Full, endpoints: full });
    let server = set_up(&front.request(100)).map(|(server, _)| server);
    assert_eq!(server, Some(2), "only server 2 is on the full list");
}

#[test]
fn subscribes_at_start_and_after_failure() {
    let mut front = Front {
        policy: beechloft::policy::Policy::new(Settings { discovery: Discovery::Subscribe, ..settings() }, 1),
        now: SECONDS,
    };
    let first = front.send(Event::EndpointsUpdated { kind: UpdateKind::Cached, endpoints: vec![] });
    assert!(first.contains(&Action::Subscribe));
    let mut later = front.send(Event::EndpointsUpdated { kind: UpdateKind::Failed, endpoints: vec![] });
    for _ in 0..6 {
        front.advance(500 * MILLIS);
        later.extend(front.tick());
    }
    assert_eq!(later.iter().filter(|action| **action == Action::Subscribe).count(), 1);
}

// Rungs and sessions of a title stay within their limits.

#[test]
fn rungs_stay_between_class_minimum_and_viewer_maximum() {
    let class = Class { min_rung: Rung(1), ..class(Idempotency::Idempotent) };
    let mut front = Front::new(Settings { classes: vec![class], ..settings() });
    let mut all_actions = Vec::new();
    for id in 1..200 {
        front.advance(50 * MILLIS);
        let request = Request { max_rung: Rung(1 + (id % 3) as u8), ..request(id, front.now) };
        let actions = front.send(Event::Request(request));
        if let Some((server, _)) = set_up(&actions) {
            front.started(id, server);
        }
        all_actions.extend(actions);
        let utilization = if id % 40 < 20 { 1.3 } else { 0.2 };
        front.feedback((id % 4) as u32, Feedback::LinkUtilization(utilization));
        if id % 10 == 0 {
            all_actions.extend(front.tick());
        }
    }
    for action in &all_actions {
        if let Action::SetRung { session, rung } = action {
            assert!(rung.0 >= 1 && u64::from(rung.0) <= 1 + session.0 % 3, "{action:?}");
        }
    }
    let request = Request { max_rung: Rung(0), ..request(900, front.now) };
    assert!(is_rejected(&front.send(Event::Request(request))), "the viewer can't use the lowest rung");
}

#[test]
fn title_limit_counts_set_ups_and_adopted_sessions() {
    let class = Class { max_sessions_per_title: Some(2), ..class(Idempotency::Idempotent) };
    let mut front = Front::new(Settings { classes: vec![class], ..settings() });
    front.adopt(50, 3);
    let (server, _) = set_up(&front.request(1)).expect("one more session is allowed");
    assert!(is_rejected(&front.request(2)));
    let other_title = Request { title: TitleId(8), ..request(3, front.now) };
    assert!(set_up(&front.send(Event::Request(other_title))).is_some(), "each title has its own limit");
    front.send(Event::Withdrawn(SessionId(1)));
    assert!(is_rejected(&front.request(4)), "the session counts until its attempt ends");
    front.ended(1, server, Outcome::Cancelled, true);
    assert!(set_up(&front.request(5)).is_some());
}

// Retries stay within their budget.

#[test]
fn retries_stay_within_budget_in_any_window() {
    let budget = RetryBudget { min_retries: 3.0, retry_ratio: 0.1, window: Micros(10 * SECONDS) };
    let mut front = Front::new(Settings { retry_budget: Some(budget), ..settings() });
    let mut requested = Vec::new();
    let mut retried = Vec::new();
    for id in 1..600 {
        front.advance(50 * MILLIS);
        requested.push(front.now);
        let mut actions = front.request(id);
        let mut attempts = 0;
        while let Some((server, _)) = set_up(&actions) {
            attempts += 1;
            if attempts > 1 {
                retried.push(front.now);
                let count_recent =
                    |times: &[u64]| times.iter().filter(|at| front.now - **at < 10 * SECONDS).count() as f64;
                assert!(count_recent(&retried) <= 3.0 + 0.1 * count_recent(&requested) + 1e-9);
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
    assert!(retried.len() > 10, "{} retries", retried.len());
}
