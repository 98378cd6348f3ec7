//! Errors of the store.

use std::io;

use thiserror::Error;

use crate::frame::FrameTooLong;
use crate::recovery::Corruption;

/// Error of an operation of the store.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Another process has the store open.
    #[error("another process has this store open")]
    Locked,
    /// A file is corrupt, and its content can't be restored from the other files.
    #[error("{file}: {corruption}")]
    Corrupt {
        /// Name of the file.
        file: String,
        /// Kind and position of the corruption.
        corruption: Corruption,
    },
    /// An operation of the file system failed.
    #[error("failed to {operation}: {error}")]
    Io {
        /// Failed operation, as a verb phrase.
        operation: &'static str,
        /// Error of the file system.
        #[source]
        error: io::Error,
    },
    /// An earlier operation, named as a verb phrase, failed. The content of the disk is unknown since, and the store
    /// accepts no further writes.
    #[error("the store accepts no writes because it failed to {0}")]
    Stopped(&'static str),
    /// A batch or the snapshot of the state exceeds the maximum length of a frame.
    #[error(transparent)]
    TooLong(#[from] FrameTooLong),
    /// The compaction was superseded by a later one.
    #[error("the compaction was superseded by a later one")]
    Stale,
}

/// Returns a function that converts an I/O error of `operation`, a verb phrase, into a [`StoreError`].
pub(super) fn io_error(operation: &'static str) -> impl FnOnce(io::Error) -> StoreError {
    move |error| StoreError::Io { operation, error }
}
