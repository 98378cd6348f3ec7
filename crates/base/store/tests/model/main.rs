//! The store against a model: an ordered map and the list of its committed states.

mod sim;

use std::collections::BTreeMap;

use beechloft_store::frame::{self, HEADER_LEN};
use beechloft_store::{Batch, Options, Store, StoreError, Table, View};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sim::Sim;

type Map = BTreeMap<(u8, Vec<u8>), Vec<u8>>;

fn map(view: &View) -> Map {
    let of =
        |t: u8| view.table(Table(t)).map(move |(k, v)| ((t, k.to_vec()), v.to_vec())).collect::<Vec<_>>();
    (0..4).flat_map(of).collect()
}

fn open(sim: &Sim) -> Store<Sim> {
    Store::open(sim.clone(), Options::default()).expect("a store").0
}

#[derive(Debug, Clone)]
enum Step {
    Write(Vec<(u8, u8, Option<u8>)>),
    Sync,
    Compact,
    Begin,
    Finish,
    Crash(u64),
    /// The n-th operation of the file system from now fails.
    Fail(u64),
    Room(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let op = (0u8..3, 0u8..6, prop::option::weighted(0.8, any::<u8>()));
    prop_oneof![
        8 => prop::collection::vec(op, 0..4).prop_map(Step::Write),
        3 => Just(Step::Sync),
        1 => Just(Step::Compact),
        1 => Just(Step::Begin),
        1 => Just(Step::Finish),
        2 => any::<u64>().prop_map(Step::Crash),
        1 => (1u64..6).prop_map(Step::Fail),
        1 => (0usize..200).prop_map(Step::Room),
    ]
}

fn chance(mut seed: u64) -> impl FnMut() -> usize {
    move || {
        seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (seed >> 33) as usize
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1500, rng_seed: RngSeed::Fixed(31), failure_persistence: None, ..ProptestConfig::default() })]

    /// After any crash the state is one that was committed, not older than the last sync that was said to be good.
    #[test]
    fn a_crash_leaves_a_committed_state_no_older_than_the_last_sync(steps in prop::collection::vec(step(), 1..60)) {
        let sim = Sim::default();
        let mut store = open(&sim);
        let mut states: BTreeMap<u64, Map> = [(0, Map::new())].into();
        let (mut synced, mut written) = (0, None);
        for step in steps.into_iter().chain([Step::Crash(7)]) {
            match step {
                Step::Write(ops) => {
                    let mut batch = Batch::default();
                    let mut next = map(&store.view());
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
                        prop_assert_eq!(&map(&store.view()), &next);
                        states.insert(seq, next);
                    }
                }
                Step::Sync => if store.sync().is_ok() { synced = store.view().seq(); },
                Step::Compact => if store.compact().is_ok() { synced = store.view().seq(); },
                Step::Begin => written = store.begin_compaction().ok().and_then(|c| c.write(&sim).ok()),
                Step::Finish => if let Some(w) = written.take()
                    && store.finish_compaction(w).is_ok()
                {
                    synced = store.view().seq();
                },
                Step::Fail(after) => sim.fail(after),
                Step::Room(bytes) => sim.room(bytes),
                Step::Crash(seed) => {
                    written = None;
                    let last = store.view().seq();
                    drop(store);
                    sim.crash(chance(seed));
                    store = open(&sim);
                    let (seq, now) = (store.view().seq(), map(&store.view()));
                    prop_assert!(seq >= synced, "batch {} was synced, {} came back", synced, seq);
                    // A batch whose write failed half-way may have come through whole all the same.
                    prop_assert!(seq <= last + 1);
                    if seq <= last {
                        prop_assert_eq!(&now, &states[&seq], "a mixture at batch {}", seq);
                    }
                    states.split_off(&(seq + 1));
                    states.insert(seq, now);
                    synced = seq;
                }
            }
        }
    }
}

type Files = BTreeMap<String, Vec<u8>>;

/// A script of writes with compactions; the states by batch, and the folder's files at every step.
fn script() -> (BTreeMap<u64, Map>, Vec<Files>) {
    let sim = Sim::default();
    let mut store = open(&sim);
    let (mut states, mut folders) = (BTreeMap::from([(0, Map::new())]), vec![sim.files()]);
    for n in 0..12u8 {
        let mut batch = Batch::default();
        batch.put(Table(n % 3), vec![n % 5], vec![n; usize::from(n) + 3]);
        batch.put(Table(1), b"same".to_vec(), vec![n]);
        if n % 4 == 3 {
            batch.remove(Table(n % 3), vec![(n + 1) % 5]);
        }
        let seq = store.write(batch).expect("written");
        store.sync().expect("synced");
        states.insert(seq, map(&store.view()));
        if n == 5 || n == 9 {
            let written = store.begin_compaction().expect("begun").write(&sim).expect("written");
            folders.push(sim.files());
            store.finish_compaction(written).expect("finished");
        }
        folders.push(sim.files());
    }
    (states, folders)
}

