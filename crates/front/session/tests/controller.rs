//! Tests of the session controller, one situation each.

mod support;

use std::sync::Arc;

use beechloft_session::api::*;
use beechloft_session::io::*;
use beechloft_session::liveness::UNREACHABLE_TIMEOUT;
use beechloft_session::session::{GRACE, OVERDUE_MARGIN};
use support::*;

#[test]
fn session_plays_and_ends() {
    let mut front = Front::new(1);
    let (attempt, server, _) = set_up(&front.request(1, "title-1")).expect("a set-up");
    assert!([1, 3].contains(&server.0), "only holders are tried");
    let outputs = front.accept(attempt, server);
    assert!(matches!(answers(&outputs)[..], [Answer::Playing { .. }]));
    let delete_outputs =
        front.input(Input::Delete { request: RequestId(50), session: SessionId(1), secret: Secret(7) });
    assert!(matches!(answers(&delete_outputs)[..], [Answer::Deleted]));
    assert_eq!(released_resources(&delete_outputs), ["/r/1-0"]);
}

#[test]
fn rejects_unknown_title_and_title_without_holders() {
    let mut front = Front::new(1);
    assert!(matches!(answers(&front.request(1, "nothing"))[..], [Answer::UnknownTitle]));
    assert!(matches!(answers(&front.request(2, "title-2"))[..], [Answer::Rejected(Some(_))]));
    let mut without_list = Front {
        controller: beechloft_session::SessionController::new(settings(), 1),
        now: SECOND,
        output_log: vec![],
    };
    assert!(
        matches!(answers(&without_list.request(1, "title-0"))[..], [Answer::Rejected(Some(_))]),
        "no endpoint list was received"
    );
}

#[test]
fn releases_late_answer_and_retries_only_after_first_attempt_ended() {
    let mut front = Front::new(1);
    let (attempt, server, deadline) = set_up(&front.request(1, "title-0")).expect("a set-up");
    front.now = deadline;
    assert!(set_up(&front.input(Input::Tick)).is_none(), "the attempt was cancelled but has not ended");
    front.now += GRACE.0 / 2;
    let outputs = front.attempt_ended(
        attempt,
        server,
        AttemptResult::Unusable { resource: "/late".into(), outcome: Outcome::Timeout },
    );
    assert_eq!(released_resources(&outputs), ["/late"]);
    let (retry, retry_server, _) = set_up(&outputs).expect("a retry");
    assert_eq!(retry.number, 1);
    assert_ne!(retry_server, server);
}

#[test]
fn releases_session_accepted_after_client_disconnected() {
    let mut front = Front::new(1);
    let (attempt, server, _) = set_up(&front.request(1, "title-0")).expect("a set-up");
    let outputs = front.input(Input::ClientDisconnected(SessionId(1)));
    assert!(outputs.contains(&Output::Cancel(attempt)) && answers(&outputs).is_empty());
    let accept_outputs = front.accept(attempt, server);
    assert!(answers(&accept_outputs).is_empty());
    assert_eq!(released_resources(&accept_outputs), ["/r/1-0"]);
}

#[test]
fn releases_session_whose_answer_was_undelivered() {
    let mut front = Front::new(1);
    front.play(1, "title-0");
    assert_eq!(released_resources(&front.input(Input::ClientDisconnected(SessionId(1)))), ["/r/1-0"]);
    front.play(2, "title-0");
    assert_eq!(released_resources(&front.input(Input::AnswerUndelivered(SessionId(2)))), ["/r/2-0"]);
    assert!(
        released_resources(&front.input(Input::AnswerUndelivered(SessionId(2)))).is_empty(),
        "already released"
    );
}

#[test]
fn duplicate_result_does_not_affect_playing_session() {
    let mut front = Front::new(1);
    let (attempt, server, _) = set_up(&front.request(1, "title-0")).expect("a set-up");
    front.accept(attempt, server);
    assert!(front.accept(attempt, server).is_empty());
    let other = AttemptResult::Accepted { resource: "/other".into(), reply: Arc::default() };
    assert_eq!(
        released_resources(&front.attempt_ended(attempt, server, other)),
        ["/other"],
        "a resource without a session"
    );
}

#[test]
fn answers_client_when_end_of_attempt_is_not_reported() {
    let mut front = Front::new(1);
    let (attempt, server, deadline) = set_up(&front.request(1, "title-0")).expect("a set-up");
    front.now = deadline + GRACE.0 + OVERDUE_MARGIN.0;
    assert!(matches!(answers(&front.input(Input::Tick))[..], [Answer::Failed]));
    // The late end is still handled, and the session that was set up is released.
    assert_eq!(released_resources(&front.accept(attempt, server)), ["/r/1-0"]);
}

#[test]
fn repeated_offer_yields_same_session() {
    let mut front = Front::new(1);
    let first =
        SessionRequest { idempotency_key: Some(IdempotencyKey(1, 2)), ..session_request(1, "title-0") };
    let second = SessionRequest { idempotency_key: first.idempotency_key, ..session_request(2, "title-0") };
    let (attempt, server, _) = set_up(&front.input(Input::Request(first))).expect("a set-up");
    assert!(matches!(answers(&front.input(Input::Request(second.clone())))[..], [Answer::InProgress]));
    front.accept(attempt, server);
    let third = SessionRequest { request: RequestId(3), session: SessionId(3), ..second };
    let outputs = front.input(Input::Request(third));
    assert!(matches!(answers(&outputs)[..], [Answer::Playing { session: SessionId(1), .. }]));
    assert!(set_up(&outputs).is_none(), "no further set-up");
    front.input(Input::Delete { request: RequestId(9), session: SessionId(1), secret: Secret(7) });
    let fourth =
        SessionRequest { idempotency_key: Some(IdempotencyKey(1, 2)), ..session_request(4, "title-0") };
    assert!(
        set_up(&front.input(Input::Request(fourth))).is_some(),
        "the session has ended, so the offer counts as new"
    );
}

