//! What can be wrong with a frame.

use thiserror::Error;

/// What is wrong with a frame.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum WireError {
    /// The input ended inside a frame.
    #[error("input ended inside a frame: {got} bytes of {want}")]
    Truncated {
        /// Bytes there.
        got: usize,
        /// Bytes announced.
        want: usize,
    },
    /// The stated length can't hold the stated records.
    #[error("frame length {len} does not fit {records} records")]
    BadLength {
        /// Stated length.
        len: usize,
        /// Stated records.
        records: usize,
    },
    /// A record's code is not known.
    #[error("record {index} has the unknown event code {code}")]
    UnknownCode {
        /// Position of the record.
        index: usize,
        /// Its code.
        code: u16,
    },
    /// A record points outside the tail.
    #[error("record {index} points outside the tail: offset {offset}, {len} bytes, tail of {tail}")]
    OutsideTail {
        /// Position of the record.
        index: usize,
        /// Stated offset.
        offset: usize,
        /// Bytes meant.
        len: usize,
        /// Size of the tail.
        tail: usize,
    },
    /// A field holds a value that has no meaning.
    #[error("record {index}: {field} has the unknown value {value}")]
    BadValue {
        /// Position of the record.
        index: usize,
        /// Which field.
        field: &'static str,
        /// Its value.
        value: u32,
    },
}
