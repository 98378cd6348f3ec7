//! Encodings of messages and stored data, compared with fixtures byte by byte in both directions.
//!
//! Replicas of different versions run side by side during an upgrade, and stored data outlives the version that wrote it. A
//! change that fails these tests would break both. Each line of `fixtures/*.txt` has the name of a value and its encoding as
//! hexadecimal digits.
#![allow(missing_docs)]

use std::fmt::Debug;
use std::sync::Arc;

use beechloft_consensus::{
    AppendResult, Chunk, ChunkId, Entry, Index, LogPosition, Membership, MembershipChange, Message,
    MessageBody, NodeId, Payload, SnapshotData, Term,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

const MESSAGES: &str = include_str!("fixtures/messages.txt");
const STORED: &str = include_str!("fixtures/stored.txt");
const SNAPSHOTS: &str = include_str!("fixtures/snapshots.txt");

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(digits: &str) -> Vec<u8> {
    let decode_byte = |at| u8::from_str_radix(&digits[at..at + 2], 16).expect("hexadecimal digits");
    (0..digits.len()).step_by(2).map(decode_byte).collect()
}

/// Returns the bytes of the fixture with the given name.
fn fixture(file: &str, name: &str) -> Vec<u8> {
    let line = file.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    from_hex(line.unwrap_or_else(|| panic!("no fixture {name}")))
}

/// Checks that a value encodes to its fixture and that the fixture decodes to the value.
fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(file: &str, name: &str, value: &T) {
    let encoded = postcard::to_allocvec(value).expect("the value encodes");
    assert_eq!(to_hex(&encoded), to_hex(&fixture(file, name)), "encoding of {name}");
    let decoded: T = postcard::from_bytes(&fixture(file, name)).expect("the fixture decodes");
    assert_eq!(&decoded, value, "decoded {name}");
}

fn position(term: u64, index: u64) -> LogPosition {
    LogPosition { term: Term(term), index: Index(index) }
}

/// Returns a membership of two voters and a learner.
fn membership() -> Membership {
    let voters = [(NodeId(0x1122_3344_5566_7788), "10.0.0.1:7000".into()), (NodeId(2), "b:1".into())];
    Membership::of(voters)
        .changed(&MembershipChange::AddLearner(NodeId(3), "c:2".into()))
        .expect("a valid change")
}

/// Returns one entry for each kind of payload.
fn entries() -> Vec<Entry> {
    let command: Arc<[u8]> = Arc::from(&b"\x00\x01command\xff"[..]);
    vec![
        Entry { at: position(3, 299), payload: Payload::Noop },
        Entry { at: position(3, 300), payload: Payload::Command(command) },
        Entry { at: position(3, 301), payload: Payload::Membership(membership()) },
    ]
}

fn snapshot_data() -> SnapshotData {
    let chunks: [&[u8]; 4] = [b"one", b"", b"twotwo", b"one"];
    SnapshotData::new(chunks.map(Chunk::new).to_vec())
}

#[test]
fn messages_match_fixtures() {
    let last = position(6, 300);
    let install = |offset, part: &[u8], is_last| MessageBody::InstallSnapshot {
        last_included: position(5, 290),
        membership: membership(),
        offset,
        data: part.into(),
        is_last,
        round: 77,
    };
    let bodies = [
        ("pre-vote", MessageBody::PreVoteRequest { last_entry: last }),
        ("pre-vote-granted", MessageBody::PreVoteResponse(true)),
        ("pre-vote-denied", MessageBody::PreVoteResponse(false)),
        ("vote", MessageBody::VoteRequest { last_entry: last, leadership_transfer: false }),
        ("vote-after-transfer", MessageBody::VoteRequest { last_entry: last, leadership_transfer: true }),
        ("vote-granted", MessageBody::VoteResponse(true)),
        ("vote-denied", MessageBody::VoteResponse(false)),
        (
            "append",
            MessageBody::AppendEntries {
                prev: position(3, 298),
                entries: entries(),
                commit: Index(280),
                round: 1 << 40,
            },
        ),
        (
            "append-empty",
            MessageBody::AppendEntries { prev: last, entries: Vec::new(), commit: Index(300), round: 9 },
        ),
        (
            "append-matches",
            MessageBody::AppendEntriesResponse { result: AppendResult::Match(Index(301)), round: 9 },
        ),
        (
            "append-differs",
            MessageBody::AppendEntriesResponse { result: AppendResult::Conflict(Index(128)), round: 10 },
        ),
        ("install-first", install(0, b"snapshot", false)),
        ("install-last", install(65_536, b"", true)),
        (
            "installing",
            MessageBody::InstallSnapshotResponse {
                last_included: position(5, 290),
                offset: 65_536,
                round: 78,
            },
        ),
        ("transfer", MessageBody::TimeoutNow),
    ];
    for (name, body) in bodies {
        let message = Message { from: NodeId(0x1122_3344_5566_7788), to: NodeId(2), term: Term(7), body };
        check(MESSAGES, name, &message);
    }
}

#[test]
fn stored_values_match_fixtures() {
    for (name, entry) in ["entry-empty", "entry-command", "entry-members"].into_iter().zip(entries()) {
        check(STORED, name, &entry);
    }
    check(STORED, "membership", &membership());
    check(STORED, "membership-empty", &Membership::default());
    check(STORED, "position", &position(1 << 33, 127));
    check(STORED, "vote", &(Term(7), Some(NodeId(0x1122_3344_5566_7788))));
    check(STORED, "vote-none", &(Term(300), None::<NodeId>));
}

#[test]
fn snapshots_match_fixtures() {
    for (name, data) in [
        ("chunks", snapshot_data()),
        ("one-chunk", SnapshotData::from_bytes(*b"whole")),
        ("no-chunk", SnapshotData::default()),
    ] {
        let encoded = data.encoded_range(0, data.encoded_len());
        assert_eq!(to_hex(&encoded), to_hex(&fixture(SNAPSHOTS, name)), "encoding of {name}");
        assert_eq!(SnapshotData::decode(&fixture(SNAPSHOTS, name)), Some(data), "decoded {name}");
    }
    for (name, bytes) in [("chunk-name", &b"one"[..]), ("chunk-name-empty", &b""[..])] {
        let key = ChunkId::of_bytes(bytes).to_key();
        assert_eq!(to_hex(&key), to_hex(&fixture(SNAPSHOTS, name)), "encoding of {name}");
        assert_eq!(ChunkId::from_key(&fixture(SNAPSHOTS, name)), Some(ChunkId::of_bytes(bytes)));
    }
}
