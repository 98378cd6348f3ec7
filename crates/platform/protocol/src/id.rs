//! Session identifiers and their hexadecimal form.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// Number of hexadecimal digits of a 64-bit number.
const HEX64_DIGITS: usize = 16;

/// Identifier of a session. It has 8 bytes in the binary framing and 16 hexadecimal digits in JSON.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Error for text that is not 16 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("not 16 hexadecimal digits")]
pub struct ParseHexError;

/// Parses a number that is written as exactly 16 hexadecimal digits without a sign.
///
/// # Errors
///
/// Returns [`ParseHexError`] for any other text.
pub fn parse_hex64(text: &str) -> Result<u64, ParseHexError> {
    if text.len() != HEX64_DIGITS || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(ParseHexError);
    }
    u64::from_str_radix(text, 16).map_err(|_| ParseHexError)
}

impl FromStr for CallId {
    type Err = ParseHexError;

    fn from_str(text: &str) -> Result<Self, ParseHexError> {
        parse_hex64(text).map(CallId)
    }
}

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
