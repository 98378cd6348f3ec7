//! Any order of inputs keeps the rules: the rig checks them on each output.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::too_many_lines)]

mod support;

use beechloft_front_node::{AttemptFailure, Input, Output, ServerIncarnation, ViewerConnection};
use beechloft_protocol::bus::{Status, Topology};
use beechloft_protocol::server::{FromServer, Note, ServerMessage};
use beechloft_protocol::viewer::{FromViewer, SetUpError, ToViewer};
use beechloft_protocol::{CallId, Cause};
use proptest::prelude::*;
use support::{LAST_CALL_MS, Rig, endpoint, line, set_up};

#[derive(Debug, Clone)]
enum Step {
    Ask { conn: u64, timeout_ms: u64 },
    AskKnown { conn: u64, which: usize },
    Rubbish { conn: u64, which: usize },
    Leave { conn: u64, which: usize },
    Close { conn: u64 },
    Unsaid { which: usize },
    Accept { which: usize },
    AcceptAnywhere { which: usize, lane: u32 },
    End { which: usize, cause: u8, load: bool },
    EndAnywhere { which: usize, lane: u32, cause: u8 },
    Note { which: usize, value: f64 },
    Break { which: usize, how: u8 },
    Lose { lane: u32 },
    List { n: u16, status: u8, restart: bool, snapshot: bool },
    EmptyList,
    Terminate,
    Pass { ms: u64 },
    HandOver { conn: u64, n: u16 },
}

fn step() -> impl Strategy<Value = Step> {
    let conn = || 0..4u64;
    let which = || 0..64usize;
    prop_oneof![
        8 => (conn(), 0..4_000u64).prop_map(|(conn, timeout_ms)| Step::Ask { conn, timeout_ms }),
        1 => (conn(), which()).prop_map(|(conn, which)| Step::AskKnown { conn, which }),
        1 => (conn(), which()).prop_map(|(conn, which)| Step::Rubbish { conn, which }),
        1 => (conn(), which()).prop_map(|(conn, which)| Step::Leave { conn, which }),
        1 => conn().prop_map(|conn| Step::Close { conn }),
        1 => which().prop_map(|which| Step::Unsaid { which }),
        6 => which().prop_map(|which| Step::Accept { which }),
        1 => (which(), 0..8u32).prop_map(|(which, lane)| Step::AcceptAnywhere { which, lane }),
        3 => (which(), any::<u8>(), any::<bool>()).prop_map(|(which, cause, load)| Step::End { which, cause, load }),
        1 => (which(), 0..8u32, any::<u8>()).prop_map(|(which, lane, cause)| Step::EndAnywhere { which, lane, cause }),
        1 => (which(), 0.0..3.0).prop_map(|(which, value)| Step::Note { which, value }),
        2 => (which(), 0..3u8).prop_map(|(which, how)| Step::Break { which, how }),
        1 => (0..8u32).prop_map(|lane| Step::Lose { lane }),
        2 => (0..6u16, 0..3u8, any::<bool>(), prop::bool::weighted(0.2))
            .prop_map(|(n, status, restart, snapshot)| Step::List { n, status, restart, snapshot }),
        1 => Just(Step::EmptyList),
        1 => prop::bool::weighted(0.1).prop_map(|ends| if ends { Step::Terminate } else { Step::Pass { ms: 1 } }),
        5 => (0..900u64).prop_map(|ms| Step::Pass { ms }),
        1 => (conn(), 0..6u16).prop_map(|(conn, n)| Step::HandOver { conn, n }),
    ]
}

const CAUSES: [u8; 5] = [34, 47, 102, 41, 16];

