//! Corruption of a generation, and notes about the repairs that recovery made.

use std::fmt;

use thiserror::Error;

use crate::frame::{FrameError, HeaderError};

/// Corruption because of which a generation can't be used.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum Corruption {
    /// The header is invalid.
    #[error("invalid header: {0}")]
    Header(#[from] HeaderError),
    /// The file name contains the number of another generation than the header.
    #[error("file name is of generation {file_name}, header is of generation {header}")]
    GenerationMismatch {
        /// Number in the file name.
        file_name: u64,
        /// Number in the header.
        header: u64,
    },
    /// The snapshot, which is the first frame, is invalid.
    #[error("offset {offset}: invalid snapshot: {error}")]
    Snapshot {
        /// Offset of the frame, bytes.
        offset: usize,
        /// Error of decoding the frame.
        error: FrameError,
    },
    /// A batch that had been synced is invalid.
    #[error(
        "offset {offset}: invalid batch after batch {seq}: {error}; a valid batch follows at offset {next_offset}"
    )]
    Batch {
        /// Offset of the frame, bytes.
        offset: usize,
        /// Number of the last valid batch before the frame.
        seq: u64,
        /// Error of decoding the frame.
        error: FrameError,
        /// Offset of the next valid batch, bytes. Equals `offset` if the frame's checksum matches.
        next_offset: usize,
    },
    /// A valid frame is not the batch with the next number.
    #[error("offset {offset}: batch {found} after batch {seq}")]
    Order {
        /// Offset of the frame, bytes.
        offset: usize,
        /// Number of the batch before the frame.
        seq: u64,
        /// Number of the frame.
        found: u64,
    },
}

/// A repair that recovery made, to be reported to the operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecoveryNote {
    /// The bytes after the last complete batch of a generation were truncated.
    TornTail {
        /// Number of the generation.
        generation: u64,
        /// Offset of the first truncated byte.
        offset: usize,
        /// Number of truncated bytes.
        truncated_bytes: usize,
    },
    /// A generation can't be used, and recovery fell back to the previous one.
    GenerationSkipped {
        /// Number of the generation that can't be used.
        generation: u64,
        /// Corruption of that generation.
        corruption: Corruption,
    },
}

impl fmt::Display for RecoveryNote {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecoveryNote::TornTail { generation, offset, truncated_bytes } => {
                write!(
                    f,
                    "generation {generation}, offset {offset}: truncated {truncated_bytes} bytes of an incomplete batch"
                )
            }
            RecoveryNote::GenerationSkipped { generation, corruption } => {
                write!(
                    f,
                    "generation {generation} can't be used, fell back to the previous one: {corruption}"
                )
            }
        }
    }
}
