//! Typed tables on a real directory: versions, upgrades, order, and invalid entries.

use beechloft_store::directory::DiskDirectory;
use beechloft_store::typed::decode_value;
use beechloft_store::{Batch, Options, Record, Store, StoreError, Table, TypedError};
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct First {
    name: String,
}

impl Record for First {
    type Key = u64;
    const TABLE: Table = Table(7);
    const VERSION: u8 = 1;
}

/// The same table, a version later.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Second {
    name: String,
    seats: Option<u32>,
}

impl Record for Second {
    type Key = u64;
    const TABLE: Table = Table(7);
    const VERSION: u8 = 2;

    fn upgrade(version: u8, bytes: &[u8]) -> Option<Self> {
        match version {
            1 => decode_value::<First>(bytes).map(|First { name }| Second { name, seats: None }),
            _ => None,
        }
    }
}

fn first(name: &str) -> First {
    First { name: name.into() }
}

#[test]
fn an_older_version_is_upgraded_and_a_later_one_is_an_error() {
    let folder = tempfile::tempdir().expect("a folder");
    let disk = || DiskDirectory::open(folder.path()).expect("the folder");
    {
        let (mut store, notes) = Store::open(disk(), Options::default()).expect("a store");
        assert_eq!(notes, []);
        let mut batch = Batch::default();
        for (key, name) in [(300, "c"), (2, "a"), (256, "b")] {
            assert!(batch.put_record(&key, &first(name)));
        }
        store.write(batch).expect("written");
        store.sync().expect("synced");
        assert!(matches!(Store::open(disk(), Options::default()), Err(StoreError::Locked)));
    }
    let (mut store, _) = Store::open(disk(), Options::default()).expect("the store again");
    let (records, faults) = store.view().records::<Second>();
    let names: Vec<(u64, &str)> = records.iter().map(|(k, r)| (*k, r.name.as_str())).collect();
    assert_eq!((names, faults), (vec![(2, "a"), (256, "b"), (300, "c")], vec![]), "in the keys' own order");
    let mut batch = Batch::default();
    batch.put_record(&2, &Second { name: "a".into(), seats: Some(4) });
    batch.remove_record::<Second>(&300);
    store.write(batch).expect("written");
    store.compact().expect("compacted");
    let view = store.view();
    assert_eq!(view.record::<Second>(&2).expect("sound").and_then(|r| r.seats), Some(4));
    assert_eq!(view.record::<Second>(&300), Ok(None));
    // The older program says that it is too old for the one, and goes on with the other.
    let newer = TypedError::UnsupportedVersion {
        table: Table(7),
        key: "0000000000000002".into(),
        found: 2,
        latest: 1,
    };
    assert_eq!(view.record::<First>(&2), Err(newer.clone()));
    let (first_records, first_errors) = view.records::<First>();
    assert_eq!(
        (first_records.into_iter().collect::<Vec<_>>(), first_errors),
        (vec![(256, first("b"))], vec![newer])
    );
}

#[test]
fn an_invalid_entry_is_named_and_does_not_prevent_use_of_the_rest() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut store, _) =
        Store::open(DiskDirectory::open(folder.path()).expect("it"), Options::default()).expect("a store");
    let mut batch = Batch::default();
    batch.put_record(&1, &first("sound"));
    batch.put(Table(7), 2u64.to_be_bytes(), vec![1, 200]);
    batch.put(Table(7), b"odd".to_vec(), vec![1, 0]);
    batch.put(Table(7), 3u64.to_be_bytes(), vec![]);
    store.write(batch).expect("written");
    let (records, faults) = store.view().records::<First>();
    assert_eq!(records.len(), 1);
    let what: Vec<&str> = faults
        .iter()
        .map(|f| if let TypedError::Malformed { reason, .. } = f { *reason } else { panic!("{f}") })
        .collect();
    assert_eq!(what, ["invalid value", "missing version", "invalid key"]);
}
