//! Keys of counters.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of a key, bytes.
pub const MAX_KEY_LEN: usize = 96;

/// The key of a counter: for example the name of a customer, a title or a media server.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Key(Arc<str>);

/// Length of the separator and the hash of a shortened name, bytes.
const HASH_SUFFIX_LEN: usize = 17;

/// A decoded key is too long.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("key is longer than {MAX_KEY_LEN} bytes")]
pub struct KeyError;

impl Key {
    /// Returns the key of a name. A name that is too long is shortened to its first characters and a hash.
    pub fn of(name: &str) -> Key {
        if name.len() <= MAX_KEY_LEN {
            return Key(name.into());
        }
        // Four bytes are the longest encoding of a character.
        let prefix: String = name.chars().take((MAX_KEY_LEN - HASH_SUFFIX_LEN) / 4).collect();
        Key(format!("{prefix}~{:016x}", fnv1a(name)).into())
    }

    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Returns the 64-bit FNV-1a hash of a text.
fn fnv1a(text: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    text.bytes().fold(0xcbf2_9ce4_8422_2325, step)
}

impl Default for Key {
    fn default() -> Key {
        Key("".into())
    }
}

impl TryFrom<String> for Key {
    type Error = KeyError;

    fn try_from(text: String) -> Result<Key, KeyError> {
        if text.len() <= MAX_KEY_LEN { Ok(Key(text.into())) } else { Err(KeyError) }
    }
}

impl From<Key> for String {
    fn from(key: Key) -> String {
        (*key.0).to_owned()
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
