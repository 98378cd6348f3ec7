//! Typed tables: records with versions.
//!
//! A value is a byte with its version, followed by a postcard encoding. A record's type has a current version and upgrades older
//! ones; a later version is an error. Keys are encoded so that their bytes sort as the keys do.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::frame::Table;
use crate::store::{Batch, View};

/// Maximum number of a key's bytes in an error.
const MAX_SHOWN_BYTES: usize = 32;

/// Why an entry can't be decoded as a record of its table.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum TypedError {
    /// A later program wrote it.
    #[error("table {table:?}, key {key}: version {found}, and this program reads up to {known}")]
    Newer {
        /// The table.
        table: Table,
        /// The key, in hexadecimal.
        key: String,
        /// Its version.
        found: u8,
        /// The latest known version.
        known: u8,
    },
    /// The key or the value can't be decoded.
    #[error("table {table:?}, key {key}: {what}")]
    Malformed {
        /// Where.
        table: Table,
        /// Which, in hexadecimal.
        key: String,
        /// What can't be decoded.
        what: &'static str,
    },
}

/// A key with an encoding that preserves its order.
pub trait Key: Sized + Ord {
    /// Encodes the key.
    fn write(&self) -> Vec<u8>;
    /// Decodes a key.
    fn read(bytes: &[u8]) -> Option<Self>;
}

impl Key for u64 {
    fn write(&self) -> Vec<u8> {
        self.to_be_bytes().to_vec()
    }

    fn read(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(u64::from_be_bytes)
    }
}

impl Key for String {
    fn write(&self) -> Vec<u8> {
        self.as_bytes().to_vec()
    }

    fn read(bytes: &[u8]) -> Option<Self> {
        String::from_utf8(bytes.to_vec()).ok()
    }
}

/// The type of a table's values.
pub trait Record: Serialize + DeserializeOwned {
    /// The type of the keys.
    type Key: Key;
    /// The table, which no other record type has.
    const TABLE: Table;
    /// The current version.
    const VERSION: u8;

    /// Decodes an older version; `None`, if there is no such version or the bytes are invalid.
    fn upgrade(version: u8, bytes: &[u8]) -> Option<Self> {
        let _ = (version, bytes);
        None
    }
}

/// Decodes a value without its version byte, for use in [`Record::upgrade`].
pub fn decode_value<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}

/// Hexadecimal digits of at most [`MAX_SHOWN_BYTES`] bytes.
fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().take(MAX_SHOWN_BYTES).map(|b| format!("{b:02x}")).collect()
}

fn decode<R: Record>(key: &[u8], value: &[u8]) -> Result<R, TypedError> {
    let malformed = |what| TypedError::Malformed { table: R::TABLE, key: hexadecimal(key), what };
    let (version, bytes) = value.split_first().ok_or_else(|| malformed("no version"))?;
    match version.cmp(&R::VERSION) {
        Ordering::Equal => decode_value(bytes).ok_or_else(|| malformed("its value makes no sense")),
        Ordering::Less => {
            R::upgrade(*version, bytes).ok_or_else(|| malformed("its older value makes no sense"))
        }
        Ordering::Greater => Err(TypedError::Newer {
            table: R::TABLE,
            key: hexadecimal(key),
            found: *version,
            known: R::VERSION,
        }),
    }
}

impl Batch {
    /// Puts a record. Returns `false`, with the batch unchanged, if the record can't be encoded.
    pub fn put_record<R: Record>(&mut self, key: &R::Key, record: &R) -> bool {
        let Ok(encoded) = postcard::to_allocvec(record) else { return false };
        let mut value = vec![R::VERSION];
        value.extend(encoded);
        self.put(R::TABLE, key.write(), value);
        true
    }

    /// Removes a record.
    pub fn remove_record<R: Record>(&mut self, key: &R::Key) -> &mut Self {
        self.remove(R::TABLE, key.write())
    }
}

impl View {
    /// A record.
    ///
    /// # Errors
    /// The value can't be decoded.
    pub fn record<R: Record>(&self, key: &R::Key) -> Result<Option<R>, TypedError> {
        let key = key.write();
        self.get(R::TABLE, &key).map(|value| decode(&key, &value)).transpose()
    }

    /// All records of a table that can be decoded, and the errors of the others, so that an invalid entry does not prevent the
    /// use of the rest.
    pub fn records<R: Record>(&self) -> (BTreeMap<R::Key, R>, Vec<TypedError>) {
        let (mut records, mut errors) = (BTreeMap::new(), Vec::new());
        for (key, value) in self.table(R::TABLE) {
            let invalid_key = || TypedError::Malformed {
                table: R::TABLE,
                key: hexadecimal(key),
                what: "its key makes no sense",
            };
            let entry =
                R::Key::read(key).ok_or_else(invalid_key).and_then(|typed| Ok((typed, decode(key, value)?)));
            match entry {
                Ok((typed, record)) => drop(records.insert(typed, record)),
                Err(error) => errors.push(error),
            }
        }
        (records, errors)
    }
}
