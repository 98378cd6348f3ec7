//! Encoding of the replicated state in a snapshot.
//!
//! A replica that is alone in its cluster applies commands of each component and then takes a snapshot.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use beechloft_consensus::{
    Chunk, Input, Membership, NodeId, PendingOutputs, PersistentState, RequestId, Settings, Snapshot,
    SnapshotData, StateUpdate, Storage,
};
use beechloft_leases::DriftBound;
use beechloft_placement::names::{
    CustomerRequestId, DiskId, Incarnation, OrderId, Revision, ServerId, Version,
};
use beechloft_placement::{Answer, Command as PlacementCommand, Outcome, Renew, Step};
use beechloft_quotas::{Claim, Enforcement, Key, LimitDefinition, Op as QuotaOp, Scope, ShareReport};
use beechloft_replica::{ClientId, Command, Replica, ReplicaInput, ReplicaOutput};
use beechloft_topic::{Epoch, Expect, TopicCommand, TopicOp};

use super::values::{
    acquire, acquire_as, declare, definition, lease, name, operate, publish, put, quota_request,
    topic_request,
};
use super::{fixture, to_hex};

const SNAPSHOT: &str = include_str!("../fixtures/snapshot.txt");
/// Time after which a replica that is alone in its cluster is the leader.
const ELECTED_AT: Duration = Duration::from_secs(2);

#[derive(Default)]
struct MemoryStorage(PersistentState);

impl Storage for MemoryStorage {
    type Error = Infallible;

    fn save(&mut self, update: &StateUpdate) -> Result<(), Infallible> {
        self.0.apply(update);
        Ok(())
    }
}

/// A replica that is the only member of its cluster.
struct SingleReplica {
    replica: Replica,
    storage: MemoryStorage,
}

impl SingleReplica {
    fn start(stored: PersistentState) -> SingleReplica {
        let drift = DriftBound::ppm(100).expect("within bounds");
        let replica = Replica::new(NodeId(1), Settings::default(), stored.clone(), drift, 1, Duration::ZERO);
        let mut node =
            SingleReplica { replica: replica.expect("a readable snapshot"), storage: MemoryStorage(stored) };
        node.handle(ReplicaInput::Tick);
        node
    }

    fn new() -> SingleReplica {
        SingleReplica::start(PersistentState::first(Membership::of([(NodeId(1), "a".into())])))
    }

    fn handle(&mut self, input: ReplicaInput) -> Vec<ReplicaOutput> {
        let mut outputs = PendingOutputs::default();
        self.replica.handle(ELECTED_AT, input, &mut outputs);
        let Ok(ready) = outputs.persist(&mut self.storage);
        self.replica.process_ready(ELECTED_AT, ready).expect("no snapshot from another replica")
    }

    /// Proposes a command, which is committed and applied at once.
    fn apply(&mut self, command: Command) -> Vec<ReplicaOutput> {
        let client = ClientId(1);
        let input = match command {
            Command::Leases(beechloft_leases::Command::Request(request)) => {
                ReplicaInput::LeaseRequest(client, request)
            }
            Command::Topics(TopicCommand::Request(request)) => ReplicaInput::TopicRequest(client, request),
            Command::Topics(TopicCommand::Declare { topic, incarnation, config }) => {
                ReplicaInput::DeclareTopic(incarnation, topic, config)
            }
            Command::Quotas(beechloft_quotas::Command::Request(request)) => {
                ReplicaInput::QuotaRequest(client, request)
            }
            Command::Placement(command) => ReplicaInput::PlacementCommand(client, 1, Box::new(command)),
            other => panic!("{other:?} is proposed only by the replica itself"),
        };
        self.handle(input)
    }

    /// Fills the log until a snapshot is taken. No version can decode the proposed commands, so they do not change the state.
    fn take_snapshot(&mut self) -> Snapshot {
        let previous = self.replica.raft().snapshot().map(|snapshot| snapshot.at);
        let unknown: Arc<[u8]> = vec![u8::MAX; 64 << 10].into();
        for _ in 0..10 {
            self.handle(ReplicaInput::Raft(Input::Propose(RequestId(1), unknown.clone())));
            let snapshot = self.storage.0.snapshot.as_ref().filter(|snapshot| Some(snapshot.at) != previous);
            if let Some(snapshot) = snapshot {
                return snapshot.clone();
            }
        }
        panic!("no snapshot was taken");
    }
}

