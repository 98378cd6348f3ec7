//! Tests of a single replica: bounds, subscriptions, and the placement component.

mod placement;

use std::convert::Infallible;
use std::time::Duration;

use beechloft_consensus::{
    Membership, NodeId, PendingOutputs, PersistentState, Settings, StateUpdate, Storage,
};
use beechloft_leases::{DriftBound, Event, HolderId, Name, Op, Request, Response, Token};

use super::Replica;
use crate::components::MAX_WATCHERS;
use crate::input::{ClientId, ReplicaInput};
use crate::output::ReplicaOutput;
use crate::pending_requests::MAX_PENDING;

/// A storage that keeps nothing.
struct NullStorage;

impl Storage for NullStorage {
    type Error = Infallible;

    fn save(&mut self, _: &StateUpdate) -> Result<(), Self::Error> {
        Ok(())
    }
}

#[test]
fn requests_above_the_bound_are_rejected_at_once_and_all_are_answered() {
    let mut replica = single_replica();
    let (now, mut out) = (Duration::from_secs(2), PendingOutputs::default());
    replica.handle(now, ReplicaInput::Tick, &mut out);
    assert!(replica.raft().is_leader());
    let excess = 100;
    for n in 0..MAX_PENDING as u64 + excess {
        let name = Name::try_from("task".to_owned()).expect("a name");
        let op = Op::Acquire { name, slots: 1, ttl_ms: 1_000 };
        replica.handle(
            now,
            ReplicaInput::LeaseRequest(ClientId(n), Request { holder: HolderId(n), seq: 1, op }),
            &mut out,
        );
    }
    let Ok(released) = out.persist(&mut NullStorage);
    let notified = replica.process_ready(now, released).expect("a table");
    let busy =
        notified.iter().filter(|o| matches!(o, ReplicaOutput::LeaseResponse(_, Response::Busy))).count();
    let answered = notified
        .iter()
        .filter(|o| matches!(o, ReplicaOutput::LeaseResponse(_, Response::Answer { .. })))
        .count();
    assert_eq!((busy as u64, answered), (excess, MAX_PENDING));
}

/// A replica that is the only one of its cluster.
fn single_replica() -> Replica {
    let stored = PersistentState::first(Membership::of([(NodeId(1), "a".into())]));
    let drift = DriftBound::ppm(100).expect("within bounds");
    Replica::new(NodeId(1), Settings::default(), stored, drift, 1, Duration::ZERO).expect("a table")
}

fn handle(replica: &mut Replica, at_ms: u64, asked: ReplicaInput) -> Vec<ReplicaOutput> {
    let (now, mut out) = (Duration::from_millis(at_ms), PendingOutputs::default());
    replica.handle(now, asked, &mut out);
    let Ok(released) = out.persist(&mut NullStorage);
    replica.process_ready(now, released).expect("a table")
}

#[test]
fn a_watcher_receives_the_current_grants_and_then_each_change_once() {
    let mut replica = single_replica();
    let name = |text: &str| Name::try_from(text.to_owned()).expect("a name");
    let ask = |holder: u64, seq, of: &str| {
        let op = Op::Acquire { name: name(of), slots: 1, ttl_ms: 1_000 };
        ReplicaInput::LeaseRequest(ClientId(9), Request { holder: HolderId(holder), seq, op })
    };
    handle(&mut replica, 2_000, ReplicaInput::Tick);
    handle(&mut replica, 2_001, ask(1, 1, "a"));
    let out = handle(&mut replica, 2_002, ReplicaInput::WatchLeases(ClientId(1), Some(name("a"))));
    let listed =
        |o: &ReplicaOutput| matches!(o, ReplicaOutput::Leases(ClientId(1), t) if t.grants().count() == 1);
    assert_eq!(out.iter().filter(|o| listed(o)).count(), 1, "{out:?}");
    handle(&mut replica, 2_003, ReplicaInput::WatchLeases(ClientId(2), None));
    let notified = |outputs: &[ReplicaOutput]| -> Vec<(u64, Event)> {
        let one = |o: &ReplicaOutput| match o {
            ReplicaOutput::WatchEvent(client, event) => Some((client.0, event.clone())),
            _ => None,
        };
        outputs.iter().filter_map(one).collect()
    };
    // A grant of another task is reported only to the watcher of all tasks. A retried request is reported once.
    assert_eq!(
        notified(&handle(&mut replica, 2_004, ask(1, 2, "b"))).iter().map(|t| t.0).collect::<Vec<_>>(),
        [2]
    );
    assert_eq!(notified(&handle(&mut replica, 2_005, ask(1, 2, "b"))), []);
    // Renewals are not reported.
    let renew = Op::Renew { name: name("b"), token: Token(2) };
    let renew = ReplicaInput::LeaseRequest(ClientId(9), Request { holder: HolderId(1), seq: 3, op: renew });
    assert_eq!(notified(&handle(&mut replica, 2_006, renew)), []);
    handle(&mut replica, 2_007, ReplicaInput::ClientDisconnected(ClientId(2)));
    // The first grant expires: the entry is proposed and applied.
    let expired = notified(&handle(&mut replica, 3_500, ReplicaInput::Tick));
    assert_eq!(expired, [(1, Event::Expired(name("a"), Token(1)))]);
}

#[test]
fn watch_requests_above_the_bound_are_rejected() {
    let mut replica = single_replica();
    handle(&mut replica, 2_000, ReplicaInput::Tick);
    let mut busy = 0;
    for n in 0..MAX_WATCHERS as u64 + 5 {
        let out = handle(&mut replica, 2_001, ReplicaInput::WatchLeases(ClientId(n), None));
        busy += out.iter().filter(|o| matches!(o, ReplicaOutput::LeaseResponse(_, Response::Busy))).count();
    }
    assert_eq!(busy, 5);
}
