//! A keeper's log, snapshot, vote and identity in a store of the project's own.

use std::path::Path;

use beechloft_consensus::{Disk, Entry, Hard, MemberId, Save, Snapshot, Stored};
use beechloft_store::fs::Disk as Folder;
use beechloft_store::{Batch, Options, Store, StoreError, Table};
use serde::{Deserialize, Serialize};
use thiserror::Error;

const IDENTITY: Table = Table(1);
const HARD: Table = Table(2);
const ENTRIES: Table = Table(3);
const SNAPSHOT: Table = Table(4);
const ONE: &[u8] = b"1";

/// Whose folder it is: drawn with it, so that an emptied folder is another member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Identity {
    fleet: String,
    member: u64,
}

/// Why a folder can't be used. Nothing in it was changed.
#[derive(Debug, Error)]
pub enum OpenError {
    /// The store itself.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The folder can't be made.
    #[error("the folder can't be opened: {0}")]
    Folder(#[from] std::io::Error),
    /// It is another fleet's.
    #[error("the folder belongs to the fleet '{0}'")]
    OtherFleet(String),
    /// What it holds can't be read.
    #[error("{0} can't be read")]
    Unreadable(&'static str),
}

/// A keeper's disk.
pub struct LogStore {
    store: Store<Folder>,
}

fn read<T: for<'a> Deserialize<'a>>(bytes: &[u8], what: &'static str) -> Result<T, OpenError> {
    postcard::from_bytes(bytes).map_err(|_| OpenError::Unreadable(what))
}

/// Values that have a length beforehand always have bytes.
fn bytes<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(value).unwrap_or_default()
}

impl LogStore {
    /// Opens a folder, or begins one: the member's id is drawn then. What it holds comes with it.
    ///
    /// # Errors
    /// Another fleet's, in use, damaged or unreadable; then nothing in it was changed.
    pub fn open(folder: &Path, fleet: &str) -> Result<(LogStore, MemberId, Stored), OpenError> {
        let (mut store, _) = Store::open(Folder::open(folder)?, Options::default())?;
        let view = store.view();
        let identity: Identity = match view.get(IDENTITY, ONE) {
            Some(text) => read(&text, "the member's identity")?,
            None if !view.is_empty() => return Err(OpenError::Unreadable("the member's identity")),
            None => {
                let identity = Identity { fleet: fleet.to_owned(), member: rand::random() };
                let mut batch = Batch::default();
                batch.put(IDENTITY, ONE, bytes(&identity));
                store.write(batch)?;
                store.sync()?;
                identity
            }
        };
        if identity.fleet != fleet {
            return Err(OpenError::OtherFleet(identity.fleet));
        }
        let hard = view.get(HARD, ONE).map(|b| read::<(u64, Option<u64>)>(&b, "the vote")).transpose()?;
        let hard = hard.map_or(Hard::default(), |(term, vote)| Hard {
            term: beechloft_consensus::Term(term),
            vote: vote.map(MemberId),
        });
        let snapshot = view.get(SNAPSHOT, ONE).map(|b| read::<Snapshot>(&b, "the snapshot")).transpose()?;
        let mut entries: Vec<Entry> = Vec::new();
        for (_, value) in view.table(ENTRIES) {
            let entry: Entry = read(value, "an entry")?;
            if entries.last().is_some_and(|e| e.at.index.next() != entry.at.index) {
                return Err(OpenError::Unreadable("the log, in which an entry is missing,"));
            }
            entries.push(entry);
        }
        Ok((LogStore { store }, MemberId(identity.member), Stored { hard, snapshot, entries }))
    }
}

impl Disk for LogStore {
    type Error = StoreError;

    fn save(&mut self, save: &Save) -> Result<(), StoreError> {
        let key = |index: u64| index.to_be_bytes().to_vec();
        let mut batch = Batch::default();
        if let Some(hard) = save.hard {
            batch.put(HARD, ONE, bytes(&(hard.term.0, hard.vote.map(|v| v.0))));
        }
        if let Some(snapshot) = &save.snapshot {
            batch.put(SNAPSHOT, ONE, bytes(snapshot));
        }
        if save.drop_through.is_some() || save.cut_from.is_some() {
            let gone = |index: u64| {
                save.drop_through.is_some_and(|t| index <= t.0) || save.cut_from.is_some_and(|f| index >= f.0)
            };
            for (k, _) in self.store.view().table(ENTRIES) {
                if k.try_into().is_ok_and(|k| gone(u64::from_be_bytes(k))) {
                    batch.remove(ENTRIES, k);
                }
            }
        }
        for entry in &save.entries {
            batch.put(ENTRIES, key(entry.at.index.0), bytes(entry));
        }
        self.store.write(batch)?;
        self.store.sync()?;
        if self.store.wants_compaction() {
            self.store.compact()?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use beechloft_consensus::{Index, LogPos, Membership, Payload, Term};

    fn entry(index: u64, term: u64) -> Entry {
        let at = LogPos { term: Term(term), index: Index(index) };
        Entry { at, payload: Payload::Command(vec![index as u8].into()) }
    }

    #[test]
    fn what_was_saved_is_there_again_and_anothers_folder_is_refused() {
        let dir = tempfile::tempdir().expect("a folder");
        let (mut log, id, stored) = LogStore::open(dir.path(), "market").expect("it opens");
        assert_eq!(stored, Stored::default());
        let mut expected = Stored::default();
        let saves = [
            Save { hard: Some(Hard { term: Term(3), vote: Some(MemberId(7)) }), ..Save::default() },
            Save { entries: (1..6).map(|i| entry(i, 3)).collect(), ..Save::default() },
            Save { cut_from: Some(Index(4)), entries: vec![entry(4, 4)], ..Save::default() },
            Save {
                snapshot: Some(Snapshot {
                    at: LogPos { term: Term(3), index: Index(2) },
                    members: Membership::of([(MemberId(1), "a".into())]),
                    state: vec![1, 2].into(),
                }),
                drop_through: Some(Index(2)),
                ..Save::default()
            },
        ];
        for save in &saves {
            log.save(save).expect("saved");
            expected.apply(save);
        }
        drop(log);
        let (log, again, stored) = LogStore::open(dir.path(), "market").expect("it opens");
        assert_eq!((again, stored), (id, expected));
        assert!(matches!(LogStore::open(dir.path(), "market"), Err(OpenError::Store(StoreError::Locked))));
        drop(log);
        let other = LogStore::open(dir.path(), "other").err().expect("refused");
        assert_eq!(other.to_string(), "the folder belongs to the fleet 'market'");
        let fresh = tempfile::tempdir().expect("a folder");
        assert_ne!(
            LogStore::open(fresh.path(), "market").expect("it opens").1,
            id,
            "an emptied folder is another"
        );
    }
}
