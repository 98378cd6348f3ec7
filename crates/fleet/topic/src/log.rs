//! Storage of a topic's messages at one replica: sealed segments, the oldest first, and the active segment. A live bit for
//! each record says whether it is the latest of its key. Only these bits decide, not the order of the records, so a record
//! that was marked as superseded never becomes live again, whatever else was cleaned.

use std::sync::Arc;

use crate::bit_set::BitSet;
use crate::cleaner::Cleaner;
use crate::message::{Body, Message};
use crate::messages::Offset;
use crate::segment::{Builder, RECORD_HEADER_BYTES, Segment};

/// Segment sizes at one replica. They do not affect answers or guarantees except for how far a following subscriber may be
/// behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Layout {
    /// Approximate size of a segment.
    pub segment_bytes: usize,
    /// Maximum number of records in a segment.
    pub segment_records: usize,
    /// Minimum size of the tail, the newest records that the cleaner does not touch. The tail is a quarter of the live bytes,
    /// limited to the range from `min_tail_bytes` to `max_tail_bytes`. A subscriber that is further behind returns to catching
    /// up.
    pub min_tail_bytes: usize,
    /// Maximum size of the tail.
    pub max_tail_bytes: usize,
    /// Maximum number of messages in the tail.
    pub max_tail_messages: usize,
    /// Percentage of superseded bytes at which a segment is cleaned.
    pub garbage_percent: usize,
}

impl Default for Layout {
    fn default() -> Layout {
        Layout {
            segment_bytes: 128 << 10,
            segment_records: 4096,
            min_tail_bytes: 128 << 10,
            max_tail_bytes: 4 << 20,
            max_tail_messages: 1 << 16,
            garbage_percent: 30,
        }
    }
}

/// Sealed segment with its live bits.
#[derive(Debug, Clone, Hash)]
pub(crate) struct Slot {
    pub(crate) segment: Arc<Segment>,
    pub(crate) first: Offset,
    pub(crate) live: BitSet,
    pub(crate) live_bytes: usize,
    pub(crate) live_records: usize,
}

impl Slot {
    /// Creates a slot. Returns `None` if the segment has no records.
    pub(crate) fn new(segment: Segment, live: BitSet) -> Option<Slot> {
        let first = segment.offset(0)?;
        let live_bytes = (0..segment.len()).filter(|n| live.get(*n)).map(|n| segment.record_size(n)).sum();
        let live_records = live.count_ones();
        Some(Slot { segment: Arc::new(segment), first, live, live_bytes, live_records })
    }

    /// Returns the size of all records in bytes.
    pub(crate) fn size(&self) -> usize {
        self.segment.bytes_before(self.segment.len())
    }

    /// Marks a record as superseded. Returns the number of bytes that became garbage.
    fn mark_superseded(&mut self, offset: Offset) -> usize {
        let n = self.segment.find(offset);
        if self.segment.offset(n) != Some(offset) || !self.live.clear(n) {
            return 0;
        }
        let size = self.segment.record_size(n);
        self.live_bytes -= size;
        self.live_records -= 1;
        size
    }
}

/// Active segment, to which messages are appended. Its offsets are contiguous.
#[derive(Debug, Clone, Hash, Default)]
struct Active {
    first: Offset,
    bodies: Vec<Body>,
    live: BitSet,
    bytes: usize,
}

impl Active {
    fn index_of(&self, offset: Offset) -> usize {
        usize::try_from(offset.0.saturating_sub(self.first.0)).unwrap_or(usize::MAX)
    }

    fn mark_superseded(&mut self, offset: Offset) -> usize {
        let n = self.index_of(offset);
        let was_live = offset >= self.first && self.live.clear(n);
        self.bodies.get(n).filter(|_| was_live).map_or(0, record_size)
    }

    fn segment(&self) -> Segment {
        let mut builder = Builder::new(self.bytes);
        for (n, body) in self.bodies.iter().enumerate() {
            builder.push(Offset(self.first.0 + n as u64), body.bytes());
        }
        builder.build()
    }
}

