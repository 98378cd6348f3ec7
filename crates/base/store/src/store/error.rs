//! Errors of the store.

use std::io;

use thiserror::Error;

use crate::frame::FrameTooLong;
use crate::recovery::Corruption;

/// Why an operation of the store failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Another process has the store open.
    #[error("another process has this store open")]
    Locked,
    /// A file is corrupt, and what it held can't be restored without it.
    #[error("{file}: {corruption}")]
    Corrupt {
        /// The file.
        file: String,
        /// What is wrong with it.
        corruption: Corruption,
    },
    /// An operation of the file system failed.
    #[error("{what}: {error}")]
    Io {
        /// The operation.
        what: &'static str,
        /// Why it failed.
        #[source]
        error: io::Error,
    },
    /// An earlier write or sync failed: what the disk holds is not known, and no writes are accepted.
    #[error("stopped, as it could not {0}")]
    Stopped(&'static str),
    /// A batch or the whole state is longer than a frame may be.
    #[error(transparent)]
    TooLong(#[from] FrameTooLong),
    /// A compaction that was superseded by another.
    #[error("this compaction is out of date")]
    Stale,
}

/// An error of a file-system operation.
pub(super) fn io_error(what: &'static str) -> impl FnOnce(io::Error) -> StoreError {
    move |error| StoreError::Io { what, error }
}
