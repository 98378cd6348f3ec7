//! Segment cleaner. It copies the live records of a run of adjacent segments into one new segment, a few records at a time,
//! and replaces the run in one step. It can be interrupted at any point, as nothing changes before that step. Segments are
//! immutable, so readers are not affected.

use std::sync::Arc;

use crate::bit_set::BitSet;
use crate::log::{Log, Slot};
use crate::segment::{Builder, Segment};

/// Maximum number of segments in a run.
const MAX_RUN_SEGMENTS: usize = 16;
/// Number of segments without garbage that are merged if they fit into one. A lower number would copy each record more often.
const MIN_MERGE_SEGMENTS: usize = 4;
/// Work that counts for examining a record, in copied bytes.
const SCAN_COST_BYTES: usize = 32;

/// Run of segments that is being copied.
#[derive(Debug, Clone, Hash)]
struct Compaction {
    /// Index of the first segment of the run. It is stable during the compaction, as only the cleaner replaces segments.
    first_segment: usize,
    inputs: Vec<Arc<Segment>>,
    /// Index of the next input segment and of its next record.
    position: (usize, usize),
    output: Builder,
    /// Input segment and record index of each copied record.
    origins: Vec<(u32, u32)>,
}

/// Progress of the cleaner.
#[derive(Debug, Clone, Hash, Default)]
pub(crate) struct Cleaner {
    /// Index of the segment to be examined next.
    next_segment: usize,
    /// Number of consecutive segments without work.
    idle_segments: usize,
    /// Value of [`Log::changes`] when the cleaner last found no work in any segment.
    idle_at_change: Option<u64>,
    compaction: Option<Box<Compaction>>,
    /// Injected fault: the live bits are those at the time of the copy.
    pub(crate) installs_stale_copy: bool,
    /// Injected fault: tombstones are not copied.
    pub(crate) drops_tombstones: bool,
}

impl Log {
    /// Cleans for about `budget` bytes of work. Returns whether there may be more work.
    pub(crate) fn clean(&mut self, budget: usize) -> bool {
        let mut work_bytes = 0;
        while work_bytes < budget {
            if let Some(mut compaction) = self.cleaner.compaction.take() {
                let (copied_bytes, is_finished) = self.copy_records(&mut compaction, budget - work_bytes);
                work_bytes += copied_bytes;
                if is_finished {
                    self.install(*compaction);
                } else {
                    self.cleaner.compaction = Some(compaction);
                }
                continue;
            }
            if self.cleaner.idle_at_change == Some(self.changes) {
                return false;
            }
            let cleanable = self.cleanable();
            if self.cleaner.idle_segments > cleanable {
                self.cleaner.idle_segments = 0;
                self.cleaner.idle_at_change = Some(self.changes);
                return false;
            }
            if self.cleaner.next_segment >= cleanable {
                self.cleaner.next_segment = 0;
            }
            match self.run_length(self.cleaner.next_segment, cleanable) {
                0 => {
                    self.cleaner.next_segment += 1;
                    self.cleaner.idle_segments += 1;
                    work_bytes += SCAN_COST_BYTES;
                }
                length => {
                    self.cleaner.idle_segments = 0;
                    self.start_compaction(length);
                }
            }
        }
        true
    }

    /// Returns how many segments, starting at `from`, are worth copying into one.
    fn run_length(&self, from: usize, cleanable: usize) -> usize {
        let has_garbage =
            |size: usize, live: usize| (size - live) * 100 >= size * self.layout.garbage_percent;
        let (mut live, mut size, mut records, mut length) = (0, 0, 0, 0);
        for slot in self.sealed.iter().take(cleanable).skip(from).take(MAX_RUN_SEGMENTS) {
            let total = (live + slot.live_bytes, records + slot.live_records);
            if length > 0 && (total.0 > self.layout.segment_bytes || total.1 > self.layout.segment_records) {
                break;
            }
            (live, records) = total;
            size += slot.size();
            length += 1;
        }
        if length >= MIN_MERGE_SEGMENTS || (length > 0 && has_garbage(size, live)) {
            return length;
        }
        let first = self.sealed.get(from).filter(|_| from < cleanable);
        usize::from(first.is_some_and(|s| has_garbage(s.size(), s.live_bytes)))
    }

    /// Starts to copy a run of `length` segments.
    fn start_compaction(&mut self, length: usize) {
        let first_segment = self.cleaner.next_segment;
        let run = self.sealed.iter().skip(first_segment).take(length);
        let live = run.clone().map(|s| s.live_bytes).sum();
        let inputs = run.map(|s| s.segment.clone()).collect();
        let compaction = Compaction {
            first_segment,
            inputs,
            position: (0, 0),
            output: Builder::new(live),
            origins: Vec::new(),
        };
        self.cleaner.compaction = Some(Box::new(compaction));
    }

    /// Copies records for about `budget` bytes of work. Returns the work done in bytes and whether the run is complete.
    fn copy_records(&self, compaction: &mut Compaction, budget: usize) -> (usize, bool) {
        let mut work_bytes = 0;
        while work_bytes < budget {
            let (input, record) = compaction.position;
            let (Some(segment), Some(slot)) =
                (compaction.inputs.get(input), self.sealed.get(compaction.first_segment + input))
            else {
                return (work_bytes + SCAN_COST_BYTES, true);
            };
            work_bytes += SCAN_COST_BYTES;
            match slot.live.next_set(record) {
                None => compaction.position = (input + 1, 0),
                Some(n) => {
                    let drops = self.cleaner.drops_tombstones
                        && segment.message(n).is_some_and(|m| m.body.is_tombstone());
                    if let Some(bytes) = segment.record(n).filter(|_| !drops) {
                        compaction.output.push_record(bytes);
                        compaction.origins.push((input as u32, n as u32));
                    }
                    work_bytes += segment.record_size(n);
                    compaction.position = (input, n + 1);
                }
            }
        }
        (work_bytes, false)
    }

    /// Replaces the run with its copy. The live bits come from the old segments, so records superseded since their copy are
    /// not live.
    fn install(&mut self, compaction: Compaction) {
        let Compaction { first_segment, inputs, output, origins, .. } = compaction;
        let mut live = BitSet::default();
        for (input, record) in &origins {
            let slot = self.sealed.get(first_segment + *input as usize);
            live.push(self.cleaner.installs_stale_copy || slot.is_some_and(|s| s.live.get(*record as usize)));
        }
        debug_assert_eq!(output.len(), live.len());
        // A run without live records is removed entirely.
        let slot = Slot::new(output.build(), live);
        self.cleaner.next_segment = first_segment + usize::from(slot.is_some());
        self.replace_segments(first_segment, inputs.len(), slot);
    }
}
