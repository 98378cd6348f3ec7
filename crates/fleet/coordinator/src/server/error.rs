//! Errors of a coordinator's server.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use beechloft_replica::StateError;
use beechloft_store::StoreError;
use thiserror::Error;

use crate::store::OpenError;

/// Why a coordinator can't start, or stopped.
#[derive(Debug, Error)]
pub enum ServerError {
    /// The settings lack a key that a coordinator needs.
    #[error("fleet.{0}: missing, and a keeper needs it")]
    MissingSetting(&'static str),
    /// The listen address is none of the replicas' addresses.
    #[error("fleet.listen: {0} is none of fleet.keepers")]
    NotAReplica(SocketAddr),
    /// The store can't be opened.
    #[error("{folder}: {source}", folder = .folder.display())]
    Open {
        /// Its folder.
        folder: PathBuf,
        /// Why.
        source: OpenError,
    },
    /// A write failed. What the disk holds is unknown, so this replica must not go on.
    #[error("the disk failed, and this keeper stops for good: {0}")]
    Disk(#[from] StoreError),
    /// A snapshot can't be read.
    #[error(transparent)]
    State(#[from] StateError),
    /// A socket or a thread.
    #[error("{failure}: {source}")]
    Io {
        /// What failed.
        failure: &'static str,
        /// Why.
        source: io::Error,
    },
}

impl ServerError {
    /// For `map_err`: an I/O error with what failed.
    pub(super) fn io(failure: &'static str) -> impl FnOnce(io::Error) -> ServerError {
        move |source| ServerError::Io { failure, source }
    }
}
