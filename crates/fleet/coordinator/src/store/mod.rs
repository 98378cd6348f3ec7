//! A replica's log, snapshot, vote and identity in a `beechloft_store`.

use std::collections::BTreeSet;
use std::fs::File;
use std::path::Path;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use beechloft_consensus::{
    Chunk, ChunkId, Entry, HardState, LogPosition, Membership, NodeId, PersistentState, Snapshot,
    SnapshotData, StateUpdate, Storage,
};
use beechloft_store::directory::DiskDirectory as Folder;
use beechloft_store::{Batch, Options, Store, StoreError, Table, View, WrittenGeneration};
use serde::{Deserialize, Serialize};
use thiserror::Error;

const IDENTITY: Table = Table(1);
const HARD: Table = Table(2);
const ENTRIES: Table = Table(3);
/// A snapshot in one record, as earlier versions had it. It is read, and removed with the next snapshot.
const WHOLE_SNAPSHOT: Table = Table(4);
/// The snapshot: its position, its members, and the ids of its chunks in order.
const SNAPSHOT: Table = Table(5);
/// The chunks of the snapshot by id.
const CHUNKS: Table = Table(6);
/// A state of up to this many bytes is compacted at once, a larger one on a thread of its own.
const MAX_INLINE_COMPACTION_BYTES: usize = 1 << 20;
/// Key of a table's only record.
const SINGLE_KEY: &[u8] = b"1";

/// The replica of the folder: drawn with it, so that an emptied folder is another replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Identity {
    fleet: String,
    member: u64,
}

/// A snapshot as earlier versions had it.
#[derive(Debug, Deserialize)]
struct Whole {
    at: LogPosition,
    members: Membership,
    state: Vec<u8>,
}

/// A snapshot without its chunks.
#[derive(Debug, Serialize, Deserialize)]
struct Head {
    at: LogPosition,
    members: Membership,
    chunks: Vec<([u8; 32], u32)>,
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
    /// It belongs to another fleet.
    #[error("the folder belongs to the fleet '{0}'")]
    OtherFleet(String),
    /// A record can't be read.
    #[error("{0} can't be read")]
    Unreadable(&'static str),
}

/// A compaction on a thread of its own.
type CompactionThread = JoinHandle<Result<WrittenGeneration<File>, StoreError>>;

/// The store of a replica.
pub struct LogStore {
    store: Store<Folder>,
    folder: Folder,
    /// Chunks of the snapshot that are stored.
    chunks: BTreeSet<ChunkId>,
    compaction: Option<CompactionThread>,
}

/// Waits for the compaction thread, which writes into the folder: the folder may be opened again after this. The wait is bounded by
/// the size of the state.
impl Drop for LogStore {
    fn drop(&mut self) {
        if let Some(thread) = self.compaction.take() {
            let _ = thread.join();
        }
    }
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
    pub fn open(folder: &Path, fleet: &str) -> Result<(LogStore, NodeId, PersistentState), OpenError> {
        let folder = Folder::open(folder)?;
        let (mut store, _) = Store::open(folder.clone(), Options::default())?;
        let view = store.view();
        let identity: Identity = match view.get(IDENTITY, SINGLE_KEY) {
            Some(text) => read(&text, "the member's identity")?,
            None if !view.is_empty() => return Err(OpenError::Unreadable("the member's identity")),
            None => {
                let identity = Identity { fleet: fleet.to_owned(), member: rand::random() };
                let mut batch = Batch::default();
                batch.put(IDENTITY, SINGLE_KEY, bytes(&identity));
                store.write(batch)?;
                store.sync()?;
                identity
            }
        };
        if identity.fleet != fleet {
            return Err(OpenError::OtherFleet(identity.fleet));
        }
        let hard =
            view.get(HARD, SINGLE_KEY).map(|b| read::<(u64, Option<u64>)>(&b, "the vote")).transpose()?;
        let hard = hard.map_or(HardState::default(), |(term, vote)| HardState {
            term: beechloft_consensus::Term(term),
            vote: vote.map(NodeId),
        });
        let snapshot = snapshot(&view)?;
        let mut entries: Vec<Entry> = Vec::new();
        for (_, value) in view.table(ENTRIES) {
            let entry: Entry = read(value, "an entry")?;
            if entries.last().is_some_and(|e| e.at.index.next() != entry.at.index) {
                return Err(OpenError::Unreadable("the log, in which an entry is missing,"));
            }
            entries.push(entry);
        }
        let chunks = view.table(CHUNKS).filter_map(|(key, _)| ChunkId::from_key(key)).collect();
        let disk = LogStore { store, folder, chunks, compaction: None };
        Ok((disk, NodeId(identity.member), PersistentState { hard_state: hard, snapshot, entries }))
    }

