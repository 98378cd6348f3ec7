//! Errors of malformed frames.

use thiserror::Error;

/// The reason why a frame is malformed.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum WireError {
    /// The input ended inside a frame.
    #[error("input ended inside a frame: {received} bytes of {expected}")]
    Truncated {
        /// Number of bytes received.
        received: usize,
        /// Number of bytes expected.
        expected: usize,
    },
    /// The announced length can't hold the announced records.
    #[error("frame length {length} does not fit {records} records")]
    BadLength {
        /// Announced length in bytes.
        length: usize,
        /// Announced number of records.
        records: usize,
    },
    /// The code of a record is unknown.
    #[error("record {index} has the unknown event code {code}")]
    UnknownCode {
        /// Position of the record.
        index: usize,
        /// Code of the record.
        code: u16,
    },
    /// A record refers to bytes outside the tail.
    #[error("record {index} points outside the tail: offset {offset}, {length} bytes, tail of {tail}")]
    OutsideTail {
        /// Position of the record.
        index: usize,
        /// Offset in the tail.
        offset: usize,
        /// Number of bytes from the offset.
        length: usize,
        /// Size of the tail in bytes.
        tail: usize,
    },
    /// A field has a value without a meaning.
    #[error("record {index}: {field} has the unknown value {value}")]
    BadValue {
        /// Position of the record.
        index: usize,
        /// Name of the field.
        field: &'static str,
        /// Value of the field.
        value: u32,
    },
}
