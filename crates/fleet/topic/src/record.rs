//! Keys, values and records, bounded in length.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Maximum bytes of a key.
pub const MAX_KEY_BYTES: usize = 256;
/// Maximum bytes of a value.
pub const MAX_VALUE_BYTES: usize = 64 << 10;

/// What is wrong with a key, a value or a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// A key's length.
    #[error("a key has 1 to {MAX_KEY_BYTES} bytes")]
    Key,
    /// A value's length.
    #[error("a value has at most {MAX_VALUE_BYTES} bytes")]
    Value,
    /// It is no record.
    #[error("not a record")]
    Record,
}

/// A key: 1 to 256 bytes.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(Arc<[u8]>);

impl Key {
    /// A key of bytes.
    ///
    /// # Errors
    /// None or too many.
    pub fn new(bytes: &[u8]) -> Result<Key, RecordError> {
        if (1..=MAX_KEY_BYTES).contains(&bytes.len()) { Ok(Key(bytes.into())) } else { Err(RecordError::Key) }
    }

    /// Its bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl Borrow<[u8]> for Key {
    fn borrow(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "\"{}\"", self.0.escape_ascii())
    }
}

impl Serialize for Key {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Key {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Key, D::Error> {
        from.deserialize_bytes(Bytes(MAX_KEY_BYTES, Key::new))
    }
}

/// A value: up to 64 KiB.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct Value(Arc<[u8]>);

impl Value {
    /// A value of bytes.
    ///
    /// # Errors
    /// Too many.
    pub fn new(bytes: &[u8]) -> Result<Value, RecordError> {
        if bytes.len() <= MAX_VALUE_BYTES { Ok(Value(bytes.into())) } else { Err(RecordError::Value) }
    }

    /// Its bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} bytes \"{}\"", self.0.len(), self.0[..self.0.len().min(24)].escape_ascii())
    }
}

impl Serialize for Value {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Value, D::Error> {
        from.deserialize_bytes(Bytes(MAX_VALUE_BYTES, Value::new))
    }
}

/// Reads bytes of a bounded length at once.
pub(crate) struct Bytes<T>(pub(crate) usize, pub(crate) fn(&[u8]) -> Result<T, RecordError>);

impl<'de, T> Visitor<'de> for Bytes<T> {
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at most {} bytes", self.0)
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<T, E> {
        (self.1)(bytes).map_err(E::custom)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut from: A) -> Result<T, A::Error> {
        let mut bytes = Vec::new();
        while let Some(byte) = from.next_element()? {
            if bytes.len() >= self.0 {
                return Err(A::Error::invalid_length(bytes.len() + 1, &self));
            }
            bytes.push(byte);
        }
        (self.1)(&bytes).map_err(A::Error::custom)
    }
}

/// What is to be written: a value of a key, or none, which deletes it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Of this key.
    pub key: Key,
    /// Its value from now on; none: it is deleted, and the message is a tombstone.
    pub value: Option<Value>,
}
