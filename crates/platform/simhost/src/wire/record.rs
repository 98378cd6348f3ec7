//! Reading the fields of one record.

use super::{LoadValues, WireError};

/// Maximum number of values of a load report.
const MAX_LOAD_VALUES: u8 = 4;

/// Size of a value of a load report in bytes.
const LOAD_VALUE_SIZE: usize = 4;

/// A record, whose fields are read by their offsets in bytes. Numbers are little-endian.
pub(super) struct Record<'a> {
    /// Bytes of the record. Fields outside them read as zero.
    pub bytes: &'a [u8],
    /// Part of the frame after all records, to which fields of variable length refer.
    pub tail: &'a [u8],
    /// Position of the record in the frame, for errors.
    pub index: usize,
}

impl Record<'_> {
    /// Returns the bytes at an offset.
    fn bytes_at<const N: usize>(&self, offset: usize) -> [u8; N] {
        let mut out = [0; N];
        if let Some(found) = self.bytes.get(offset..offset + N) {
            out.copy_from_slice(found);
        }
        out
    }

    pub fn u8(&self, offset: usize) -> u8 {
        self.bytes_at::<1>(offset)[0]
    }

    pub fn u16(&self, offset: usize) -> u16 {
        u16::from_le_bytes(self.bytes_at(offset))
    }

    pub fn u32(&self, offset: usize) -> u32 {
        u32::from_le_bytes(self.bytes_at(offset))
    }

    pub fn u64(&self, offset: usize) -> u64 {
        u64::from_le_bytes(self.bytes_at(offset))
    }

    pub fn f32(&self, offset: usize) -> f32 {
        f32::from_le_bytes(self.bytes_at(offset))
    }

    /// Reads a load report, which is a count followed by as many values.
    pub fn load_values(&self, offset: usize) -> Result<LoadValues, WireError> {
        let count = self.u8(offset);
        if count > MAX_LOAD_VALUES {
            return Err(WireError::BadValue {
                index: self.index,
                field: "number of load values",
                value: count.into(),
            });
        }
        let first = offset + 1;
        Ok((0..usize::from(count)).map(|value| self.f32(first + LOAD_VALUE_SIZE * value)).collect())
    }

    /// Returns the part of the tail to which a field refers by its own offset and a count of units of
    /// `unit_size` bytes.
    pub fn tail_part(&self, offset: usize, unit_size: usize) -> Result<&[u8], WireError> {
        let start = self.u32(offset) as usize;
        let length = (self.u32(offset + 4) as usize).saturating_mul(unit_size);
        self.tail.get(start..start.saturating_add(length)).ok_or(WireError::OutsideTail {
            index: self.index,
            offset: start,
            length,
            tail: self.tail.len(),
        })
    }

    /// Returns a value of an enumerated field.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is above the highest one that has a meaning.
    pub fn check_value(&self, field: &'static str, value: u8, max: u8) -> Result<u8, WireError> {
        if value > max {
            return Err(WireError::BadValue { index: self.index, field, value: value.into() });
        }
        Ok(value)
    }
}
