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

/// Error for an invalid key, value or record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The length of the key is out of range.
    #[error("a key has 1 to {MAX_KEY_BYTES} bytes")]
    Key,
    /// The value is too long.
    #[error("a value has at most {MAX_VALUE_BYTES} bytes")]
    Value,
    /// The bytes are not a valid encoded record.
    #[error("not a valid record")]
    Record,
}

/// Key of 1 to [`MAX_KEY_BYTES`] bytes.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(Arc<[u8]>);

impl Key {
    /// Creates a key.
    ///
    /// # Errors
    /// Returns an error if there are no bytes or too many.
    pub fn new(bytes: &[u8]) -> Result<Key, RecordError> {
        if (1..=MAX_KEY_BYTES).contains(&bytes.len()) { Ok(Key(bytes.into())) } else { Err(RecordError::Key) }
    }

    /// Returns the bytes of the key.
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

/// Value of at most [`MAX_VALUE_BYTES`] bytes.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct Value(Arc<[u8]>);

impl Value {
    /// Creates a value.
    ///
    /// # Errors
    /// Returns an error if there are too many bytes.
    pub fn new(bytes: &[u8]) -> Result<Value, RecordError> {
        if bytes.len() <= MAX_VALUE_BYTES { Ok(Value(bytes.into())) } else { Err(RecordError::Value) }
    }

    /// Returns the bytes of the value.
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

/// Visitor that reads bytes up to a maximum length and converts them.
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

/// Record to be written: a key with its new value.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Key of the record.
    pub key: Key,
    /// New value, or `None` to delete the key with a tombstone.
    pub value: Option<Value>,
}
