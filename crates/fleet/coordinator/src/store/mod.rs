//! Persistence of a replica's log, snapshot, hard state and identity in a `beechloft_store`.

use std::collections::BTreeSet;
use std::fs::File;
use std::path::Path;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use beechloft_consensus::{
    Chunk, ChunkId, Entry, HardState, LogPosition, Membership, NodeId, PersistentState, Snapshot,
    SnapshotData, StateUpdate, Storage,
};
use beechloft_store::directory::DiskDirectory;
use beechloft_store::{Batch, Options, Store, StoreError, Table, View, WrittenGeneration};
use serde::{Deserialize, Serialize};
use thiserror::Error;

const IDENTITY: Table = Table(1);
const HARD_STATE: Table = Table(2);
const ENTRIES: Table = Table(3);
/// A snapshot in one record, as earlier versions wrote it. It is read, and removed when the next snapshot is saved.
const SINGLE_RECORD_SNAPSHOT: Table = Table(4);
/// The snapshot's position, members and chunk ids in order.
const SNAPSHOT: Table = Table(5);
/// The chunks of the snapshot by id.
const CHUNKS: Table = Table(6);
/// Maximum size of a snapshot for which the store is compacted on the calling thread. For a larger one, a separate thread
/// compacts it.
const MAX_INLINE_COMPACTION_BYTES: usize = 1 << 20;
/// The key in tables with a single record.
const SINGLE_KEY: &[u8] = b"1";

/// The identity of a replica. It is generated with the store, so an emptied directory becomes a different replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Identity {
    fleet: String,
    replica: u64,
}

/// The record of [`SINGLE_RECORD_SNAPSHOT`].
#[derive(Debug, Deserialize)]
struct SingleRecordSnapshot {
    at: LogPosition,
    members: Membership,
    state: Vec<u8>,
}

/// The record of [`SNAPSHOT`].
#[derive(Debug, Serialize, Deserialize)]
struct SnapshotHeader {
    at: LogPosition,
    members: Membership,
    /// The hash and the length of each chunk, in order.
    chunks: Vec<([u8; 32], u32)>,
}

/// Reason why a store can't be opened.
#[derive(Debug, Error)]
pub enum OpenError {
    /// The underlying store can't be opened.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The directory can't be created or opened.
    #[error("cannot open the directory: {0}")]
    Directory(#[from] std::io::Error),
    /// The store belongs to another fleet.
    #[error("the folder belongs to the fleet '{0}'")]
    OtherFleet(String),
    /// A record is missing or can't be decoded.
    #[error("cannot read {0}")]
    Unreadable(&'static str),
}

/// The handle of a thread that writes the compacted state.
type CompactionThread = JoinHandle<Result<WrittenGeneration<File>, StoreError>>;

/// The persistent storage of a replica.
pub struct LogStore {
    store: Store<DiskDirectory>,
    directory: DiskDirectory,
    /// The ids of the stored chunks.
    chunks: BTreeSet<ChunkId>,
    compaction: Option<CompactionThread>,
}

/// Waits for the compaction thread, which writes into the directory, so that the directory can be opened again after the drop.
/// The wait is bounded by the size of the state.
impl Drop for LogStore {
    fn drop(&mut self) {
        if let Some(thread) = self.compaction.take() {
            let _ = thread.join();
        }
    }
}

/// Decodes a record. `record` describes it in the error.
fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8], record: &'static str) -> Result<T, OpenError> {
    postcard::from_bytes(bytes).map_err(|_| OpenError::Unreadable(record))
}

/// Encodes a record. This fails only for values of unknown length, and records have none.
fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(value).unwrap_or_default()
}

impl LogStore {
    /// Opens the store in a directory, or creates it with a random replica id. Returns it with the replica's id and the stored
    /// state.
    ///
    /// # Errors
    /// Returns an error if the store belongs to another fleet, is in use, is damaged or can't be read. It is unchanged then.
    pub fn open(path: &Path, fleet: &str) -> Result<(LogStore, NodeId, PersistentState), OpenError> {
        let directory = DiskDirectory::open(path)?;
        let (mut store, _) = Store::open(directory.clone(), Options::default())?;
        let view = store.view();
        let identity: Identity = match view.get(IDENTITY, SINGLE_KEY) {
            Some(record) => decode(&record, "the replica's identity")?,
            None if !view.is_empty() => return Err(OpenError::Unreadable("the replica's identity")),
            None => {
                let identity = Identity { fleet: fleet.to_owned(), replica: rand::random() };
                let mut batch = Batch::default();
                batch.put(IDENTITY, SINGLE_KEY, encode(&identity));
                store.write(batch)?;
                store.sync()?;
                identity
            }
        };
        if identity.fleet != fleet {
            return Err(OpenError::OtherFleet(identity.fleet));
        }
        let hard_state = view
            .get(HARD_STATE, SINGLE_KEY)
            .map(|record| decode::<(u64, Option<u64>)>(&record, "the hard state"))
            .transpose()?;
        let hard_state = hard_state.map_or(HardState::default(), |(term, vote)| HardState {
            term: beechloft_consensus::Term(term),
            vote: vote.map(NodeId),
        });
        let snapshot = load_snapshot(&view)?;
        let mut entries: Vec<Entry> = Vec::new();
        for (_, record) in view.table(ENTRIES) {
            let entry: Entry = decode(record, "a log entry")?;
            if entries.last().is_some_and(|e| e.at.index.next() != entry.at.index) {
                return Err(OpenError::Unreadable("the log: an entry is missing"));
            }
            entries.push(entry);
        }
        let chunks = view.table(CHUNKS).filter_map(|(key, _)| ChunkId::from_key(key)).collect();
        let log_store = LogStore { store, directory, chunks, compaction: None };
        Ok((log_store, NodeId(identity.replica), PersistentState { hard_state, snapshot, entries }))
    }

