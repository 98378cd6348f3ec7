//! Single cases of the state machine: set-ups, releases, timeouts, endpoint lists and health checks.

mod support;

use beechloft::api::Micros;
use beechloft_front_node::{AttemptFailure, ConnectionUse, Input, Output, ViewerConnection};
use beechloft_protocol::bus::{Status, Topology};
use beechloft_protocol::server::{FromServer, ServerMessage};
use beechloft_protocol::viewer::{FromViewer, SetUp, SetUpError, ToViewer};
use beechloft_protocol::{CallId, Cause};
use support::{Harness, SETTINGS, endpoint, server_message, set_up};

/// Returns the messages to viewers, with the number of the connection that each is sent on.
fn messages_to_viewers(outputs: &[Output]) -> Vec<(u64, ToViewer)> {
    let sent = |output: &Output| match output {
        Output::SendToViewer(connection, message) => Some((connection.0, message.clone())),
        _ => None,
    };
    outputs.iter().filter_map(sent).collect()
}

/// Returns the lines to media servers without their line feeds.
fn lines_to_servers(outputs: &[Output]) -> Vec<String> {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim_end().to_owned();
    let sent = |output: &Output| match output {
        Output::SendToServer(_, _, bytes) | Output::SendSetUp { line: bytes, .. } => Some(text(bytes)),
        Output::AbandonAttempt { line, .. } => Some(text(line)),
        _ => None,
    };
    outputs.iter().filter_map(sent).collect()
}

