//! The encoding of the replicated state in a snapshot: a replica that leads alone gets content in each part, and is made to
//! take a snapshot.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use beechloft_consensus::{
    Chunk, Disk, Input, MemberId, Membership, Outputs, Rope, Save, Settings, Snapshot, Stored, Ticket,
};
use beechloft_leases::DriftBound;
use beechloft_placement::names::{AskId, BoxId, DiskId, Life, Order, Revision, Version};
use beechloft_placement::{Answer, Command as PlacementCommand, Outcome, Renew, Step};
use beechloft_quotas::{Claim, Definition, Key, Kind, Of, Op as QuotaOp, Said};
use beechloft_replica::{Asked, ClientId, Command, Keeper, KeeperOutput};
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
struct MemoryDisk(Stored);

impl Disk for MemoryDisk {
    type Error = Infallible;

    fn save(&mut self, save: &Save) -> Result<(), Infallible> {
        self.0.apply(save);
        Ok(())
    }
}

/// A replica that is the only one of its fleet.
struct Single {
    replica: Keeper,
    disk: MemoryDisk,
}

impl Single {
    fn start(stored: Stored) -> Single {
        let drift = DriftBound::ppm(100).expect("within bounds");
        let replica = Keeper::new(MemberId(1), Settings::default(), stored.clone(), drift, 1, Duration::ZERO);
        let mut single =
            Single { replica: replica.expect("a state that can be read"), disk: MemoryDisk(stored) };
        single.handle(Asked::Tick);
        single
    }

    fn new() -> Single {
        Single::start(Stored::first(Membership::of([(MemberId(1), "a".into())])))
    }

    fn handle(&mut self, asked: Asked) -> Vec<KeeperOutput> {
        let mut outputs = Outputs::default();
        self.replica.handle(LEADS_AT, asked, &mut outputs);
        let Ok(released) = outputs.commit(&mut self.disk);
        self.replica.released(LEADS_AT, released).expect("no snapshot of another's")
    }

    /// Has a command committed and applied.
    fn apply(&mut self, command: Command) -> Vec<KeeperOutput> {
        let client = ClientId(1);
        let asked = match command {
            Command::Leases(beechloft_leases::Command::Request(request)) => Asked::Request(client, request),
            Command::Topics(TopicCommand::Ask(request)) => Asked::Publish(client, request),
            Command::Topics(TopicCommand::Declare { topic, life, terms }) => {
                Asked::Declare(life, topic, terms)
            }
            Command::Limits(beechloft_quotas::Command::Request(request)) => Asked::Limit(client, request),
            Command::Placement(command) => Asked::Place(client, 1, Box::new(command)),
            other => panic!("{other:?} comes from the log alone"),
        };
        self.handle(asked)
    }

    /// Fills the log with commands that no version reads, which change nothing, until a snapshot is taken.
    fn take_snapshot(&mut self) -> Snapshot {
        let before = self.replica.raft().snapshot().map(|snapshot| snapshot.at);
        let unknown: Arc<[u8]> = vec![u8::MAX; 64 << 10].into();
        for _ in 0..10 {
            self.handle(Asked::Group(Input::Propose(Ticket(1), unknown.clone())));
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
    single.apply(Command::Limits(beechloft_quotas::Command::Request(quota_request(1, open))));
    let account = single.replica.limits().accounts().next().map(|account| account.0).expect("an account");
    let hard = Definition { of: Of::Title, only: None, kind: Kind::Hard, ..definition() };
    let declare_limit = QuotaOp::Declare { account, definition: hard };
    single.apply(Command::Limits(beechloft_quotas::Command::Request(quota_request(2, declare_limit))));
    let customer = Key::of("ann");
    let claim = Claim { limit: name("limit"), key: customer.clone(), customer };
    let lines = vec![Said { claim, hold: 0, used: 2, want: 30 }];
    let settle = QuotaOp::Settle { account, lines };
    single.apply(Command::Limits(beechloft_quotas::Command::Request(quota_request(3, settle))));
    for (_, operate) in operate() {
        single.apply(Command::Placement(PlacementCommand::Operate(operate)));
    }
    let met = Step::Met { id: BoxId(1), life: Life(1), disk: DiskId(1), told: Order(0) };
    single.apply(Command::Placement(PlacementCommand::Step(beechloft_leases::Token(1), met)));
    let admitted = Answer::Asked(AskId(1), Outcome::Admitted(Version(1)));
    let outputs = single.apply(Command::Placement(PlacementCommand::Change(put())));
    assert!(outputs.contains(&KeeperOutput::Placed(ClientId(1), 1, admitted)), "{outputs:?}");
    let front = beechloft_placement::names::FrontId(5);
    let renew = Renew { front, seq: 1, has: Some(Revision(1)), ttl_ms: 1_000 };
    single.apply(Command::Placement(PlacementCommand::Renew(renew)));
    single
}

/// The state of the fixture: its chunks in order.
fn of_fixture() -> Rope {
    let chunk = |number: usize| Chunk::new(fixture(SNAPSHOT, &format!("chunk-{number}")));
    Rope::new((0..SNAPSHOT.lines().count()).map(chunk).collect::<Vec<_>>())
}

fn assert_written_as_the_fixture(state: &Rope) {
    let hex =
        |rope: &Rope| -> Vec<String> { rope.chunks().iter().map(|chunk| to_hex(chunk.bytes())).collect() };
    assert_eq!(hex(state), hex(&of_fixture()), "the state is written otherwise");
}

#[test]
fn a_state_with_content_in_each_part_is_written_as_the_fixture() {
    let mut single = with_content();
    assert!(single.replica.table().grants().count() >= 2, "leases have content");
    assert_eq!(single.replica.topics().all().count(), 1, "topics have content");
    assert_eq!(single.replica.limits().accounts().count(), 1, "limits have content");
    assert_eq!(single.replica.limits().definitions().count(), 1, "limits have content");
    assert_eq!(single.replica.placements().fronts().len(), 1, "the placement has content");
    assert_written_as_the_fixture(&single.take_snapshot().state);
}

#[test]
fn the_fixture_is_read_as_an_equal_state_and_written_as_it_was() {
    let expected = with_content();
    let mut source = with_content();
    let snapshot = Snapshot { state: of_fixture(), ..source.take_snapshot() };
    let mut read = Single::start(Stored { snapshot: Some(snapshot), ..Stored::default() });
    let (expected, replica) = (&expected.replica, &read.replica);
    assert_eq!(replica.table(), expected.table());
    assert!(replica.topics().all().eq(expected.topics().all()), "the topics are equal");
    assert_eq!(replica.limits(), expected.limits());
    assert_eq!(replica.placements(), expected.placements());
    assert_written_as_the_fixture(&read.take_snapshot().state);
}
