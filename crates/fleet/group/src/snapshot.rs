//! The replicated state as a snapshot has it.

use beechloft_leases::TableError;
use thiserror::Error;

/// A snapshot that can't be read: this keeper must not go on.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StateError {
    /// Of the leases.
    #[error(transparent)]
    Leases(#[from] TableError),
}
