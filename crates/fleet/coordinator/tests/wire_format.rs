//! Compares the encodings of all messages and membership datagrams with fixtures, when encoding and when decoding. A difference
//! breaks rolling upgrades, during which releases exchange messages.

use std::sync::Arc;

use beechloft_consensus::{self as consensus, Entry, Index, LogPosition, MessageBody, Payload, Term};
use beechloft_coordinator::wire::{
    self, LeaseChange, LeaseInfo, MemberView, Message, ReplicaInfo, ReplicaStatus, TopicStatus,
};
use beechloft_leases::{self as leases, HolderId, Name, Op, ReplicaId, Token};
use beechloft_membership::{
    self as membership, Digests, Incarnation, MemberInfo, MemberKind, Packet, Update, Zone,
};
use beechloft_placement as placement;
use beechloft_quotas as quotas;
use beechloft_topic::{
    Batch, Delivery, Epoch, FeedItem, Offset, Position, PublisherId, Session, TopicAnswer, TopicOp,
    TopicRequest, TopicRequestId, TopicResponse,
};

const FLEET: u64 = 0x0102_0304_0506_0708;
const MESSAGES_FIXTURE: &str = include_str!("fixtures/wire_format.txt");
const DATAGRAMS_FIXTURE: &str = include_str!("fixtures/membership_datagrams.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(digits: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&digits[at..at + 2], 16).expect("hexadecimal digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}

/// Returns the names and bytes of a fixture, whose lines are a name and hexadecimal digits.
fn entries(fixture: &str) -> Vec<(&str, Vec<u8>)> {
    let fields = fixture.lines().filter_map(|line| line.split_once(' '));
    fields.map(|(name, digits)| (name, unhex(digits))).collect()
}

fn name(text: &str) -> Name {
    Name::try_from(text.to_owned()).expect("a name")
}

fn lease_info() -> LeaseInfo {
    LeaseInfo {
        name: "task/1".into(),
        slots: 3,
        slot: 1,
        token: 300,
        holder: u64::MAX,
        ttl_ms: 3_000,
        renewals: 7,
    }
}

fn lease_change() -> LeaseChange {
    LeaseChange {
        name: "task/1".into(),
        token: 300,
        kind: "granted".into(),
        holder: Some(9),
        previous: Some(299),
    }
}

fn replica_status() -> ReplicaStatus {
    ReplicaStatus {
        id: "00000000000000ff".into(),
        role: "leader".into(),
        term: 2,
        leader: Some("00000000000000ff".into()),
        commit_index: 16,
        last_index: 17,
        members: vec![ReplicaInfo {
            id: "00000000000000ff".into(),
            address: "127.0.0.1:7301".into(),
            voter: true,
        }],
        rejected_messages: 4,
        staleness_ms: 5,
        delivered_bytes: 6,
        topics: vec![TopicStatus {
            name: "quotas".into(),
            head: 1,
            horizon: 2,
            keys: 3,
            bytes: 4,
            memory_bytes: 5,
            subscribers: 6,
        }],
    }
}

fn member_view() -> MemberView {
    MemberView {
        id: "00000000000000fe".into(),
        address: "127.0.0.1:7311".into(),
        zone: "hala-a".into(),
        kind: "front".into(),
        state: "alive".into(),
        since_ms: 1,
        known_ms: 2,
        incarnation: 3,
        is_reporter: true,
        sent: 4,
        sent_bytes: 5,
    }
}

fn consensus_message() -> consensus::Message {
    let entry = Entry {
        at: LogPosition { term: Term(2), index: Index(301) },
        payload: Payload::Command(vec![1, 2, 3].into()),
    };
    consensus::Message {
        from: consensus::NodeId(1),
        to: consensus::NodeId(2),
        term: Term(2),
        body: MessageBody::AppendEntries {
            prev: LogPosition { term: Term(2), index: Index(300) },
            entries: vec![entry],
            commit: Index(299),
            round: 8,
        },
    }
}

/// Returns the messages with their names in the fixture, in the fixture's order.
fn messages() -> Vec<(&'static str, Message)> {
    let mut messages = lease_and_replica_messages();
    messages.extend(topic_messages());
    messages.extend(placement_messages());
    messages.extend(quota_messages());
    messages
}

