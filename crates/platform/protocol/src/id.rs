//! The name of a session.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// The name of a session: 16 hex digits, or 8 bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Not 16 hex digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("not 16 hex digits")]
pub struct NotHex;

/// Reads a number of 16 hex digits, no sign and nothing shorter.
pub fn hex64(text: &str) -> Result<u64, NotHex> {
    if text.len() != 16 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(NotHex);
    }
    u64::from_str_radix(text, 16).map_err(|_| NotHex)
}

impl FromStr for CallId {
    type Err = NotHex;
    fn from_str(text: &str) -> Result<Self, NotHex> {
        hex64(text).map(CallId)
    }
}

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