#[test]
fn truncated_at_any_byte_of_any_file_it_recovers_a_committed_state() {
    let (states, folders) = script();
    let mut cuts = 0;
    for files in &folders {
        for (name, bytes) in files {
            for cut in 0..bytes.len() {
                let mut files = files.clone();
                files.insert(name.clone(), bytes[..cut].to_vec());
                let sim = Sim::of(&files);
                let (store, notes) = Store::open(sim.clone(), Options::default())
                    .unwrap_or_else(|e| panic!("{name} cut at {cut}: {e}"));
                let seq = store.view().seq();
                assert_eq!(map(&store.view()), states[&seq], "{name} cut at {cut}");
                // What was cut within a batch is said; a working file counts for nothing, nor does an older generation.
                let newest = files.keys().filter(|n| n.ends_with(".log")).max() == Some(name);
                let whole_batches = seq == *states.keys().max().expect("some") || notes.is_empty();
                assert!(newest || name.ends_with(".new") || notes.is_empty(), "{name} {cut}: {notes:?}");
                assert!(whole_batches || !notes.is_empty());
                // It goes on from there.
                drop(store);
                let mut reopened = open(&sim);
                reopened
                    .write(Batch::default().put(Table(2), b"on".to_vec(), b"x".to_vec()).clone())
                    .expect("written");
                reopened.sync().expect("synced");
                drop(reopened);
                sim.crash(chance(cut as u64));
                assert_eq!(open(&sim).view().seq(), seq + 1);
                cuts += 1;
            }
        }
    }
    assert!(cuts > 5_000, "{cuts}");
}

#[test]
fn a_flipped_bit_anywhere_is_an_error_or_a_committed_state_with_a_note() {
    let (states, folders) = script();
    let files = folders.last().expect("some");
    let last = *states.keys().max().expect("some");
    let newest = files.keys().filter(|n| n.ends_with(".log")).max().expect("one").clone();
    // Where the batches of the newest generation begin, and the last of them.
    let newest_bytes = &files[&newest];
    let (mut ends, generation) = (vec![HEADER_LEN], frame::decode_header(newest_bytes).expect("a head"));
    while let Ok(decoded) = frame::decode(generation, &newest_bytes[*ends.last().expect("one")..]) {
        ends.push(ends.last().expect("one") + decoded.len);
    }
    let synced_before = ends[1]..ends[ends.len() - 2];
    assert!(!synced_before.is_empty());
    let (mut errors, mut spoken) = (0, 0);
    for (name, bytes) in files {
        for at in 0..bytes.len() {
            for bit in [0, 3, 7] {
                let mut files = files.clone();
                let mut flipped = bytes.clone();
                flipped[at] ^= 1 << bit;
                files.insert(name.clone(), flipped);
                match Store::open(Sim::of(&files), Options::default()) {
                    Ok((store, notes)) => {
                        let in_middle = *name == newest && synced_before.contains(&at);
                        assert!(!in_middle, "{name} {at}: what was synced is passed over");
                        let seq = store.view().seq();
                        assert_eq!(map(&store.view()), states[&seq], "{name} {at}");
                        assert!(seq == last || !notes.is_empty(), "{name} {at}: silence");
                        spoken += usize::from(!notes.is_empty());
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
    assert!(errors > 100 && spoken > 10, "{errors} {spoken}");
}

#[test]
fn a_failed_sync_or_write_stops_the_store() {
    let put = |n: u8| Batch::default().put(Table(0), vec![n], vec![n]).clone();
    let sim = Sim::default();
    let mut store = open(&sim);
    store.write(put(1)).expect("written");
    sim.fail(1);
    assert!(matches!(store.sync(), Err(StoreError::Io { .. })));
    // The disk is well again; what it holds is not known all the same.
    assert!(matches!(store.sync(), Err(StoreError::Stopped("sync"))));
    assert!(matches!(store.write(put(2)), Err(StoreError::Stopped(_))));
    assert!(matches!(store.compact(), Err(StoreError::Stopped(_))));
    let view = store.view();
    assert_eq!(view.get(Table(0), &[1]).as_deref(), Some(&[1][..]), "reading goes on");
    drop(store);
    let mut reopened = open(&sim);
    sim.room(10);
    assert!(reopened.write(put(3)).is_err());
    assert!(matches!(reopened.write(put(4)), Err(StoreError::Stopped(_))));
}

#[test]
fn a_store_is_opened_once_at_a_time_and_views_do_not_change() {
    let sim = Sim::default();
    let mut store = open(&sim);
    assert!(matches!(Store::open(sim.clone(), Options::default()), Err(StoreError::Locked)));
    store.write(Batch::default().put(Table(1), b"k".to_vec(), b"1".to_vec()).clone()).expect("written");
    let view = store.view();
    store.write(Batch::default().put(Table(1), b"k".to_vec(), b"2".to_vec()).clone()).expect("written");
    store.compact().expect("compacted");
    assert_eq!(view.get(Table(1), b"k").as_deref(), Some(&b"1"[..]));
    assert_eq!(store.view().get(Table(1), b"k").as_deref(), Some(&b"2"[..]));
}

#[test]
fn a_long_run_of_overwrites_stays_within_its_size_bound() {
    let sim = Sim::default();
    let options = Options { max_batches_ratio: 0.25, min_batches_len: 4096 };
    let (mut store, _) = Store::open(sim.clone(), options).expect("a store");
    let live = 200 * 110;
    let mut most = 0;
    for n in 0..20_000u32 {
        let key = (n % 200).to_le_bytes().to_vec();
        store
            .write(Batch::default().put(Table(0), key, vec![n.to_le_bytes()[0]; 100]).clone())
            .expect("written");
        if store.is_compaction_due() {
            store.compact().expect("compacted");
        }
        if n > 1_000 {
            most = most.max(sim.bytes());
        }
    }
    assert!(most < live * 3, "{most} bytes for {live} of live data: two generations, each a quarter over it");
}
