//! Commands of each component, with every field set.

use std::sync::Arc;

use beechloft_leases::{Handoff, HolderId, Name, Token};
use beechloft_placement::names::{
    Digest, DiskId, FrontId, Incarnation, OrderId, RackId, Revision, ServerId, ShardId, Version,
};
use beechloft_placement::plan::inventory::{RackInfo, ServerInfo};
use beechloft_placement::protocol::request::{First, OnLoss, WhenFull};
use beechloft_placement::{ChangeKind, OperatorCommand, Quota, Renew, Resources, Rules, Step, Titles};
use beechloft_quotas::{
    AccountId, Claim, Enforcement, LimitDefinition, OrphanId, Resource, Scope, ShareReport,
};
use beechloft_replica::Command;
use beechloft_topic::{
    Epoch, Expect, Key, Offset, PublisherId, Record, Session, TopicCommand, TopicConfig, TopicOp,
    TopicRequest, Value, Writers,
};

pub fn name<T: TryFrom<String, Error: std::fmt::Debug>>(text: &str) -> T {
    T::try_from(text.to_owned()).expect("a name")
}

pub fn lease(seq: u64, op: beechloft_leases::Op) -> Command {
    Command::Leases(beechloft_leases::Command::Request(beechloft_leases::Request {
        holder: HolderId(1 << 63),
        seq,
        op,
    }))
}

pub fn acquire() -> beechloft_leases::Op {
    beechloft_leases::Op::Acquire { name: name("task"), slots: 3, ttl_ms: 60_000 }
}

pub fn acquire_as() -> beechloft_leases::Op {
    beechloft_leases::Op::AcquireAs {
        name: name("task/seats"),
        slots: 300,
        ttl_ms: 60_000,
        instance: name("seat-1"),
    }
}

fn lease_commands() -> Vec<(&'static str, Command)> {
    use beechloft_leases::Op;
    let task_name = || -> Name { name("task") };
    let handoff = Handoff { slot_count: 7, remaining_ms: 1_500, newest_token: Token(300), reserve_ms: 9_000 };
    vec![
        ("leases-acquire", lease(1, acquire())),
        ("leases-renew", lease(2, Op::Renew { name: task_name(), token: Token(300) })),
        ("leases-release", lease(3, Op::Release { name: task_name(), token: Token(300) })),
        ("leases-acquire-as", lease(4, acquire_as())),
        ("leases-leave", lease(5, Op::HandOff { name: task_name(), token: Token(300), handoff })),
        (
            "leases-expire",
            Command::Leases(beechloft_leases::Command::Expire { token: Token(300), renewals: 2 }),
        ),
    ]
}

pub fn declare(topic: &str, incarnation: u64) -> Command {
    let config = TopicConfig { writers: Writers::Many, retention_ms: 3_600_000, keys: 1_000, bytes: 1 << 20 };
    Command::Topics(TopicCommand::Declare { topic: name(topic), incarnation, config })
}

pub fn topic_request(op: TopicOp) -> TopicRequest {
    TopicRequest { publisher: PublisherId(1 << 40), topic: name("topic"), op }
}

pub fn publish(seq: u64, value: Option<&[u8]>, expect: Expect) -> TopicOp {
    let key = Key::new(b"key\x00").expect("a key");
    let value = value.map(|bytes| Value::new(bytes).expect("a value"));
    TopicOp::Publish { session: Session(1), seq, record: Record { key, value }, expect }
}

fn topic_commands() -> Vec<(&'static str, Command)> {
    let request = |op| Command::Topics(TopicCommand::Request(topic_request(op)));
    vec![
        ("topics-declare", declare("topic", 1 << 50)),
        ("topics-begin", request(TopicOp::Begin { epoch: Epoch(5) })),
        ("topics-publish", request(publish(1, Some(b"value\xff"), Expect::Anything))),
        ("topics-publish-absent", request(publish(2, Some(b""), Expect::Absent))),
        ("topics-delete", request(publish(3, None, Expect::At(Offset(300))))),
        ("topics-horizon", Command::Topics(TopicCommand::Horizon { topic: name("topic"), to: Offset(300) })),
    ]
}

pub fn definition() -> LimitDefinition {
    LimitDefinition {
        name: name("limit"),
        version: 4,
        resource: Resource::Sessions,
        scope: Scope::Customer,
        only_key: Some(beechloft_quotas::Key::of("ann")),
        limit: 1_000,
        enforcement: Enforcement::Soft { over_milli: 100 },
        min_share: 2,
        weights: [(beechloft_quotas::Key::of("ann"), 3)].into(),
        reserved_milli: 250,
        max_session_ms: 7_200_000,
        burst_ms: 1_500,
        fronts: 4,
        settle_ms: 5_000,
    }
}

pub fn quota_request(seq: u64, op: beechloft_quotas::Op) -> beechloft_quotas::Request {
    beechloft_quotas::Request { front: beechloft_quotas::FrontId(1 << 62), seq, op }
}

