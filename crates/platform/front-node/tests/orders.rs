//! Any order of inputs keeps the rules: the harness checks them on each output.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::too_many_lines)]

mod support;

use beechloft_front_node::{AttemptFailure, Input, Output, ServerIncarnation, ViewerConnection};
use beechloft_protocol::bus::{Status, Topology};
use beechloft_protocol::server::{FromServer, Note, ServerMessage};
use beechloft_protocol::viewer::{FromViewer, SetUpError, ToViewer};
use beechloft_protocol::{CallId, Cause};
use proptest::prelude::*;
use support::{Harness, SHUTDOWN_DEADLINE_MS, endpoint, line, set_up};

#[derive(Debug, Clone)]
enum Step {
    SetUp { conn: u64, timeout_ms: u64 },
    DuplicateSetUp { conn: u64, which: usize },
    MalformedSetUp { conn: u64, which: usize },
    Leave { conn: u64, which: usize },
    Close { conn: u64 },
    UndeliveredAnswer { which: usize },
    Accept { which: usize },
    AcceptAnywhere { which: usize, incarnation: u32 },
    End { which: usize, cause: u8, load: bool },
    EndAnywhere { which: usize, incarnation: u32, cause: u8 },
    Note { which: usize, value: f64 },
    Break { which: usize, how: u8 },
    ServerDown { incarnation: u32 },
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
        8 => (conn(), 0..4_000u64).prop_map(|(conn, timeout_ms)| Step::SetUp { conn, timeout_ms }),
        1 => (conn(), which()).prop_map(|(conn, which)| Step::DuplicateSetUp { conn, which }),
        1 => (conn(), which()).prop_map(|(conn, which)| Step::MalformedSetUp { conn, which }),
        1 => (conn(), which()).prop_map(|(conn, which)| Step::Leave { conn, which }),
        1 => conn().prop_map(|conn| Step::Close { conn }),
        1 => which().prop_map(|which| Step::UndeliveredAnswer { which }),
        6 => which().prop_map(|which| Step::Accept { which }),
        1 => (which(), 0..8u32).prop_map(|(which, incarnation)| Step::AcceptAnywhere { which, incarnation }),
        3 => (which(), any::<u8>(), any::<bool>()).prop_map(|(which, cause, load)| Step::End { which, cause, load }),
        1 => (which(), 0..8u32, any::<u8>()).prop_map(|(which, incarnation, cause)| Step::EndAnywhere { which, incarnation, cause }),
        1 => (which(), 0.0..3.0).prop_map(|(which, value)| Step::Note { which, value }),
        2 => (which(), 0..3u8).prop_map(|(which, how)| Step::Break { which, how }),
        1 => (0..8u32).prop_map(|incarnation| Step::ServerDown { incarnation }),
        2 => (0..6u16, 0..3u8, any::<bool>(), prop::bool::weighted(0.2))
            .prop_map(|(n, status, restart, snapshot)| Step::List { n, status, restart, snapshot }),
        1 => Just(Step::EmptyList),
        1 => prop::bool::weighted(0.1).prop_map(|ends| if ends { Step::Terminate } else { Step::Pass { ms: 1 } }),
        5 => (0..900u64).prop_map(|ms| Step::Pass { ms }),
        1 => (conn(), 0..6u16).prop_map(|(conn, n)| Step::HandOver { conn, n }),
    ]
}

const CAUSES: [u8; 5] = [34, 47, 102, 41, 16];

