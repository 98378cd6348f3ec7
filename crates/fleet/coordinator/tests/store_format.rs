//! Records of a coordinator's store, compared with a fixture both ways: a folder that an earlier release wrote is opened, and a
//! release that is gone back to finds what it knows.

use std::path::Path;

use beechloft_consensus::{
    Chunk, Entry, HardState, Index, LogPosition, Membership, NodeId, Payload, PersistentState, Snapshot,
    SnapshotData, StateUpdate, Storage as _, Term,
};
use beechloft_coordinator::LogStore;
use beechloft_store::directory::DiskDirectory;
use beechloft_store::{Batch, Options, Store, Table};

const FIXTURE: &str = include_str!("fixtures/store_format.txt");
/// The member's identity, and a snapshot in one piece as the releases before had it.
const IDENTITY: (Table, &[u8], &str) = (Table(1), b"1", "066d61726b6574ac02");
const WHOLE_SNAPSHOT: (Table, &[u8], &str) = (Table(4), b"1", "030202010101610201016202ff00");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).expect("hex")).collect()
}

fn members() -> Membership {
    Membership::of([(NodeId(1), "a".into()), (NodeId(2), "b".into())])
}

fn at(term: u64, index: u64) -> LogPosition {
    LogPosition { term: Term(term), index: Index(index) }
}

fn save() -> StateUpdate {
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

fn open_records(folder: &Path) -> Store<DiskDirectory> {
    Store::open(DiskDirectory::open(folder).expect("a folder"), Options::default()).expect("a store").0
}

fn write(folder: &Path, records: impl IntoIterator<Item = (Table, Vec<u8>, Vec<u8>)>) {
    let mut store = open_records(folder);
    let mut batch = Batch::default();
    for (table, key, value) in records {
        batch.put(table, key, value);
    }
    store.write(batch).expect("written");
    store.sync().expect("synced");
}

fn dump(folder: &Path) -> String {
    let store = open_records(folder);
    let view = store.view();
    let mut text = String::new();
    for table in 0..=u8::MAX {
        for (key, value) in view.table(Table(table)) {
            text += &format!("{table} {} {}\n", hex(key), hex(value));
        }
    }
    text
}

fn identity() -> (Table, Vec<u8>, Vec<u8>) {
    (IDENTITY.0, IDENTITY.1.to_vec(), unhex(IDENTITY.2))
}

fn expected() -> PersistentState {
    let mut stored = PersistentState::default();
    stored.apply(&save());
    stored
}

#[test]
fn saved_records_are_those_of_the_fixture() {
    let folder = tempfile::tempdir().expect("a folder");
    write(folder.path(), [identity()]);
    let (mut log, id, stored) = LogStore::open(folder.path(), "market").expect("it opens");
    assert_eq!((id, stored), (NodeId(300), PersistentState::default()));
    log.save(&save()).expect("saved");
    drop(log);
    let made = dump(folder.path());
    assert_eq!(FIXTURE, made, "\n{made}");
}

#[test]
fn records_of_the_fixture_are_read_as_what_was_saved() {
    let folder = tempfile::tempdir().expect("a folder");
    let record = |line: &str| {
        let fields: Vec<&str> = line.split(' ').collect();
        (Table(fields[0].parse().expect("a table")), unhex(fields[1]), unhex(fields[2]))
    };
    write(folder.path(), FIXTURE.lines().map(record));
    let (_, id, stored) = LogStore::open(folder.path(), "market").expect("it opens");
    assert_eq!((id, stored), (NodeId(300), expected()));
}

#[test]
fn a_snapshot_in_one_piece_is_read_as_releases_before_wrote_it() {
    let folder = tempfile::tempdir().expect("a folder");
    let (table, key, value) = WHOLE_SNAPSHOT;
    write(folder.path(), [identity(), (table, key.to_vec(), unhex(value))]);
    let (_, _, stored) = LogStore::open(folder.path(), "market").expect("it opens");
    let snapshot =
        Snapshot { at: at(3, 2), members: members(), state: SnapshotData::from_bytes(vec![255, 0]) };
    assert_eq!(stored.snapshot, Some(snapshot));
}
