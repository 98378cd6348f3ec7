//! Compaction: the next generation is written beside the one in use.

use super::error::io_error;
use super::generation::{PARTIAL_SUFFIX, file_name, generation_of_file, partial_file_name, write_snapshot};
use super::{Store, StoreError, View};
use crate::directory::{AppendFile, Directory};
use crate::frame::{self, FrameKind, Op};

/// A compaction in progress. It is independent of the store, so that another thread can write the snapshot.
#[derive(Debug)]
pub struct Compaction {
    view: View,
    generation: u64,
    id: u64,
}

/// A generation that is written but not in use yet.
#[derive(Debug)]
pub struct WrittenGeneration<F: AppendFile> {
    file: F,
    generation: u64,
    compaction: u64,
    snapshot_len: u64,
}

/// A batch that was written since a compaction began.
#[derive(Debug)]
pub(super) struct BatchSince {
    pub seq: u64,
    pub ops: Vec<Op>,
}

/// Batches since a compaction began.
#[derive(Debug)]
pub(super) struct Backlog {
    compaction: u64,
    pub batches: Vec<BatchSince>,
}

impl Compaction {
    /// Writes the snapshot of the next generation. May take long.
    ///
    /// # Errors
    /// Errors of the file system, or the state is too long for a frame.
    pub fn write<D: Directory>(&self, directory: &D) -> Result<WrittenGeneration<D::File>, StoreError> {
        let snapshot = write_snapshot(directory, self.generation, self.id, &self.view)?;
        Ok(WrittenGeneration {
            file: snapshot.file,
            generation: self.generation,
            compaction: self.id,
            snapshot_len: snapshot.length as u64,
        })
    }
}

impl<D: Directory> Store<D> {
    /// Whether a compaction is worth its cost.
    pub fn wants_compaction(&self) -> bool {
        let is_idle = self.backlog.is_none() && self.failed_operation.is_none();
        let max_len = self.options.max_batches_ratio * self.snapshot_len as f64;
        is_idle && self.batches_len > self.options.min_batches_len && self.batches_len as f64 > max_len
    }

    /// Begins a compaction. Batches may be written in the meantime; a further compaction makes this one stale.
    ///
    /// # Errors
    /// The store has stopped.
    pub fn compaction(&mut self) -> Result<Compaction, StoreError> {
        self.check_running()?;
        let generation = self.generation + 1;
        self.compactions_begun += 1;
        self.backlog = Some(Backlog { compaction: self.compactions_begun, batches: Vec::new() });
        Ok(Compaction { view: self.view.clone(), generation, id: self.compactions_begun })
    }

    /// Ends a compaction: batches since its beginning are appended to the new generation, which is in use from now on. After a
    /// failure before that the present generation stays in use.
    ///
    /// # Errors
    /// The compaction is stale, the store has stopped, or an operation of the file system failed.
    pub fn finish(&mut self, written: WrittenGeneration<D::File>) -> Result<(), StoreError> {
        self.check_running()?;
        let WrittenGeneration { mut file, generation, compaction, snapshot_len } = written;
        let backlog =
            self.backlog.take_if(|backlog| backlog.compaction == compaction).ok_or(StoreError::Stale)?;
        let mut bytes = Vec::new();
        for BatchSince { seq, ops } in &backlog.batches {
            frame::write(generation, FrameKind::Batch, *seq, seq - 1, ops, &mut bytes)?;
        }
        if !bytes.is_empty() {
            file.append(&bytes).map_err(io_error("write a generation"))?;
            file.sync().map_err(io_error("sync a generation"))?;
        }
        self.directory
            .rename(&partial_file_name(generation, compaction), &file_name(generation))
            .map_err(io_error("name a generation"))?;
        // From here on it is not known which of the two generations a start would find.
        if let Err(error) = self.directory.sync() {
            return Err(self.stop("sync the folder", error));
        }
        let previous = std::mem::replace(&mut self.generation, generation);
        self.file = file;
        self.snapshot_len = snapshot_len;
        self.batches_len = bytes.len() as u64;
        self.synced = self.view.seq;
        self.remove_generations_before(previous)
    }

    /// The previous generation stays in case that the one in use is truncated. An older one that can't be removed costs space and
    /// does no harm.
    fn remove_generations_before(&self, previous: u64) -> Result<(), StoreError> {
        let names = self.directory.list().map_err(io_error("list the folder"))?;
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
    /// See [`Store::compaction`], [`Compaction::write`] and [`Store::finish`].
    pub fn compact(&mut self) -> Result<(), StoreError> {
        let written = self.compaction()?.write(&self.directory)?;
        self.finish(written)
    }
}