fn play(harness: &mut Harness, step: Step, made: &mut u64) {
    let pick = |map: &std::collections::BTreeMap<CallId, ServerIncarnation>, which: usize| {
        map.iter().nth(which % map.len().max(1)).map(|(id, incarnation)| (*id, *incarnation))
    };
    let any = CallId;
    match step {
        Step::SetUp { conn, timeout_ms } => {
            *made += 1;
            harness.set_up(conn, *made, timeout_ms);
        }
        Step::DuplicateSetUp { conn, which } => {
            if let Some((id, _)) = pick(&harness.in_flight, which) {
                harness.handle(Input::ViewerMessage(
                    ViewerConnection(conn),
                    FromViewer::SetUp(id, Ok(set_up(1, 900))),
                ));
            }
        }
        Step::MalformedSetUp { conn, which } => {
            let id = pick(&harness.in_flight, which).map_or(any(1 << 40), |p| p.0);
            harness.handle(Input::ViewerMessage(
                ViewerConnection(conn),
                FromViewer::SetUp(id, Err(SetUpError::Invalid(3))),
            ));
        }
        Step::Leave { conn, which } => {
            let id = any(1 + which as u64);
            harness.handle(Input::ViewerMessage(ViewerConnection(conn), FromViewer::Release(id)));
        }
        Step::Close { conn } => {
            harness.handle(Input::ViewerConnectionClosed(ViewerConnection(conn)));
        }
        Step::UndeliveredAnswer { which } => {
            harness.handle(Input::AnswerUndelivered(any(1 + which as u64)));
        }
        Step::Accept { which } => {
            if let Some((id, _)) = pick(&harness.in_flight, which) {
                harness.accept(id.0);
            }
        }
        Step::AcceptAnywhere { which, incarnation } => {
            let id = any(1 + which as u64);
            if harness.in_flight.get(&id) != Some(&ServerIncarnation(incarnation)) {
                harness.handle(Input::ServerMessage(
                    ServerIncarnation(incarnation),
                    line(FromServer::Accept(id, "x".into())),
                ));
            }
        }
        Step::End { which, cause, load } => {
            let map = if cause % 2 == 0 { &harness.in_flight } else { &harness.established };
            if let Some((id, incarnation)) = pick(map, which) {
                let cause = Cause::from(CAUSES[usize::from(cause) % CAUSES.len()]);
                let load = load.then(|| "utilization:0.9;x1:0.3;y:NaN".into());
                harness.handle(Input::ServerMessage(
                    incarnation,
                    ServerMessage { event: FromServer::End(id, cause), load },
                ));
            }
        }
        Step::EndAnywhere { which, incarnation, cause } => {
            harness.handle(Input::ServerMessage(
                ServerIncarnation(incarnation),
                line(FromServer::End(any(1 + which as u64), Cause::from(cause))),
            ));
        }
        Step::Note { which, value } => {
            if let Some((id, incarnation)) = pick(&harness.established, which) {
                let note = match which % 4 {
                    0 => Note::DeliveredFraction(value),
                    1 => Note::Rung(value),
                    2 => Note::LinkUtilization(value),
                    _ => Note::UplinkUtilization(value),
                };
                harness.handle(Input::ServerMessage(incarnation, line(FromServer::Note(id, note))));
            }
        }
        Step::Break { which, how } => {
            if let Some((id, incarnation)) = pick(&harness.in_flight, which) {
                let how =
                    [AttemptFailure::NoConnection, AttemptFailure::NotSent, AttemptFailure::ConnectionReset]
                        [usize::from(how)];
                harness.handle(Input::AttemptFailed(incarnation, id, how));
            }
        }
        Step::ServerDown { incarnation } => {
            harness.handle(Input::ServerDown(ServerIncarnation(incarnation)));
        }
        Step::List { n, status, restart, snapshot } => {
            let status = [Status::Ready, Status::Terminating, Status::Gone][usize::from(status)];
            let mut e = endpoint(n, status);
            if restart {
                e.started_ms = harness.now.0 / 1000;
            }
            let mut endpoints = vec![e];
            if snapshot {
                endpoints.extend((0..6).filter(|m| *m != n).map(|m| endpoint(m, Status::Ready)));
            }
            harness.handle(Input::Topology(Topology { snapshot, endpoints }));
        }
        Step::EmptyList => {
            harness.handle(Input::Topology(Topology { snapshot: true, endpoints: Vec::new() }));
        }
        Step::Terminate => {
            harness.handle(Input::Terminate);
        }
        Step::Pass { ms } => harness.advance(ms),
        Step::HandOver { conn, n } => {
            *made += 1;
            let mut setup = set_up(*made, 4_294_967);
            setup.attributes.playing_at = Some(format!("s-{n:08x}"));
            let out = harness.handle(Input::ViewerMessage(
                ViewerConnection(conn),
                FromViewer::SetUp(any(*made), Ok(setup)),
            ));
            // Releases that waited for a connection may go out on this one.
            let own =
                |o: &Output| matches!(o, Output::SendToViewer(_, ToViewer::Release(id, _)) if id.0 == *made);
            let refused = out.iter().any(own);
            if !refused {
                harness.add_adopted(any(*made), n);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]
    #[test]
    fn any_order_of_inputs_keeps_the_invariants_and_leaves_no_state(seed in any::<u64>(), steps in prop::collection::vec(step(), 1..120)) {
        let mut harness = Harness::new(seed, 4);
        let mut made = 0;
        for step in steps {
            play(&mut harness, step, &mut made);
            let counts = harness.node.counts();
            prop_assert_eq!(counts.pending, harness.pending.len());
            let waiting = harness.established.len() - counts.established.min(harness.established.len());
            prop_assert!(waiting <= counts.queued_releases && counts.established <= harness.established.len());
        }
        // After SIGTERM all is answered by the last call, whatever was asked for when; without it, in time.
        if let Some(since) = harness.node.terminated() {
            let call = since + beechloft::api::Micros(SHUTDOWN_DEADLINE_MS * 1000);
            harness.advance((call - harness.now).0.div_ceil(1000));
            prop_assert!(harness.pending.is_empty() && harness.node.counts().pending == 0, "after the last call: {:?}", harness.pending);
            harness.set_up(0, 1 << 50, 3_000);
            prop_assert!(harness.pending.is_empty() && harness.in_flight.is_empty(), "begun after the last call");
        }
        // All that was taken is answered in time, and all that stands ends when its media servers do.
        harness.advance(5_000);
        prop_assert!(harness.pending.is_empty() && harness.in_flight.is_empty(), "{:?} {:?}", harness.pending, harness.in_flight);
        for n in 0..6 {
            harness.bus(vec![endpoint(n, Status::Gone)]);
        }
        let incarnations: Vec<ServerIncarnation> = harness.incarnations.keys().copied().collect();
        for incarnation in incarnations {
            harness.handle(Input::ServerDown(incarnation));
        }
        let counts = harness.node.counts();
        prop_assert_eq!((counts.pending, counts.established, counts.abandoned, counts.incarnations), (0, 0, 0, 0));
    }
}
