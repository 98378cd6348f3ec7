//! Delayed messages from and to media servers that were lost or restarted meanwhile.
#![allow(clippy::cast_possible_truncation)]

mod support;

use beechloft_leases::Token;
use beechloft_placement::names::*;
use beechloft_placement::protocol::commands::Source;
use beechloft_placement::protocol::orders::{OrderAction, OrderStatus, ServerReport, ServerRequest};
use beechloft_placement::state::Presence;
use beechloft_placement::{Answer, Command, MediaServer, Placements, Rules, Step};
use support::*;

const AT: ServerId = ServerId(1);

fn step(state: &mut Placements, step: Step) -> Answer {
    let answer = state.apply(&Command::Step(Token(1), step)).0;
    state.audit().expect("the invariants hold");
    answer
}

/// Returns the step that follows from a media server's status report.
fn server_up(state: &Placements, server: &mut MediaServer) -> Step {
    let (ServerReport::Status { incarnation, disk, presence, .. }, None) =
        server.handle(&ServerRequest::GetStatus(state.presence_number(AT)))
    else {
        panic!("the media server reports no status")
    };
    Step::ServerUp { id: AT, incarnation, disk, presence }
}

#[test]
fn ignores_late_report_of_former_incarnation() {
    let mut state = fleet(1, 1, 1_000, Rules::default());
    let mut old = MediaServer::new(Incarnation(11), DiskId(1), []);
    let first = server_up(&state, &mut old);
    assert_eq!(step(&mut state, first), Answer::Done);
    // This report is delayed while the media server restarts with an empty disk.
    let late = server_up(&state, &mut old);
    let mut new = MediaServer::new(Incarnation(12), DiskId(2), []);
    let second = server_up(&state, &mut new);
    assert_eq!(step(&mut state, second), Answer::Done);
    assert_eq!(step(&mut state, late), Answer::NotApplicable);
    assert_eq!(state.presence(AT), Some(Presence::Up { incarnation: Incarnation(12), disk: DiskId(2) }));
}

#[test]
fn refuses_order_from_before_loss() {
    let mut state = fleet(1, 1, 1_000, Rules::default());
    let mut server = MediaServer::new(Incarnation(11), DiskId(1), []);
    let first = server_up(&state, &mut server);
    step(&mut state, first);
    let a = shard("ann", "a");
    state.apply(&put(&a, "1", None, request(&a, 10, &[("r0", 1)])));
    let begin = Step::BeginCopy { shard: a.clone(), at: AT, from: Source::Origin };
    assert_eq!(step(&mut state, begin), Answer::Done);
    let beechloft_placement::state::CopyState::Copying { order, .. } = state.pins()[&a].copies[&AT].state
    else {
        panic!("the shard is not being copied")
    };
    let action = OrderAction::Copy { from: Source::Origin, bytes: 10, kb_s: 1 };
    let late = ServerRequest::Execute { incarnation: Incarnation(11), order, shard: a.clone(), action };
    step(&mut state, Step::ServerLost { id: AT, incarnation: Incarnation(11) });
    let returned = server_up(&state, &mut server);
    assert_eq!(step(&mut state, returned), Answer::Done);
    let (report, job) = server.handle(&late);
    assert_eq!(
        (report, job),
        (ServerReport::Order { shard: a, order, status: OrderStatus::Superseded }, None)
    );
}
