//! Tests of the placement as a component of a replica.

use std::sync::Arc;

use beechloft_leases::{Name, Token};
use beechloft_placement::names::{
    CustomerRequestId, Digest, DiskId, FrontId, Incarnation, OrderId, RackId, Revision, ServerId, ShardId,
    Version,
};
use beechloft_placement::plan::inventory::{RackInfo, ServerInfo};
use beechloft_placement::protocol::request::{First, OnLoss, WhenFull};
use beechloft_placement::{
    Answer, Change, ChangeKind, Command, OperatorCommand, Outcome, Quota, Renew, RenewOutcome, Request,
    Resources, Step, Titles,
};

use super::{Replica, handle, single_replica};
use crate::components::ReplicatedState;
use crate::input::{ClientId, ReplicaInput};
use crate::output::ReplicaOutput;

fn name<T: TryFrom<String, Error: std::fmt::Debug>>(text: &str) -> T {
    T::try_from(text.to_owned()).expect("a name")
}

fn run_command(replica: &mut Replica, at_ms: u64, command: Command) -> Vec<Answer> {
    let out = handle(replica, at_ms, ReplicaInput::PlacementCommand(ClientId(1), at_ms, Box::new(command)));
    let answer = |output| match output {
        ReplicaOutput::PlacementResponse(ClientId(1), number, answer) if number == at_ms => Some(answer),
        _ => None,
    };
    out.into_iter().filter_map(answer).collect()
}

fn put() -> Command {
    let request = Request {
        titles: Titles::Range { from: 0, to: u64::MAX },
        bytes: 10,
        digest: Digest([1; 32]),
        streams: 1,
        kb_s: 1,
        regions: [(name("south"), 1)].into(),
        first: First::Nearest,
        on_loss: OnLoss::Refuse,
        when_full: WhenFull::Refuse,
    };
    let shard = ShardId { customer: name("ann"), name: name("a") };
    Command::Change(Change {
        shard,
        key: name("k"),
        if_match: None,
        kind: ChangeKind::Put(Arc::new(request)),
    })
}

#[test]
fn writes_records_to_topic_once_and_expires_rights() {
    let mut replica = single_replica();
    handle(&mut replica, 2_000, ReplicaInput::Tick);
    let capacity = Resources { bytes: 100, streams: 10, kb_s: 10 };
    let media_server =
        ServerInfo { zone: name("z"), rack: RackId(1), total: capacity, reserved: Resources::default() };
    let quota = Quota { bytes: 100, regions: [name("south")].into(), changes_an_hour: 9, shards: 9 };
    let operations = [
        OperatorCommand::Region(name("south"), [name("z")].into()),
        OperatorCommand::Rack(RackId(1), RackInfo { uplink_kb_s: 10, reserved_kb_s: 0 }),
        OperatorCommand::Server(ServerId(1), media_server),
        OperatorCommand::Quota(name("ann"), quota),
    ];
    for (at_ms, operate) in (2_001..).zip(operations) {
        assert_eq!(run_command(&mut replica, at_ms, Command::Operator(operate)), [Answer::Done]);
    }
    let server_up = Step::ServerUp {
        id: ServerId(1),
        incarnation: Incarnation(1),
        disk: DiskId(1),
        presence: OrderId(0),
    };
    assert_eq!(run_command(&mut replica, 2_010, Command::Step(Token(1), server_up)), [Answer::Done]);
    let admitted = Answer::Request(CustomerRequestId(1), Outcome::Admitted(Version(1)));
    assert_eq!(run_command(&mut replica, 2_011, put()), std::slice::from_ref(&admitted));
    // The record waits in the replicated state, also in a snapshot, because the topic does not exist yet.
    let mut restored = ReplicatedState::read(&replica.state.write()).expect("a readable snapshot");
    assert_eq!(restored.write(), replica.state.write());
    let topic: Name = name("fleet/placement");
    let record_count =
        |of: &Replica| of.topics().all().find(|(name, _)| **name == topic).map(|(_, topic)| topic.head().0);
    assert_eq!(record_count(&replica), None);
    handle(
        &mut replica,
        2_012,
        ReplicaInput::DeclareTopic(7, topic.clone(), beechloft_topic::TopicConfig::default()),
    );
    assert_eq!(record_count(&replica), Some(1));
    // A retried command is applied once and writes no further record. A restored state has the same encoding.
    assert_eq!(run_command(&mut replica, 2_013, put()), [admitted]);
    assert_eq!(record_count(&replica), Some(1));
    restored.restore(&replica.state.write(), None).expect("a readable snapshot");
    assert_eq!(restored.write(), replica.state.write());
    // A front node's right expires by the leader's clock, later than by the front node's own.
    let renew = Renew { front: FrontId(5), seq: 1, revision: Some(Revision(1)), ttl_ms: 1_000 };
    let granted = Answer::Front { front: FrontId(5), seq: 1, outcome: RenewOutcome::Granted };
    assert_eq!(run_command(&mut replica, 2_020, Command::Renew(renew)), [granted]);
    handle(&mut replica, 3_000, ReplicaInput::Tick);
    assert_eq!(replica.placements().fronts().len(), 1);
    handle(&mut replica, 3_040, ReplicaInput::Tick);
    assert_eq!(replica.placements().fronts().len(), 0);
}
