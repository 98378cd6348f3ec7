//! Tests of a replica that is alone in its cluster.

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

/// A storage that discards everything.
struct NullStorage;

impl Storage for NullStorage {
    type Error = Infallible;

    fn save(&mut self, _: &StateUpdate) -> Result<(), Self::Error> {
        Ok(())
    }
}

#[test]
fn rejects_requests_above_limit_and_answers_all_others() {
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
    let Ok(ready) = out.persist(&mut NullStorage);
    let outputs = replica.process_ready(now, ready).expect("a readable snapshot");
    let busy_count = outputs
        .iter()
        .filter(|output| matches!(output, ReplicaOutput::LeaseResponse(_, Response::Busy)))
        .count();
    let answered = outputs
        .iter()
        .filter(|output| matches!(output, ReplicaOutput::LeaseResponse(_, Response::Answer { .. })))
        .count();
    assert_eq!((busy_count as u64, answered), (excess, MAX_PENDING));
}

/// Returns a replica that is the only member of its cluster.
fn single_replica() -> Replica {
    let stored = PersistentState::first(Membership::of([(NodeId(1), "a".into())]));
    let drift = DriftBound::ppm(100).expect("within bounds");
    Replica::new(NodeId(1), Settings::default(), stored, drift, 1, Duration::ZERO)
        .expect("a readable snapshot")
}

fn handle(replica: &mut Replica, at_ms: u64, input: ReplicaInput) -> Vec<ReplicaOutput> {
    let (now, mut out) = (Duration::from_millis(at_ms), PendingOutputs::default());
    replica.handle(now, input, &mut out);
    let Ok(ready) = out.persist(&mut NullStorage);
    replica.process_ready(now, ready).expect("a readable snapshot")
}

#[test]
fn watcher_receives_current_grants_and_each_change_once() {
    let mut replica = single_replica();
    let name = |text: &str| Name::try_from(text.to_owned()).expect("a name");
    let acquire = |holder: u64, seq, task: &str| {
        let op = Op::Acquire { name: name(task), slots: 1, ttl_ms: 1_000 };
        ReplicaInput::LeaseRequest(ClientId(9), Request { holder: HolderId(holder), seq, op })
    };
    handle(&mut replica, 2_000, ReplicaInput::Tick);
    handle(&mut replica, 2_001, acquire(1, 1, "a"));
    let out = handle(&mut replica, 2_002, ReplicaInput::WatchLeases(ClientId(1), Some(name("a"))));
    let is_listing = |output: &ReplicaOutput| match output {
        ReplicaOutput::Leases(ClientId(1), table) => table.grants().count() == 1,
        _ => false,
    };
    assert_eq!(out.iter().filter(|output| is_listing(output)).count(), 1, "{out:?}");
    handle(&mut replica, 2_003, ReplicaInput::WatchLeases(ClientId(2), None));
    let notified = |outputs: &[ReplicaOutput]| -> Vec<(u64, Event)> {
        let watch_event = |output: &ReplicaOutput| match output {
            ReplicaOutput::WatchEvent(client, event) => Some((client.0, event.clone())),
            _ => None,
        };
        outputs.iter().filter_map(watch_event).collect()
    };
    // A grant of another task is reported only to the watcher of all tasks. A retried request is not reported again.
    let notifications = notified(&handle(&mut replica, 2_004, acquire(1, 2, "b")));
    let clients: Vec<u64> = notifications.iter().map(|(client, _)| *client).collect();
    assert_eq!(clients, [2]);
    assert_eq!(notified(&handle(&mut replica, 2_005, acquire(1, 2, "b"))), []);
    // Renewals are not reported.
    let op = Op::Renew { name: name("b"), token: Token(2) };
    let renew = ReplicaInput::LeaseRequest(ClientId(9), Request { holder: HolderId(1), seq: 3, op });
    assert_eq!(notified(&handle(&mut replica, 2_006, renew)), []);
    handle(&mut replica, 2_007, ReplicaInput::ClientDisconnected(ClientId(2)));
    // The first grant expires. The replica proposes the expiry and applies it.
    let expired = notified(&handle(&mut replica, 3_500, ReplicaInput::Tick));
    assert_eq!(expired, [(1, Event::Expired(name("a"), Token(1)))]);
}

#[test]
fn rejects_watch_requests_above_limit() {
    let mut replica = single_replica();
    handle(&mut replica, 2_000, ReplicaInput::Tick);
    let mut busy_count = 0;
    for n in 0..MAX_WATCHERS as u64 + 5 {
        let out = handle(&mut replica, 2_001, ReplicaInput::WatchLeases(ClientId(n), None));
        busy_count += out
            .iter()
            .filter(|output| matches!(output, ReplicaOutput::LeaseResponse(_, Response::Busy)))
            .count();
    }
    assert_eq!(busy_count, 5);
}
