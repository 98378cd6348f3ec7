//! Errors of the coordinator's server.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use beechloft_replica::StateError;
use beechloft_store::StoreError;
use thiserror::Error;

use crate::store::OpenError;

/// Reason why a coordinator replica did not start, or stopped.
#[derive(Debug, Error)]
pub enum ServerError {
    /// The settings lack a key that a replica requires.
    #[error("fleet.{0}: missing, but required for a coordinator replica")]
    MissingSetting(&'static str),
    /// The listen address is not the address of a replica.
    #[error("fleet.listen: {0} is not listed in fleet.keepers")]
    NotAReplica(SocketAddr),
    /// The store can't be opened.
    #[error("{directory}: {source}", directory = .directory.display())]
    Open {
        /// The store's directory.
        directory: PathBuf,
        /// The cause.
        source: OpenError,
    },
    /// A write to the store failed. The content of the disk is unknown then, so this replica must not continue.
    #[error("write to the store failed, the coordinator replica stops: {0}")]
    Store(#[from] StoreError),
    /// A snapshot can't be decoded.
    #[error(transparent)]
    State(#[from] StateError),
    /// A socket or a thread can't be opened.
    #[error("{operation}: {source}")]
    Io {
        /// The operation that failed.
        operation: &'static str,
        /// The cause.
        source: io::Error,
    },
}

impl ServerError {
    /// Returns a function for `map_err` that adds the failed operation to an I/O error.
    pub(super) fn io(operation: &'static str) -> impl FnOnce(io::Error) -> ServerError {
        move |source| ServerError::Io { operation, source }
    }
}