#[test]
fn draining_and_removed_media_servers_get_no_attempts() {
    let mut front = Front::new(1);
    front.input(Input::Endpoints(change(vec![
        media_server(1, EndpointState::Draining),
        media_server(3, EndpointState::Removed),
    ])));
    assert!(matches!(answers(&front.request(1, "title-1"))[..], [Answer::Rejected(_)]));
    // The least ready state of a duplicate entry applies.
    front.input(Input::Endpoints(change(vec![
        media_server(3, EndpointState::Ready),
        media_server(3, EndpointState::Draining),
    ])));
    assert!(matches!(answers(&front.request(2, "title-1"))[..], [Answer::Rejected(_)]));
}

#[test]
fn failed_or_empty_update_keeps_endpoint_list() {
    let mut front = Front::new(1);
    for n in [4, 5] {
        front.input(Input::Endpoints(endpoint_update(n)));
        assert_eq!(front.controller.catalog().servers().count(), 4);
        assert!(set_up(&front.request(u64::from(n), "title-0")).is_some());
    }
}

#[test]
fn exited_media_server_ends_its_sessions() {
    let mut front = Front::new(1);
    let server = front.play(1, "title-0");
    front.input(Input::MediaServer(server, MediaServerEvent::Connected { boot: 1 }));
    assert!(
        front.input(Input::MediaServer(server, MediaServerEvent::Disconnected)).is_empty(),
        "media may still be flowing"
    );
    assert!(front.input(Input::MediaServer(server, MediaServerEvent::Connected { boot: 1 })).is_empty());
    let outputs = front.input(Input::MediaServer(server, MediaServerEvent::Connected { boot: 2 }));
    assert!(
        outputs.contains(&Output::SessionEnded(SessionId(1), EndReason::ServerLost))
            && released_resources(&outputs).is_empty()
    );

    let refusing_server = front.play(2, "title-0");
    let refused_outputs =
        front.input(Input::MediaServer(refusing_server, MediaServerEvent::ConnectionRefused));
    assert!(refused_outputs.contains(&Output::SessionEnded(SessionId(2), EndReason::ServerLost)));
}

#[test]
fn unreachable_media_server_is_lost_and_its_sessions_released() {
    let mut front = Front::new(1);
    let server = front.play(1, "title-0");
    front.input(Input::MediaServer(server, MediaServerEvent::Disconnected));
    front.now += UNREACHABLE_TIMEOUT.0;
    let outputs = front.input(Input::Tick);
    assert!(outputs.contains(&Output::SessionEnded(SessionId(1), EndReason::ServerLost)));
    assert_eq!(released_resources(&outputs), ["/r/1-0"]);
}

#[test]
fn removed_media_server_is_watched_until_last_session_ended() {
    let mut front = Front::new(1);
    let server = front.play(1, "title-0");
    let removal = change(vec![media_server(server.0, EndpointState::Removed)]);
    assert!(!front.input(Input::Endpoints(removal)).contains(&Output::Unwatch(server)));
    let outputs =
        front.input(Input::MediaServer(server, MediaServerEvent::SessionEnded { resource: "/r/1-0".into() }));
    assert!(
        outputs.contains(&Output::SessionEnded(SessionId(1), EndReason::EndedByServer))
            && outputs.contains(&Output::Unwatch(server))
    );
}

#[test]
fn shutdown_rejects_new_requests_and_answers_pending_ones() {
    let mut front = Front::new(1);
    let (attempt, server, _) = set_up(&front.request(1, "title-0")).expect("a set-up");
    front.input(Input::Shutdown);
    assert!(matches!(answers(&front.request(2, "title-0"))[..], [Answer::Rejected(_)]));
    assert!(!front.controller.is_idle());
    assert!(matches!(answers(&front.accept(attempt, server))[..], [Answer::Playing { .. }]));
    assert!(front.controller.is_idle());
}

#[test]
fn rate_limit_of_client_limits_rung() {
    let mut front = Front::new(1);
    let limited = SessionRequest { max_rate_kb: Some(460.0), ..session_request(1, "title-0") };
    let outputs = front.input(Input::Request(limited));
    let Some(Output::SetUp { rung, rate_kb, .. }) =
        outputs.iter().find(|output| matches!(output, Output::SetUp { .. }))
    else {
        panic!("no set-up")
    };
    assert!(rung.0 <= 1 && *rate_kb <= 450.0);
}

#[test]
fn declined_requests_do_not_eject_media_server() {
    let mut front = Front::new(1);
    for n in 0..20 {
        let (attempt, server, _) =
            set_up(&front.request(n, "title-1")).expect("the media servers are not ejected");
        let outputs = front.attempt_ended(attempt, server, AttemptResult::Declined(401));
        assert!(matches!(answers(&outputs)[..], [Answer::Declined(401)]));
        assert!(set_up(&outputs).is_none(), "no retry at another media server");
        front.now += SECOND;
    }
    assert!(front.controller.is_idle());
}
