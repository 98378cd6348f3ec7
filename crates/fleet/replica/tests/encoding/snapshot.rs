//! The encoding of the replicated state in a snapshot: a replica that leads alone gets content in each part, and is made to
//! take a snapshot.

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
/// A replica that is alone leads after this.
const LEADS_AT: Duration = Duration::from_secs(2);

#[derive(Default)]
struct MemoryDisk(PersistentState);

impl Storage for MemoryDisk {
    type Error = Infallible;

    fn save(&mut self, save: &StateUpdate) -> Result<(), Infallible> {
        self.0.apply(save);
        Ok(())
    }
}

/// A replica that is the only one of its fleet.
struct Single {
    replica: Replica,
    disk: MemoryDisk,
}

impl Single {
    fn start(stored: PersistentState) -> Single {
        let drift = DriftBound::ppm(100).expect("within bounds");
        let replica = Replica::new(NodeId(1), Settings::default(), stored.clone(), drift, 1, Duration::ZERO);
        let mut single =
            Single { replica: replica.expect("a state that can be read"), disk: MemoryDisk(stored) };
        single.handle(ReplicaInput::Tick);
        single
    }

    fn new() -> Single {
        Single::start(PersistentState::first(Membership::of([(NodeId(1), "a".into())])))
    }

    fn handle(&mut self, asked: ReplicaInput) -> Vec<ReplicaOutput> {
        let mut outputs = PendingOutputs::default();
        self.replica.handle(LEADS_AT, asked, &mut outputs);
        let Ok(released) = outputs.persist(&mut self.disk);
        self.replica.process_ready(LEADS_AT, released).expect("no snapshot of another's")
    }

    /// Has a command committed and applied.
    fn apply(&mut self, command: Command) -> Vec<ReplicaOutput> {
        let client = ClientId(1);
        let asked = match command {
            Command::Leases(beechloft_leases::Command::Request(request)) => {
                ReplicaInput::LeaseRequest(client, request)
            }
            Command::Topics(TopicCommand::Ask(request)) => ReplicaInput::TopicRequest(client, request),
            Command::Topics(TopicCommand::Declare { topic, life, terms }) => {
                ReplicaInput::DeclareTopic(life, topic, terms)
            }
            Command::Quotas(beechloft_quotas::Command::Request(request)) => {
                ReplicaInput::QuotaRequest(client, request)
            }
            Command::Placement(command) => ReplicaInput::PlacementCommand(client, 1, Box::new(command)),
            other => panic!("{other:?} comes from the log alone"),
        };
        self.handle(asked)
    }

    /// Fills the log with commands that no version reads, which change nothing, until a snapshot is taken.
    fn take_snapshot(&mut self) -> Snapshot {
        let before = self.replica.raft().snapshot().map(|snapshot| snapshot.at);
        let unknown: Arc<[u8]> = vec![u8::MAX; 64 << 10].into();
        for _ in 0..10 {
            self.handle(ReplicaInput::Raft(Input::Propose(RequestId(1), unknown.clone())));
            let snapshot = self.disk.0.snapshot.as_ref().filter(|snapshot| Some(snapshot.at) != before);
            if let Some(snapshot) = snapshot {
                return snapshot.clone();
            }
        }
        panic!("no snapshot was taken");
    }
}