    /// Replaces the stored snapshot. Chunks that both snapshots contain are not rewritten.
    fn put_snapshot(&mut self, snapshot: &Snapshot, batch: &mut Batch) {
        let mut new_ids = BTreeSet::new();
        let ordered_ids = snapshot.state.chunks().iter().map(|c| (c.id().hash, c.id().length)).collect();
        for chunk in snapshot.state.chunks() {
            let id = chunk.id();
            if new_ids.insert(id) && !self.chunks.contains(&id) {
                batch.put_shared(CHUNKS, id.to_key(), Arc::clone(chunk.bytes()));
            }
        }
        for unused in self.chunks.difference(&new_ids) {
            batch.remove(CHUNKS, unused.to_key());
        }
        let header =
            SnapshotHeader { at: snapshot.at, members: snapshot.members.clone(), chunks: ordered_ids };
        batch.put(SNAPSHOT, SINGLE_KEY, encode(&header)).remove(SINGLE_RECORD_SNAPSHOT, SINGLE_KEY);
        self.chunks = new_ids;
    }

    /// Compacts the store's log if it has become long, or completes a compaction that a thread has written.
    ///
    /// A large state is written on a separate thread: a leader that is blocked for as long as that takes would send no
    /// heartbeats and lose its leadership.
    fn compact(&mut self) -> Result<(), StoreError> {
        if let Some(thread) = self.compaction.take_if(|t| t.is_finished()) {
            let written = thread.join().map_err(|_| StoreError::Stopped("write a generation"))??;
            return self.store.finish_compaction(written);
        }
        if self.compaction.is_some() || !self.store.is_compaction_due() {
            return Ok(());
        }
        let size: usize = self.chunks.iter().map(|c| c.length as usize).sum();
        if size <= MAX_INLINE_COMPACTION_BYTES {
            return self.store.compact();
        }
        let (compaction, directory) = (self.store.begin_compaction()?, self.directory.clone());
        let thread =
            thread::Builder::new().name("compacts".into()).spawn(move || compaction.write(&directory));
        self.compaction =
            Some(thread.map_err(|error| StoreError::Io { operation: "start a thread", error })?);
        Ok(())
    }
}

/// Reads the stored snapshot, in either of its formats.
fn load_snapshot(view: &View) -> Result<Option<Snapshot>, OpenError> {
    if let Some(record) = view.get(SINGLE_RECORD_SNAPSHOT, SINGLE_KEY) {
        let SingleRecordSnapshot { at, members, state } = decode(&record, "the snapshot")?;
        return Ok(Some(Snapshot { at, members, state: SnapshotData::from_bytes(state) }));
    }
    let Some(header) = view.get(SNAPSHOT, SINGLE_KEY) else { return Ok(None) };
    let SnapshotHeader { at, members, chunks } = decode(&header, "the snapshot")?;
    let mut state = Vec::with_capacity(chunks.len());
    for (hash, length) in chunks {
        let id = ChunkId { hash, length };
        let chunk = view.get(CHUNKS, &id.to_key()).map(Chunk::new).filter(|chunk| chunk.id() == id);
        state.push(chunk.ok_or(OpenError::Unreadable("a chunk of the snapshot"))?);
    }
    Ok(Some(Snapshot { at, members, state: SnapshotData::new(state) }))
}

impl Storage for LogStore {
    type Error = StoreError;

    fn save(&mut self, update: &StateUpdate) -> Result<(), StoreError> {
        let mut batch = Batch::default();
        if let Some(hard_state) = update.hard_state {
            let record = (hard_state.term.0, hard_state.vote.map(|vote| vote.0));
            batch.put(HARD_STATE, SINGLE_KEY, encode(&record));
        }
        if let Some(snapshot) = &update.snapshot {
            self.put_snapshot(snapshot, &mut batch);
        }
        if update.compact_through.is_some() || update.truncate_from.is_some() {
            let is_removed = |index: u64| {
                update.compact_through.is_some_and(|through| index <= through.0)
                    || update.truncate_from.is_some_and(|from| index >= from.0)
            };
            for (key, _) in self.store.view().table(ENTRIES) {
                if key.try_into().is_ok_and(|index| is_removed(u64::from_be_bytes(index))) {
                    batch.remove(ENTRIES, key);
                }
            }
        }
        for entry in &update.entries {
            let key = entry.at.index.0.to_be_bytes().to_vec();
            batch.put(ENTRIES, key, encode(entry));
        }
        self.store.write(batch)?;
        self.store.sync()?;
        self.compact()
    }
}

#[cfg(test)]
mod tests;
