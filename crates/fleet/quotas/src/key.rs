//! Keys of counters.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of a key, bytes.
pub const MAX_KEY_LEN: usize = 96;

/// The key of a counter: the name of a customer, a title or a media server. Longer names are shortened to their first characters
/// and a hash, so that any text has a key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Key(Arc<str>);

/// A received key that is too long.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a key has {MAX_KEY_LEN} bytes at most")]
pub struct KeyError;

impl Key {
    /// The key of a name.
    pub fn of(name: &str) -> Key {
        if name.len() <= MAX_KEY_LEN {
            return Key(name.into());
        }
        let hash = name
            .bytes()
            .fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
        let head: String = name.chars().take((MAX_KEY_LEN - 17) / 4).collect();
        Key(format!("{head}~{hash:016x}").into())
    }

    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
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
