//! Compares the records of a replica's store with a fixture, when writing and when reading. A difference would break upgrades, as
//! a release reads the store of an earlier one, and rollbacks, as an earlier release reads the store of a later one.

use std::path::Path;

use beechloft_consensus::{
    Chunk, Entry, HardState, Index, LogPosition, Membership, NodeId, Payload, PersistentState, Snapshot,
    SnapshotData, StateUpdate, Storage as _, Term,
};
use beechloft_coordinator::LogStore;
use beechloft_store::directory::DiskDirectory;
use beechloft_store::{Batch, Options, Store, Table};

const FIXTURE: &str = include_str!("fixtures/store_format.txt");
/// The record of the replica's identity: table, key and value.
const IDENTITY: (Table, &[u8], &str) = (Table(1), b"1", "066d61726b6574ac02");
/// A snapshot in a single record, as earlier releases wrote it: table, key and value.
const SINGLE_RECORD_SNAPSHOT: (Table, &[u8], &str) = (Table(4), b"1", "030202010101610201016202ff00");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(digits: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&digits[at..at + 2], 16).expect("hexadecimal digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}

fn members() -> Membership {
    Membership::of([(NodeId(1), "a".into()), (NodeId(2), "b".into())])
}

fn at(term: u64, index: u64) -> LogPosition {
    LogPosition { term: Term(term), index: Index(index) }
}

fn update() -> StateUpdate {
    let entry = |index, payload| Entry { at: at(3, index), payload };
    StateUpdate {
        hard_state: Some(HardState { term: Term(3), vote: Some(NodeId(300)) }),
        snapshot: Some(Snapshot {
            at: at(3, 2),
            members: members(),
            state: SnapshotData::new([&b"first"[..], b"second", b"first"].map(Chunk::new).to_vec()),
        }),
        entries: vec![
            entry(3, Payload::Noop),
            entry(4, Payload::Command(vec![1, 2, 3].into())),
            entry(5, Payload::Membership(members())),
        ],
        ..StateUpdate::default()
    }
}

fn open_records(directory: &Path) -> Store<DiskDirectory> {
    let directory = DiskDirectory::open(directory).expect("the directory opens");
    Store::open(directory, Options::default()).expect("the store opens").0
}

fn write_records(directory: &Path, records: impl IntoIterator<Item = (Table, Vec<u8>, Vec<u8>)>) {
    let mut store = open_records(directory);
    let mut batch = Batch::default();
    for (table, key, value) in records {
        batch.put(table, key, value);
    }
    store.write(batch).expect("the batch is written");
    store.sync().expect("the store is synced");
}

/// Returns all records of a store in the format of the fixture.
fn dump(directory: &Path) -> String {
    let store = open_records(directory);
    let view = store.view();
    let mut text = String::new();
    for table in 0..=u8::MAX {
        for (key, value) in view.table(Table(table)) {
            text += &format!("{table} {} {}\n", hex(key), hex(value));
        }
    }
    text
}

fn identity_record() -> (Table, Vec<u8>, Vec<u8>) {
    (IDENTITY.0, IDENTITY.1.to_vec(), unhex(IDENTITY.2))
}

/// Returns the state after [`update`] is saved to an empty store.
fn expected_state() -> PersistentState {
    let mut state = PersistentState::default();
    state.apply(&update());
    state
}

#[test]
fn saved_records_match_fixture() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    write_records(directory.path(), [identity_record()]);
    let (mut log, id, stored) = LogStore::open(directory.path(), "market").expect("the store opens");
    assert_eq!((id, stored), (NodeId(300), PersistentState::default()));
    log.save(&update()).expect("the update is saved");
    drop(log);
    let records = dump(directory.path());
    assert_eq!(FIXTURE, records, "\n{records}");
}

#[test]
fn reads_records_of_fixture() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let record = |line: &str| {
        let fields: Vec<&str> = line.split(' ').collect();
        (Table(fields[0].parse().expect("a table's number")), unhex(fields[1]), unhex(fields[2]))
    };
    write_records(directory.path(), FIXTURE.lines().map(record));
    let (_, id, stored) = LogStore::open(directory.path(), "market").expect("the store opens");
    assert_eq!((id, stored), (NodeId(300), expected_state()));
}

#[test]
fn reads_single_record_snapshot() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let (table, key, value) = SINGLE_RECORD_SNAPSHOT;
    write_records(directory.path(), [identity_record(), (table, key.to_vec(), unhex(value))]);
    let (_, _, stored) = LogStore::open(directory.path(), "market").expect("the store opens");
    let snapshot =
        Snapshot { at: at(3, 2), members: members(), state: SnapshotData::from_bytes(vec![255, 0]) };
    assert_eq!(stored.snapshot, Some(snapshot));
}