/// A replica with content in each part.
fn with_content() -> Single {
    let mut single = Single::new();
    single.apply(lease(1, acquire()));
    single.apply(Command::Leases(beechloft_leases::Command::Request(beechloft_leases::Request {
        holder: beechloft_leases::HolderId(7),
        seq: 1,
        op: acquire_as(),
    })));
    single.apply(declare("topic", 1 << 50));
    for op in [
        TopicOp::Begin { epoch: Epoch(5) },
        publish(1, Some(b"value\xff"), Expect::Anything),
        publish(2, None, Expect::Anything),
        publish(3, Some(b"later"), Expect::Absent),
    ] {
        single.apply(Command::Topics(TopicCommand::Ask(topic_request(op))));
    }
    let open = QuotaOp::Open { ttl_ms: 9_000, tagged: true };
    single.apply(Command::Quotas(beechloft_quotas::Command::Request(quota_request(1, open))));
    let account = single.replica.quotas().accounts().next().map(|account| account.0).expect("an account");
    let hard = LimitDefinition { of: Scope::Title, only: None, kind: Enforcement::Hard, ..definition() };
    let declare_limit = QuotaOp::Declare { account, definition: hard };
    single.apply(Command::Quotas(beechloft_quotas::Command::Request(quota_request(2, declare_limit))));
    let customer = Key::of("ann");
    let claim = Claim { limit: name("limit"), key: customer.clone(), customer };
    let lines = vec![ShareReport { claim, hold: 0, used: 2, want: 30 }];
    let settle = QuotaOp::Settle { account, lines };
    single.apply(Command::Quotas(beechloft_quotas::Command::Request(quota_request(3, settle))));
    for (_, operate) in operate() {
        single.apply(Command::Placement(PlacementCommand::Operator(operate)));
    }
    let met = Step::ServerUp {
        id: ServerId(1),
        incarnation: Incarnation(1),
        disk: DiskId(1),
        presence: OrderId(0),
    };
    single.apply(Command::Placement(PlacementCommand::Step(beechloft_leases::Token(1), met)));
    let admitted = Answer::Request(CustomerRequestId(1), Outcome::Admitted(Version(1)));
    let outputs = single.apply(Command::Placement(PlacementCommand::Change(put())));
    assert!(outputs.contains(&ReplicaOutput::PlacementResponse(ClientId(1), 1, admitted)), "{outputs:?}");
    let front = beechloft_placement::names::FrontId(5);
    let renew = Renew { front, seq: 1, revision: Some(Revision(1)), ttl_ms: 1_000 };
    single.apply(Command::Placement(PlacementCommand::Renew(renew)));
    single
}

/// The state of the fixture: its chunks in order.
fn of_fixture() -> SnapshotData {
    let chunk = |number: usize| Chunk::new(fixture(SNAPSHOT, &format!("chunk-{number}")));
    SnapshotData::new((0..SNAPSHOT.lines().count()).map(chunk).collect::<Vec<_>>())
}

fn assert_written_as_the_fixture(state: &SnapshotData) {
    let hex = |rope: &SnapshotData| -> Vec<String> {
        rope.chunks().iter().map(|chunk| to_hex(chunk.bytes())).collect()
    };
    assert_eq!(hex(state), hex(&of_fixture()), "the state is written otherwise");
}

#[test]
fn a_state_with_content_in_each_part_is_written_as_the_fixture() {
    let mut single = with_content();
    assert!(single.replica.leases().grants().count() >= 2, "leases have content");
    assert_eq!(single.replica.topics().all().count(), 1, "topics have content");
    assert_eq!(single.replica.quotas().accounts().count(), 1, "limits have content");
    assert_eq!(single.replica.quotas().definitions().count(), 1, "limits have content");
    assert_eq!(single.replica.placements().fronts().len(), 1, "the placement has content");
    assert_written_as_the_fixture(&single.take_snapshot().state);
}

#[test]
fn the_fixture_is_read_as_an_equal_state_and_written_as_it_was() {
    let expected = with_content();
    let mut source = with_content();
    let snapshot = Snapshot { state: of_fixture(), ..source.take_snapshot() };
    let mut read = Single::start(PersistentState { snapshot: Some(snapshot), ..PersistentState::default() });
    let (expected, replica) = (&expected.replica, &read.replica);
    assert_eq!(replica.leases(), expected.leases());
    assert!(replica.topics().all().eq(expected.topics().all()), "the topics are equal");
    assert_eq!(replica.quotas(), expected.quotas());
    assert_eq!(replica.placements(), expected.placements());
    assert_written_as_the_fixture(&read.take_snapshot().state);
}
