//! Tests of the store against a model, which is an ordered map and the list of its committed states, on a simulated disk.

mod sim;

use std::collections::BTreeMap;

use beechloft_store::frame::{self, HEADER_LEN};
use beechloft_store::{Batch, Options, Store, StoreError, Table, View};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sim::Sim;

type Map = BTreeMap<(u8, Vec<u8>), Vec<u8>>;

/// Number of tables that the tests use.
const TABLES: u8 = 4;

/// Returns all entries of a view.
fn entries(view: &View) -> Map {
    let table_entries = |table: u8| {
        view.table(Table(table))
            .map(move |(key, value)| ((table, key.to_vec()), value.to_vec()))
            .collect::<Vec<_>>()
    };
    (0..TABLES).flat_map(table_entries).collect()
}

fn open(sim: &Sim) -> Store<Sim> {
    Store::open(sim.clone(), Options::default()).expect("open failed").0
}

#[derive(Debug, Clone)]
enum Step {
    /// Writes a batch of changes: table, key, and new value or `None` for a removal.
    Write(Vec<(u8, u8, Option<u8>)>),
    Sync,
    /// Performs a compaction in one step.
    Compact,
    /// Begins a compaction and writes its snapshot.
    BeginCompaction,
    /// Finishes the compaction in progress.
    FinishCompaction,
    /// Loses power and restarts, with this seed.
    Crash(u64),
    /// Makes the n-th file-system operation from now fail.
    FailOperation(u64),
    /// Limits the number of bytes that can still be written.
    LimitSpace(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let op = (0u8..3, 0u8..6, prop::option::weighted(0.8, any::<u8>()));
    prop_oneof![
        8 => prop::collection::vec(op, 0..4).prop_map(Step::Write),
        3 => Just(Step::Sync),
        1 => Just(Step::Compact),
        1 => Just(Step::BeginCompaction),
        1 => Just(Step::FinishCompaction),
        2 => any::<u64>().prop_map(Step::Crash),
        1 => (1u64..6).prop_map(Step::FailOperation),
        1 => (0usize..200).prop_map(Step::LimitSpace),
    ]
}

/// Returns a linear congruential generator.
fn random_numbers(mut seed: u64) -> impl FnMut() -> usize {
    move || {
        seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (seed >> 33) as usize
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1500, rng_seed: RngSeed::Fixed(31), failure_persistence: None, ..ProptestConfig::default() })]

    /// After any crash the recovered state is a committed one that is not older than the last successful sync.
    #[test]
    fn recovers_committed_state_no_older_than_last_sync(steps in prop::collection::vec(step(), 1..60)) {
        let sim = Sim::default();
        let mut store = open(&sim);
        let mut states: BTreeMap<u64, Map> = [(0, Map::new())].into();
        let (mut synced, mut written) = (0, None);
        for step in steps.into_iter().chain([Step::Crash(7)]) {
            match step {
                Step::Write(ops) => {
                    let mut batch = Batch::default();
                    let mut next = entries(&store.view());
                    for (table, key, value) in ops {
                        match value {
                            Some(v) => {
                                let bytes = vec![v; usize::from(v) % 40];
                                next.insert((table, vec![key]), bytes.clone());
                                batch.put(Table(table), vec![key], bytes);
                            }
                            None => {
                                next.remove(&(table, vec![key]));
                                batch.remove(Table(table), vec![key]);
                            }
                        }
                    }
                    if let Ok(seq) = store.write(batch) {
                        prop_assert_eq!(&entries(&store.view()), &next);
                        states.insert(seq, next);
                    }
                }
                Step::Sync => if store.sync().is_ok() { synced = store.view().seq(); },
                Step::Compact => if store.compact().is_ok() { synced = store.view().seq(); },
                Step::BeginCompaction => written = store.begin_compaction().ok().and_then(|c| c.write(&sim).ok()),
                Step::FinishCompaction => if let Some(w) = written.take()
                    && store.finish_compaction(w).is_ok()
                {
                    synced = store.view().seq();
                },
                Step::FailOperation(distance) => sim.fail_operation(distance),
                Step::LimitSpace(bytes) => sim.limit_space(bytes),
                Step::Crash(seed) => {
                    written = None;
                    let last = store.view().seq();
                    drop(store);
                    sim.crash(random_numbers(seed));
                    store = open(&sim);
                    let (seq, recovered) = (store.view().seq(), entries(&store.view()));
                    prop_assert!(seq >= synced, "batch {} was synced, but batch {} was recovered", synced, seq);
                    // A batch may be on the disk although its write was reported as failed.
                    prop_assert!(seq <= last + 1);
                    if seq <= last {
                        prop_assert_eq!(&recovered, &states[&seq], "uncommitted state at batch {}", seq);
                    }
                    states.split_off(&(seq + 1));
                    states.insert(seq, recovered);
                    synced = seq;
                }
            }
        }
    }
}