fn quota_commands() -> Vec<(&'static str, Command)> {
    use beechloft_quotas::{Command as QuotaCommand, Op};
    let (account, orphan) = (AccountId(300), OrphanId(301));
    let claim =
        || Claim { limit: name("limit"), key: beechloft_quotas::Key::of("k"), customer: Default::default() };
    let request = |op| QuotaCommand::Request(quota_request(8, op));
    let reports = vec![ShareReport { claim: claim(), share: 300, used: 2, demand: 301 }];
    let commands = [
        ("limits-open", request(Op::Open { ttl_ms: 9_000, tagged: true })),
        ("limits-settle", request(Op::Report { account, reports })),
        ("limits-close", request(Op::Close { account, remaining: vec![(claim(), 300)] })),
        ("limits-adopt", request(Op::Adopt { account, orphan, units: vec![(claim(), 300)] })),
        ("limits-counted", request(Op::ReportSurvey { orphan, remaining: vec![(claim(), 300)] })),
        ("limits-orphans", request(Op::ListOrphans)),
        ("limits-limits", request(Op::ListLimits { account })),
        ("limits-declare", request(Op::DeclareLimit { account, definition: definition() })),
        ("limits-expire", QuotaCommand::Expire { account, renewals: 300 }),
        ("limits-age", QuotaCommand::Age { orphan, from_ms: 300, by_ms: 7 }),
        ("limits-define", QuotaCommand::Define(definition())),
        ("limits-undefine", QuotaCommand::Undefine(name("limit"), 300)),
    ];
    commands.into_iter().map(|(text, command)| (text, Command::Quotas(command))).collect()
}

pub fn shard() -> ShardId {
    ShardId { customer: name("ann"), name: name("a") }
}

/// Returns the operator commands that must precede the placement of a shard.
pub fn operate() -> Vec<(&'static str, OperatorCommand)> {
    let capacity = Resources { bytes: 1_000, streams: 100, kb_s: 500 };
    let media_server =
        ServerInfo { zone: name("z"), rack: RackId(1), total: capacity, reserved: Resources::default() };
    let quota =
        Quota { bytes: 300, regions: [name("north"), name("south")].into(), changes_an_hour: 9, shards: 9 };
    vec![
        ("region", OperatorCommand::Region(name("south"), [name("z")].into())),
        ("region-north", OperatorCommand::Region(name("north"), [name("y")].into())),
        ("rack", OperatorCommand::Rack(RackId(1), RackInfo { uplink_kb_s: 500, reserved_kb_s: 1 })),
        ("box", OperatorCommand::Server(ServerId(1), media_server)),
        ("quota", OperatorCommand::Quota(name("ann"), quota)),
    ]
}

pub fn put() -> beechloft_placement::Change {
    let request = beechloft_placement::Request {
        titles: Titles::Range { from: 0, to: u64::MAX },
        bytes: 10,
        digest: Digest([1; 32]),
        streams: 1,
        kb_s: 1,
        regions: [(name("south"), 1)].into(),
        first: First::Nearest,
        on_loss: OnLoss::FailOver { to: vec![name("north")], max_duration_ms: 60_000 },
        when_full: WhenFull::Wait,
    };
    beechloft_placement::Change {
        shard: shard(),
        key: name("k"),
        if_match: None,
        kind: ChangeKind::Put(Arc::new(request)),
    }
}

fn placement_commands() -> Vec<(&'static str, Command)> {
    use beechloft_placement::Command as PlacementCommand;
    let step = |step| PlacementCommand::Step(Token(300), step);
    let (id, order) = (ServerId(1), OrderId(300));
    let server_up =
        Step::ServerUp { id, incarnation: Incarnation(1 << 40), disk: DiskId(2), presence: order };
    let remove =
        beechloft_placement::Change { if_match: Some(Version(3)), kind: ChangeKind::Remove, ..put() };
    let renew = Renew { front: FrontId(5), seq: 300, revision: Some(Revision(6)), ttl_ms: 1_000 };
    let others = [
        ("scrap", PlacementCommand::Operator(OperatorCommand::Decommission(id))),
        ("rules", PlacementCommand::Operator(OperatorCommand::Rules(Rules::default()))),
        ("put", PlacementCommand::Change(put())),
        ("remove", PlacementCommand::Change(remove)),
        ("step-clock", step(Step::Clock(300))),
        ("step-met", step(server_up)),
        ("step-lost", step(Step::ServerLost { id, incarnation: Incarnation(1 << 40) })),
        ("step-read", step(Step::CopyRead { shard: shard(), at: id, order, digest: Digest([2; 32]) })),
        ("step-over", step(Step::RetireVersions(shard()))),
        ("renew", PlacementCommand::Renew(renew)),
        ("expire", PlacementCommand::Expire { front: FrontId(5), renewals: 300 }),
    ];
    let operate = operate().into_iter().map(|(text, operate)| (text, PlacementCommand::Operator(operate)));
    operate.chain(others).map(|(text, command)| (text, Command::Placement(command))).collect()
}

/// Returns all commands with the names of their fixtures.
pub fn commands() -> Vec<(String, Command)> {
    let placement =
        placement_commands().into_iter().map(|(text, command)| (format!("placement-{text}"), command));
    let others = lease_commands().into_iter().chain(topic_commands()).chain(quota_commands());
    others.map(|(text, command)| (text.to_owned(), command)).chain(placement).collect()
}
