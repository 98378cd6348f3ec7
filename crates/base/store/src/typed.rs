//! Typed tables: what a table holds, in which version, and how an older one is read.
//!
//! A value is a byte that names its version and a postcard encoding. A record's type knows its present version and reads
//! each older one; a later one is an error, never a guess. Keys are written so that their bytes sort as they do.

use std::collections::BTreeMap;

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::frame::Table;
use crate::store::{Batch, View};

/// Why an entry can't be read as what its table holds.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum TypedError {
    /// A later program wrote it.
    #[error("table {table:?}, key {key}: version {found}, and this program reads up to {known}")]
    Newer {
        /// Where.
        table: Table,
        /// Which, in hexadecimal.
        key: String,
        /// Its version.
        found: u8,
        /// The latest that is known.
        known: u8,
    },
    /// It makes no sense.
    #[error("table {table:?}, key {key}: {what}")]
    Malformed {
        /// Where.
        table: Table,
        /// Which, in hexadecimal.
        key: String,
        /// What does not.
        what: &'static str,
    },
}

/// A key whose bytes sort as it does.
pub trait Key: Sized + Ord {
    /// Its bytes.
    fn write(&self) -> Vec<u8>;
    /// The key of bytes, if they are one's.
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

/// What a table holds.
pub trait Record: Serialize + DeserializeOwned {
    /// Its keys.
    type Key: Key;
    /// The table; no other record has it.
    const TABLE: Table;
    /// The version that is written.
    const VERSION: u8;

    /// Reads an older version; none: there was no such one, or the bytes are none of it.
    fn upgrade(version: u8, bytes: &[u8]) -> Option<Self> {
        let _ = (version, bytes);
        None
    }
}

/// Reads a value of an older version's own type.
pub fn older<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().take(32).map(|b| format!("{b:02x}")).collect()
}

fn decode<R: Record>(key: &[u8], value: &[u8]) -> Result<R, TypedError> {
    let malformed = |what| TypedError::Malformed { table: R::TABLE, key: hexadecimal(key), what };
    let (version, bytes) = value.split_first().ok_or_else(|| malformed("no version"))?;
    match version.cmp(&R::VERSION) {
        std::cmp::Ordering::Equal => older(bytes).ok_or_else(|| malformed("its value makes no sense")),
        std::cmp::Ordering::Less => {
            R::upgrade(*version, bytes).ok_or_else(|| malformed("its older value makes no sense"))
        }
        std::cmp::Ordering::Greater => Err(TypedError::Newer {
            table: R::TABLE,
            key: hexadecimal(key),
            found: *version,
            known: R::VERSION,
        }),
    }
}

impl Batch {
    /// Puts a record; false: it can't be encoded, and the batch is as it was.
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
    pub fn record<R: Record>(&self, key: &R::Key) -> Result<Option<R>, TypedError> {
        let key = key.write();
        self.get(R::TABLE, &key).map(|value| decode(&key, &value)).transpose()
    }

    /// All records of a table that can be read, in order, and what is wrong with the others: one that is beyond reading
    /// must not keep the rest from being used.
    pub fn records<R: Record>(&self) -> (BTreeMap<R::Key, R>, Vec<TypedError>) {
        let (mut sound, mut faults) = (BTreeMap::new(), Vec::new());
        for (key, value) in self.table(R::TABLE) {
            let no_key = || TypedError::Malformed {
                table: R::TABLE,
                key: hexadecimal(key),
                what: "its key makes no sense",
            };
            match R::Key::read(key).ok_or_else(no_key).and_then(|k| Ok((k, decode(key, value)?))) {
                Ok((key, record)) => drop(sound.insert(key, record)),
                Err(fault) => faults.push(fault),
            }
        }
        (sound, faults)
    }
}
