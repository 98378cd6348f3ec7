//! A bit for each record of a segment.

use serde::{Deserialize, Serialize};

/// BitSet, by place.
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
        let at = self.len as usize;
        if at.is_multiple_of(64) {
            self.words.push(0);
        }
        if let Some(word) = self.words.last_mut() {
            *word |= u64::from(bit) << (at % 64);
        }
        self.len += 1;
    }

    pub(crate) fn get(&self, at: usize) -> bool {
        at < self.len() && self.words.get(at / 64).is_some_and(|w| w >> (at % 64) & 1 == 1)
    }

    /// Takes a bit out; whether it was there.
    pub(crate) fn clear(&mut self, at: usize) -> bool {
        let was = self.get(at);
        if let Some(word) = self.words.get_mut(at / 64).filter(|_| was) {
            *word &= !(1 << (at % 64));
        }
        was
    }

    /// The first bit that is set at a place or behind it.
    pub(crate) fn next(&self, from: usize) -> Option<usize> {
        let mut at = from / 64;
        let mut word = self.words.get(at)? & (u64::MAX << (from % 64));
        while word == 0 {
            at += 1;
            word = *self.words.get(at)?;
        }
        let found = at * 64 + word.trailing_zeros() as usize;
        (found < self.len()).then_some(found)
    }

    pub(crate) fn ones(&self) -> usize {
        self.words.iter().map(|w| w.count_ones() as usize).sum()
    }

    /// Whether there is a word for every bit and no bit behind the last one.
    pub(crate) fn is_valid(&self) -> bool {
        let used = self.len() % 64;
        let words = self.words.len() == self.len().div_ceil(64);
        words && (used == 0 || self.words.last().is_none_or(|w| w >> used == 0))
    }
}

#[cfg(test)]
mod tests;