fn record_size(body: &Body) -> usize {
    RECORD_HEADER_BYTES + body.bytes().len()
}

/// Messages of a topic at one replica.
#[derive(Debug, Clone, Hash, Default)]
pub(crate) struct Log {
    pub(crate) layout: Layout,
    pub(crate) sealed: Vec<Slot>,
    active: Active,
    /// Bytes of all records.
    size: usize,
    /// Bytes of the live records.
    live_size: usize,
    /// Number of sealed segments and of records in sealed segments that were superseded, as a version for the cleaner.
    pub(crate) changes: u64,
    pub(crate) cleaner: Cleaner,
}

impl Log {
    pub(crate) fn new(layout: Layout) -> Log {
        Log { layout, ..Log::default() }
    }

    /// Creates a log from a snapshot. Returns `None` if the active segment does not end at the head.
    pub(crate) fn restored(
        layout: Layout,
        sealed: Vec<Slot>,
        (segment, live): (Segment, BitSet),
        head: Offset,
    ) -> Option<Log> {
        let count = segment.len() as u64;
        let first = Offset(head.0.checked_sub(count)?);
        let bodies: Option<Vec<Body>> = (0..segment.len())
            .map(|n| {
                let message = segment.message(n)?;
                (message.offset.0 == first.0 + n as u64).then_some(message.body)
            })
            .collect();
        let bodies = bodies?;
        let bytes = bodies.iter().map(record_size).sum();
        let is_live = |(n, _): &(usize, &Body)| live.get(*n);
        let live_bytes: usize = bodies.iter().enumerate().filter(is_live).map(|(_, b)| record_size(b)).sum();
        let size = bytes + sealed.iter().map(Slot::size).sum::<usize>();
        let live_size = live_bytes + sealed.iter().map(|s| s.live_bytes).sum::<usize>();
        let active = Active { first, bodies, live, bytes };
        Some(Log { layout, sealed, active, size, live_size, ..Log::default() })
    }

    pub(crate) fn active_first(&self) -> Offset {
        self.active.first
    }

    pub(crate) fn head(&self) -> Offset {
        Offset(self.active.first.0 + self.active.bodies.len() as u64)
    }

    pub(crate) fn append(&mut self, body: Body) -> Offset {
        let offset = self.head();
        let size = record_size(&body);
        self.active.bytes += size;
        self.size += size;
        self.live_size += size;
        self.active.bodies.push(body);
        self.active.live.push(true);
        let Layout { segment_bytes, segment_records, .. } = self.layout;
        if self.active.bytes >= segment_bytes || self.active.bodies.len() >= segment_records {
            let next = Active { first: offset.next(), ..Active::default() };
            let full = std::mem::replace(&mut self.active, next);
            self.sealed.extend(Slot::new(full.segment(), full.live));
            self.changes += 1;
        }
        offset
    }

    /// Injected fault: replaces the newest message if it has the same key.
    pub(crate) fn overwrite_last(&mut self, body: &Body) -> Option<Offset> {
        let last = self.active.bodies.last_mut().filter(|last| last.key() == body.key())?;
        *last = body.clone();
        Some(Offset(self.head().0 - 1))
    }

    /// Marks a message as no longer live, because it was superseded or its tombstone is no longer retained.
    pub(crate) fn mark_superseded(&mut self, offset: Offset) {
        if offset >= self.active.first {
            self.live_size -= self.active.mark_superseded(offset);
            return;
        }
        let at = self.sealed.partition_point(|s| s.first <= offset);
        if let Some(slot) = at.checked_sub(1).and_then(|n| self.sealed.get_mut(n)) {
            self.live_size -= slot.mark_superseded(offset);
            self.changes += 1;
        }
    }