fn lease_and_replica_messages() -> Vec<(&'static str, Message)> {
    let acquire = Op::Acquire { name: name("task/1"), slots: 3, ttl_ms: 3_000 };
    vec![
        ("hello", Message::Hello { id: consensus::NodeId(7), listen: "127.0.0.1:7301".into(), formed: true }),
        ("peer", Message::Consensus(consensus_message())),
        ("ask", Message::LeaseRequest(leases::Request { holder: HolderId(9), seq: 2, op: acquire })),
        (
            "heard.answer",
            Message::LeaseResponse(leases::Response::Answer {
                holder: HolderId(9),
                seq: 2,
                answer: leases::Answer::Released,
            }),
        ),
        ("heard.not_leader", Message::LeaseResponse(leases::Response::NotLeader(Some(ReplicaId(3))))),
        ("heard.busy", Message::LeaseResponse(leases::Response::Busy)),
        ("not_leader", Message::NotLeader(Some("127.0.0.1:7302".into()))),
        ("not_leader.unknown", Message::NotLeader(None)),
        ("list", Message::ListLeases),
        ("listed", Message::Leases(vec![lease_info()])),
        ("status", Message::GetStatus),
        ("status_is", Message::Status(replica_status())),
        ("replace", Message::ReplaceReplica { old: consensus::NodeId(1), new: consensus::NodeId(2) }),
        ("replacing.done", Message::ReplaceResult(Ok(()))),
        ("replacing.refused", Message::ReplaceResult(Err("no".into()))),
        ("watch", Message::WatchLeases(Some(name("task/1")))),
        ("watch.all", Message::WatchLeases(None)),
        ("changed", Message::LeaseChanged(lease_change())),
        ("members", Message::GetMembers),
        ("members_are", Message::Members(Some(vec![member_view()]))),
        ("members_are.none", Message::Members(None)),
    ]
}

fn topic_messages() -> Vec<(&'static str, Message)> {
    let publish = TopicRequest {
        publisher: PublisherId(5),
        topic: name("quotas"),
        op: TopicOp::Begin { epoch: Epoch(6) },
    };
    let publish_response = TopicResponse {
        publisher: PublisherId(5),
        request_id: TopicRequestId::Session(Epoch(6)),
        answer: TopicAnswer::Began(Session(7)),
    };
    let position = Position { incarnation: 1, next: Offset(2), base: Offset(3), min_head: Offset(4) };
    let batch = Batch { from: Offset(1), to: Offset(300), head: Offset(301), messages: Vec::new() };
    let delivery =
        |item| Message::Delivery(Delivery { subscription: 7, applied_index: 300, staleness_ms: 1_000, item });
    vec![
        ("publish", Message::Publish(publish)),
        ("topic_heard", Message::PublishResponse(publish_response)),
        (
            "subscribe",
            Message::Subscribe {
                subscription: 7,
                topic: name("quotas"),
                position: Some(position),
                credit_bytes: 65_536,
            },
        ),
        ("allow", Message::Credit { subscription: 7, total_bytes: 131_072 }),
        ("told.anew", delivery(FeedItem::Resync { incarnation: 1, base: Offset(300) })),
        ("told.behind", delivery(FeedItem::Behind { head: Offset(9) })),
        ("told.batch", delivery(FeedItem::Batch(batch))),
        ("told.still", delivery(FeedItem::Heartbeat)),
    ]
}

fn placement_messages() -> Vec<(&'static str, Message)> {
    let command = placement::Command::Expire { front: placement::names::FrontId(4), renewals: 5 };
    let answer = placement::Answer::StaleToken(Token(6));
    vec![
        ("place", Message::PlacementRequest { request_id: 300, command: Box::new(command) }),
        ("placed", Message::PlacementResponse { request_id: 300, answer }),
    ]
}

fn quota_messages() -> Vec<(&'static str, Message)> {
    vec![
        (
            "limit",
            Message::QuotaRequest(quotas::Request {
                front: quotas::FrontId(4),
                seq: 5,
                op: quotas::Op::Open { ttl_ms: 15_000, tagged: true },
            }),
        ),
        (
            "limit_heard",
            Message::QuotaResponse(quotas::Response::Answer {
                front: quotas::FrontId(4),
                seq: 5,
                answer: quotas::Answer::Closed,
            }),
        ),
        ("limit_heard.again", Message::QuotaResponse(quotas::Response::Retry)),
    ]
}

