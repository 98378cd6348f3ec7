//! Message and its encoding in segments and batches. Numbers are little-endian.
//!
//! | offset | bytes | content |
//! | --- | --- | --- |
//! | 0 | 2 | length of the key; the highest bit marks a tombstone |
//! | 2 | n | key |
//! | 2 + n | m | value |

use std::fmt;
use std::hash::{Hash, Hasher};
use std::ops::Range;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::messages::Offset;
use crate::record::{Bytes, Key, MAX_KEY_BYTES, MAX_VALUE_BYTES, Record, RecordError, Value};

const TOMBSTONE_BIT: u16 = 1 << 15;
/// Number of bytes before the key.
pub(crate) const BODY_HEADER_BYTES: usize = 2;
/// Maximum size of an encoded body.
pub(crate) const MAX_BODY_BYTES: usize = BODY_HEADER_BYTES + MAX_KEY_BYTES + MAX_VALUE_BYTES;

/// Splits an encoded body into key and value. Returns `None` if the bytes are not a valid body.
fn split(bytes: &[u8]) -> Option<(&[u8], Option<&[u8]>)> {
    let (head, rest) = bytes.split_first_chunk::<BODY_HEADER_BYTES>()?;
    let head = u16::from_le_bytes(*head);
    let (key, value) = rest.split_at_checked(usize::from(head & !TOMBSTONE_BIT))?;
    let is_tombstone = head & TOMBSTONE_BIT != 0;
    let max_value_bytes = if is_tombstone { 0 } else { MAX_VALUE_BYTES };
    let is_valid = (1..=MAX_KEY_BYTES).contains(&key.len()) && value.len() <= max_value_bytes;
    is_valid.then_some((key, (!is_tombstone).then_some(value)))
}

/// Key and value in encoded form. The bytes are shared with the segment that contains them, or stand alone.
#[derive(Clone)]
pub struct Body {
    buffer: Arc<[u8]>,
    start: u32,
    end: u32,
}

impl Body {
    /// Encodes a record.
    pub(crate) fn new(record: &Record) -> Body {
        let (key, value) = (record.key.bytes(), record.value.as_ref().map(Value::bytes));
        let mut bytes = Vec::with_capacity(BODY_HEADER_BYTES + key.len() + value.map_or(0, <[u8]>::len));
        let head = key.len() as u16 | if value.is_none() { TOMBSTONE_BIT } else { 0 };
        bytes.extend(head.to_le_bytes());
        bytes.extend(key);
        bytes.extend(value.unwrap_or_default());
        let end = bytes.len() as u32;
        Body { buffer: bytes.into(), start: 0, end }
    }

    /// Returns the body in a range of a segment, or `None` if the bytes are not a valid body.
    pub(crate) fn slice(buffer: &Arc<[u8]>, range: Range<usize>) -> Option<Body> {
        split(buffer.get(range.clone())?)?;
        Some(Body { buffer: buffer.clone(), start: range.start as u32, end: range.end as u32 })
    }

    /// Returns the encoded body.
    pub(crate) fn bytes(&self) -> &[u8] {
        self.buffer.get(self.start as usize..self.end as usize).unwrap_or_default()
    }

    /// Returns the size of key and value in bytes.
    pub fn size(&self) -> usize {
        self.bytes().len().saturating_sub(BODY_HEADER_BYTES)
    }

    /// Returns the key.
    pub fn key(&self) -> &[u8] {
        split(self.bytes()).map_or(&[], |(key, _)| key)
    }

    /// Returns the value, or `None` for a tombstone.
    pub fn value(&self) -> Option<&[u8]> {
        split(self.bytes()).and_then(|(_, value)| value)
    }

    /// Returns whether the message deletes its key.
    pub fn is_tombstone(&self) -> bool {
        self.value().is_none()
    }
}

impl PartialEq for Body {
    fn eq(&self, other: &Body) -> bool {
        self.bytes() == other.bytes()
    }
}

impl Eq for Body {}

impl Hash for Body {
    fn hash<H: Hasher>(&self, into: &mut H) {
        self.bytes().hash(into);
    }
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "\"{}\"", self.key().escape_ascii())?;
        match self.value() {
            None => write!(f, " deleted"),
            Some(value) => write!(f, " = \"{}\"", value[..value.len().min(24)].escape_ascii()),
        }
    }
}

impl Serialize for Body {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(self.bytes())
    }
}

impl<'de> Deserialize<'de> for Body {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Body, D::Error> {
        from.deserialize_bytes(Bytes(MAX_BODY_BYTES, |bytes| {
            let buffer: Arc<[u8]> = bytes.into();
            Body::slice(&buffer, 0..bytes.len()).ok_or(RecordError::Record)
        }))
    }
}

/// Message of a topic.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// Offset in the topic.
    pub offset: Offset,
    /// Key and value.
    pub body: Body,
}

impl Message {
    /// Returns the key.
    pub fn key(&self) -> &[u8] {
        self.body.key()
    }

    /// Returns the value, or `None` for a tombstone.
    pub fn value(&self) -> Option<&[u8]> {
        self.body.value()
    }
}

impl From<&Body> for Option<Key> {
    fn from(body: &Body) -> Option<Key> {
        Key::new(body.key()).ok()
    }
}

#[cfg(test)]
mod tests;