    /// Puts a snapshot in place of the last one. Pieces that both have stay as they are.
    fn put_snapshot(&mut self, snapshot: &Snapshot, batch: &mut Batch) {
        let mut named = BTreeSet::new();
        let names = snapshot.state.chunks().iter().map(|c| (c.id().hash, c.id().length)).collect();
        for chunk in snapshot.state.chunks() {
            let name = chunk.id();
            if named.insert(name) && !self.chunks.contains(&name) {
                batch.put_shared(CHUNKS, name.to_key(), Arc::clone(chunk.bytes()));
            }
        }
        for gone in self.chunks.difference(&named) {
            batch.remove(CHUNKS, gone.to_key());
        }
        let head = Head { at: snapshot.at, members: snapshot.members.clone(), chunks: names };
        batch.put(SNAPSHOT, SINGLE_KEY, bytes(&head)).remove(WHOLE_SNAPSHOT, SINGLE_KEY);
        self.chunks = named;
    }

    /// Has the log begin anew where it has become long. Guards against a leader that is silent for as long as a large state
    /// takes to be written, and loses the lead by it.
    fn compact(&mut self) -> Result<(), StoreError> {
        if let Some(thread) = self.compaction.take_if(|t| t.is_finished()) {
            let written = thread.join().map_err(|_| StoreError::Stopped("write a generation"))??;
            return self.store.finish(written);
        }
        if self.compaction.is_some() || !self.store.wants_compaction() {
            return Ok(());
        }
        let size: usize = self.chunks.iter().map(|c| c.length as usize).sum();
        if size <= MAX_INLINE_COMPACTION_BYTES {
            return self.store.compact();
        }
        let (compaction, folder) = (self.store.compaction()?, self.folder.clone());
        let thread = thread::Builder::new().name("compacts".into()).spawn(move || compaction.write(&folder));
        self.compaction = Some(thread.map_err(|error| StoreError::Io { what: "start a thread", error })?);
        Ok(())
    }
}

fn snapshot(view: &View) -> Result<Option<Snapshot>, OpenError> {
    if let Some(whole) = view.get(WHOLE_SNAPSHOT, SINGLE_KEY) {
        let Whole { at, members, state } = read(&whole, "the snapshot")?;
        return Ok(Some(Snapshot { at, members, state: SnapshotData::from_bytes(state) }));
    }
    let Some(head) = view.get(SNAPSHOT, SINGLE_KEY) else { return Ok(None) };
    let Head { at, members, chunks } = read(&head, "the snapshot")?;
    let mut state = Vec::with_capacity(chunks.len());
    for (hash, length) in chunks {
        let name = ChunkId { hash, length };
        let chunk = view.get(CHUNKS, &name.to_key()).map(Chunk::new).filter(|c| c.id() == name);
        state.push(chunk.ok_or(OpenError::Unreadable("a piece of the snapshot"))?);
    }
    Ok(Some(Snapshot { at, members, state: SnapshotData::new(state) }))
}

impl Storage for LogStore {
    type Error = StoreError;

    fn save(&mut self, save: &StateUpdate) -> Result<(), StoreError> {
        let key = |index: u64| index.to_be_bytes().to_vec();
        let mut batch = Batch::default();
        if let Some(hard) = save.hard_state {
            batch.put(HARD, SINGLE_KEY, bytes(&(hard.term.0, hard.vote.map(|v| v.0))));
        }
        if let Some(snapshot) = &save.snapshot {
            self.put_snapshot(snapshot, &mut batch);
        }
        if save.compact_through.is_some() || save.truncate_from.is_some() {
            let gone = |index: u64| {
                save.compact_through.is_some_and(|t| index <= t.0)
                    || save.truncate_from.is_some_and(|f| index >= f.0)
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
        self.compact()
    }
}

#[cfg(test)]
mod tests;
