//! The machine, case by case.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::shadow_unrelated)]

mod support;

use beechloft::api::Micros;
use beechloft_front_node::{AttemptFailure, ConnectionUse, Input, Output, ViewerConnection};
use beechloft_protocol::bus::{Status, Topology};
use beechloft_protocol::server::{FromServer, ServerMessage};
use beechloft_protocol::viewer::{FromViewer, SetUpError, ToViewer};
use beechloft_protocol::{CallId, Cause};
use support::{Harness, SETTINGS, endpoint, line, set_up};

fn to_viewers(outputs: &[Output]) -> Vec<(u64, ToViewer)> {
    let told = |o: &Output| match o {
        Output::SendToViewer(conn, message) => Some((conn.0, message.clone())),
        _ => None,
    };
    outputs.iter().filter_map(told).collect()
}

fn to_servers(outputs: &[Output]) -> Vec<String> {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim_end().to_owned();
    let sent = |o: &Output| match o {
        Output::SendToServer(_, _, bytes) | Output::SendSetUp { line: bytes, .. } => Some(text(bytes)),
        Output::AbandonAttempt { line, .. } => Some(text(line)),
        _ => None,
    };
    outputs.iter().filter_map(sent).collect()
}

#[test]
fn an_answer_is_passed_on_unchanged_and_the_end_is_sent_on_the_connection_of_the_set_up() {
    let mut harness = Harness::new(1, 4);
    let out = harness.set_up(5, 7, 2_000);
    let offer = to_servers(&out);
    assert!(offer[0].contains(r#""op":"offer","call":"0000000000000007""#), "{offer:?}");
    let incarnation = harness.in_flight[&CallId(7)];
    let text = "odd \u{1f37a} \r\n\t\"\\";
    let out =
        harness.handle(Input::ServerMessage(incarnation, line(FromServer::Accept(CallId(7), text.into()))));
    assert_eq!(to_viewers(&out), [(5, ToViewer::Answer(CallId(7), text.into()))]);
    let out = harness.end(incarnation, 7, Cause::Normal);
    assert_eq!(to_viewers(&out), [(5, ToViewer::Release(CallId(7), Cause::Normal))]);
    // Told twice, it counts once.
    assert_eq!(to_viewers(&harness.end(incarnation, 7, Cause::Normal)), []);
    assert_eq!((harness.node.counts().established, harness.node.counts().pending), (0, 0));
}

#[test]
fn a_release_uses_another_answered_connection_or_waits_for_one() {
    let mut harness = Harness::new(1, 4);
    harness.set_up(5, 7, 2_000);
    harness.accept(7);
    harness.set_up(6, 8, 2_000);
    harness.accept(8);
    harness.handle(Input::ViewerConnectionClosed(ViewerConnection(5)));
    let incarnation = harness.established[&CallId(7)];
    let out = harness.end(incarnation, 7, Cause::TemporaryFailure);
    assert_eq!(to_viewers(&out), [(6, ToViewer::Release(CallId(7), Cause::TemporaryFailure))]);
    harness.handle(Input::ViewerConnectionClosed(ViewerConnection(6)));
    let incarnation = harness.established[&CallId(8)];
    assert_eq!(to_viewers(&harness.end(incarnation, 8, Cause::Normal)), []);
    // MalformedSetUp does not make a connection good.
    let bad = FromViewer::SetUp(CallId(9), Err(SetUpError::Missing(1)));
    let out = harness.handle(Input::ViewerMessage(ViewerConnection(9), bad));
    assert_eq!(to_viewers(&out), [(9, ToViewer::Release(CallId(9), Cause::MissingElement))]);
    // Nor does a set-up that reads well and comes to nothing.
    harness.set_up(10, 11, 2_000);
    for _ in 0..3 {
        let incarnation = harness.in_flight[&CallId(11)];
        assert!(
            to_viewers(&harness.end(incarnation, 11, Cause::ResourceUnavailable))
                .iter()
                .all(|t| t.1 != ToViewer::Release(CallId(8), Cause::Normal))
        );
    }
    assert_eq!(harness.node.connection_use(ViewerConnection(10)), ConnectionUse::None);
    harness.advance(3_000);
    harness.set_up(12, 13, 2_000);
    let out = to_viewers(&harness.accept(13));
    assert!(out.contains(&(12, ToViewer::Release(CallId(8), Cause::Normal))), "{out:?}");
    assert_eq!(harness.node.connection_use(ViewerConnection(12)), ConnectionUse::Established);
}

#[test]
fn an_attempt_that_times_out_is_abandoned_before_the_next_is_sent() {
    let mut harness = Harness::new(3, 4);
    harness.set_up(1, 7, 3_000);
    let first = harness.in_flight[&CallId(7)];
    harness.advance(500);
    let second = harness.in_flight[&CallId(7)];
    assert_ne!(first, second);
    // Its late answer must not stand there, and is not passed on.
    let out = harness.handle(Input::ServerMessage(first, line(FromServer::Accept(CallId(7), "late".into()))));
    assert_eq!(to_viewers(&out), []);
    assert!(to_servers(&out)[0].contains(r#""op":"end","call":"0000000000000007","with":{},"why":16"#));
    let out = harness.accept(7);
    assert_eq!(to_viewers(&out).len(), 1);
}

#[test]
fn a_request_that_all_servers_refuse_is_rejected_at_once_with_a_retry_after() {
    let mut harness = Harness::new(3, 4);
    harness.set_up(1, 7, 3_000);
    let before = harness.now;
    for _ in 0..3 {
        let incarnation = harness.in_flight[&CallId(7)];
        harness.end(incarnation, 7, Cause::NoCircuit);
    }
    assert_eq!(
        harness.answers[&CallId(7)],
        [ToViewer::ReleaseWithRetryAfter(CallId(7), Cause::NoCircuit, 500)]
    );
    assert_eq!(harness.now, before);
}

#[test]
fn a_withdrawn_set_up_is_abandoned_at_the_server_and_not_answered() {
    let mut harness = Harness::new(3, 4);
    harness.set_up(1, 7, 3_000);
    let out = harness.handle(Input::ViewerMessage(ViewerConnection(1), FromViewer::Release(CallId(7))));
    assert_eq!(to_viewers(&out), [(1, ToViewer::ReleaseComplete(CallId(7)))]);
    assert!(to_servers(&out)[0].contains(r#""op":"end""#));
    assert!(harness.in_flight.is_empty());
    // The same when its connection closes.
    harness.set_up(2, 8, 3_000);
    harness.pending.clear();
    let out = harness.handle(Input::ViewerConnectionClosed(ViewerConnection(2)));
    assert!(to_servers(&out)[0].contains(r#""op":"end""#));
    assert_eq!((harness.node.counts().pending, harness.node.counts().abandoned), (0, 0));
}

#[test]
fn a_viewer_releases_its_session_from_any_connection() {
    let mut harness = Harness::new(3, 4);
    harness.set_up(1, 7, 3_000);
    harness.accept(7);
    let out = harness.handle(Input::ViewerMessage(ViewerConnection(44), FromViewer::Release(CallId(7))));
    assert_eq!(to_viewers(&out), [(44, ToViewer::ReleaseComplete(CallId(7)))]);
    assert!(to_servers(&out)[0].contains(r#""op":"end""#));
    assert_eq!(harness.node.counts().established, 0);
    let out = harness.handle(Input::ViewerMessage(ViewerConnection(44), FromViewer::Release(CallId(99))));
    assert_eq!(out, [Output::SendToViewer(ViewerConnection(44), ToViewer::ReleaseComplete(CallId(99)))]);
}

#[test]
fn a_session_whose_answer_is_undelivered_ends_at_its_server_at_once() {
    let mut harness = Harness::new(3, 4);
    harness.set_up(1, 7, 3_000);
    harness.accept(7);
    harness.set_up(2, 8, 3_000);
    harness.accept(8);
    let incarnation = harness.established[&CallId(7)];
    harness.handle(Input::ViewerConnectionClosed(ViewerConnection(1)));
    let out = harness.handle(Input::AnswerUndelivered(CallId(7)));
    assert!(to_servers(&out)[0].contains(r#""op":"end","call":"0000000000000007""#), "{out:?}");
    assert_eq!(to_viewers(&out), [(2, ToViewer::Release(CallId(7), Cause::TemporaryFailure))]);
    // The media server's own word of it comes too late to count, and so does a second one of the shell's.
    assert_eq!(to_viewers(&harness.end(incarnation, 7, Cause::Normal)), []);
    assert_eq!(harness.handle(Input::AnswerUndelivered(CallId(7))), []);
    assert_eq!(harness.node.counts().established, 1);
}

#[test]
fn a_duplicate_set_up_neither_disturbs_the_first_nor_gets_a_second_answer() {
    let mut harness = Harness::new(3, 4);
    harness.set_up(1, 7, 3_000);
    let again = || FromViewer::SetUp(CallId(7), Ok(set_up(99, 3_000)));
    assert_eq!(harness.handle(Input::ViewerMessage(ViewerConnection(1), again())), []);
    assert_eq!(
        harness.handle(Input::ViewerMessage(ViewerConnection(2), again())),
        [Output::CloseViewerConnection(ViewerConnection(2))]
    );
    assert_eq!(
        to_viewers(&harness.accept(7)),
        [(1, ToViewer::Answer(CallId(7), "answer 0000000000000007".into()))]
    );
}

#[test]
fn an_invalid_set_up_is_rejected_before_the_policy_sees_it() {
    let mut harness = Harness::new(3, 4);
    let mut id = 100;
    let mut fails = |change: &dyn Fn(&mut beechloft_protocol::viewer::SetUp)| {
        id += 1;
        let mut setup = set_up(id, 3_000);
        change(&mut setup);
        let out = harness
            .handle(Input::ViewerMessage(ViewerConnection(1), FromViewer::SetUp(CallId(id), Ok(setup))));
        assert_eq!(to_viewers(&out), [(1, ToViewer::Release(CallId(id), Cause::InvalidElement))]);
        assert_eq!(out.len(), 1);
    };
    fails(&|s| s.class = "nobody".into());
    fails(&|s| s.attributes.home_cell = 4);
    fails(&|s| s.attributes.copies = 0);
    fails(&|s| s.attributes.copies = 5);
    fails(&|s| s.description = "\u{1}".repeat(8_000));
}

#[test]
fn a_server_that_is_down_ends_its_own_sessions_and_no_others() {
    let mut harness = Harness::new(3, 4);
    for id in 1..=12 {
        harness.set_up(1, id, 3_000);
        harness.accept(id);
    }
    let dead = harness.established[&CallId(1)];
    let there = harness.established.values().filter(|l| **l == dead).count();
    let out = harness.handle(Input::ServerDown(dead));
    assert_eq!(to_viewers(&out).len(), there);
    assert_eq!(harness.node.counts().established, 12 - there);
    assert_eq!(to_viewers(&harness.handle(Input::ServerDown(dead))), []);
}

#[test]
fn a_new_server_at_the_address_of_another_inherits_nothing() {
    let mut harness = Harness::new(3, 1);
    harness.set_up(1, 7, 3_000);
    harness.accept(7);
    let old = harness.established[&CallId(7)];
    let mut new = endpoint(9, Status::Ready);
    new.address = endpoint(0, Status::Ready).address;
    let out = harness.bus(vec![endpoint(0, Status::Gone), new]);
    assert_eq!(to_viewers(&out), [(1, ToViewer::Release(CallId(7), Cause::TemporaryFailure))]);
    assert!(out.contains(&Output::RemoveIncarnation(old)), "{out:?}");
    assert!(!harness.incarnations.contains_key(&old) && harness.incarnations.len() == 1);
}

#[test]
fn a_restart_on_the_list_ends_the_sessions_before_it() {
    let mut harness = Harness::new(3, 1);
    harness.set_up(1, 7, 3_000);
    harness.accept(7);
    let mut new = endpoint(0, Status::Ready);
    new.started_ms = harness.now.0 / 1000;
    let out = harness.bus(vec![new.clone()]);
    assert_eq!(to_viewers(&out).len(), 1);
    // Told again, it is no other start.
    let out = harness.handle(Input::Topology(Topology { snapshot: true, endpoints: vec![new] }));
    assert_eq!(out, []);
}

#[test]
fn removed_servers_leave_no_state() {
    let mut harness = Harness::new(3, 2);
    let incarnations = harness.node.counts().incarnations;
    for n in 10..400 {
        harness.bus(vec![endpoint(n, Status::Ready)]);
        harness.bus(vec![endpoint(n, Status::Terminating)]);
        harness.bus(vec![endpoint(n, Status::Gone)]);
        harness.advance(100);
    }
    assert_eq!(harness.node.counts().incarnations, incarnations);
    assert_eq!(harness.incarnations.len(), incarnations);
    assert!(harness.node.counts().timers < 20, "{:?}", harness.node.counts());
}

#[test]
fn adopted_sessions_keep_a_connection_and_may_be_named_twice() {
    let mut harness = Harness::new(3, 2);
    let handed = |at: &str| {
        let mut setup = set_up(7, 4_294_967);
        setup.attributes.playing_at = Some(at.into());
        Input::ViewerMessage(ViewerConnection(1), FromViewer::SetUp(CallId(7), Ok(setup)))
    };
    let out = harness.handle(handed("s-00000001"));
    let [Output::KeepConnected(incarnation, true)] = out[..] else { panic!("{out:?}") };
    assert_eq!(harness.handle(handed("s-00000001")), []);
    assert_eq!(harness.node.counts().established, 1);
    let out = harness.end(incarnation, 7, Cause::Normal);
    assert_eq!(to_viewers(&out), [(1, ToViewer::Release(CallId(7), Cause::Normal))]);
}

#[test]
fn health_checks_pass_with_a_list_and_fail_after_sigterm_while_set_ups_are_still_served() {
    let mut harness = Harness::new(3, 2);
    let test = || Input::ViewerMessage(ViewerConnection(1), FromViewer::Test(CallId(1)));
    assert_eq!(to_viewers(&harness.handle(test())), [(1, ToViewer::TestResult(CallId(1), true))]);
    harness.handle(Input::Terminate);
    assert_eq!(to_viewers(&harness.handle(test())), [(1, ToViewer::TestResult(CallId(1), false))]);
    harness.set_up(2, 7, 3_000);
    assert_eq!(to_viewers(&harness.accept(7)).len(), 1);
}

#[test]
fn the_load_report_of_a_refusal_reaches_the_policy() {
    // All four servers say that their links are full; no set-up is tried there any more.
    let mut harness = Harness::new(3, 4);
    for id in 1..=4 {
        harness.set_up(1, id, 3_000);
        if let Some(incarnation) = harness.in_flight.get(&CallId(id)).copied() {
            let full = ServerMessage {
                event: FromServer::End(CallId(id), Cause::ResourceUnavailable),
                load: Some("utilization:1.1;x1:1.1".into()),
            };
            harness.handle(Input::ServerMessage(incarnation, full));
        }
    }
    let out = harness.set_up(1, 50, 3_000);
    assert!(
        matches!(
            to_viewers(&out)[..],
            [(1, ToViewer::ReleaseWithRetryAfter(CallId(50), Cause::NoCircuit, _))]
        ),
        "{out:?}"
    );
}

#[test]
fn a_failed_connection_leads_to_an_attempt_at_another_server_at_once() {
    let mut harness = Harness::new(3, 4);
    harness.set_up(1, 7, 3_000);
    let first = harness.in_flight[&CallId(7)];
    harness.handle(Input::AttemptFailed(first, CallId(7), AttemptFailure::NoConnection));
    assert_ne!(harness.in_flight[&CallId(7)], first);
}

/// A whole list that names nobody says nothing of the servers that are known: those that play there play on, and new sessions are
/// set up. Seen before: each was taken for gone, and every session was refused.
#[test]
fn an_empty_list_ends_no_session_and_rejects_none() {
    let mut harness = Harness::new(1, 4);
    harness.set_up(1, 1, 3_000);
    harness.accept(1);
    let out = harness.handle(Input::Topology(Topology { snapshot: true, endpoints: Vec::new() }));
    assert_eq!(out, [], "it ends nothing");
    for id in 2..20 {
        harness.set_up(1, id, 3_000);
        harness.accept(id);
    }
    assert_eq!(harness.node.counts().established, 19);
}

/// Nobody waits for a set-up any more: it is taken back if it has not left, also where cancelling is not allowed.
#[test]
fn a_withdrawn_set_up_that_is_not_sent_yet_is_discarded() {
    for cancel in ["true", "false"] {
        let mut harness =
            Harness::with(&SETTINGS.replace("\"cancel\": true", &format!("\"cancel\": {cancel}")), 1, 4);
        harness.set_up(1, 1, 3_000);
        let incarnation = harness.in_flight[&CallId(1)];
        let out = harness.handle(Input::ViewerMessage(ViewerConnection(1), FromViewer::Release(CallId(1))));
        assert!(out.contains(&Output::DiscardUnsent(incarnation, CallId(1))), "{out:?}");
        let closes = harness.set_up(2, 2, 3_000);
        assert!(!closes.is_empty());
        let incarnation = harness.in_flight[&CallId(2)];
        let out = harness.handle(Input::ViewerConnectionClosed(ViewerConnection(2)));
        assert!(out.contains(&Output::DiscardUnsent(incarnation, CallId(2))), "{out:?}");
    }
}

/// A repeat of a keyed set-up that waits for its connection must not leave once its window is over.
#[test]
fn a_retry_of_a_keyed_set_up_states_by_when_it_must_be_sent() {
    let keyed = "\"effect\": \"by_key\", \"group\": \"all\", \"window_us\": 500000";
    let mut harness = Harness::with(&SETTINGS.replace("\"effect\": \"repeatable\"", keyed), 1, 4);
    let began = harness.now;
    harness.set_up(1, 1, 3_000);
    harness.advance(100);
    let out = harness.handle(Input::AttemptFailed(
        harness.in_flight[&CallId(1)],
        CallId(1),
        AttemptFailure::ConnectionReset,
    ));
    let by = out.iter().find_map(|o| match o {
        Output::SendSetUp { send_by, .. } => Some(*send_by),
        _ => None,
    });
    let by = by.expect("a further attempt inside the window");
    assert!(by <= began + Micros(480_000), "{} us after the first", (by - began).0);
}

/// With a deadline of 20 s a media server may answer long after the session was given up: it is released there all the same.
#[test]
fn an_abandoned_session_is_remembered_as_long_as_its_media_server_may_answer() {
    let long = SETTINGS.replace("\"deadline_us\": 4000000", "\"deadline_us\": 20000000");
    let mut harness = Harness::with(&long, 1, 1);
    harness.set_up(1, 1, 20_000);
    let incarnation = harness.in_flight[&CallId(1)];
    harness.advance(19_000);
    assert!(harness.pending.is_empty());
    let answer = line(FromServer::Accept(CallId(1), "late".into()));
    let out = harness.handle(Input::ServerMessage(incarnation, answer));
    assert_eq!(to_servers(&out).len(), 1, "{out:?}");
}
