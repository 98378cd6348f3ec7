//! The store: one writer, readers on views, generations.

mod batch;
mod compaction;
mod error;
mod generation;
mod view;

use std::io;

use self::compaction::{Backlog, BatchSince};
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

/// When a compaction is due.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// A compaction is due when the batches are longer than the snapshot times this.
    pub max_batches_ratio: f64,
    /// A compaction is never due while the batches are at most this long, bytes.
    pub min_batches_len: u64,
}

impl Default for Options {
    fn default() -> Self {
        Options { max_batches_ratio: 0.5, min_batches_len: 64 * 1024 }
    }
}

/// An open store.
#[derive(Debug)]
pub struct Store<D: Directory> {
    directory: D,
    _lock: D::Lock,
    file: D::File,
    generation: u64,
    view: View,
    /// The number of the last durable batch.
    synced: u64,
    /// The operation after whose failure no writes are accepted.
    failed_operation: Option<&'static str>,
    options: Options,
    /// Length of the snapshot that the generation begins with, bytes.
    snapshot_len: u64,
    /// Length of the batches after it, bytes.
    batches_len: u64,
    /// Present while a compaction is in progress.
    backlog: Option<Backlog>,
    compactions_begun: u64,
}

impl<D: Directory> Store<D> {
    /// Opens the store of a directory, or creates one. The notes say what recovery repaired.
    ///
    /// # Errors
    /// Another process has it open, it is corrupt, or an operation of the file system failed.
    pub fn open(directory: D, options: Options) -> Result<(Store<D>, Vec<RecoveryNote>), StoreError> {
        let lock = directory.lock().map_err(|error| match error.kind() {
            io::ErrorKind::WouldBlock => StoreError::Locked,
            _ => StoreError::Io { what: "lock the folder", error },
        })?;
        let names = directory.list().map_err(io_error("list the folder"))?;
        for partial in names.iter().filter(|name| name.ends_with(PARTIAL_SUFFIX)) {
            // Of a compaction that was not finished.
            directory.remove(partial).map_err(io_error("remove a leftover"))?;
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

    /// The present state.
    pub fn view(&self) -> View {
        self.view.clone()
    }

    /// The generation in use.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    fn check_running(&self) -> Result<(), StoreError> {
        self.failed_operation.map_or(Ok(()), |operation| Err(StoreError::Stopped(operation)))
    }

    fn stop(&mut self, what: &'static str, error: io::Error) -> StoreError {
        self.failed_operation = Some(what);
        StoreError::Io { what, error }
    }

    /// Writes a batch and returns its number. It is durable after [`Store::sync`]; until then a crash may lose it as a whole.
    ///
    /// # Errors
    /// The batch is too long, the store has stopped, or the write failed, which stops it.
    pub fn write(&mut self, batch: Batch) -> Result<u64, StoreError> {
        self.check_running()?;
        let (seq, ops) = (self.view.seq + 1, batch.0);
        let mut bytes = Vec::new();
        frame::write(self.generation, FrameKind::Batch, seq, self.synced, &ops, &mut bytes)?;
        if let Err(error) = self.file.append(&bytes) {
            // A part of it may have been written, and the next batch would follow it.
            return Err(self.stop("write a batch", error));
        }
        self.batches_len += bytes.len() as u64;
        if let Some(backlog) = &mut self.backlog {
            backlog.batches.push(BatchSince { seq, ops: ops.clone() });
        }
        recovery::apply(&mut self.view.state, ops);
        self.view.seq = seq;
        Ok(seq)
    }

    /// Makes all batches so far durable. A failed sync is never retried: the system may have dropped what it could not write, and
    /// a second sync would succeed without it.
    ///
    /// # Errors
    /// The store has stopped, or the sync failed, which stops it.
    pub fn sync(&mut self) -> Result<(), StoreError> {
        self.check_running()?;
        self.file.sync().map_err(|error| self.stop("sync", error))?;
        self.synced = self.view.seq;
        Ok(())
    }
}
