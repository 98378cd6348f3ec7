use std::path::PathBuf;

use beechloft_consensus::{Index, Payload, Term};

use super::*;

fn entry(index: u64, term: u64) -> Entry {
    let at = LogPosition { term: Term(term), index: Index(index) };
    let low_byte = index.to_le_bytes()[0];
    Entry { at, payload: Payload::Command(vec![low_byte].into()) }
}

fn snapshot(index: u64, chunks: &[&str]) -> Snapshot {
    let chunks: Vec<Chunk> = chunks.iter().map(|chunk| Chunk::new(chunk.as_bytes())).collect();
    Snapshot {
        at: LogPosition { term: Term(3), index: Index(index) },
        members: Membership::of([(NodeId(1), "a".into())]),
        state: SnapshotData::new(chunks),
    }
}

fn updates() -> Vec<StateUpdate> {
    let with_snapshot = |index, chunks: &[&str]| StateUpdate {
        snapshot: Some(snapshot(index, chunks)),
        compact_through: Some(Index(index)),
        entries: vec![entry(index + 4, 4)],
        ..StateUpdate::default()
    };
    vec![
        StateUpdate {
            hard_state: Some(HardState { term: Term(3), vote: Some(NodeId(7)) }),
            ..StateUpdate::default()
        },
        StateUpdate { entries: (1..6).map(|i| entry(i, 3)).collect(), ..StateUpdate::default() },
        StateUpdate {
            truncate_from: Some(Index(4)),
            entries: vec![entry(4, 4), entry(5, 4)],
            ..StateUpdate::default()
        },
        with_snapshot(2, &["first", "same", "gone", "same"]),
        with_snapshot(3, &["second", "same", "new"]),
        // A snapshot with the same chunks as before, and one without chunks.
        with_snapshot(4, &["second", "same", "new"]),
        with_snapshot(5, &[]),
    ]
}

#[test]
fn restores_saved_state() {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let (mut log, id, stored) = LogStore::open(dir.path(), "market").expect("the store opens");
    assert_eq!(stored, PersistentState::default());
    let mut expected = PersistentState::default();
    for update in updates() {
        log.save(&update).expect("the update is saved");
        expected.apply(&update);
    }
    drop(log);
    let (reopened, restored_id, restored) = LogStore::open(dir.path(), "market").expect("the store opens");
    assert_eq!((restored_id, restored), (id, expected));
    assert!(matches!(LogStore::open(dir.path(), "market"), Err(OpenError::Store(StoreError::Locked))));
    drop(reopened);
    let error = LogStore::open(dir.path(), "other").err().expect("the store of another fleet is rejected");
    assert_eq!(error.to_string(), "the folder belongs to the fleet 'market'");
    let empty = tempfile::tempdir().expect("a temporary directory");
    assert_ne!(
        LogStore::open(empty.path(), "market").expect("the store opens").1,
        id,
        "an empty directory is opened as a new replica"
    );
}

/// Returns the file of the newest generation.
fn newest(directory: &Path) -> PathBuf {
    let files = std::fs::read_dir(directory).expect("the directory is readable").flatten();
    let logs = files.map(|file| file.path()).filter(|path| path.extension().is_some_and(|e| e == "log"));
    logs.max().expect("a generation")
}

fn newest_length(directory: &Path) -> u64 {
    newest(directory).metadata().expect("the generation exists").len()
}

/// Guards against a mixture of two updates after a power failure. The log is cut at every byte, and each cut must restore exactly
/// the state after the last update that is complete in it.
#[test]
fn cut_at_any_byte_restores_last_complete_update() {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let (mut log, _, _) = LogStore::open(dir.path(), "market").expect("the store opens");
    let length = || usize::try_from(newest_length(dir.path())).expect("a small file");
    let mut state = PersistentState::default();
    let mut states = vec![(length(), state.clone())];
    for update in updates() {
        log.save(&update).expect("the update is saved");
        state.apply(&update);
        states.push((length(), state.clone()));
    }
    drop(log);
    let file = newest(dir.path());
    let name = file.file_name().expect("a file name");
    let bytes = std::fs::read(&file).expect("the file is readable");
    let mut restored_states = Vec::new();
    for cut in states[0].0..=bytes.len() {
        let copy = tempfile::tempdir().expect("a temporary directory");
        std::fs::write(copy.path().join(name), &bytes[..cut]).expect("the copy is written");
        let (_, _, restored) =
            LogStore::open(copy.path(), "market").unwrap_or_else(|error| panic!("cut at {cut}: {error}"));
        let last = states.iter().rposition(|(end, _)| *end <= cut).expect("the first state");
        assert_eq!(restored, states[last].1, "cut at {cut}");
        restored_states.push(last);
    }
    restored_states.dedup();
    assert_eq!(restored_states, (0..states.len()).collect::<Vec<_>>(), "each state is restored by some cut");
}

