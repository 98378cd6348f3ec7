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
use support::{Rig, SETTINGS, endpoint, line, set_up};

fn told(outputs: &[Output]) -> Vec<(u64, ToViewer)> {
    let told = |o: &Output| match o {
        Output::SendToViewer(conn, message) => Some((conn.0, message.clone())),
        _ => None,
    };
    outputs.iter().filter_map(told).collect()
}

fn sent(outputs: &[Output]) -> Vec<String> {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim_end().to_owned();
    let sent = |o: &Output| match o {
        Output::SendToServer(_, _, bytes) | Output::SendSetUp { line: bytes, .. } => Some(text(bytes)),
        Output::AbandonAttempt { line, .. } => Some(text(line)),
        _ => None,
    };
    outputs.iter().filter_map(sent).collect()
}

#[test]
fn an_answer_is_passed_on_as_it_came_and_the_end_is_told_on_the_connection_of_the_setup() {
    let mut rig = Rig::new(1, 4);
    let out = rig.ask(5, 7, 2_000);
    let offer = sent(&out);
    assert!(offer[0].contains(r#""op":"offer","call":"0000000000000007""#), "{offer:?}");
    let lane = rig.out[&CallId(7)];
    let text = "odd \u{1f37a} \r\n\t\"\\";
    let out = rig.hear(Input::ServerMessage(lane, line(FromServer::Accept(CallId(7), text.into()))));
    assert_eq!(told(&out), [(5, ToViewer::Answer(CallId(7), text.into()))]);
    let out = rig.end(lane, 7, Cause::Normal);
    assert_eq!(told(&out), [(5, ToViewer::Release(CallId(7), Cause::Normal))]);
    // Told twice, it counts once.
    assert_eq!(told(&rig.end(lane, 7, Cause::Normal)), []);
    assert_eq!((rig.node.counts().established, rig.node.counts().pending), (0, 0));
}

#[test]
fn a_release_finds_another_good_connection_or_waits_for_one() {
    let mut rig = Rig::new(1, 4);
    rig.ask(5, 7, 2_000);
    rig.accept(7);
    rig.ask(6, 8, 2_000);
    rig.accept(8);
    rig.hear(Input::ViewerConnectionClosed(ViewerConnection(5)));
    let lane = rig.standing[&CallId(7)];
    let out = rig.end(lane, 7, Cause::TemporaryFailure);
    assert_eq!(told(&out), [(6, ToViewer::Release(CallId(7), Cause::TemporaryFailure))]);
    rig.hear(Input::ViewerConnectionClosed(ViewerConnection(6)));
    let lane = rig.standing[&CallId(8)];
    assert_eq!(told(&rig.end(lane, 8, Cause::Normal)), []);
    // Rubbish does not make a connection good.
    let bad = FromViewer::SetUp(CallId(9), Err(SetUpError::Missing(1)));
    let out = rig.hear(Input::ViewerMessage(ViewerConnection(9), bad));
    assert_eq!(told(&out), [(9, ToViewer::Release(CallId(9), Cause::MissingElement))]);
    // Nor does a set-up that reads well and comes to nothing.
    rig.ask(10, 11, 2_000);
    for _ in 0..3 {
        let lane = rig.out[&CallId(11)];
        assert!(
            told(&rig.end(lane, 11, Cause::ResourceUnavailable))
                .iter()
                .all(|t| t.1 != ToViewer::Release(CallId(8), Cause::Normal))
        );
    }
    assert_eq!(rig.node.connection_use(ViewerConnection(10)), ConnectionUse::None);
    rig.pass(3_000);
    rig.ask(12, 13, 2_000);
    let out = told(&rig.accept(13));
    assert!(out.contains(&(12, ToViewer::Release(CallId(8), Cause::Normal))), "{out:?}");
    assert_eq!(rig.node.connection_use(ViewerConnection(12)), ConnectionUse::Established);
}

#[test]
fn a_silent_server_is_given_up_before_the_next_is_asked() {
    let mut rig = Rig::new(3, 4);
    rig.ask(1, 7, 3_000);
    let first = rig.out[&CallId(7)];
    rig.pass(500);
    let second = rig.out[&CallId(7)];
    assert_ne!(first, second);
    // Its late answer must not stand there, and is not passed on.
    let out = rig.hear(Input::ServerMessage(first, line(FromServer::Accept(CallId(7), "late".into()))));
    assert_eq!(told(&out), []);
    assert!(sent(&out)[0].contains(r#""op":"end","call":"0000000000000007","with":{},"why":16"#));
    let out = rig.accept(7);
    assert_eq!(told(&out).len(), 1);
}

#[test]
fn what_all_servers_turn_away_is_refused_at_once_with_a_time_to_come_back() {
    let mut rig = Rig::new(3, 4);
    rig.ask(1, 7, 3_000);
    let before = rig.now;
    for _ in 0..3 {
        let lane = rig.out[&CallId(7)];
        rig.end(lane, 7, Cause::NoCircuit);
    }
    assert_eq!(rig.answers[&CallId(7)], [ToViewer::ReleaseWithRetryAfter(CallId(7), Cause::NoCircuit, 500)]);
    assert_eq!(rig.now, before);
}

#[test]
fn a_setup_given_up_is_given_up_at_the_server_and_nothing_more_is_said() {
    let mut rig = Rig::new(3, 4);
    rig.ask(1, 7, 3_000);
    let out = rig.hear(Input::ViewerMessage(ViewerConnection(1), FromViewer::Release(CallId(7))));
    assert_eq!(told(&out), [(1, ToViewer::ReleaseComplete(CallId(7)))]);
    assert!(sent(&out)[0].contains(r#""op":"end""#));
    assert!(rig.out.is_empty());
    // The same when its connection closes.
    rig.ask(2, 8, 3_000);
    rig.owed.clear();
    let out = rig.hear(Input::ViewerConnectionClosed(ViewerConnection(2)));
    assert!(sent(&out)[0].contains(r#""op":"end""#));
    assert_eq!((rig.node.counts().pending, rig.node.counts().abandoned), (0, 0));
}

#[test]
fn a_viewer_who_leaves_is_heard_and_its_session_is_cut_from_any_connection() {
    let mut rig = Rig::new(3, 4);
    rig.ask(1, 7, 3_000);
    rig.accept(7);
    let out = rig.hear(Input::ViewerMessage(ViewerConnection(44), FromViewer::Release(CallId(7))));
    assert_eq!(told(&out), [(44, ToViewer::ReleaseComplete(CallId(7)))]);
    assert!(sent(&out)[0].contains(r#""op":"end""#));
    assert_eq!(rig.node.counts().established, 0);
    let out = rig.hear(Input::ViewerMessage(ViewerConnection(44), FromViewer::Release(CallId(99))));
    assert_eq!(out, [Output::SendToViewer(ViewerConnection(44), ToViewer::ReleaseComplete(CallId(99)))]);
}

#[test]
fn a_session_whose_answer_never_left_ends_at_its_server_at_once() {
    let mut rig = Rig::new(3, 4);
    rig.ask(1, 7, 3_000);
    rig.accept(7);
    rig.ask(2, 8, 3_000);
    rig.accept(8);
    let lane = rig.standing[&CallId(7)];
    rig.hear(Input::ViewerConnectionClosed(ViewerConnection(1)));
    let out = rig.hear(Input::AnswerUndelivered(CallId(7)));
    assert!(sent(&out)[0].contains(r#""op":"end","call":"0000000000000007""#), "{out:?}");
    assert_eq!(told(&out), [(2, ToViewer::Release(CallId(7), Cause::TemporaryFailure))]);
    // The media server's own word of it comes too late to count, and so does a second one of the shell's.
    assert_eq!(told(&rig.end(lane, 7, Cause::Normal)), []);
    assert_eq!(rig.hear(Input::AnswerUndelivered(CallId(7))), []);
    assert_eq!(rig.node.counts().established, 1);
}

#[test]
fn an_open_id_named_again_neither_disturbs_the_first_nor_gets_a_second_answer() {
    let mut rig = Rig::new(3, 4);
    rig.ask(1, 7, 3_000);
    let again = || FromViewer::SetUp(CallId(7), Ok(set_up(99, 3_000)));
    assert_eq!(rig.hear(Input::ViewerMessage(ViewerConnection(1), again())), []);
    assert_eq!(
        rig.hear(Input::ViewerMessage(ViewerConnection(2), again())),
        [Output::CloseViewerConnection(ViewerConnection(2))]
    );
    assert_eq!(told(&rig.accept(7)), [(1, ToViewer::Answer(CallId(7), "answer 0000000000000007".into()))]);
}

#[test]
fn what_makes_no_sense_fails_before_the_module_sees_it() {
    let mut rig = Rig::new(3, 4);
    let mut id = 100;
    let mut fails = |change: &dyn Fn(&mut beechloft_protocol::viewer::SetUp)| {
        id += 1;
        let mut setup = set_up(id, 3_000);
        change(&mut setup);
        let out =
            rig.hear(Input::ViewerMessage(ViewerConnection(1), FromViewer::SetUp(CallId(id), Ok(setup))));
        assert_eq!(told(&out), [(1, ToViewer::Release(CallId(id), Cause::InvalidElement))]);
        assert_eq!(out.len(), 1);
    };
    fails(&|s| s.class = "nobody".into());
    fails(&|s| s.attributes.home_cell = 4);
    fails(&|s| s.attributes.copies = 0);
    fails(&|s| s.attributes.copies = 5);
    fails(&|s| s.description = "\u{1}".repeat(8_000));
}

#[test]
fn a_server_that_dies_ends_its_own_sessions_and_no_others() {
    let mut rig = Rig::new(3, 4);
    for id in 1..=12 {
        rig.ask(1, id, 3_000);
        rig.accept(id);
    }
    let dead = rig.standing[&CallId(1)];
    let there = rig.standing.values().filter(|l| **l == dead).count();
    let out = rig.hear(Input::ServerDown(dead));
    assert_eq!(told(&out).len(), there);
    assert_eq!(rig.node.counts().established, 12 - there);
    assert_eq!(told(&rig.hear(Input::ServerDown(dead))), []);
}

#[test]
fn a_new_server_at_the_address_of_another_takes_nothing_over() {
    let mut rig = Rig::new(3, 1);
    rig.ask(1, 7, 3_000);
    rig.accept(7);
    let old = rig.standing[&CallId(7)];
    let mut new = endpoint(9, Status::Ready);
    new.address = endpoint(0, Status::Ready).address;
    let out = rig.bus(vec![endpoint(0, Status::Gone), new]);
    assert_eq!(told(&out), [(1, ToViewer::Release(CallId(7), Cause::TemporaryFailure))]);
    assert!(out.contains(&Output::RemoveIncarnation(old)), "{out:?}");
    assert!(!rig.lanes.contains_key(&old) && rig.lanes.len() == 1);
}

#[test]
fn a_restart_that_the_list_tells_ends_what_stood_before_it() {
    let mut rig = Rig::new(3, 1);
    rig.ask(1, 7, 3_000);
    rig.accept(7);
    let mut new = endpoint(0, Status::Ready);
    new.started_ms = rig.now.0 / 1000;
    let out = rig.bus(vec![new.clone()]);
    assert_eq!(told(&out).len(), 1);
    // Told again, it is no other start.
    let out = rig.hear(Input::Topology(Topology { snapshot: true, endpoints: vec![new] }));
    assert_eq!(out, []);
}

#[test]
fn servers_that_come_and_go_leave_nothing_behind() {
    let mut rig = Rig::new(3, 2);
    let lanes = rig.node.counts().incarnations;
    for n in 10..400 {
        rig.bus(vec![endpoint(n, Status::Ready)]);
        rig.bus(vec![endpoint(n, Status::Terminating)]);
        rig.bus(vec![endpoint(n, Status::Gone)]);
        rig.pass(100);
    }
    assert_eq!(rig.node.counts().incarnations, lanes);
    assert_eq!(rig.lanes.len(), lanes);
    assert!(rig.node.counts().timers < 20, "{:?}", rig.node.counts());
}

#[test]
fn sessions_handed_over_are_held_and_may_be_named_again() {
    let mut rig = Rig::new(3, 2);
    let handed = |at: &str| {
        let mut setup = set_up(7, 4_294_967);
        setup.attributes.playing_at = Some(at.into());
        Input::ViewerMessage(ViewerConnection(1), FromViewer::SetUp(CallId(7), Ok(setup)))
    };
    let out = rig.hear(handed("s-00000001"));
    let [Output::KeepConnected(lane, true)] = out[..] else { panic!("{out:?}") };
    assert_eq!(rig.hear(handed("s-00000001")), []);
    assert_eq!(rig.node.counts().established, 1);
    let out = rig.end(lane, 7, Cause::Normal);
    assert_eq!(told(&out), [(1, ToViewer::Release(CallId(7), Cause::Normal))]);
}

#[test]
fn tests_pass_once_the_list_is_known_and_fail_after_sigterm_while_setups_are_still_served() {
    let mut rig = Rig::new(3, 2);
    let test = || Input::ViewerMessage(ViewerConnection(1), FromViewer::Test(CallId(1)));
    assert_eq!(told(&rig.hear(test())), [(1, ToViewer::TestResult(CallId(1), true))]);
    rig.hear(Input::Terminate);
    assert_eq!(told(&rig.hear(test())), [(1, ToViewer::TestResult(CallId(1), false))]);
    rig.ask(2, 7, 3_000);
    assert_eq!(told(&rig.accept(7)).len(), 1);
}

#[test]
fn the_report_of_a_refusal_reaches_the_module() {
    // All four servers say that their links are full; no set-up is tried there any more.
    let mut rig = Rig::new(3, 4);
    for id in 1..=4 {
        rig.ask(1, id, 3_000);
        if let Some(lane) = rig.out.get(&CallId(id)).copied() {
            let full = ServerMessage {
                event: FromServer::End(CallId(id), Cause::ResourceUnavailable),
                load: Some("utilization:1.1;x1:1.1".into()),
            };
            rig.hear(Input::ServerMessage(lane, full));
        }
    }
    let out = rig.ask(1, 50, 3_000);
    assert!(
        matches!(told(&out)[..], [(1, ToViewer::ReleaseWithRetryAfter(CallId(50), Cause::NoCircuit, _))]),
        "{out:?}"
    );
}

#[test]
fn a_connection_that_never_came_up_leads_to_another_server_at_once() {
    let mut rig = Rig::new(3, 4);
    rig.ask(1, 7, 3_000);
    let first = rig.out[&CallId(7)];
    rig.hear(Input::AttemptFailed(first, CallId(7), AttemptFailure::NoConnection));
    assert_ne!(rig.out[&CallId(7)], first);
}

/// A whole list that names nobody says nothing of the servers that are known: those that play there play on, and new sessions are
/// set up. Seen before: each was taken for gone, and every session was refused.
#[test]
fn an_empty_list_stops_nothing() {
    let mut rig = Rig::new(1, 4);
    rig.ask(1, 1, 3_000);
    rig.accept(1);
    let out = rig.hear(Input::Topology(Topology { snapshot: true, endpoints: Vec::new() }));
    assert_eq!(out, [], "it ends nothing");
    for id in 2..20 {
        rig.ask(1, id, 3_000);
        rig.accept(id);
    }
    assert_eq!(rig.node.counts().established, 19);
}

/// Nobody waits for a set-up any more: it is taken back if it has not left, also where cancelling is not allowed.
#[test]
fn a_set_up_for_which_nobody_waits_is_taken_back() {
    for cancel in ["true", "false"] {
        let mut rig =
            Rig::with(&SETTINGS.replace("\"cancel\": true", &format!("\"cancel\": {cancel}")), 1, 4);
        rig.ask(1, 1, 3_000);
        let lane = rig.out[&CallId(1)];
        let out = rig.hear(Input::ViewerMessage(ViewerConnection(1), FromViewer::Release(CallId(1))));
        assert!(out.contains(&Output::DiscardUnsent(lane, CallId(1))), "{out:?}");
        let closes = rig.ask(2, 2, 3_000);
        assert!(!closes.is_empty());
        let lane = rig.out[&CallId(2)];
        let out = rig.hear(Input::ViewerConnectionClosed(ViewerConnection(2)));
        assert!(out.contains(&Output::DiscardUnsent(lane, CallId(2))), "{out:?}");
    }
}

/// A repeat of a keyed set-up that waits for its connection must not leave once its window is over.
#[test]
fn a_repeat_states_by_when_it_must_have_left() {
    let keyed = "\"effect\": \"by_key\", \"group\": \"all\", \"window_us\": 500000";
    let mut rig = Rig::with(&SETTINGS.replace("\"effect\": \"repeatable\"", keyed), 1, 4);
    let began = rig.now;
    rig.ask(1, 1, 3_000);
    rig.pass(100);
    let out = rig.hear(Input::AttemptFailed(rig.out[&CallId(1)], CallId(1), AttemptFailure::ConnectionReset));
    let by = out.iter().find_map(|o| match o {
        Output::SendSetUp { send_by, .. } => Some(*send_by),
        _ => None,
    });
    let by = by.expect("a further attempt inside the window");
    assert!(by <= began + Micros(480_000), "{} us after the first", (by - began).0);
}

/// With a deadline of 20 s a media server may answer long after the session was given up: it is released there all the same.
#[test]
fn a_session_given_up_is_remembered_as_long_as_its_media_server_may_answer() {
    let long = SETTINGS.replace("\"deadline_us\": 4000000", "\"deadline_us\": 20000000");
    let mut rig = Rig::with(&long, 1, 1);
    rig.ask(1, 1, 20_000);
    let lane = rig.out[&CallId(1)];
    rig.pass(19_000);
    assert!(rig.owed.is_empty());
    let answer = line(FromServer::Accept(CallId(1), "late".into()));
    let out = rig.hear(Input::ServerMessage(lane, answer));
    assert_eq!(sent(&out).len(), 1, "{out:?}");
}