    /// Returns the live messages, or all messages, from an offset on, in offset order.
    pub(crate) fn messages_from(&self, from: Offset, includes_superseded: bool) -> Messages<'_> {
        if from >= self.active.first {
            return Messages {
                log: self,
                slot: self.sealed.len(),
                record: self.active.index_of(from),
                includes_superseded,
            };
        }
        let slot = self.sealed.partition_point(|s| s.first <= from).saturating_sub(1);
        let record = self.sealed.get(slot).map_or(0, |s| s.segment.find(from));
        Messages { log: self, slot, record, includes_superseded }
    }

    /// Returns the size of all records in bytes.
    pub(crate) fn size(&self) -> usize {
        self.size
    }

    /// Returns the size of the tail.
    fn tail_bytes(&self) -> usize {
        (self.live_size / 4)
            .clamp(self.layout.min_tail_bytes, self.layout.max_tail_bytes.max(self.layout.min_tail_bytes))
    }

    /// Returns whether all messages from an offset on are in the tail.
    pub(crate) fn in_tail(&self, offset: Offset) -> bool {
        let tail = self.tail_bytes();
        if self.head().0.saturating_sub(offset.0) > self.layout.max_tail_messages as u64 {
            return false;
        }
        if offset >= self.active.first {
            return self
                .active
                .bodies
                .iter()
                .skip(self.active.index_of(offset))
                .map(record_size)
                .sum::<usize>()
                <= tail;
        }
        let mut newer_bytes = self.active.bytes;
        for slot in self.sealed.iter().rev() {
            if slot.first <= offset {
                return newer_bytes + slot.size() - slot.segment.bytes_before(slot.segment.find(offset))
                    <= tail;
            }
            newer_bytes += slot.size();
            if newer_bytes > tail {
                return false;
            }
        }
        false
    }

    /// Returns the number of sealed segments that the cleaner may touch, which are those without a record in the tail. The
    /// excluded segments contain at least the tail of [`Log::in_tail`], because a segment is excluded if its last record is in
    /// the tail.
    pub(crate) fn cleanable(&self) -> usize {
        let tail = self.tail_bytes();
        let (mut newer_bytes, mut newer_records) = (self.active.bytes, self.active.bodies.len());
        for (n, slot) in self.sealed.iter().enumerate().rev() {
            if newer_bytes > tail || newer_records > self.layout.max_tail_messages {
                return n + 1;
            }
            newer_bytes += slot.size();
            newer_records += slot.segment.len();
        }
        0
    }

    /// Replaces sealed segments with their copy, or removes them if there is none.
    pub(crate) fn replace_segments(&mut self, from: usize, length: usize, slot: Option<Slot>) {
        let to = (from + length).min(self.sealed.len());
        let old = self.sealed.splice(from.min(to)..to, slot.iter().cloned());
        let (size, live) = old.fold((0, 0), |(size, live), old| (size + old.size(), live + old.live_bytes));
        self.size = self.size + slot.as_ref().map_or(0, Slot::size) - size;
        self.live_size = self.live_size + slot.as_ref().map_or(0, |s| s.live_bytes) - live;
    }

    /// Returns the active segment, encoded as a sealed one, and its live bits.
    pub(crate) fn active(&self) -> (Segment, &BitSet) {
        (self.active.segment(), &self.active.live)
    }
}

/// Iterator over messages in offset order.
pub(crate) struct Messages<'a> {
    log: &'a Log,
    slot: usize,
    record: usize,
    includes_superseded: bool,
}

impl Iterator for Messages<'_> {
    type Item = Message;

    fn next(&mut self) -> Option<Message> {
        while let Some(slot) = self.log.sealed.get(self.slot) {
            let n =
                if self.includes_superseded { Some(self.record) } else { slot.live.next_set(self.record) };
            if let Some(message) = n.and_then(|n| slot.segment.message(n)) {
                self.record = n? + 1;
                return Some(message);
            }
            (self.slot, self.record) = (self.slot + 1, 0);
        }
        let active = &self.log.active;
        let n = if self.includes_superseded { self.record } else { active.live.next_set(self.record)? };
        let body = active.bodies.get(n)?.clone();
        self.record = n + 1;
        Some(Message { offset: Offset(active.first.0 + n as u64), body })
    }
}
