//! The store: a single writer, immutable views for readers, and compaction into generations.

mod batch;
mod compaction;
mod error;
mod generation;
mod view;

use std::io;

use self::compaction::{Backlog, BacklogBatch};
use self::error::io_error;
use self::generation::PARTIAL_SUFFIX;
use crate::directory::{AppendFile, Directory};
use crate::frame::{self, FrameKind};
use crate::recovery::{self, Recovered, RecoveryNote};

pub use self::batch::Batch;
pub use self::compaction::{Compaction, WrittenGeneration};
pub use self::error::StoreError;
pub use self::generation::generation_of_file;
pub use self::view::View;

/// Options that determine when a compaction is due.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Maximum ratio of the length of the batches to the length of the snapshot.
    pub max_batches_ratio: f64,
    /// Length of the batches up to which no compaction is due, bytes.
    pub min_batches_len: u64,
}

impl Default for Options {
    fn default() -> Self {
        Options { max_batches_ratio: 0.5, min_batches_len: 64 * 1024 }
    }
}

/// An open store, which is the only writer of its directory.
#[derive(Debug)]
pub struct Store<D: Directory> {
    directory: D,
    _lock: D::Lock,
    file: D::File,
    generation: u64,
    view: View,
    /// Number of the last durable batch.
    synced: u64,
    /// First failed write or sync, as a verb phrase. The store accepts no writes after it.
    failed_operation: Option<&'static str>,
    options: Options,
    /// Length of the generation's header and snapshot, bytes. Zero until the first compaction after the store was opened.
    snapshot_len: u64,
    /// Length of the batches after the snapshot, bytes. After the store was opened, it includes the header and the snapshot.
    batches_len: u64,
    /// Batches written since the compaction in progress began. `None` if no compaction is in progress.
    backlog: Option<Backlog>,
    /// Number of compactions that began since the store was opened.
    compactions_begun: u64,
}

impl<D: Directory> Store<D> {
    /// Opens the store in a directory, or creates an empty one. Returns the store and a note of each repair that recovery made.
    ///
    /// # Errors
    /// Returns an error if another process has the store open, the store is corrupt, or an operation of the file system failed.
    pub fn open(directory: D, options: Options) -> Result<(Store<D>, Vec<RecoveryNote>), StoreError> {
        let lock = directory.lock().map_err(|error| match error.kind() {
            io::ErrorKind::WouldBlock => StoreError::Locked,
            _ => StoreError::Io { operation: "lock the directory", error },
        })?;
        let names = directory.list().map_err(io_error("list the directory"))?;
        for partial in names.iter().filter(|name| name.ends_with(PARTIAL_SUFFIX)) {
            // The process ended during a compaction.
            directory.remove(partial).map_err(io_error("remove a partial generation"))?;
        }
        let mut notes = Vec::new();
        let newest = generation::find_newest(&directory, &names, &mut notes)?;
        let (file, recovered) = match newest {
            Some(recovered) => (generation::resume(&directory, &recovered, &mut notes)?, recovered),
            None => generation::create_first(&directory)?,
        };
        let Recovered { generation, state, seq, valid_len, .. } = recovered;
        let store = Store {
            directory,
            _lock: lock,
            file,
            generation,
            view: View { state, seq },
            synced: seq,
            failed_operation: None,
            options,
            snapshot_len: 0,
            batches_len: valid_len as u64,
            backlog: None,
            compactions_begun: 0,
        };
        Ok((store, notes))
    }

    /// Returns a view of the current state.
    pub fn view(&self) -> View {
        self.view.clone()
    }

    /// Returns the number of the generation that batches are appended to.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    fn check_running(&self) -> Result<(), StoreError> {
        self.failed_operation.map_or(Ok(()), |operation| Err(StoreError::Stopped(operation)))
    }

    /// Rejects all further writes after the failure of `operation`, and returns the error to report.
    fn stop(&mut self, operation: &'static str, error: io::Error) -> StoreError {
        self.failed_operation = Some(operation);
        StoreError::Io { operation, error }
    }

    /// Writes a batch and returns its number. The batch is durable after [`Store::sync`]. A crash before that may lose the batch
    /// as a whole.
    ///
    /// # Errors
    /// Returns an error if the batch is too long, an earlier operation failed, or the write failed. The store accepts no writes
    /// after a failed write.
    pub fn write(&mut self, batch: Batch) -> Result<u64, StoreError> {
        self.check_running()?;
        let (seq, ops) = (self.view.seq + 1, batch.0);
        let mut bytes = Vec::new();
        frame::encode(self.generation, FrameKind::Batch, seq, self.synced, &ops, &mut bytes)?;
        if let Err(error) = self.file.append(&bytes) {
            // A part of the batch may have been written, and the next batch would be appended to that part.
            return Err(self.stop("write a batch", error));
        }
        self.batches_len += bytes.len() as u64;
        if let Some(backlog) = &mut self.backlog {
            backlog.batches.push(BacklogBatch { seq, ops: ops.clone() });
        }
        recovery::apply(&mut self.view.state, ops);
        self.view.seq = seq;
        Ok(seq)
    }

    /// Makes all written batches durable.
    ///
    /// A failed sync is never retried, because the operating system may have dropped the pages that it could not write. A second
    /// sync would then succeed without them.
    ///
    /// # Errors
    /// Returns an error if an earlier operation failed or the sync failed. The store accepts no writes after a failed sync.
    pub fn sync(&mut self) -> Result<(), StoreError> {
        self.check_running()?;
        self.file.sync().map_err(|error| self.stop("sync", error))?;
        self.synced = self.view.seq;
        Ok(())
    }
}
