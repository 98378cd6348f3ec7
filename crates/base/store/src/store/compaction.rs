//! Compaction: writes the next generation while batches are still appended to the current one.

use super::error::io_error;
use super::generation::{PARTIAL_SUFFIX, file_name, generation_of_file, partial_file_name, write_snapshot};
use super::{Store, StoreError, View};
use crate::directory::{AppendFile, Directory};
use crate::frame::{self, FrameKind, Op};

/// A compaction in progress. It does not borrow the store, so that another thread can write the snapshot.
#[derive(Debug)]
pub struct Compaction {
    view: View,
    generation: u64,
    id: u64,
}

/// A generation whose snapshot is written, to be passed to [`Store::finish_compaction`].
#[derive(Debug)]
pub struct WrittenGeneration<F: AppendFile> {
    file: F,
    generation: u64,
    compaction: u64,
    snapshot_len: u64,
}

/// A batch that was written after a compaction began.
#[derive(Debug)]
pub(super) struct BacklogBatch {
    pub seq: u64,
    pub ops: Vec<Op>,
}

/// Batches that were written after a compaction began and that the new generation lacks.
#[derive(Debug)]
pub(super) struct Backlog {
    compaction: u64,
    pub batches: Vec<BacklogBatch>,
}

impl Compaction {
    /// Writes the snapshot of the next generation. The duration grows with the size of the state.
    ///
    /// # Errors
    /// Returns an error if an operation of the file system failed or the state exceeds the maximum length of a frame.
    pub fn write<D: Directory>(&self, directory: &D) -> Result<WrittenGeneration<D::File>, StoreError> {
        let snapshot = write_snapshot(directory, self.generation, self.id, &self.view)?;
        Ok(WrittenGeneration {
            file: snapshot.file,
            generation: self.generation,
            compaction: self.id,
            snapshot_len: snapshot.len as u64,
        })
    }
}

impl<D: Directory> Store<D> {
    /// Returns whether a compaction is due by the store's [`Options`](super::Options) and none is in progress.
    pub fn is_compaction_due(&self) -> bool {
        let is_idle = self.backlog.is_none() && self.failed_operation.is_none();
        let max_len = self.options.max_batches_ratio * self.snapshot_len as f64;
        is_idle && self.batches_len > self.options.min_batches_len && self.batches_len as f64 > max_len
    }

    /// Begins a compaction. Batches may be written while it is in progress. A later compaction supersedes it.
    ///
    /// # Errors
    /// Returns an error if an earlier write or sync failed.
    pub fn begin_compaction(&mut self) -> Result<Compaction, StoreError> {
        self.check_running()?;
        let generation = self.generation + 1;
        self.compactions_begun += 1;
        self.backlog = Some(Backlog { compaction: self.compactions_begun, batches: Vec::new() });
        Ok(Compaction { view: self.view.clone(), generation, id: self.compactions_begun })
    }

    /// Finishes a compaction: appends the batches since its beginning to the new generation and switches to that generation. If
    /// an operation before the switch fails, the current generation stays in use.
    ///
    /// # Errors
    /// Returns an error if a later compaction began, an earlier write or sync failed, or an operation of the file system failed.
    pub fn finish_compaction(&mut self, written: WrittenGeneration<D::File>) -> Result<(), StoreError> {
        self.check_running()?;
        let WrittenGeneration { mut file, generation, compaction, snapshot_len } = written;
        let backlog =
            self.backlog.take_if(|backlog| backlog.compaction == compaction).ok_or(StoreError::Stale)?;
        let mut bytes = Vec::new();
        for BacklogBatch { seq, ops } in &backlog.batches {
            frame::encode(generation, FrameKind::Batch, *seq, seq - 1, ops, &mut bytes)?;
        }
        if !bytes.is_empty() {
            file.append(&bytes).map_err(io_error("write a generation"))?;
            file.sync().map_err(io_error("sync a generation"))?;
        }
        self.directory
            .rename(&partial_file_name(generation, compaction), &file_name(generation))
            .map_err(io_error("rename a generation"))?;
        // If the sync fails, it is unknown whether the next start would find the new generation.
        if let Err(error) = self.directory.sync() {
            return Err(self.stop("sync the directory", error));
        }
        let previous = std::mem::replace(&mut self.generation, generation);
        self.file = file;
        self.snapshot_len = snapshot_len;
        self.batches_len = bytes.len() as u64;
        self.synced = self.view.seq;
        self.remove_generations_before(previous)
    }

    /// Removes the generations before `previous` and partial generations. The previous generation is retained because recovery
    /// falls back to it if the current one is truncated. A failed removal is ignored, because the file only takes space.
    fn remove_generations_before(&self, previous: u64) -> Result<(), StoreError> {
        let names = self.directory.list().map_err(io_error("list the directory"))?;
        let is_obsolete = |name: &&String| {
            let is_old = generation_of_file(name).is_some_and(|generation| generation < previous);
            is_old || name.ends_with(PARTIAL_SUFFIX)
        };
        for obsolete in names.iter().filter(is_obsolete) {
            let _ = self.directory.remove(obsolete);
        }
        Ok(())
    }

    /// Performs a compaction in one step.
    ///
    /// # Errors
    /// See [`Store::begin_compaction`], [`Compaction::write`] and [`Store::finish_compaction`].
    pub fn compact(&mut self) -> Result<(), StoreError> {
        let written = self.begin_compaction()?.write(&self.directory)?;
        self.finish_compaction(written)
    }
}