type Files = BTreeMap<String, Vec<u8>>;

/// Runs a fixed sequence of writes and compactions. Returns the committed states by batch and the directory's files after each
/// step.
fn run_fixed_sequence() -> (BTreeMap<u64, Map>, Vec<Files>) {
    let sim = Sim::default();
    let mut store = open(&sim);
    let (mut states, mut directories) = (BTreeMap::from([(0, Map::new())]), vec![sim.files()]);
    for n in 0..12u8 {
        let mut batch = Batch::default();
        batch.put(Table(n % 3), vec![n % 5], vec![n; usize::from(n) + 3]);
        batch.put(Table(1), b"same".to_vec(), vec![n]);
        if n % 4 == 3 {
            batch.remove(Table(n % 3), vec![(n + 1) % 5]);
        }
        let seq = store.write(batch).expect("write failed");
        store.sync().expect("sync failed");
        states.insert(seq, entries(&store.view()));
        if n == 5 || n == 9 {
            let written = store
                .begin_compaction()
                .expect("compaction failed to begin")
                .write(&sim)
                .expect("write failed");
            directories.push(sim.files());
            store.finish_compaction(written).expect("compaction failed to finish");
        }
        directories.push(sim.files());
    }
    (states, directories)
}

#[test]
fn recovers_committed_state_from_files_truncated_at_any_byte() {
    let (states, directories) = run_fixed_sequence();
    let mut cuts = 0;
    for files in &directories {
        for (name, bytes) in files {
            for cut in 0..bytes.len() {
                let mut files = files.clone();
                files.insert(name.clone(), bytes[..cut].to_vec());
                let sim = Sim::from_files(&files);
                let (store, notes) = Store::open(sim.clone(), Options::default())
                    .unwrap_or_else(|error| panic!("{name} truncated at {cut}: {error}"));
                let seq = store.view().seq();
                assert_eq!(entries(&store.view()), states[&seq], "{name} truncated at {cut}");
                // A truncated batch of the newest generation is reported. Partial files and older generations are not read.
                let is_newest = files.keys().filter(|file| file.ends_with(".log")).max() == Some(name);
                let is_complete = seq == *states.keys().max().expect("empty collection") || notes.is_empty();
                assert!(is_newest || name.ends_with(".new") || notes.is_empty(), "{name} {cut}: {notes:?}");
                assert!(is_complete || !notes.is_empty());
                // The store accepts writes after the recovery.
                drop(store);
                let mut reopened = open(&sim);
                reopened
                    .write(Batch::default().put(Table(2), b"on".to_vec(), b"x".to_vec()).clone())
                    .expect("write failed");
                reopened.sync().expect("sync failed");
                drop(reopened);
                sim.crash(random_numbers(cut as u64));
                assert_eq!(open(&sim).view().seq(), seq + 1);
                cuts += 1;
            }
        }
    }
    assert!(cuts > 5_000, "{cuts}");
}

