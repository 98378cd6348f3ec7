//! The hard cases one by one.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::shadow_unrelated)]

mod support;

use std::sync::Arc;

use beechloft_session::api::*;
use beechloft_session::io::*;
use beechloft_session::liveness::UNREACHABLE_TIMEOUT;
use beechloft_session::session::{GRACE, OVERDUE_MARGIN};
use support::*;

#[test]
fn a_session_is_set_up_and_plays_and_ends() {
    let mut front = Front::new(1);
    let (attempt, server, _) = set_up(&front.request(1, "title-1")).expect("a set-up");
    assert!([1, 3].contains(&server.0), "only holders get a set-up");
    let out = front.accept(attempt, server);
    assert!(matches!(replies(&out)[..], [Answer::Playing { .. }]));
    let out = front.input(Input::Delete { request: RequestId(50), session: SessionId(1), secret: Secret(7) });
    assert!(matches!(replies(&out)[..], [Answer::Deleted]));
    assert_eq!(released(&out), ["/r/1-0"]);
}

#[test]
fn unknown_titles_and_empty_holders_are_answered_at_once() {
    let mut front = Front::new(1);
    assert!(matches!(replies(&front.request(1, "nothing"))[..], [Answer::UnknownTitle]));
    assert!(matches!(replies(&front.request(2, "title-2"))[..], [Answer::Rejected(Some(_))]));
    let mut young = Front {
        controller: beechloft_session::SessionController::new(settings(), 1),
        now: SECOND,
        log: vec![],
    };
    assert!(matches!(replies(&young.request(1, "title-0"))[..], [Answer::Rejected(Some(_))]), "no list yet");
}

#[test]
fn an_answer_after_the_drop_is_undone_and_the_retry_waits_for_the_end_of_the_first_attempt() {
    let mut front = Front::new(1);
    let (attempt, server, until) = set_up(&front.request(1, "title-0")).expect("a set-up");
    front.now = until;
    assert!(set_up(&front.input(Input::Tick)).is_none(), "dropped is not over");
    front.now += GRACE.0 / 2;
    let out = front.attempt_ended(
        attempt,
        server,
        AttemptResult::Unusable { resource: "/late".into(), outcome: Outcome::Timeout },
    );
    assert_eq!(released(&out), ["/late"]);
    let (retry, elsewhere, _) = set_up(&out).expect("a retry");
    assert_eq!(retry.number, 1);
    assert_ne!(elsewhere, server);
}

#[test]
fn a_session_accepted_for_a_client_that_left_is_released() {
    let mut front = Front::new(1);
    let (attempt, server, _) = set_up(&front.request(1, "title-0")).expect("a set-up");
    let out = front.input(Input::ClientDisconnected(SessionId(1)));
    assert!(out.contains(&Output::Cancel(attempt)) && replies(&out).is_empty());
    let out = front.accept(attempt, server);
    assert!(replies(&out).is_empty());
    assert_eq!(released(&out), ["/r/1-0"]);
}

#[test]
fn an_answer_that_crossed_the_client_disconnecting_is_released() {
    let mut front = Front::new(1);
    front.play(1, "title-0");
    assert_eq!(released(&front.input(Input::ClientDisconnected(SessionId(1)))), ["/r/1-0"]);
    front.play(2, "title-0");
    assert_eq!(released(&front.input(Input::AnswerUndelivered(SessionId(2)))), ["/r/2-0"]);
    assert!(released(&front.input(Input::AnswerUndelivered(SessionId(2)))).is_empty(), "once");
}

#[test]
fn a_result_reported_twice_neither_ends_nor_duplicates_what_plays() {
    let mut front = Front::new(1);
    let (attempt, server, _) = set_up(&front.request(1, "title-0")).expect("a set-up");
    front.accept(attempt, server);
    assert!(front.accept(attempt, server).is_empty());
    let other = AttemptResult::Accepted { resource: "/other".into(), reply: Arc::default() };
    assert_eq!(released(&front.attempt_ended(attempt, server, other)), ["/other"], "nobody's");
}

#[test]
fn an_attempt_whose_end_is_not_reported_does_not_cost_the_client_the_answer() {
    let mut front = Front::new(1);
    let (attempt, server, until) = set_up(&front.request(1, "title-0")).expect("a set-up");
    front.now = until + GRACE.0 + OVERDUE_MARGIN.0;
    assert!(matches!(replies(&front.input(Input::Tick))[..], [Answer::Failed]));
    // Its late end is still taken, and what it set up is released.
    assert_eq!(released(&front.accept(attempt, server)), ["/r/1-0"]);
}

#[test]
fn a_repeated_offer_gets_the_same_session_or_is_in_progress() {
    let mut front = Front::new(1);
    let first =
        SessionRequest { idempotency_key: Some(IdempotencyKey(1, 2)), ..session_request(1, "title-0") };
    let second = SessionRequest { idempotency_key: first.idempotency_key, ..session_request(2, "title-0") };
    let (attempt, server, _) = set_up(&front.input(Input::Request(first))).expect("a set-up");
    assert!(matches!(replies(&front.input(Input::Request(second.clone())))[..], [Answer::InProgress]));
    front.accept(attempt, server);
    let third = SessionRequest { request: RequestId(3), session: SessionId(3), ..second };
    let out = front.input(Input::Request(third));
    assert!(matches!(replies(&out)[..], [Answer::Playing { session: SessionId(1), .. }]));
    assert!(set_up(&out).is_none(), "nothing new is set up");
    front.input(Input::Delete { request: RequestId(9), session: SessionId(1), secret: Secret(7) });
    let fourth =
        SessionRequest { idempotency_key: Some(IdempotencyKey(1, 2)), ..session_request(4, "title-0") };
    assert!(set_up(&front.input(Input::Request(fourth))).is_some(), "over: it is a new request");
}

