//! Tests that compare the encodings of headers, frames, directories and typed values with fixtures, in both directions.
//!
//! Each line of a fixture file is a name and its bytes in hexadecimal. Later versions read stores that earlier versions wrote, so
//! that a change of the fixtures breaks an upgrade.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use beechloft_store::directory::DiskDirectory;
use beechloft_store::frame::{self, DecodedFrame, Frame, FrameKind};
use beechloft_store::{Batch, Op, Options, Record, Store, Table};
use serde::{Deserialize, Serialize};

const FRAMES: &str = include_str!("fixtures/frames.txt");
const DIRECTORY: &str = include_str!("fixtures/directory.txt");
const TYPED: &str = include_str!("fixtures/typed.txt");

type Files = BTreeMap<String, Vec<u8>>;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    assert!(text.len().is_multiple_of(2), "odd number of digits in {text}");
    (0..text.len())
        .step_by(2)
        .map(|index| u8::from_str_radix(&text[index..index + 2], 16).expect("invalid hex digits"))
        .collect()
}

fn parse(fixture: &str) -> Files {
    let parse_line = |line: &str| {
        let (name, bytes) = line.split_once(' ').expect("no separator in line");
        (name.to_owned(), unhex(bytes))
    };
    fixture.lines().map(parse_line).collect()
}

fn assert_matches_fixture(files: &Files, fixture: &str) {
    let text: String = files.iter().map(|(name, bytes)| format!("{name} {}\n", hex(bytes))).collect();
    assert!(text == fixture, "the encoding differs from the fixture; encoded now:\n{text}");
}

fn ops() -> Vec<Op> {
    let put = |table, key: &[u8], value: &[u8]| Op {
        table: Table(table),
        key: key.into(),
        value: Some(value.into()),
    };
    let removal = Op { table: Table(255), key: b"removed".to_vec(), value: None };
    vec![put(0, b"", b""), put(1, b"key", &[0, 255, 128]), put(7, &[9; 130], &[7; 300]), removal]
}

fn frames() -> Vec<(&'static str, Frame)> {
    vec![
        ("batch", Frame { kind: FrameKind::Batch, seq: 258, synced: 255, ops: ops() }),
        ("batch-empty", Frame { kind: FrameKind::Batch, seq: 1, synced: 0, ops: Vec::new() }),
        ("state", Frame { kind: FrameKind::Snapshot, seq: u64::MAX, synced: u64::MAX, ops: ops() }),
        ("state-empty", Frame { kind: FrameKind::Snapshot, seq: 0, synced: 0, ops: Vec::new() }),
    ]
}

const GENERATION: u64 = 0x0102_0304_0506_0708;

#[test]
fn encoded_headers_and_frames_match_fixture() {
    let mut written = Files::from([("head".to_owned(), frame::encode_header(GENERATION))]);
    for (name, frame) in frames() {
        let mut bytes = Vec::new();
        frame::encode(GENERATION, frame.kind, frame.seq, frame.synced, &frame.ops, &mut bytes)
            .expect("frame is too long");
        written.insert(name.to_owned(), bytes);
    }
    assert_matches_fixture(&written, FRAMES);
}

#[test]
fn decodes_headers_and_frames_of_fixture() {
    let fixture = parse(FRAMES);
    assert_eq!(frame::decode_header(&fixture["head"]), Ok(GENERATION));
    for (name, frame) in frames() {
        let bytes = &fixture[name];
        assert_eq!(frame::decode(GENERATION, bytes), Ok(DecodedFrame { frame, len: bytes.len() }), "{name}");
    }
}

fn open(directory: &Path) -> Store<DiskDirectory> {
    let disk = DiskDirectory::open(directory).expect("no directory");
    let (store, notes) = Store::open(disk, Options::default()).expect("open failed");
    assert_eq!(notes, []);
    store
}

/// Writes two generations: one that was compacted, and the current one with batches after its snapshot.
fn write_directory(directory: &Path) {
    let mut store = open(directory);
    let mut first = Batch::default();
    first.put(Table(1), b"a".to_vec(), b"one".to_vec()).put(Table(2), b"b".to_vec(), vec![0; 200]);
    store.write(first).expect("write failed");
    store.sync().expect("sync failed");
    let mut second = Batch::default();
    second.put(Table(1), b"c".to_vec(), b"three".to_vec()).remove(Table(2), b"b".to_vec());
    store.write(second).expect("write failed");
    store.compact().expect("compaction failed");
    let mut third = Batch::default();
    third.put(Table(1), b"a".to_vec(), b"four".to_vec()).put(Table(3), Vec::new(), Vec::new());
    store.write(third).expect("write failed");
    store.sync().expect("sync failed");
    store.write(Batch::default()).expect("write failed");
    store.sync().expect("sync failed");
}

fn read_files(directory: &Path) -> Files {
    let mut files = Files::new();
    for entry in fs::read_dir(directory).expect("no directory") {
        let entry = entry.expect("unreadable entry");
        let name = entry.file_name().into_string().expect("name is not Unicode");
        files.insert(name, fs::read(entry.path()).expect("unreadable file"));
    }
    files
}