/// Returns a replica with content in each component.
fn replica_with_content() -> SingleReplica {
    let mut node = SingleReplica::new();
    node.apply(lease(1, acquire()));
    node.apply(Command::Leases(beechloft_leases::Command::Request(beechloft_leases::Request {
        holder: beechloft_leases::HolderId(7),
        seq: 1,
        op: acquire_as(),
    })));
    node.apply(declare("topic", 1 << 50));
    for op in [
        TopicOp::Begin { epoch: Epoch(5) },
        publish(1, Some(b"value\xff"), Expect::Anything),
        publish(2, None, Expect::Anything),
        publish(3, Some(b"later"), Expect::Absent),
    ] {
        node.apply(Command::Topics(TopicCommand::Request(topic_request(op))));
    }
    let open_account = QuotaOp::Open { ttl_ms: 9_000, tagged: true };
    node.apply(Command::Quotas(beechloft_quotas::Command::Request(quota_request(1, open_account))));
    let account = node.replica.quotas().accounts().next().map(|account| account.0).expect("an account");
    let hard_limit = LimitDefinition {
        scope: Scope::Title,
        only_key: None,
        enforcement: Enforcement::Hard,
        ..definition()
    };
    let declare_limit = QuotaOp::DeclareLimit { account, definition: hard_limit };
    node.apply(Command::Quotas(beechloft_quotas::Command::Request(quota_request(2, declare_limit))));
    let customer = Key::of("ann");
    let claim = Claim { limit: name("limit"), key: customer.clone(), customer };
    let reports = vec![ShareReport { claim, share: 0, used: 2, demand: 30 }];
    let report = QuotaOp::Report { account, reports };
    node.apply(Command::Quotas(beechloft_quotas::Command::Request(quota_request(3, report))));
    for (_, operate) in operate() {
        node.apply(Command::Placement(PlacementCommand::Operator(operate)));
    }
    let server_up = Step::ServerUp {
        id: ServerId(1),
        incarnation: Incarnation(1),
        disk: DiskId(1),
        presence: OrderId(0),
    };
    node.apply(Command::Placement(PlacementCommand::Step(beechloft_leases::Token(1), server_up)));
    let admitted = Answer::Request(CustomerRequestId(1), Outcome::Admitted(Version(1)));
    let outputs = node.apply(Command::Placement(PlacementCommand::Change(put())));
    assert!(outputs.contains(&ReplicaOutput::PlacementResponse(ClientId(1), 1, admitted)), "{outputs:?}");
    let front = beechloft_placement::names::FrontId(5);
    let renew = Renew { front, seq: 1, revision: Some(Revision(1)), ttl_ms: 1_000 };
    node.apply(Command::Placement(PlacementCommand::Renew(renew)));
    node
}

/// Returns the state of the fixture, which has its chunks in order.
fn fixture_state() -> SnapshotData {
    let chunk = |number: usize| Chunk::new(fixture(SNAPSHOT, &format!("chunk-{number}")));
    SnapshotData::new((0..SNAPSHOT.lines().count()).map(chunk).collect::<Vec<_>>())
}

fn assert_encoding_matches_fixture(state: &SnapshotData) {
    let hex = |data: &SnapshotData| -> Vec<String> {
        data.chunks().iter().map(|chunk| to_hex(chunk.bytes())).collect()
    };
    assert_eq!(hex(state), hex(&fixture_state()), "the state has another encoding");
}

#[test]
fn state_encoding_matches_fixture() {
    let mut node = replica_with_content();
    assert!(node.replica.leases().grants().count() >= 2, "leases have content");
    assert_eq!(node.replica.topics().all().count(), 1, "topics have content");
    assert_eq!(node.replica.quotas().accounts().count(), 1, "quotas have content");
    assert_eq!(node.replica.quotas().definitions().count(), 1, "quotas have content");
    assert_eq!(node.replica.placements().fronts().len(), 1, "the placement has content");
    assert_encoding_matches_fixture(&node.take_snapshot().state);
}

#[test]
fn fixture_decodes_to_equal_state_and_round_trips() {
    let expected = replica_with_content();
    let mut source = replica_with_content();
    let snapshot = Snapshot { state: fixture_state(), ..source.take_snapshot() };
    let mut restored =
        SingleReplica::start(PersistentState { snapshot: Some(snapshot), ..PersistentState::default() });
    let (expected, replica) = (&expected.replica, &restored.replica);
    assert_eq!(replica.leases(), expected.leases());
    assert!(replica.topics().all().eq(expected.topics().all()), "the topics are equal");
    assert_eq!(replica.quotas(), expected.quotas());
    assert_eq!(replica.placements(), expected.placements());
    assert_encoding_matches_fixture(&restored.take_snapshot().state);
}