#[test]
fn nothing_goes_to_a_media_server_once_it_is_known_to_drain() {
    let mut front = Front::new(1);
    front.input(Input::Endpoints(change(vec![
        media_server(1, EndpointState::Draining),
        media_server(3, EndpointState::Removed),
    ])));
    assert!(matches!(replies(&front.request(1, "title-1"))[..], [Answer::Rejected(_)]));
    // Named twice, the least ready state holds.
    front.input(Input::Endpoints(change(vec![
        media_server(3, EndpointState::Ready),
        media_server(3, EndpointState::Draining),
    ])));
    assert!(matches!(replies(&front.request(2, "title-1"))[..], [Answer::Rejected(_)]));
}

#[test]
fn losing_the_endpoint_list_never_empties_it() {
    let mut front = Front::new(1);
    for n in [4, 5] {
        front.input(Input::Endpoints(list_change(n)));
        assert_eq!(front.controller.catalog().servers().count(), 4);
        assert!(set_up(&front.request(u64::from(n), "title-0")).is_some());
    }
}

#[test]
fn a_lost_media_server_ends_its_sessions_at_once() {
    let mut front = Front::new(1);
    let server = front.play(1, "title-0");
    front.input(Input::MediaServer(server, MediaServerEvent::Connected { boot: 1 }));
    assert!(
        front.input(Input::MediaServer(server, MediaServerEvent::Disconnected)).is_empty(),
        "media may still flow"
    );
    assert!(front.input(Input::MediaServer(server, MediaServerEvent::Connected { boot: 1 })).is_empty());
    let out = front.input(Input::MediaServer(server, MediaServerEvent::Connected { boot: 2 }));
    assert!(
        out.contains(&Output::SessionEnded(SessionId(1), EndReason::ServerLost)) && released(&out).is_empty()
    );

    let server = front.play(2, "title-0");
    let out = front.input(Input::MediaServer(server, MediaServerEvent::ConnectionRefused));
    assert!(out.contains(&Output::SessionEnded(SessionId(2), EndReason::ServerLost)));
}

#[test]
fn an_unreachable_media_server_is_lost_after_its_timeout_and_what_it_may_still_run_is_released() {
    let mut front = Front::new(1);
    let server = front.play(1, "title-0");
    front.input(Input::MediaServer(server, MediaServerEvent::Disconnected));
    front.now += UNREACHABLE_TIMEOUT.0;
    let out = front.input(Input::Tick);
    assert!(out.contains(&Output::SessionEnded(SessionId(1), EndReason::ServerLost)));
    assert_eq!(released(&out), ["/r/1-0"]);
}

#[test]
fn a_removed_media_server_is_watched_until_its_last_session_is_over() {
    let mut front = Front::new(1);
    let server = front.play(1, "title-0");
    let gone = change(vec![media_server(server.0, EndpointState::Removed)]);
    assert!(!front.input(Input::Endpoints(gone)).contains(&Output::Unwatch(server)));
    let out =
        front.input(Input::MediaServer(server, MediaServerEvent::SessionEnded { resource: "/r/1-0".into() }));
    assert!(
        out.contains(&Output::SessionEnded(SessionId(1), EndReason::EndedByServer))
            && out.contains(&Output::Unwatch(server))
    );
}

#[test]
fn a_front_that_shuts_down_takes_nothing_new_and_answers_what_it_took() {
    let mut front = Front::new(1);
    let (attempt, server, _) = set_up(&front.request(1, "title-0")).expect("a set-up");
    front.input(Input::Shutdown);
    assert!(matches!(replies(&front.request(2, "title-0"))[..], [Answer::Rejected(_)]));
    assert!(!front.controller.is_idle());
    assert!(matches!(replies(&front.accept(attempt, server))[..], [Answer::Playing { .. }]));
    assert!(front.controller.is_idle());
}

#[test]
fn a_cap_on_the_rate_holds_the_rung_down() {
    let mut front = Front::new(1);
    let capped = SessionRequest { max_rate_kb: Some(460.0), ..session_request(1, "title-0") };
    let out = front.input(Input::Request(capped));
    let Some(Output::SetUp { rung, rate_kb, .. }) = out.iter().find(|o| matches!(o, Output::SetUp { .. }))
    else {
        panic!("no set-up")
    };
    assert!(rung.0 <= 1 && *rate_kb <= 450.0);
}

#[test]
fn a_client_at_fault_is_declined_and_its_media_server_is_not_ejected() {
    let mut front = Front::new(1);
    for n in 0..20 {
        let (attempt, server, _) =
            set_up(&front.request(n, "title-1")).expect("the media servers are not ejected");
        let out = front.attempt_ended(attempt, server, AttemptResult::Declined(401));
        assert!(matches!(replies(&out)[..], [Answer::Declined(401)]));
        assert!(set_up(&out).is_none(), "no retry goes to another media server");
        front.now += SECOND;
    }
    assert!(front.controller.is_idle());
}