#[test]
fn reports_or_repairs_any_flipped_bit() {
    let (states, directories) = run_fixed_sequence();
    let files = directories.last().expect("empty collection");
    let last = *states.keys().max().expect("empty collection");
    let newest = files.keys().filter(|file| file.ends_with(".log")).max().expect("empty collection").clone();
    // Offsets at which the frames of the newest generation begin, and the offset of its end.
    let newest_bytes = &files[&newest];
    let (mut offsets, generation) =
        (vec![HEADER_LEN], frame::decode_header(newest_bytes).expect("invalid header"));
    while let Ok(decoded) =
        frame::decode(generation, &newest_bytes[*offsets.last().expect("empty collection")..])
    {
        offsets.push(offsets.last().expect("empty collection") + decoded.len);
    }
    let synced_batches = offsets[1]..offsets[offsets.len() - 2];
    assert!(!synced_batches.is_empty());
    let (mut errors, mut repairs) = (0, 0);
    for (name, bytes) in files {
        for at in 0..bytes.len() {
            for bit in [0, 3, 7] {
                let mut files = files.clone();
                let mut flipped = bytes.clone();
                flipped[at] ^= 1 << bit;
                files.insert(name.clone(), flipped);
                match Store::open(Sim::from_files(&files), Options::default()) {
                    Ok((store, notes)) => {
                        let in_synced_batches = *name == newest && synced_batches.contains(&at);
                        assert!(!in_synced_batches, "{name} {at}: a corrupt synced batch was skipped");
                        let seq = store.view().seq();
                        assert_eq!(entries(&store.view()), states[&seq], "{name} {at}");
                        assert!(
                            seq == last || !notes.is_empty(),
                            "{name} {at}: batches were lost without a note"
                        );
                        repairs += usize::from(!notes.is_empty());
                    }
                    Err(StoreError::Corrupt { file, corruption }) => {
                        assert_eq!((&file, name), (&newest, &newest), "{corruption}");
                        errors += 1;
                    }
                    Err(e) => panic!("{name} {at}: {e}"),
                }
            }
        }
    }
    assert!(errors > 100 && repairs > 10, "{errors} {repairs}");
}

#[test]
fn rejects_writes_after_failed_sync_or_write() {
    let put = |n: u8| Batch::default().put(Table(0), vec![n], vec![n]).clone();
    let sim = Sim::default();
    let mut store = open(&sim);
    store.write(put(1)).expect("write failed");
    sim.fail_operation(1);
    assert!(matches!(store.sync(), Err(StoreError::Io { .. })));
    // The disk works again, but its content is unknown after the failed sync.
    assert!(matches!(store.sync(), Err(StoreError::Stopped("sync"))));
    assert!(matches!(store.write(put(2)), Err(StoreError::Stopped(_))));
    assert!(matches!(store.compact(), Err(StoreError::Stopped(_))));
    let view = store.view();
    assert_eq!(view.get(Table(0), &[1]).as_deref(), Some(&[1][..]), "reads still succeed");
    drop(store);
    let mut reopened = open(&sim);
    sim.limit_space(10);
    assert!(reopened.write(put(3)).is_err());
    assert!(matches!(reopened.write(put(4)), Err(StoreError::Stopped(_))));
}

#[test]
fn rejects_second_open_and_views_do_not_change() {
    let sim = Sim::default();
    let mut store = open(&sim);
    assert!(matches!(Store::open(sim.clone(), Options::default()), Err(StoreError::Locked)));
    store.write(Batch::default().put(Table(1), b"k".to_vec(), b"1".to_vec()).clone()).expect("write failed");
    let view = store.view();
    store.write(Batch::default().put(Table(1), b"k".to_vec(), b"2".to_vec()).clone()).expect("write failed");
    store.compact().expect("compaction failed");
    assert_eq!(view.get(Table(1), b"k").as_deref(), Some(&b"1"[..]));
    assert_eq!(store.view().get(Table(1), b"k").as_deref(), Some(&b"2"[..]));
}

#[test]
fn overwrites_keep_size_within_bound() {
    let sim = Sim::default();
    let options = Options { max_batches_ratio: 0.25, min_batches_len: 4096 };
    let (mut store, _) = Store::open(sim.clone(), options).expect("open failed");
    let live_bytes = 200 * 110;
    let mut max_bytes = 0;
    for n in 0..20_000u32 {
        let key = (n % 200).to_le_bytes().to_vec();
        store
            .write(Batch::default().put(Table(0), key, vec![n.to_le_bytes()[0]; 100]).clone())
            .expect("write failed");
        if store.is_compaction_due() {
            store.compact().expect("compaction failed");
        }
        if n > 1_000 {
            max_bytes = max_bytes.max(sim.total_bytes());
        }
    }
    // Two generations, each at most a quarter over the live data.
    assert!(max_bytes < live_bytes * 3, "{max_bytes} bytes in files for {live_bytes} bytes of live data");
}
