//! Why a generation can't be used, and what recovery did.

use std::fmt;

use thiserror::Error;

use crate::frame::{FrameError, HeaderError};

/// Why a generation can't be used.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum Corruption {
    /// Its header is invalid.
    #[error("head: {0}")]
    Header(#[from] HeaderError),
    /// The name of the file has the number of another generation.
    #[error("its name says generation {name}, its head says {head}")]
    Name {
        /// The number in the name.
        name: u64,
        /// The number in the header.
        head: u64,
    },
    /// Its first frame, the snapshot that the batches are based on, is invalid.
    #[error("offset {at}: the state that the generation begins with: {error}")]
    Snapshot {
        /// Offset of the frame.
        at: usize,
        /// What is wrong with it.
        error: FrameError,
    },
    /// A batch that had been synced is invalid.
    #[error("offset {at}: a batch after number {seq}: {error}; sound batches follow at offset {next}")]
    Batch {
        /// Offset of the frame.
        at: usize,
        /// The last valid batch before it.
        seq: u64,
        /// What is wrong with it.
        error: FrameError,
        /// Offset of the next valid frame.
        next: usize,
    },
    /// A valid frame has a wrong number.
    #[error("offset {at}: batch {found} after batch {seq}")]
    Order {
        /// Offset of the frame.
        at: usize,
        /// The batch before it.
        seq: u64,
        /// Its number.
        found: u64,
    },
}

/// Something that recovery found and repaired, for the operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecoveryNote {
    /// The last bytes of a generation were no complete batch and were truncated.
    TornTail {
        /// The generation.
        generation: u64,
        /// Offset of the first truncated byte.
        at: usize,
        /// Number of truncated bytes.
        bytes: usize,
    },
    /// A generation can't be used; the previous one is.
    FellBack {
        /// The generation that can't be used.
        generation: u64,
        /// Why.
        why: Corruption,
    },
}

impl fmt::Display for RecoveryNote {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecoveryNote::TornTail { generation, at, bytes } => {
                write!(
                    f,
                    "generation {generation}, offset {at}: {bytes} bytes of no whole batch were cut off"
                )
            }
            RecoveryNote::FellBack { generation, why } => {
                write!(f, "generation {generation} can't be used, the one before it is taken: {why}")
            }
        }
    }
}