#[test]
fn rewrites_no_unchanged_chunk_and_removes_unused_chunks() {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let (mut log, _, _) = LogStore::open(dir.path(), "market").expect("the store opens");
    let large: Vec<String> = (0..8).map(|n| n.to_string().repeat(4_000)).collect();
    let mut length = newest_length(dir.path());
    let mut bytes_written = |store: &mut LogStore, index: u64, chunks: &[&str]| {
        let update = StateUpdate { snapshot: Some(snapshot(index, chunks)), ..StateUpdate::default() };
        store.save(&update).expect("the update is saved");
        let new_length = newest_length(dir.path());
        new_length - std::mem::replace(&mut length, new_length)
    };
    let all: Vec<&str> = large.iter().map(String::as_str).collect();
    assert!(bytes_written(&mut log, 1, &all) > 32_000);
    let written = bytes_written(&mut log, 2, &[all[1], all[0], "more"]);
    assert!(written < 1_000, "{written} bytes for a snapshot that adds a chunk of four bytes");
    assert_eq!(log.store.view().table(CHUNKS).count(), 3);
    assert!(bytes_written(&mut log, 3, &all[..3]) > 4_000);
}

/// The previous version wrote the snapshot in a single record, to table 4.
#[test]
fn reads_and_replaces_single_record_snapshot() {
    #[derive(Serialize)]
    struct PreviousSnapshot {
        at: LogPosition,
        members: Membership,
        state: Vec<u8>,
    }
    let dir = tempfile::tempdir().expect("a temporary directory");
    let expected = snapshot(2, &["state"]);
    let (mut log, _, _) = LogStore::open(dir.path(), "market").expect("the store opens");
    let record =
        PreviousSnapshot { at: expected.at, members: expected.members.clone(), state: b"state".to_vec() };
    let mut batch = Batch::default();
    batch.put(SINGLE_RECORD_SNAPSHOT, SINGLE_KEY, encode(&record));
    log.store.write(batch).expect("the record is written");
    drop(log);
    let (mut reopened, _, previous) = LogStore::open(dir.path(), "market").expect("the store opens");
    assert_eq!(previous.snapshot, Some(expected));
    let next = snapshot(3, &["a", "b"]);
    let update = StateUpdate { snapshot: Some(next.clone()), ..StateUpdate::default() };
    reopened.save(&update).expect("the update is saved");
    drop(reopened);
    let (_, _, restored) = LogStore::open(dir.path(), "market").expect("the store opens");
    assert_eq!(restored.snapshot, Some(next));
}

/// Guards against the loss of updates that are saved while a separate thread compacts a large state.
#[test]
fn keeps_updates_saved_during_compaction() {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let (mut log, id, _) = LogStore::open(dir.path(), "market").expect("the store opens");
    let large: Vec<String> = (0..40).map(|n| format!("{n} ").repeat(20_000)).collect();
    let chunks: Vec<&str> = large.iter().map(String::as_str).collect();
    let mut expected = PersistentState::default();
    let (mut index, mut saves_during_compaction) = (5u64, 0);
    while log.store.generation() < 3 {
        index += 1;
        let has_snapshot = index.is_multiple_of(7);
        let update = StateUpdate {
            snapshot: has_snapshot.then(|| snapshot(index - 1, &chunks[(index % 5) as usize..])),
            compact_through: has_snapshot.then_some(Index(index - 1)),
            entries: vec![entry(index, 3)],
            ..StateUpdate::default()
        };
        log.save(&update).expect("the update is saved");
        expected.apply(&update);
        saves_during_compaction += u64::from(log.compaction.is_some());
        assert!(index < 1_000_000, "the log is never compacted");
    }
    assert!(saves_during_compaction > 0, "no update was saved during a compaction");
    drop(log);
    let (_, restored_id, restored) = LogStore::open(dir.path(), "market").expect("the store opens");
    assert_eq!((restored_id, restored), (id, expected));
}
