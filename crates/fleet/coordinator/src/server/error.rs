//! Why a keeper can't start, or stopped.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use beechloft_replica::StateError;
use beechloft_store::StoreError;
use thiserror::Error;

use crate::store::OpenError;

/// Why a keeper can't start, or stopped.
#[derive(Debug, Error)]
pub enum ServerError {
    /// Its settings lack something that a keeper needs.
    #[error("fleet.{0}: missing, and a keeper needs it")]
    Missing(&'static str),
    /// It is no keeper.
    #[error("fleet.listen: {0} is none of fleet.keepers")]
    NoKeeper(SocketAddr),
    /// Its folder.
    #[error("{folder}: {error}", folder = .folder.display())]
    Open {
        /// Which.
        folder: PathBuf,
        /// Why.
        error: OpenError,
    },
    /// A save failed: what the disk holds is not known, so this member must not go on.
    #[error("the disk failed, and this keeper stops for good: {0}")]
    Disk(#[from] StoreError),
    /// A snapshot can't be read.
    #[error(transparent)]
    State(#[from] StateError),
    /// Sockets or threads.
    #[error("{0}: {1}")]
    Io(&'static str, io::Error),
}