fn packets() -> Vec<(&'static str, Packet)> {
    use membership::{MemberId, Message};
    let info = MemberInfo {
        address: "127.0.0.1:7311".parse().expect("an address"),
        zone: Zone::try_from("hala-a".to_owned()).expect("a zone"),
        kind: MemberKind::Front,
    };
    let updates = vec![
        Update::Alive { id: MemberId(1), incarnation: Incarnation(2), info: Arc::new(info) },
        Update::Suspect { id: MemberId(3), incarnation: Incarnation(4), by: MemberId(5) },
        Update::Dead { id: MemberId(6), incarnation: Incarnation(7), by: MemberId(8) },
    ];
    let packet = |message, piggybacked| Packet {
        from: MemberId(300),
        to: Some(MemberId(301)),
        message,
        updates: piggybacked,
    };
    let address = "[::1]:7312".parse().expect("an address");
    vec![
        ("ping", packet(Message::Ping { seq: 1, digest: u64::MAX }, updates)),
        ("ping_for", packet(Message::PingRequest { seq: 1, target: MemberId(2), address }, Vec::new())),
        ("ack", packet(Message::Ack { seq: 1, digest: 2 }, Vec::new())),
        ("nack", packet(Message::Nack { seq: 1 }, Vec::new())),
        ("another", packet(Message::Replaced { seq: 1 }, Vec::new())),
        (
            "compare",
            packet(
                Message::CompareDigests { digests: Digests(vec![1, 300, u64::MAX]), is_reply: true },
                Vec::new(),
            ),
        ),
        ("entries", packet(Message::Updates, Vec::new())),
    ]
}

/// Compares encoded entries with a fixture. On a difference, prints the text that the fixture would have.
fn assert_matches_fixture(fixture: &str, encoded: &[(&str, Vec<u8>)]) {
    let text: String = encoded.iter().map(|(name, bytes)| format!("{name} {}\n", hex(bytes))).collect();
    assert_eq!(fixture, text, "\n{text}");
}

#[test]
fn encoded_messages_match_fixture() {
    let encoded = messages()
        .into_iter()
        .map(|(name, message)| (name, wire::encode(FLEET, &message).expect("a short message")));
    assert_matches_fixture(MESSAGES_FIXTURE, &encoded.collect::<Vec<_>>());
}

#[test]
fn decodes_messages_of_fixture() {
    let expected = messages();
    let fixture = entries(MESSAGES_FIXTURE);
    assert_eq!(fixture.len(), expected.len());
    for ((fixture_name, bytes), (name, message)) in fixture.into_iter().zip(expected) {
        assert_eq!(fixture_name, name);
        assert_eq!(wire::read(FLEET, &mut &bytes[..]).expect(name), message);
    }
}

#[test]
fn encoded_membership_datagrams_match_fixture() {
    let encoded = packets()
        .into_iter()
        .map(|(name, packet)| (name, wire::encode_datagram(FLEET, &packet).expect("a short packet")));
    assert_matches_fixture(DATAGRAMS_FIXTURE, &encoded.collect::<Vec<_>>());
}

#[test]
fn decodes_membership_datagrams_of_fixture() {
    let expected = packets();
    let fixture = entries(DATAGRAMS_FIXTURE);
    assert_eq!(fixture.len(), expected.len());
    for ((fixture_name, bytes), (name, packet)) in fixture.into_iter().zip(expected) {
        assert_eq!(fixture_name, name);
        assert_eq!(wire::decode_datagram(FLEET, &bytes).expect(name), packet);
    }
}

/// Guards the output of `lease list`, `lease watch`, `fleet status` and `fleet members` with `--json`, on which operators' tools
/// rely. Compares the reports without the objects in which some commands wrap them.
#[test]
fn json_of_reports_is_stable() {
    let json = |text: serde_json::Result<String>| text.expect("the report is serializable");
    assert_eq!(
        json(serde_json::to_string(&lease_info())),
        r#"{"name":"task/1","places":3,"place":1,"token":300,"holder":18446744073709551615,"ttl_ms":3000,"renewals":7}"#
    );
    assert_eq!(
        json(serde_json::to_string(&lease_change())),
        r#"{"name":"task/1","token":300,"what":"granted","holder":9,"before":299}"#
    );
    assert_eq!(
        json(serde_json::to_string(&member_view())),
        r#"{"id":"00000000000000fe","address":"127.0.0.1:7311","zone":"hala-a","kind":"front","life":"alive","since_ms":1,"known_ms":2,"incarnation":3,"asked":true,"sent":4,"sent_bytes":5}"#
    );
    assert_eq!(
        json(serde_json::to_string(&replica_status())),
        r#"{"id":"00000000000000ff","role":"leader","term":2,"leader":"00000000000000ff","commit":16,"last":17,"members":[{"id":"00000000000000ff","address":"127.0.0.1:7301","voter":true}],"refused_words":4,"silent_ms":5,"told_bytes":6,"topics":[{"name":"quotas","head":1,"horizon":2,"keys":3,"bytes":4,"held_bytes":5,"subscribers":6}]}"#
    );
}
