use std::path::PathBuf;

use beechloft_consensus::{Index, Payload, Term};

use super::*;

fn entry(index: u64, term: u64) -> Entry {
    let at = LogPosition { term: Term(term), index: Index(index) };
    let low_byte = index.to_le_bytes()[0];
    Entry { at, payload: Payload::Command(vec![low_byte].into()) }
}

fn snapshot(index: u64, pieces: &[&str]) -> Snapshot {
    let chunks: Vec<Chunk> = pieces.iter().map(|p| Chunk::new(p.as_bytes())).collect();
    Snapshot {
        at: LogPosition { term: Term(3), index: Index(index) },
        members: Membership::of([(NodeId(1), "a".into())]),
        state: SnapshotData::new(chunks),
    }
}

fn saves() -> Vec<StateUpdate> {
    let with = |index, pieces: &[&str]| StateUpdate {
        snapshot: Some(snapshot(index, pieces)),
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
        with(2, &["first", "same", "gone", "same"]),
        with(3, &["second", "same", "new"]),
        // The same again, and one of none.
        with(4, &["second", "same", "new"]),
        with(5, &[]),
    ]
}

#[test]
fn saved_state_is_restored_and_the_folder_of_another_fleet_is_rejected() {
    let dir = tempfile::tempdir().expect("a folder");
    let (mut log, id, stored) = LogStore::open(dir.path(), "market").expect("it opens");
    assert_eq!(stored, PersistentState::default());
    let mut expected = PersistentState::default();
    for save in saves() {
        log.save(&save).expect("saved");
        expected.apply(&save);
    }
    drop(log);
    let (reopened, again, restored) = LogStore::open(dir.path(), "market").expect("it opens");
    assert_eq!((again, restored), (id, expected));
    assert!(matches!(LogStore::open(dir.path(), "market"), Err(OpenError::Store(StoreError::Locked))));
    drop(reopened);
    let other = LogStore::open(dir.path(), "other").err().expect("refused");
    assert_eq!(other.to_string(), "the folder belongs to the fleet 'market'");
    let fresh = tempfile::tempdir().expect("a folder");
    assert_ne!(
        LogStore::open(fresh.path(), "market").expect("it opens").1,
        id,
        "an emptied folder is another"
    );
}

/// The file of the newest generation.
fn newest(folder: &Path) -> PathBuf {
    let all = std::fs::read_dir(folder).expect("a folder").flatten().map(|e| e.path());
    all.filter(|p| p.extension().is_some_and(|e| e == "log")).max().expect("a generation")
}

/// Power goes at any byte of what is written around snapshots in pieces: what is found is what some save made, whole, and not
/// an earlier one than the last that was synced.
#[test]
fn a_log_cut_at_any_byte_restores_one_save_and_never_a_mixture() {
    let dir = tempfile::tempdir().expect("a folder");
    let (mut log, _, _) = LogStore::open(dir.path(), "market").expect("it opens");
    let length = || {
        let bytes = newest(dir.path()).metadata().expect("it is there").len();
        usize::try_from(bytes).expect("a small file")
    };
    let (mut made, mut stored) = (vec![(length(), PersistentState::default())], PersistentState::default());
    for save in saves() {
        log.save(&save).expect("saved");
        stored.apply(&save);
        made.push((length(), stored.clone()));
    }
    drop(log);
    let file = newest(dir.path());
    let (name, bytes) = (file.file_name().expect("a name"), std::fs::read(&file).expect("read"));
    let mut found = Vec::new();
    for cut in made[0].0..=bytes.len() {
        let copy = tempfile::tempdir().expect("a folder");
        std::fs::write(copy.path().join(name), &bytes[..cut]).expect("written");
        let (_, _, there) = LogStore::open(copy.path(), "market").unwrap_or_else(|e| panic!("{cut}: {e}"));
        let last = made.iter().rposition(|(end, _)| *end <= cut).expect("the first");
        assert_eq!(there, made[last].1, "cut at {cut}");
        found.push(last);
    }
    found.dedup();
    assert_eq!(found, (0..made.len()).collect::<Vec<_>>(), "each save was found once");
}

