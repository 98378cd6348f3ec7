//! What comes of a trunk's calls.

use std::collections::BTreeMap;
use std::io;

use hdrhistogram::Histogram;

/// What came of it.
#[derive(Debug, Clone)]
pub struct Tally {
    /// Calls that callers wanted to make.
    pub wanted: u64,
    /// Kept back by the trunk itself, at the front's word.
    pub kept_back: u64,
    /// Answered 200 in the callers' time.
    pub accepted: u64,
    /// Turned away, by status.
    pub refused: BTreeMap<u16, u64>,
    /// Taken, and without an answer in the callers' time.
    pub timed_out: u64,
    /// Never taken: not even a provisional answer came.
    pub not_taken: u64,
    /// Calls that had two different final answers.
    pub twice: u64,
    /// INVITEs sent again.
    pub repeated: u64,
    /// The least and the most of a front's wish to be spared, percent.
    pub spared: Option<(u8, u8)>,
    /// Times to the first final answer of accepted calls, microseconds.
    pub accepted_us: Histogram<u64>,
    /// The same of calls that were turned away.
    pub refused_us: Histogram<u64>,
}

impl Tally {
    pub(super) fn new() -> io::Result<Tally> {
        let times = || Histogram::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other);
        Ok(Tally {
            wanted: 0,
            kept_back: 0,
            accepted: 0,
            refused: BTreeMap::new(),
            timed_out: 0,
            not_taken: 0,
            twice: 0,
            repeated: 0,
            spared: None,
            accepted_us: times()?,
            refused_us: times()?,
        })
    }

    /// Both together.
    pub fn with(mut self, other: &Tally) -> Tally {
        self.wanted += other.wanted;
        self.kept_back += other.kept_back;
        self.accepted += other.accepted;
        for (status, n) in &other.refused {
            *self.refused.entry(*status).or_default() += n;
        }
        self.timed_out += other.timed_out;
        self.not_taken += other.not_taken;
        self.twice += other.twice;
        self.repeated += other.repeated;
        self.spared = match (self.spared, other.spared) {
            (Some(a), Some(b)) => Some((a.0.min(b.0), a.1.max(b.1))),
            (a, b) => a.or(b),
        };
        // The bounds of both are the same.
        let _ = self.accepted_us.add(&other.accepted_us);
        let _ = self.refused_us.add(&other.refused_us);
        self
    }
}