#[test]
fn forwards_answer_unchanged_and_releases_on_set_up_connection() {
    let mut harness = Harness::new(1, 4);
    let offer = lines_to_servers(&harness.set_up(5, 7, 2_000));
    assert!(offer[0].contains(r#""op":"offer","call":"0000000000000007""#), "{offer:?}");
    let incarnation = harness.in_flight[&CallId(7)];
    let text = "odd \u{1f37a} \r\n\t\"\\";
    let accept = server_message(FromServer::Accept(CallId(7), text.into()));
    let answer = harness.handle(Input::ServerMessage(incarnation, accept));
    assert_eq!(messages_to_viewers(&answer), [(5, ToViewer::Answer(CallId(7), text.into()))]);
    let release = harness.end(incarnation, 7, Cause::Normal);
    assert_eq!(messages_to_viewers(&release), [(5, ToViewer::Release(CallId(7), Cause::Normal))]);
    // A duplicate of the end has no effect.
    assert_eq!(messages_to_viewers(&harness.end(incarnation, 7, Cause::Normal)), []);
    assert_eq!((harness.node.counts().established, harness.node.counts().pending), (0, 0));
}

#[test]
fn release_uses_other_answered_connection_or_waits_for_one() {
    let mut harness = Harness::new(1, 4);
    harness.set_up(5, 7, 2_000);
    harness.accept(7);
    harness.set_up(6, 8, 2_000);
    harness.accept(8);
    harness.handle(Input::ViewerConnectionClosed(ViewerConnection(5)));
    let incarnation_of_7 = harness.established[&CallId(7)];
    let release_of_7 = harness.end(incarnation_of_7, 7, Cause::TemporaryFailure);
    assert_eq!(
        messages_to_viewers(&release_of_7),
        [(6, ToViewer::Release(CallId(7), Cause::TemporaryFailure))]
    );
    harness.handle(Input::ViewerConnectionClosed(ViewerConnection(6)));
    let incarnation_of_8 = harness.established[&CallId(8)];
    assert_eq!(messages_to_viewers(&harness.end(incarnation_of_8, 8, Cause::Normal)), []);
    // A malformed set-up does not qualify its connection for releases.
    let malformed = FromViewer::SetUp(CallId(9), Err(SetUpError::Missing(1)));
    let rejection = harness.handle(Input::ViewerMessage(ViewerConnection(9), malformed));
    assert_eq!(messages_to_viewers(&rejection), [(9, ToViewer::Release(CallId(9), Cause::MissingElement))]);
    // Neither does a valid set-up that fails.
    harness.set_up(10, 11, 2_000);
    for _ in 0..3 {
        let refusing = harness.in_flight[&CallId(11)];
        assert!(
            messages_to_viewers(&harness.end(refusing, 11, Cause::ResourceUnavailable))
                .iter()
                .all(|(_, message)| *message != ToViewer::Release(CallId(8), Cause::Normal))
        );
    }
    assert_eq!(harness.node.connection_use(ViewerConnection(10)), ConnectionUse::None);
    harness.advance(3_000);
    harness.set_up(12, 13, 2_000);
    let sent = messages_to_viewers(&harness.accept(13));
    assert!(sent.contains(&(12, ToViewer::Release(CallId(8), Cause::Normal))), "{sent:?}");
    assert_eq!(harness.node.connection_use(ViewerConnection(12)), ConnectionUse::Established);
}

#[test]
fn timed_out_attempt_is_abandoned_before_retry() {
    let mut harness = Harness::new(3, 4);
    harness.set_up(1, 7, 3_000);
    let first = harness.in_flight[&CallId(7)];
    harness.advance(500);
    let second = harness.in_flight[&CallId(7)];
    assert_ne!(first, second);
    // The late answer of the first media server is not forwarded, and its session is released there.
    let late_accept = server_message(FromServer::Accept(CallId(7), "late".into()));
    let after_late_accept = harness.handle(Input::ServerMessage(first, late_accept));
    assert_eq!(messages_to_viewers(&after_late_accept), []);
    let lines = lines_to_servers(&after_late_accept);
    assert!(lines[0].contains(r#""op":"end","call":"0000000000000007","with":{},"why":16"#));
    assert_eq!(messages_to_viewers(&harness.accept(7)).len(), 1);
}

#[test]
fn rejects_with_retry_after_when_all_servers_refuse() {
    let mut harness = Harness::new(3, 4);
    harness.set_up(1, 7, 3_000);
    let requested_at = harness.now;
    for _ in 0..3 {
        let incarnation = harness.in_flight[&CallId(7)];
        harness.end(incarnation, 7, Cause::NoCircuit);
    }
    assert_eq!(
        harness.answers[&CallId(7)],
        [ToViewer::ReleaseWithRetryAfter(CallId(7), Cause::NoCircuit, 500)]
    );
    assert_eq!(harness.now, requested_at);
}

#[test]
fn withdrawn_set_up_is_abandoned_and_not_answered() {
    let mut harness = Harness::new(3, 4);
    harness.set_up(1, 7, 3_000);
    let release = FromViewer::Release(CallId(7));
    let after_release = harness.handle(Input::ViewerMessage(ViewerConnection(1), release));
    assert_eq!(messages_to_viewers(&after_release), [(1, ToViewer::ReleaseComplete(CallId(7)))]);
    assert!(lines_to_servers(&after_release)[0].contains(r#""op":"end""#));
    assert!(harness.in_flight.is_empty());
    // Closing the connection has the same effect.
    harness.set_up(2, 8, 3_000);
    harness.pending.clear();
    let after_close = harness.handle(Input::ViewerConnectionClosed(ViewerConnection(2)));
    assert!(lines_to_servers(&after_close)[0].contains(r#""op":"end""#));
    assert_eq!((harness.node.counts().pending, harness.node.counts().abandoned), (0, 0));
}

#[test]
fn accepts_release_on_any_connection() {
    let mut harness = Harness::new(3, 4);
    harness.set_up(1, 7, 3_000);
    harness.accept(7);
    let release = |id| Input::ViewerMessage(ViewerConnection(44), FromViewer::Release(CallId(id)));
    let released = harness.handle(release(7));
    assert_eq!(messages_to_viewers(&released), [(44, ToViewer::ReleaseComplete(CallId(7)))]);
    assert!(lines_to_servers(&released)[0].contains(r#""op":"end""#));
    assert_eq!(harness.node.counts().established, 0);
    let unknown = harness.handle(release(99));
    assert_eq!(unknown, [Output::SendToViewer(ViewerConnection(44), ToViewer::ReleaseComplete(CallId(99)))]);
}

#[test]
fn undelivered_answer_ends_session_at_server() {
    let mut harness = Harness::new(3, 4);
    harness.set_up(1, 7, 3_000);
    harness.accept(7);
    harness.set_up(2, 8, 3_000);
    harness.accept(8);
    let incarnation = harness.established[&CallId(7)];
    harness.handle(Input::ViewerConnectionClosed(ViewerConnection(1)));
    let outputs = harness.handle(Input::AnswerUndelivered(CallId(7)));
    let lines = lines_to_servers(&outputs);
    assert!(lines[0].contains(r#""op":"end","call":"0000000000000007""#), "{outputs:?}");
    assert_eq!(messages_to_viewers(&outputs), [(2, ToViewer::Release(CallId(7), Cause::TemporaryFailure))]);
    // The media server's own message about the end, and a repeated input, have no effect.
    assert_eq!(messages_to_viewers(&harness.end(incarnation, 7, Cause::Normal)), []);
    assert_eq!(harness.handle(Input::AnswerUndelivered(CallId(7))), []);
    assert_eq!(harness.node.counts().established, 1);
}

#[test]
fn duplicate_set_up_gets_no_answer_and_keeps_first() {
    let mut harness = Harness::new(3, 4);
    harness.set_up(1, 7, 3_000);
    let duplicate = || FromViewer::SetUp(CallId(7), Ok(set_up(99, 3_000)));
    assert_eq!(harness.handle(Input::ViewerMessage(ViewerConnection(1), duplicate())), []);
    assert_eq!(
        harness.handle(Input::ViewerMessage(ViewerConnection(2), duplicate())),
        [Output::CloseViewerConnection(ViewerConnection(2))]
    );
    assert_eq!(
        messages_to_viewers(&harness.accept(7)),
        [(1, ToViewer::Answer(CallId(7), "answer 0000000000000007".into()))]
    );
}

#[test]
fn rejects_invalid_set_up_without_policy() {
    let mut harness = Harness::new(3, 4);
    let mut id = 100;
    let mut assert_rejected = |change: &dyn Fn(&mut SetUp)| {
        id += 1;
        let mut setup = set_up(id, 3_000);
        change(&mut setup);
        let message = FromViewer::SetUp(CallId(id), Ok(setup));
        let outputs = harness.handle(Input::ViewerMessage(ViewerConnection(1), message));
        assert_eq!(
            messages_to_viewers(&outputs),
            [(1, ToViewer::Release(CallId(id), Cause::InvalidElement))]
        );
        assert_eq!(outputs.len(), 1);
    };
    assert_rejected(&|setup| setup.class = "nobody".into());
    assert_rejected(&|setup| setup.attributes.home_cell = 4);
    assert_rejected(&|setup| setup.attributes.copies = 0);
    assert_rejected(&|setup| setup.attributes.copies = 5);
    assert_rejected(&|setup| setup.description = "\u{1}".repeat(8_000));
}

#[test]
fn server_down_ends_only_its_own_sessions() {
    let mut harness = Harness::new(3, 4);
    for id in 1..=12 {
        harness.set_up(1, id, 3_000);
        harness.accept(id);
    }
    let down = harness.established[&CallId(1)];
    let sessions_at_down = harness.established.values().filter(|incarnation| **incarnation == down).count();
    let outputs = harness.handle(Input::ServerDown(down));
    assert_eq!(messages_to_viewers(&outputs).len(), sessions_at_down);
    assert_eq!(harness.node.counts().established, 12 - sessions_at_down);
    assert_eq!(messages_to_viewers(&harness.handle(Input::ServerDown(down))), []);
}

#[test]
fn new_server_at_same_address_inherits_no_sessions() {
    let mut harness = Harness::new(3, 1);
    harness.set_up(1, 7, 3_000);
    harness.accept(7);
    let previous = harness.established[&CallId(7)];
    let mut successor = endpoint(9, Status::Ready);
    successor.address = endpoint(0, Status::Ready).address;
    let outputs = harness.update_endpoints(vec![endpoint(0, Status::Gone), successor]);
    assert_eq!(messages_to_viewers(&outputs), [(1, ToViewer::Release(CallId(7), Cause::TemporaryFailure))]);
    assert!(outputs.contains(&Output::RemoveIncarnation(previous)), "{outputs:?}");
    assert!(!harness.incarnations.contains_key(&previous) && harness.incarnations.len() == 1);
}

#[test]
fn restart_on_endpoint_list_ends_earlier_sessions() {
    let mut harness = Harness::new(3, 1);
    harness.set_up(1, 7, 3_000);
    harness.accept(7);
    let mut restarted = endpoint(0, Status::Ready);
    restarted.started_ms = harness.now.0 / 1000;
    let after_restart = harness.update_endpoints(vec![restarted.clone()]);
    assert_eq!(messages_to_viewers(&after_restart).len(), 1);
    // The same start on a later list is not another restart.
    let repeated = Topology { snapshot: true, endpoints: vec![restarted] };
    assert_eq!(harness.handle(Input::Topology(repeated)), []);
}

#[test]
fn removed_servers_leave_no_state() {
    let mut harness = Harness::new(3, 2);
    let incarnations = harness.node.counts().incarnations;
    for index in 10..400 {
        harness.update_endpoints(vec![endpoint(index, Status::Ready)]);
        harness.update_endpoints(vec![endpoint(index, Status::Terminating)]);
        harness.update_endpoints(vec![endpoint(index, Status::Gone)]);
        harness.advance(100);
    }
    assert_eq!(harness.node.counts().incarnations, incarnations);
    assert_eq!(harness.incarnations.len(), incarnations);
    assert!(harness.node.counts().timers < 20, "{:?}", harness.node.counts());
}

#[test]
fn adopted_session_keeps_connection_and_accepts_repetition() {
    let mut harness = Harness::new(3, 2);
    let adopted = harness.hand_over(1, 7, 1);
    let [Output::KeepConnected(incarnation, true)] = adopted[..] else { panic!("{adopted:?}") };
    assert_eq!(harness.hand_over(1, 7, 1), []);
    assert_eq!(harness.node.counts().established, 1);
    let ended = harness.end(incarnation, 7, Cause::Normal);
    assert_eq!(messages_to_viewers(&ended), [(1, ToViewer::Release(CallId(7), Cause::Normal))]);
}

#[test]
fn health_check_fails_after_sigterm_while_set_ups_are_served() {
    let mut harness = Harness::new(3, 2);
    let health_check = || Input::ViewerMessage(ViewerConnection(1), FromViewer::Test(CallId(1)));
    let passed = harness.handle(health_check());
    assert_eq!(messages_to_viewers(&passed), [(1, ToViewer::TestResult(CallId(1), true))]);
    harness.handle(Input::Terminate);
    let failed = harness.handle(health_check());
    assert_eq!(messages_to_viewers(&failed), [(1, ToViewer::TestResult(CallId(1), false))]);
    harness.set_up(2, 7, 3_000);
    assert_eq!(messages_to_viewers(&harness.accept(7)).len(), 1);
}

/// All four media servers report full links with their refusals, so the policy sends no further set-up to them.
#[test]
fn load_report_of_refusal_reaches_policy() {
    let mut harness = Harness::new(3, 4);
    for id in 1..=4 {
        harness.set_up(1, id, 3_000);
        if let Some(incarnation) = harness.in_flight.get(&CallId(id)).copied() {
            let refusal = ServerMessage {
                event: FromServer::End(CallId(id), Cause::ResourceUnavailable),
                load: Some("utilization:1.1;x1:1.1".into()),
            };
            harness.handle(Input::ServerMessage(incarnation, refusal));
        }
    }
    let outputs = harness.set_up(1, 50, 3_000);
    assert!(
        matches!(
            messages_to_viewers(&outputs)[..],
            [(1, ToViewer::ReleaseWithRetryAfter(CallId(50), Cause::NoCircuit, _))]
        ),
        "{outputs:?}"
    );
}

#[test]
fn failed_connection_is_retried_at_other_server() {
    let mut harness = Harness::new(3, 4);
    harness.set_up(1, 7, 3_000);
    let first = harness.in_flight[&CallId(7)];
    harness.handle(Input::AttemptFailed(first, CallId(7), AttemptFailure::NoConnection));
    assert_ne!(harness.in_flight[&CallId(7)], first);
}

/// Guards against treating all media servers as removed if a complete endpoint list is empty, which would end every
/// session and reject all set-ups.
#[test]
fn empty_list_ends_and_rejects_no_session() {
    let mut harness = Harness::new(1, 4);
    harness.set_up(1, 1, 3_000);
    harness.accept(1);
    let empty_list = Topology { snapshot: true, endpoints: Vec::new() };
    let outputs = harness.handle(Input::Topology(empty_list));
    assert_eq!(outputs, [], "an empty list causes no outputs");
    for id in 2..20 {
        harness.set_up(1, id, 3_000);
        harness.accept(id);
    }
    assert_eq!(harness.node.counts().established, 19);
}

/// A set-up that no viewer waits for is discarded before it is sent, even if the settings don't allow cancellation.
#[test]
fn discards_withdrawn_set_up_that_is_not_sent() {
    for cancel in ["true", "false"] {
        let settings = SETTINGS.replace("\"cancel\": true", &format!("\"cancel\": {cancel}"));
        let mut harness = Harness::with_settings(&settings, 1, 4);
        harness.set_up(1, 1, 3_000);
        let incarnation_of_1 = harness.in_flight[&CallId(1)];
        let release = FromViewer::Release(CallId(1));
        let after_release = harness.handle(Input::ViewerMessage(ViewerConnection(1), release));
        assert!(
            after_release.contains(&Output::DiscardUnsent(incarnation_of_1, CallId(1))),
            "{after_release:?}"
        );
        assert!(!harness.set_up(2, 2, 3_000).is_empty());
        let incarnation_of_2 = harness.in_flight[&CallId(2)];
        let after_close = harness.handle(Input::ViewerConnectionClosed(ViewerConnection(2)));
        assert!(after_close.contains(&Output::DiscardUnsent(incarnation_of_2, CallId(2))), "{after_close:?}");
    }
}

/// A retry of a keyed set-up that waits for a connection must not be sent after the deduplication window.
#[test]
fn keyed_retry_has_send_deadline_within_window() {
    let keyed = "\"effect\": \"by_key\", \"group\": \"all\", \"window_us\": 500000";
    let settings = SETTINGS.replace("\"effect\": \"repeatable\"", keyed);
    let mut harness = Harness::with_settings(&settings, 1, 4);
    let requested_at = harness.now;
    harness.set_up(1, 1, 3_000);
    harness.advance(100);
    let outputs = harness.handle(Input::AttemptFailed(
        harness.in_flight[&CallId(1)],
        CallId(1),
        AttemptFailure::ConnectionReset,
    ));
    let send_by = outputs
        .iter()
        .find_map(|output| match output {
            Output::SendSetUp { send_by, .. } => Some(*send_by),
            _ => None,
        })
        .expect("a retry within the window");
    assert!(send_by <= requested_at + Micros(480_000), "{} us after the set-up", (send_by - requested_at).0);
}

/// With a deadline of 20 s, a media server may answer long after its session was abandoned. The session must still be
/// released there.
#[test]
fn late_answer_is_released_until_longest_deadline() {
    let settings = SETTINGS.replace("\"deadline_us\": 4000000", "\"deadline_us\": 20000000");
    let mut harness = Harness::with_settings(&settings, 1, 1);
    harness.set_up(1, 1, 20_000);
    let incarnation = harness.in_flight[&CallId(1)];
    harness.advance(19_000);
    assert!(harness.pending.is_empty());
    let late_accept = server_message(FromServer::Accept(CallId(1), "late".into()));
    let outputs = harness.handle(Input::ServerMessage(incarnation, late_accept));
    assert_eq!(lines_to_servers(&outputs).len(), 1, "{outputs:?}");
}
