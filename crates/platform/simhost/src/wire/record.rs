//! Reading the fields of one record.

use super::{Pressure, WireError};

/// Maximum number of values of a load report.
const MAX_LOAD_VALUES: u8 = 4;

/// Reads fields of one record; the record's size bounds every position used.
pub(super) struct Record<'a> {
    pub bytes: &'a [u8],
    pub tail: &'a [u8],
    pub index: usize,
}

impl Record<'_> {
    fn take<const N: usize>(&self, at: usize) -> [u8; N] {
        let mut out = [0; N];
        if let Some(found) = self.bytes.get(at..at + N) {
            out.copy_from_slice(found);
        }
        out
    }

    pub fn u8(&self, at: usize) -> u8 {
        self.take::<1>(at)[0]
    }

    pub fn u16(&self, at: usize) -> u16 {
        u16::from_le_bytes(self.take(at))
    }

    pub fn u32(&self, at: usize) -> u32 {
        u32::from_le_bytes(self.take(at))
    }

    pub fn u64(&self, at: usize) -> u64 {
        u64::from_le_bytes(self.take(at))
    }

    pub fn f32(&self, at: usize) -> f32 {
        f32::from_le_bytes(self.take(at))
    }

    /// A load report: a count, then so many values.
    pub fn pressure(&self, at: usize) -> Result<Pressure, WireError> {
        let count = self.u8(at);
        if count > MAX_LOAD_VALUES {
            return Err(WireError::BadValue {
                index: self.index,
                field: "number of load values",
                value: count.into(),
            });
        }
        Ok((0..usize::from(count)).map(|i| self.f32(at + 1 + 4 * i)).collect())
    }

    /// The part of the tail that an offset and a count of units name.
    pub fn blob(&self, at: usize, unit: usize) -> Result<&[u8], WireError> {
        let offset = self.u32(at) as usize;
        let len = (self.u32(at + 4) as usize).saturating_mul(unit);
        self.tail.get(offset..offset.saturating_add(len)).ok_or(WireError::OutsideTail {
            index: self.index,
            offset,
            len,
            tail: self.tail.len(),
        })
    }

    /// A value, if it is at most the highest that has a meaning.
    pub fn known(&self, field: &'static str, value: u8, max: u8) -> Result<u8, WireError> {
        if value > max {
            return Err(WireError::BadValue { index: self.index, field, value: value.into() });
        }
        Ok(value)
    }
}