fn play(rig: &mut Rig, step: Step, made: &mut u64) {
    let pick = |map: &std::collections::BTreeMap<CallId, ServerIncarnation>, which: usize| {
        map.iter().nth(which % map.len().max(1)).map(|(id, lane)| (*id, *lane))
    };
    let any = CallId;
    match step {
        Step::Ask { conn, timeout_ms } => {
            *made += 1;
            rig.ask(conn, *made, timeout_ms);
        }
        Step::AskKnown { conn, which } => {
            if let Some((id, _)) = pick(&rig.out, which) {
                rig.hear(Input::ViewerMessage(
                    ViewerConnection(conn),
                    FromViewer::SetUp(id, Ok(set_up(1, 900))),
                ));
            }
        }
        Step::Rubbish { conn, which } => {
            let id = pick(&rig.out, which).map_or(any(1 << 40), |p| p.0);
            rig.hear(Input::ViewerMessage(
                ViewerConnection(conn),
                FromViewer::SetUp(id, Err(SetUpError::Invalid(3))),
            ));
        }
        Step::Leave { conn, which } => {
            let id = any(1 + which as u64);
            rig.hear(Input::ViewerMessage(ViewerConnection(conn), FromViewer::Release(id)));
        }
        Step::Close { conn } => {
            rig.hear(Input::ViewerConnectionClosed(ViewerConnection(conn)));
        }
        Step::Unsaid { which } => {
            rig.hear(Input::AnswerUndelivered(any(1 + which as u64)));
        }
        Step::Accept { which } => {
            if let Some((id, _)) = pick(&rig.out, which) {
                rig.accept(id.0);
            }
        }
        Step::AcceptAnywhere { which, lane } => {
            let id = any(1 + which as u64);
            if rig.out.get(&id) != Some(&ServerIncarnation(lane)) {
                rig.hear(Input::ServerMessage(
                    ServerIncarnation(lane),
                    line(FromServer::Accept(id, "x".into())),
                ));
            }
        }
        Step::End { which, cause, load } => {
            let map = if cause % 2 == 0 { &rig.out } else { &rig.standing };
            if let Some((id, lane)) = pick(map, which) {
                let cause = Cause::from(CAUSES[usize::from(cause) % CAUSES.len()]);
                let load = load.then(|| "utilization:0.9;x1:0.3;y:NaN".into());
                rig.hear(Input::ServerMessage(
                    lane,
                    ServerMessage { event: FromServer::End(id, cause), load },
                ));
            }
        }
        Step::EndAnywhere { which, lane, cause } => {
            rig.hear(Input::ServerMessage(
                ServerIncarnation(lane),
                line(FromServer::End(any(1 + which as u64), Cause::from(cause))),
            ));
        }
        Step::Note { which, value } => {
            if let Some((id, lane)) = pick(&rig.standing, which) {
                let note = match which % 4 {
                    0 => Note::DeliveredFraction(value),
                    1 => Note::Rung(value),
                    2 => Note::LinkUtilization(value),
                    _ => Note::UplinkUtilization(value),
                };
                rig.hear(Input::ServerMessage(lane, line(FromServer::Note(id, note))));
            }
        }
        Step::Break { which, how } => {
            if let Some((id, lane)) = pick(&rig.out, which) {
                let how =
                    [AttemptFailure::NoConnection, AttemptFailure::NotSent, AttemptFailure::ConnectionReset]
                        [usize::from(how)];
                rig.hear(Input::AttemptFailed(lane, id, how));
            }
        }
        Step::Lose { lane } => {
            rig.hear(Input::ServerDown(ServerIncarnation(lane)));
        }
        Step::List { n, status, restart, snapshot } => {
            let status = [Status::Ready, Status::Terminating, Status::Gone][usize::from(status)];
            let mut e = endpoint(n, status);
            if restart {
                e.started_ms = rig.now.0 / 1000;
            }
            let mut endpoints = vec![e];
            if snapshot {
                endpoints.extend((0..6).filter(|m| *m != n).map(|m| endpoint(m, Status::Ready)));
            }
            rig.hear(Input::Topology(Topology { snapshot, endpoints }));
        }
        Step::EmptyList => {
            rig.hear(Input::Topology(Topology { snapshot: true, endpoints: Vec::new() }));
        }
        Step::Terminate => {
            rig.hear(Input::Terminate);
        }
        Step::Pass { ms } => rig.pass(ms),
        Step::HandOver { conn, n } => {
            *made += 1;
            let mut setup = set_up(*made, 4_294_967);
            setup.attributes.playing_at = Some(format!("s-{n:08x}"));
            let out = rig
                .hear(Input::ViewerMessage(ViewerConnection(conn), FromViewer::SetUp(any(*made), Ok(setup))));
            // Releases that waited for a connection may go out on this one.
            let own =
                |o: &Output| matches!(o, Output::SendToViewer(_, ToViewer::Release(id, _)) if id.0 == *made);
            let refused = out.iter().any(own);
            if !refused {
                rig.learn_standing(any(*made), n);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]
    #[test]
    fn any_order_keeps_the_rules_and_leaves_nothing(seed in any::<u64>(), steps in prop::collection::vec(step(), 1..120)) {
        let mut rig = Rig::new(seed, 4);
        let mut made = 0;
        for step in steps {
            play(&mut rig, step, &mut made);
            let counts = rig.node.counts();
            prop_assert_eq!(counts.pending, rig.owed.len());
            let waiting = rig.standing.len() - counts.established.min(rig.standing.len());
            prop_assert!(waiting <= counts.queued_releases && counts.established <= rig.standing.len());
        }
        // After SIGTERM all is answered by the last call, whatever was asked for when; without it, in time.
        if let Some(since) = rig.node.terminated() {
            let call = since + beechloft::api::Micros(LAST_CALL_MS * 1000);
            rig.pass((call - rig.now).0.div_ceil(1000));
            prop_assert!(rig.owed.is_empty() && rig.node.counts().pending == 0, "after the last call: {:?}", rig.owed);
            rig.ask(0, 1 << 50, 3_000);
            prop_assert!(rig.owed.is_empty() && rig.out.is_empty(), "begun after the last call");
        }
        // All that was taken is answered in time, and all that stands ends when its media servers do.
        rig.pass(5_000);
        prop_assert!(rig.owed.is_empty() && rig.out.is_empty(), "{:?} {:?}", rig.owed, rig.out);
        for n in 0..6 {
            rig.bus(vec![endpoint(n, Status::Gone)]);
        }
        let lanes: Vec<ServerIncarnation> = rig.lanes.keys().copied().collect();
        for lane in lanes {
            rig.hear(Input::ServerDown(lane));
        }
        let counts = rig.node.counts();
        prop_assert_eq!((counts.pending, counts.established, counts.abandoned, counts.incarnations), (0, 0, 0, 0));
    }
}
