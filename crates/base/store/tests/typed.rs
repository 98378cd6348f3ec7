//! Tests of typed tables on a disk: versions, upgrades, order of keys, and invalid entries.

use beechloft_store::directory::DiskDirectory;
use beechloft_store::typed::decode_value;
use beechloft_store::{Batch, Options, Record, Store, StoreError, Table, TypedError};
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct FirstVersion {
    name: String,
}

impl Record for FirstVersion {
    type Key = u64;
    const TABLE: Table = Table(7);
    const VERSION: u8 = 1;
}

/// The second version of the record in the same table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct SecondVersion {
    name: String,
    size: Option<u32>,
}

impl Record for SecondVersion {
    type Key = u64;
    const TABLE: Table = Table(7);
    const VERSION: u8 = 2;

    fn upgrade(version: u8, bytes: &[u8]) -> Option<Self> {
        match version {
            1 => decode_value::<FirstVersion>(bytes)
                .map(|FirstVersion { name }| SecondVersion { name, size: None }),
            _ => None,
        }
    }
}

fn first_version(name: &str) -> FirstVersion {
    FirstVersion { name: name.into() }
}

#[test]
fn upgrades_older_version_and_rejects_later_one() {
    let directory = tempfile::tempdir().expect("no temporary directory");
    let disk = || DiskDirectory::open(directory.path()).expect("open failed");
    {
        let (mut store, notes) = Store::open(disk(), Options::default()).expect("open failed");
        assert_eq!(notes, []);
        let mut batch = Batch::default();
        for (key, name) in [(300, "c"), (2, "a"), (256, "b")] {
            assert!(batch.put_record(&key, &first_version(name)));
        }
        store.write(batch).expect("write failed");
        store.sync().expect("sync failed");
        assert!(matches!(Store::open(disk(), Options::default()), Err(StoreError::Locked)));
    }
    let (mut store, _) = Store::open(disk(), Options::default()).expect("reopen failed");
    let (records, errors) = store.view().records::<SecondVersion>();
    let names: Vec<(u64, &str)> = records.iter().map(|(key, record)| (*key, record.name.as_str())).collect();
    assert_eq!(
        (names, errors),
        (vec![(2, "a"), (256, "b"), (300, "c")], vec![]),
        "records are not in the order of their keys"
    );
    let mut batch = Batch::default();
    batch.put_record(&2, &SecondVersion { name: "a".into(), size: Some(4) });
    batch.remove_record::<SecondVersion>(&300);
    store.write(batch).expect("write failed");
    store.compact().expect("compaction failed");
    let view = store.view();
    assert_eq!(
        view.record::<SecondVersion>(&2).expect("invalid record").and_then(|record| record.size),
        Some(4)
    );
    assert_eq!(view.record::<SecondVersion>(&300), Ok(None));
    // A program of the first version reports the entry of the second one and reads the other entry.
    let unsupported = TypedError::UnsupportedVersion {
        table: Table(7),
        key: "0000000000000002".into(),
        found: 2,
        latest: 1,
    };
    assert_eq!(view.record::<FirstVersion>(&2), Err(unsupported.clone()));
    let (first_records, first_errors) = view.records::<FirstVersion>();
    assert_eq!(
        (first_records.into_iter().collect::<Vec<_>>(), first_errors),
        (vec![(256, first_version("b"))], vec![unsupported])
    );
}

#[test]
fn reports_invalid_entries_and_returns_valid_ones() {
    let directory = tempfile::tempdir().expect("no temporary directory");
    let (mut store, _) =
        Store::open(DiskDirectory::open(directory.path()).expect("open failed"), Options::default())
            .expect("open failed");
    let mut batch = Batch::default();
    batch.put_record(&1, &first_version("valid"));
    batch.put(Table(7), 2u64.to_be_bytes(), vec![1, 200]);
    batch.put(Table(7), b"odd".to_vec(), vec![1, 0]);
    batch.put(Table(7), 3u64.to_be_bytes(), vec![]);
    store.write(batch).expect("write failed");
    let (records, errors) = store.view().records::<FirstVersion>();
    assert_eq!(records.len(), 1);
    let reasons: Vec<&str> = errors
        .iter()
        .map(|error| match error {
            TypedError::Malformed { reason, .. } => *reason,
            other => panic!("unexpected error: {other}"),
        })
        .collect();
    assert_eq!(reasons, ["invalid value", "missing version", "invalid key"]);
}
