use beechloft_consensus::{Membership, StateUpdate, Storage};
use beechloft_leases::{Event, HolderId, Name, Op, Request, Response, Token};

use super::*;
use crate::asked::ClientId;
use crate::parts::MOST_WATCHERS;
use crate::waiting::MOST_WAITING;

mod placement;

struct Nowhere;

impl Storage for Nowhere {
    type Error = std::convert::Infallible;

    fn save(&mut self, _: &StateUpdate) -> Result<(), Self::Error> {
        Ok(())
    }
}

#[test]
fn past_the_bound_requests_are_turned_away_at_once_and_all_are_told() {
    let mut keeper = alone();
    let (now, mut out) = (Duration::from_secs(2), PendingOutputs::default());
    keeper.handle(now, ReplicaInput::Tick, &mut out);
    assert!(keeper.raft().is_leader());
    let more = 100;
    for n in 0..MOST_WAITING as u64 + more {
        let name = Name::try_from("task".to_owned()).expect("a name");
        let op = Op::Acquire { name, slots: 1, ttl_ms: 1_000 };
        keeper.handle(
            now,
            ReplicaInput::LeaseRequest(ClientId(n), Request { holder: HolderId(n), seq: 1, op }),
            &mut out,
        );
    }
    let Ok(released) = out.persist(&mut Nowhere);
    let told = keeper.process_ready(now, released).expect("a table");
    let busy = told.iter().filter(|o| matches!(o, ReplicaOutput::LeaseResponse(_, Response::Busy))).count();
    let answered =
        told.iter().filter(|o| matches!(o, ReplicaOutput::LeaseResponse(_, Response::Answer { .. }))).count();
    assert_eq!((busy as u64, answered), (more, MOST_WAITING));
}

/// A keeper alone, that leads.
fn alone() -> Replica {
    let stored = PersistentState::first(Membership::of([(NodeId(1), "a".into())]));
    let drift = DriftBound::ppm(100).expect("within bounds");
    Replica::new(NodeId(1), Settings::default(), stored, drift, 1, Duration::ZERO).expect("a table")
}

fn does(keeper: &mut Replica, at_ms: u64, asked: ReplicaInput) -> Vec<ReplicaOutput> {
    let (now, mut out) = (Duration::from_millis(at_ms), PendingOutputs::default());
    keeper.handle(now, asked, &mut out);
    let Ok(released) = out.persist(&mut Nowhere);
    keeper.process_ready(now, released).expect("a table")
}

#[test]
fn whoever_watches_hears_how_things_stand_and_then_each_change_once() {
    let mut k = alone();
    let name = |text: &str| Name::try_from(text.to_owned()).expect("a name");
    let ask = |holder: u64, seq, of: &str| {
        let op = Op::Acquire { name: name(of), slots: 1, ttl_ms: 1_000 };
        ReplicaInput::LeaseRequest(ClientId(9), Request { holder: HolderId(holder), seq, op })
    };
    does(&mut k, 2_000, ReplicaInput::Tick);
    does(&mut k, 2_001, ask(1, 1, "a"));
    let out = does(&mut k, 2_002, ReplicaInput::WatchLeases(ClientId(1), Some(name("a"))));
    let listed =
        |o: &ReplicaOutput| matches!(o, ReplicaOutput::Leases(ClientId(1), t) if t.grants().count() == 1);
    assert_eq!(out.iter().filter(|o| listed(o)).count(), 1, "{out:?}");
    does(&mut k, 2_003, ReplicaInput::WatchLeases(ClientId(2), None));
    let told = |out: &[ReplicaOutput]| -> Vec<(u64, Event)> {
        let one = |o: &ReplicaOutput| match o {
            ReplicaOutput::WatchEvent(client, event) => Some((client.0, event.clone())),
            _ => None,
        };
        out.iter().filter_map(one).collect()
    };
    // Another task's grant is told to who watches all alone; what was asked twice is told once.
    assert_eq!(told(&does(&mut k, 2_004, ask(1, 2, "b"))).iter().map(|t| t.0).collect::<Vec<_>>(), [2]);
    assert_eq!(told(&does(&mut k, 2_005, ask(1, 2, "b"))), []);
    // A renewal is nothing to be told.
    let renew = Op::Renew { name: name("b"), token: Token(2) };
    let renew = ReplicaInput::LeaseRequest(ClientId(9), Request { holder: HolderId(1), seq: 3, op: renew });
    assert_eq!(told(&does(&mut k, 2_006, renew)), []);
    does(&mut k, 2_007, ReplicaInput::ClientDisconnected(ClientId(2)));
    // The first grant runs out: its entry is put in, and applied.
    let expired = told(&does(&mut k, 3_500, ReplicaInput::Tick));
    assert_eq!(expired, [(1, Event::Expired(name("a"), Token(1)))]);
}

#[test]
fn past_the_bound_nobody_more_watches() {
    let mut k = alone();
    does(&mut k, 2_000, ReplicaInput::Tick);
    let mut busy = 0;
    for n in 0..MOST_WATCHERS as u64 + 5 {
        let out = does(&mut k, 2_001, ReplicaInput::WatchLeases(ClientId(n), None));
        busy += out.iter().filter(|o| matches!(o, ReplicaOutput::LeaseResponse(_, Response::Busy))).count();
    }
    assert_eq!(busy, 5);
}
