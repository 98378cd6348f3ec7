//! Typed tables of versioned records.
//!
//! An encoded value is one byte with the version, followed by the record in postcard. A record type has a current version and
//! upgrades values of older versions. A later version is an error. Encoded keys sort in the order of the keys.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::frame::Table;
use crate::store::{Batch, View};

/// Maximum number of a key's bytes that an error shows.
const MAX_DISPLAYED_KEY_BYTES: usize = 32;

/// Error of decoding an entry as a record of its table.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum TypedError {
    /// A later program version wrote the entry.
    #[error("{table:?}, key {key}: unsupported version {found}; the latest supported version is {latest}")]
    UnsupportedVersion {
        /// Table of the entry.
        table: Table,
        /// Key of the entry, in hexadecimal.
        key: String,
        /// Version of the entry.
        found: u8,
        /// Latest version that this program supports.
        latest: u8,
    },
    /// The key or the value can't be decoded.
    #[error("{table:?}, key {key}: {reason}")]
    Malformed {
        /// Table of the entry.
        table: Table,
        /// Key of the entry, in hexadecimal.
        key: String,
        /// Part of the entry that can't be decoded.
        reason: &'static str,
    },
}

/// A key with an encoding that preserves its order.
pub trait Key: Sized + Ord {
    /// Encodes the key.
    fn encode(&self) -> Vec<u8>;
    /// Decodes a key. Returns `None` if the bytes are not an encoded key.
    fn decode(bytes: &[u8]) -> Option<Self>;
}

impl Key for u64 {
    fn encode(&self) -> Vec<u8> {
        self.to_be_bytes().to_vec()
    }

    fn decode(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(u64::from_be_bytes)
    }
}

impl Key for String {
    fn encode(&self) -> Vec<u8> {
        self.as_bytes().to_vec()
    }

    fn decode(bytes: &[u8]) -> Option<Self> {
        String::from_utf8(bytes.to_vec()).ok()
    }
}

/// The type of a table's records.
pub trait Record: Serialize + DeserializeOwned {
    /// Type of the keys.
    type Key: Key;
    /// Number of the table. Each record type has a table of its own.
    const TABLE: Table;
    /// Current version of the encoding.
    const VERSION: u8;

    /// Decodes a value of an older version. Returns `None` if there is no such version or the bytes are invalid.
    fn upgrade(version: u8, bytes: &[u8]) -> Option<Self> {
        let _ = (version, bytes);
        None
    }
}

/// Decodes a value without its version byte, for use in [`Record::upgrade`]. Returns `None` if the bytes are invalid.
pub fn decode_value<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}

/// Formats at most [`MAX_DISPLAYED_KEY_BYTES`] bytes of a key as hexadecimal digits.
fn hex_key(bytes: &[u8]) -> String {
    bytes.iter().take(MAX_DISPLAYED_KEY_BYTES).map(|byte| format!("{byte:02x}")).collect()
}

fn decode<R: Record>(key: &[u8], value: &[u8]) -> Result<R, TypedError> {
    let malformed = |reason| TypedError::Malformed { table: R::TABLE, key: hex_key(key), reason };
    let (version, bytes) = value.split_first().ok_or_else(|| malformed("missing version"))?;
    match version.cmp(&R::VERSION) {
        Ordering::Equal => decode_value(bytes).ok_or_else(|| malformed("invalid value")),
        Ordering::Less => {
            R::upgrade(*version, bytes).ok_or_else(|| malformed("invalid value of an older version"))
        }
        Ordering::Greater => Err(TypedError::UnsupportedVersion {
            table: R::TABLE,
            key: hex_key(key),
            found: *version,
            latest: R::VERSION,
        }),
    }
}

impl Batch {
    /// Adds a change that sets a record. Returns `false`, with the batch unchanged, if the record can't be encoded.
    pub fn put_record<R: Record>(&mut self, key: &R::Key, record: &R) -> bool {
        let Ok(encoded) = postcard::to_allocvec(record) else { return false };
        let mut value = vec![R::VERSION];
        value.extend(encoded);
        self.put(R::TABLE, key.encode(), value);
        true
    }

    /// Adds a change that removes a record.
    pub fn remove_record<R: Record>(&mut self, key: &R::Key) -> &mut Self {
        self.remove(R::TABLE, key.encode())
    }
}

impl View {
    /// Returns the record of a key, or `None` if the table has no such key.
    ///
    /// # Errors
    /// Returns an error if the value can't be decoded.
    pub fn record<R: Record>(&self, key: &R::Key) -> Result<Option<R>, TypedError> {
        let key = key.encode();
        self.get(R::TABLE, &key).map(|value| decode(&key, &value)).transpose()
    }

    /// Returns all valid records of a table and the errors of the invalid entries, so that an invalid entry does not prevent the
    /// use of the others.
    pub fn records<R: Record>(&self) -> (BTreeMap<R::Key, R>, Vec<TypedError>) {
        let (mut records, mut errors) = (BTreeMap::new(), Vec::new());
        for (key, value) in self.table(R::TABLE) {
            let invalid_key =
                || TypedError::Malformed { table: R::TABLE, key: hex_key(key), reason: "invalid key" };
            let entry = R::Key::decode(key)
                .ok_or_else(invalid_key)
                .and_then(|typed| Ok((typed, decode(key, value)?)));
            match entry {
                Ok((typed, record)) => drop(records.insert(typed, record)),
                Err(error) => errors.push(error),
            }
        }
        (records, errors)
    }
}
