//! A message, and its bytes as segments and batches have them. Numbers are little-endian.
//!
//! | offset | bytes | what |
//! | --- | --- | --- |
//! | 0 | 2 | length of the key; the highest bit: a tombstone |
//! | 2 | n | the key |
//! | 2 + n | m | the value |

use std::fmt;
use std::hash::{Hash, Hasher};
use std::ops::Range;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::messages::Offset;
use crate::record::{Bytes, Key, MAX_KEY_BYTES, MAX_VALUE_BYTES, Record, RecordError, Value};

const TOMBSTONE: u16 = 1 << 15;
/// Bytes before the key.
pub(crate) const BODY_HEAD: usize = 2;
/// Bytes of a body at most.
pub(crate) const MAX_BODY_BYTES: usize = BODY_HEAD + MAX_KEY_BYTES + MAX_VALUE_BYTES;

/// Key and value of bytes that are a body; none: they are not.
fn split(bytes: &[u8]) -> Option<(&[u8], Option<&[u8]>)> {
    let (head, rest) = bytes.split_first_chunk::<BODY_HEAD>()?;
    let head = u16::from_le_bytes(*head);
    let (key, value) = rest.split_at_checked(usize::from(head & !TOMBSTONE))?;
    let tombstone = head & TOMBSTONE != 0;
    let most = if tombstone { 0 } else { MAX_VALUE_BYTES };
    let sound = (1..=MAX_KEY_BYTES).contains(&key.len()) && value.len() <= most;
    sound.then_some((key, (!tombstone).then_some(value)))
}

/// Key and value as bytes: a part of a segment that no cleaning changes, or on their own.
#[derive(Clone)]
pub struct Body {
    whole: Arc<[u8]>,
    from: u32,
    to: u32,
}

impl Body {
    /// The body of a record.
    pub(crate) fn of(record: &Record) -> Body {
        let (key, value) = (record.key.bytes(), record.value.as_ref().map(Value::bytes));
        let mut bytes = Vec::with_capacity(BODY_HEAD + key.len() + value.map_or(0, <[u8]>::len));
        let head = key.len() as u16 | if value.is_none() { TOMBSTONE } else { 0 };
        bytes.extend(head.to_le_bytes());
        bytes.extend(key);
        bytes.extend(value.unwrap_or_default());
        let to = bytes.len() as u32;
        Body { whole: bytes.into(), from: 0, to }
    }

    /// A part of a segment; none: it is no body.
    pub(crate) fn part(whole: &Arc<[u8]>, at: Range<usize>) -> Option<Body> {
        split(whole.get(at.clone())?)?;
        Some(Body { whole: whole.clone(), from: at.start as u32, to: at.end as u32 })
    }

    /// Its bytes.
    pub(crate) fn bytes(&self) -> &[u8] {
        self.whole.get(self.from as usize..self.to as usize).unwrap_or_default()
    }

    /// Bytes of key and value.
    pub fn size(&self) -> usize {
        self.bytes().len().saturating_sub(BODY_HEAD)
    }

    /// Its key.
    pub fn key(&self) -> &[u8] {
        split(self.bytes()).map_or(&[], |(key, _)| key)
    }

    /// Its value; none: a tombstone.
    pub fn value(&self) -> Option<&[u8]> {
        split(self.bytes()).and_then(|(_, value)| value)
    }

    /// Whether it deletes its key.
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
            let whole: Arc<[u8]> = bytes.into();
            Body::part(&whole, 0..bytes.len()).ok_or(RecordError::Record)
        }))
    }
}

/// A message of a topic.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// Its place.
    pub offset: Offset,
    /// Its key and value.
    pub body: Body,
}

impl Message {
    /// Its key.
    pub fn key(&self) -> &[u8] {
        self.body.key()
    }

    /// Its value; none: it deletes its key.
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
