//! Growable bit set with one bit for each record of a segment.

use serde::{Deserialize, Serialize};

/// Bit set in 64-bit words. The bits after the last one are zero.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub(crate) struct BitSet {
    words: Vec<u64>,
    len: u32,
}

impl BitSet {
    pub(crate) fn len(&self) -> usize {
        self.len as usize
    }

    pub(crate) fn push(&mut self, bit: bool) {
        let index = self.len as usize;
        if index.is_multiple_of(64) {
            self.words.push(0);
        }
        if let Some(word) = self.words.last_mut() {
            *word |= u64::from(bit) << (index % 64);
        }
        self.len += 1;
    }

    pub(crate) fn get(&self, index: usize) -> bool {
        index < self.len() && self.words.get(index / 64).is_some_and(|w| w >> (index % 64) & 1 == 1)
    }

    /// Clears a bit. Returns whether it was set.
    pub(crate) fn clear(&mut self, index: usize) -> bool {
        let was_set = self.get(index);
        if let Some(word) = self.words.get_mut(index / 64).filter(|_| was_set) {
            *word &= !(1 << (index % 64));
        }
        was_set
    }

    /// Returns the index of the first set bit at or after `from`.
    pub(crate) fn next_set(&self, from: usize) -> Option<usize> {
        let mut index = from / 64;
        let mut word = self.words.get(index)? & (u64::MAX << (from % 64));
        while word == 0 {
            index += 1;
            word = *self.words.get(index)?;
        }
        let found = index * 64 + word.trailing_zeros() as usize;
        (found < self.len()).then_some(found)
    }

    pub(crate) fn count_ones(&self) -> usize {
        self.words.iter().map(|w| w.count_ones() as usize).sum()
    }

    /// Returns whether the number of words fits the length and no bit is set after the last one.
    pub(crate) fn is_valid(&self) -> bool {
        let used_bits = self.len() % 64;
        let has_all_words = self.words.len() == self.len().div_ceil(64);
        has_all_words && (used_bits == 0 || self.words.last().is_none_or(|w| w >> used_bits == 0))
    }
}

#[cfg(test)]
mod tests;