#[test]
fn unchanged_chunks_are_not_rewritten_and_unused_chunks_are_removed() {
    let dir = tempfile::tempdir().expect("a folder");
    let (mut log, _, _) = LogStore::open(dir.path(), "market").expect("it opens");
    let large: Vec<String> = (0..8).map(|n| n.to_string().repeat(4_000)).collect();
    let mut length = newest(dir.path()).metadata().expect("it is there").len();
    let mut wrote = |into: &mut LogStore, index: u64, pieces: &[&str]| {
        let save = StateUpdate { snapshot: Some(snapshot(index, pieces)), ..StateUpdate::default() };
        into.save(&save).expect("saved");
        let now = newest(dir.path()).metadata().expect("it is there").len();
        now - std::mem::replace(&mut length, now)
    };
    let all: Vec<&str> = large.iter().map(String::as_str).collect();
    assert!(wrote(&mut log, 1, &all) > 32_000);
    let less = wrote(&mut log, 2, &[all[1], all[0], "more"]);
    assert!(less < 1_000, "{less} bytes for a snapshot that adds four");
    assert_eq!(log.store.view().table(CHUNKS).count(), 3);
    assert!(wrote(&mut log, 3, &all[..3]) > 4_000);
}

/// As the version before wrote it: tables 1 to 4, the state in one piece.
#[test]
fn a_folder_of_an_earlier_version_is_read_and_written_on() {
    #[derive(Serialize)]
    struct Before {
        at: LogPosition,
        members: Membership,
        state: Vec<u8>,
    }
    let dir = tempfile::tempdir().expect("a folder");
    let new = snapshot(2, &["whole"]);
    let (mut log, _, _) = LogStore::open(dir.path(), "market").expect("it opens");
    let before = Before { at: new.at, members: new.members.clone(), state: b"whole".to_vec() };
    let mut batch = Batch::default();
    batch.put(WHOLE_SNAPSHOT, SINGLE_KEY, bytes(&before));
    log.store.write(batch).expect("written");
    drop(log);
    let (mut reopened, _, found) = LogStore::open(dir.path(), "market").expect("it opens");
    assert_eq!(found.snapshot, Some(new));
    let next = snapshot(3, &["a", "b"]);
    reopened.save(&StateUpdate { snapshot: Some(next.clone()), ..StateUpdate::default() }).expect("saved");
    drop(reopened);
    let (_, _, restored) = LogStore::open(dir.path(), "market").expect("it opens");
    assert_eq!(restored.snapshot, Some(next));
}

/// A large state is compacted beside what is saved meanwhile, and nothing of that is lost.
#[test]
fn a_large_state_is_compacted_while_saves_go_on() {
    let dir = tempfile::tempdir().expect("a folder");
    let (mut log, id, _) = LogStore::open(dir.path(), "market").expect("it opens");
    let large: Vec<String> = (0..40).map(|n| format!("{n} ").repeat(20_000)).collect();
    let pieces: Vec<&str> = large.iter().map(String::as_str).collect();
    let mut expected = PersistentState::default();
    let (mut index, mut threads) = (5u64, 0);
    while log.store.generation() < 3 {
        index += 1;
        let save = StateUpdate {
            snapshot: index.is_multiple_of(7).then(|| snapshot(index - 1, &pieces[(index % 5) as usize..])),
            compact_through: index.is_multiple_of(7).then_some(Index(index - 1)),
            entries: vec![entry(index, 3)],
            ..StateUpdate::default()
        };
        log.save(&save).expect("saved");
        expected.apply(&save);
        threads += u64::from(log.compaction.is_some());
        assert!(index < 1_000_000, "it is never compacted");
    }
    assert!(threads > 0, "none was beside");
    drop(log);
    let (_, again, stored) = LogStore::open(dir.path(), "market").expect("it opens");
    assert_eq!((again, stored), (id, expected));
}
