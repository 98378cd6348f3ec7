//! The placement as a component of the replicated state.

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

fn place(replica: &mut Replica, at_ms: u64, command: Command) -> Vec<Answer> {
    let out = handle(replica, at_ms, ReplicaInput::PlacementCommand(ClientId(1), at_ms, Box::new(command)));
    let answer = |o| match o {
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
fn records_are_written_to_their_topic_by_the_log_itself_and_rights_expire() {
    let mut replica = single_replica();
    handle(&mut replica, 2_000, ReplicaInput::Tick);
    let resources = Resources { bytes: 100, streams: 10, kb_s: 10 };
    let line =
        ServerInfo { zone: name("z"), rack: RackId(1), total: resources, reserved: Resources::default() };
    let quota = Quota { bytes: 100, regions: [name("south")].into(), changes_an_hour: 9, shards: 9 };
    let words = [
        OperatorCommand::Region(name("south"), [name("z")].into()),
        OperatorCommand::Rack(RackId(1), RackInfo { uplink_kb_s: 10, reserved_kb_s: 0 }),
        OperatorCommand::Server(ServerId(1), line),
        OperatorCommand::Quota(name("ann"), quota),
    ];
    for (at_ms, operate) in (2_001..).zip(words) {
        assert_eq!(place(&mut replica, at_ms, Command::Operator(operate)), [Answer::Done]);
    }
    let met = Step::ServerUp {
        id: ServerId(1),
        incarnation: Incarnation(1),
        disk: DiskId(1),
        presence: OrderId(0),
    };
    assert_eq!(place(&mut replica, 2_010, Command::Step(Token(1), met)), [Answer::Done]);
    let admitted = Answer::Request(CustomerRequestId(1), Outcome::Admitted(Version(1)));
    assert_eq!(place(&mut replica, 2_011, put()), std::slice::from_ref(&admitted));
    // There is no topic yet: the record pending, in the state that a snapshot has.
    let mut read = ReplicatedState::read(&replica.state.write()).expect("it reads back");
    assert_eq!(read.write(), replica.state.write());
    let topic: Name = name("fleet/placement");
    let written = |of: &Replica| of.topics().all().find(|(n, _)| **n == topic).map(|(_, t)| t.head().0);
    assert_eq!(written(&replica), None);
    handle(
        &mut replica,
        2_012,
        ReplicaInput::DeclareTopic(7, topic.clone(), beechloft_topic::Terms::default()),
    );
    assert_eq!(written(&replica), Some(1));
    // A retried command is applied once, and nothing more is written. A state that was read back behaves the same.
    assert_eq!(place(&mut replica, 2_013, put()), [admitted]);
    assert_eq!(written(&replica), Some(1));
    read.restore(&replica.state.write(), None).expect("it reads back");
    assert_eq!(read.write(), replica.state.write());
    // A front node's right expires by the leader's clock, some time after its own.
    let renew = Renew { front: FrontId(5), seq: 1, revision: Some(Revision(1)), ttl_ms: 1_000 };
    let right = Answer::Front { front: FrontId(5), seq: 1, outcome: RenewOutcome::Granted };
    assert_eq!(place(&mut replica, 2_020, Command::Renew(renew)), [right]);
    handle(&mut replica, 3_000, ReplicaInput::Tick);
    assert_eq!(replica.placements().fronts().len(), 1);
    handle(&mut replica, 3_040, ReplicaInput::Tick);
    assert_eq!(replica.placements().fronts().len(), 0);
}