fn write_files(directory: &Path, files: &Files) {
    for (name, bytes) in files {
        fs::write(directory.join(name), bytes).expect("write failed");
    }
}

#[test]
fn written_directory_matches_fixture() {
    let directory = tempfile::tempdir().expect("no directory");
    write_directory(directory.path());
    assert_matches_fixture(&read_files(directory.path()), DIRECTORY);
}

fn entries(store: &Store<DiskDirectory>) -> Vec<(u8, Vec<u8>, Vec<u8>)> {
    let view = store.view();
    let table = |number| {
        let entry = move |(key, value): (&[u8], &[u8])| (number, key.to_vec(), value.to_vec());
        view.table(Table(number)).map(entry).collect::<Vec<_>>()
    };
    (0..=255).flat_map(table).collect()
}

#[test]
fn opens_and_extends_directory_of_fixture() {
    let directory = tempfile::tempdir().expect("no directory");
    write_files(directory.path(), &parse(DIRECTORY));
    let mut store = open(directory.path());
    let expected = vec![
        (1, b"a".to_vec(), b"four".to_vec()),
        (1, b"c".to_vec(), b"three".to_vec()),
        (3, Vec::new(), Vec::new()),
    ];
    assert_eq!(entries(&store), expected);
    assert_eq!((store.generation(), store.view().seq()), (2, 4));
    store.write(Batch::default()).expect("write failed");
    store.sync().expect("sync failed");
    drop(store);
    assert_eq!(open(directory.path()).view().seq(), 5);
}

/// Truncates the newest generation within its snapshot, as after a power failure during a compaction.
#[test]
fn falls_back_to_previous_generation_of_fixture() {
    let directory = tempfile::tempdir().expect("no directory");
    let mut files = parse(DIRECTORY);
    files.get_mut("0000000000000002.log").expect("no second generation").truncate(30);
    write_files(directory.path(), &files);
    let disk = DiskDirectory::open(directory.path()).expect("no directory");
    let (store, notes) = Store::open(disk, Options::default()).expect("open failed");
    assert_eq!((store.generation(), store.view().seq(), notes.len()), (1, 2, 1));
    assert_eq!(entries(&store), [(1, b"a".to_vec(), b"one".to_vec()), (1, b"c".to_vec(), b"three".to_vec())]);
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct FirstVersion {
    name: String,
}

impl Record for FirstVersion {
    type Key = u64;
    const TABLE: Table = Table(7);
    const VERSION: u8 = 1;
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct SecondVersion {
    name: String,
    size: Option<u32>,
}

impl Record for SecondVersion {
    type Key = u64;
    const TABLE: Table = Table(7);
    const VERSION: u8 = 2;

    fn upgrade(version: u8, bytes: &[u8]) -> Option<SecondVersion> {
        let older: FirstVersion = beechloft_store::typed::decode_value(bytes).filter(|_| version == 1)?;
        Some(SecondVersion { name: older.name, size: None })
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct NumberList(Vec<u16>);

impl Record for NumberList {
    type Key = String;
    const TABLE: Table = Table(8);
    const VERSION: u8 = 3;
}

#[test]
fn encoded_typed_entries_match_fixture() {
    let directory = tempfile::tempdir().expect("no directory");
    let mut store = open(directory.path());
    let mut batch = Batch::default();
    batch.put_record(&258, &FirstVersion { name: "first".into() });
    batch.put_record(&1, &SecondVersion { name: "second".into(), size: Some(300) });
    batch.put_record(&"ke/y".to_owned(), &NumberList(vec![1, 128, 65_535]));
    store.write(batch).expect("write failed");
    let entry = |(table, key, value): (u8, Vec<u8>, Vec<u8>)| (format!("{table}/{}", hex(&key)), value);
    let written: Files = entries(&store).into_iter().map(entry).collect();
    assert_matches_fixture(&written, TYPED);
}

#[test]
fn decodes_and_upgrades_typed_entries_of_fixture() {
    let directory = tempfile::tempdir().expect("no directory");
    let mut store = open(directory.path());
    let mut batch = Batch::default();
    for (name, value) in parse(TYPED) {
        let (table, key) = name.split_once('/').expect("no separator in name");
        batch.put(Table(table.parse().expect("invalid table number")), unhex(key), value);
    }
    store.write(batch).expect("write failed");
    let (records, errors) = store.view().records::<SecondVersion>();
    assert_eq!(errors, []);
    let expected = BTreeMap::from([
        (1, SecondVersion { name: "second".into(), size: Some(300) }),
        (258, SecondVersion { name: "first".into(), size: None }),
    ]);
    assert_eq!(records, expected);
    let list = store.view().record::<NumberList>(&"ke/y".to_owned());
    assert_eq!(list, Ok(Some(NumberList(vec![1, 128, 65_535]))));
}
