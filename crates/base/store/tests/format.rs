//! The bytes of heads, frames, a directory and typed values, compared with fixtures in both directions.
//!
//! Each line of a fixture file is a name and its bytes in hexadecimal. Stores that earlier versions wrote are read by later
//! ones, so a change here breaks an upgrade.

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
    assert!(text.len().is_multiple_of(2), "half a byte in {text}");
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).expect("hex digits"))
        .collect()
}

fn parse(fixture: &str) -> Files {
    let line = |line: &str| {
        let (name, bytes) = line.split_once(' ').expect("a name and bytes");
        (name.to_owned(), unhex(bytes))
    };
    fixture.lines().map(line).collect()
}

fn assert_same(files: &Files, fixture: &str) {
    let text: String = files.iter().map(|(name, bytes)| format!("{name} {}\n", hex(bytes))).collect();
    assert!(text == fixture, "the fixture differs; written now:\n{text}");
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
fn heads_and_frames_keep_their_bytes() {
    let mut written = Files::from([("head".to_owned(), frame::encode_header(GENERATION))]);
    for (name, frame) in frames() {
        let mut bytes = Vec::new();
        frame::encode(GENERATION, frame.kind, frame.seq, frame.synced, &frame.ops, &mut bytes)
            .expect("short enough");
        written.insert(name.to_owned(), bytes);
    }
    assert_same(&written, FRAMES);
}

#[test]
fn heads_and_frames_of_the_fixture_are_read() {
    let fixture = parse(FRAMES);
    assert_eq!(frame::decode_header(&fixture["head"]), Ok(GENERATION));
    for (name, frame) in frames() {
        let bytes = &fixture[name];
        assert_eq!(frame::decode(GENERATION, bytes), Ok(DecodedFrame { frame, len: bytes.len() }), "{name}");
    }
}

fn open(directory: &Path) -> Store<DiskDirectory> {
    let disk = DiskDirectory::open(directory).expect("a directory");
    let (store, notes) = Store::open(disk, Options::default()).expect("a store");
    assert_eq!(notes, []);
    store
}

/// Two generations: one that was compacted, and the one in use with batches after its state.
fn write_directory(directory: &Path) {
    let mut store = open(directory);
    let mut first = Batch::default();
    first.put(Table(1), b"a".to_vec(), b"one".to_vec()).put(Table(2), b"b".to_vec(), vec![0; 200]);
    store.write(first).expect("written");
    store.sync().expect("synced");
    let mut second = Batch::default();
    second.put(Table(1), b"c".to_vec(), b"three".to_vec()).remove(Table(2), b"b".to_vec());
    store.write(second).expect("written");
    store.compact().expect("compacted");
    let mut third = Batch::default();
    third.put(Table(1), b"a".to_vec(), b"four".to_vec()).put(Table(3), Vec::new(), Vec::new());
    store.write(third).expect("written");
    store.sync().expect("synced");
    store.write(Batch::default()).expect("written");
    store.sync().expect("synced");
}

fn read_files(directory: &Path) -> Files {
    let mut files = Files::new();
    for entry in fs::read_dir(directory).expect("the directory") {
        let entry = entry.expect("an entry");
        let name = entry.file_name().into_string().expect("a text");
        files.insert(name, fs::read(entry.path()).expect("a file"));
    }
    files
}

fn write_files(directory: &Path, files: &Files) {
    for (name, bytes) in files {
        fs::write(directory.join(name), bytes).expect("written");
    }
}

#[test]
fn a_directory_keeps_its_files_and_bytes() {
    let directory = tempfile::tempdir().expect("a directory");
    write_directory(directory.path());
    assert_same(&read_files(directory.path()), DIRECTORY);
}

fn content(store: &Store<DiskDirectory>) -> Vec<(u8, Vec<u8>, Vec<u8>)> {
    let view = store.view();
    let table = |number| {
        let of = move |(key, value): (&[u8], &[u8])| (number, key.to_vec(), value.to_vec());
        view.table(Table(number)).map(of).collect::<Vec<_>>()
    };
    (0..=255).flat_map(table).collect()
}

#[test]
fn a_directory_of_the_fixture_is_read_and_written_on() {
    let directory = tempfile::tempdir().expect("a directory");
    write_files(directory.path(), &parse(DIRECTORY));
    let mut store = open(directory.path());
    let expected = vec![
        (1, b"a".to_vec(), b"four".to_vec()),
        (1, b"c".to_vec(), b"three".to_vec()),
        (3, Vec::new(), Vec::new()),
    ];
    assert_eq!(content(&store), expected);
    assert_eq!((store.generation(), store.view().seq()), (2, 4));
    store.write(Batch::default()).expect("written");
    store.sync().expect("synced");
    drop(store);
    assert_eq!(open(directory.path()).view().seq(), 5);
}

/// A generation whose state was never written whole: the one before it is used.
#[test]
fn a_directory_of_the_fixture_falls_back_to_the_generation_before() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut files = parse(DIRECTORY);
    files.get_mut("0000000000000002.log").expect("the newest generation").truncate(30);
    write_files(directory.path(), &files);
    let disk = DiskDirectory::open(directory.path()).expect("the directory");
    let (store, notes) = Store::open(disk, Options::default()).expect("a store");
    assert_eq!((store.generation(), store.view().seq(), notes.len()), (1, 2, 1));
    assert_eq!(content(&store), [(1, b"a".to_vec(), b"one".to_vec()), (1, b"c".to_vec(), b"three".to_vec())]);
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
struct Named(Vec<u16>);

impl Record for Named {
    type Key = String;
    const TABLE: Table = Table(8);
    const VERSION: u8 = 3;
}

#[test]
fn typed_values_and_keys_keep_their_bytes() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut store = open(directory.path());
    let mut batch = Batch::default();
    batch.put_record(&258, &FirstVersion { name: "first".into() });
    batch.put_record(&1, &SecondVersion { name: "second".into(), size: Some(300) });
    batch.put_record(&"ke/y".to_owned(), &Named(vec![1, 128, 65_535]));
    store.write(batch).expect("written");
    let entry = |(table, key, value): (u8, Vec<u8>, Vec<u8>)| (format!("{table}/{}", hex(&key)), value);
    let written: Files = content(&store).into_iter().map(entry).collect();
    assert_same(&written, TYPED);
}

#[test]
fn typed_values_and_keys_of_the_fixture_are_read_in_their_versions() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut store = open(directory.path());
    let mut batch = Batch::default();
    for (name, value) in parse(TYPED) {
        let (table, key) = name.split_once('/').expect("a table and a key");
        batch.put(Table(table.parse().expect("a number")), unhex(key), value);
    }
    store.write(batch).expect("written");
    let (records, errors) = store.view().records::<SecondVersion>();
    assert_eq!(errors, []);
    let expected = BTreeMap::from([
        (1, SecondVersion { name: "second".into(), size: Some(300) }),
        (258, SecondVersion { name: "first".into(), size: None }),
    ]);
    assert_eq!(records, expected);
    let named = store.view().record::<Named>(&"ke/y".to_owned());
    assert_eq!(named, Ok(Some(Named(vec![1, 128, 65_535]))));
}
