//! How one keeper lays a topic's messages out: sealed segments, oldest first, and one that is written. Beside each lies a bit for
//! every record: whether it is the latest of its key. The bits are what says so, and not the order in which records are read: a
//! record whose bit is out never counts again, whatever else was cleaned away.

use std::sync::Arc;

use crate::bit_set::BitSet;
use crate::cleaner::Cleaner;
use crate::message::{Body, Message};
use crate::messages::Offset;
use crate::segment::{Builder, RECORD_HEAD, Segment};

/// Sizes of one keeper's layout. They change no answer and no promise but for how far a subscriber may be behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Layout {
    /// Bytes of a segment, about.
    pub segment_bytes: usize,
    /// Records of a segment at most.
    pub segment_records: usize,
    /// The newest bytes that the cleaner leaves alone, at least; a quarter of what is live if that is more, up to `tail_most`. A
    /// subscriber that is further behind is put back to catching up.
    pub tail_bytes: usize,
    /// The newest bytes that the cleaner leaves alone, at most.
    pub tail_most: usize,
    /// The newest messages that the cleaner leaves alone.
    pub tail_messages: usize,
    /// A segment is cleaned when so many of a hundred of its bytes are overtaken.
    pub garbage_percent: usize,
}

impl Default for Layout {
    fn default() -> Layout {
        Layout {
            segment_bytes: 128 << 10,
            segment_records: 4096,
            tail_bytes: 128 << 10,
            tail_most: 4 << 20,
            tail_messages: 1 << 16,
            garbage_percent: 30,
        }
    }
}

/// A sealed segment and which of its records are live.
#[derive(Debug, Clone, Hash)]
pub(crate) struct Slot {
    pub(crate) segment: Arc<Segment>,
    pub(crate) first: Offset,
    pub(crate) live: BitSet,
    pub(crate) live_bytes: usize,
    pub(crate) live_records: usize,
}

impl Slot {
    /// A segment with its bits; none: it has no record.
    pub(crate) fn new(segment: Segment, live: BitSet) -> Option<Slot> {
        let first = segment.offset(0)?;
        let live_bytes = (0..segment.len()).filter(|n| live.get(*n)).map(|n| segment.record_size(n)).sum();
        let live_records = live.ones();
        Some(Slot { segment: Arc::new(segment), first, live, live_bytes, live_records })
    }

    /// Bytes of all its records.
    pub(crate) fn size(&self) -> usize {
        self.segment.bytes_before(self.segment.len())
    }

    /// Bytes that it frees.
    fn kill(&mut self, offset: Offset) -> usize {
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

/// The segment that is written. Its offsets have no gap.
#[derive(Debug, Clone, Hash, Default)]
struct Active {
    first: Offset,
    bodies: Vec<Body>,
    live: BitSet,
    bytes: usize,
}

impl Active {
    fn at(&self, offset: Offset) -> usize {
        usize::try_from(offset.0.saturating_sub(self.first.0)).unwrap_or(usize::MAX)
    }

    fn kill(&mut self, offset: Offset) -> usize {
        let n = self.at(offset);
        let was = offset >= self.first && self.live.clear(n);
        self.bodies.get(n).filter(|_| was).map_or(0, record_size)
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
    RECORD_HEAD + body.bytes().len()
}

/// A topic's messages at one keeper.
#[derive(Debug, Clone, Hash, Default)]
pub(crate) struct Log {
    pub(crate) layout: Layout,
    pub(crate) sealed: Vec<Slot>,
    active: Active,
    /// Bytes of all records, and of those that are live.
    size: usize,
    live_size: usize,
    /// How often a segment was sealed or a record of a sealed one overtaken.
    pub(crate) changes: u64,
    pub(crate) cleaner: Cleaner,
}

impl Log {
    pub(crate) fn new(layout: Layout) -> Log {
        Log { layout, ..Log::default() }
    }

    /// A log of what a snapshot has; the last segment is the one that is written. None: it does not end at the head.
    pub(crate) fn restored(
        layout: Layout,
        sealed: Vec<Slot>,
        (active, live): (Segment, BitSet),
        head: Offset,
    ) -> Option<Log> {
        let count = active.len() as u64;
        let first = Offset(head.0.checked_sub(count)?);
        let bodies: Option<Vec<Body>> = (0..active.len())
            .map(|n| {
                let message = active.message(n)?;
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
            let done = std::mem::replace(&mut self.active, next);
            self.sealed.extend(Slot::new(done.segment(), done.live));
            self.changes += 1;
        }
        offset
    }

    /// A body in place of the newest one of the same key: a planted fault.
    pub(crate) fn coalesce(&mut self, body: &Body) -> Option<Offset> {
        let last = self.active.bodies.last_mut().filter(|last| last.key() == body.key())?;
        *last = body.clone();
        Some(Offset(self.head().0 - 1))
    }

    /// A message is overtaken, or its deletion needs no remembering any more.
    pub(crate) fn kill(&mut self, offset: Offset) {
        if offset >= self.active.first {
            self.live_size -= self.active.kill(offset);
            return;
        }
        let at = self.sealed.partition_point(|s| s.first <= offset);
        if let Some(slot) = at.checked_sub(1).and_then(|n| self.sealed.get_mut(n)) {
            self.live_size -= slot.kill(offset);
            self.changes += 1;
        }
    }

    /// Messages from an offset on, in order.
    pub(crate) fn walk(&self, from: Offset, all: bool) -> Walk<'_> {
        if from >= self.active.first {
            return Walk { log: self, slot: self.sealed.len(), record: self.active.at(from), all };
        }
        let slot = self.sealed.partition_point(|s| s.first <= from).saturating_sub(1);
        let record = self.sealed.get(slot).map_or(0, |s| s.segment.find(from));
        Walk { log: self, slot, record, all }
    }

    /// Bytes of all records.
    pub(crate) fn size(&self) -> usize {
        self.size
    }

    /// How many of the newest bytes the cleaner leaves alone.
    fn tail_bytes(&self) -> usize {
        (self.live_size / 4).clamp(self.layout.tail_bytes, self.layout.tail_most.max(self.layout.tail_bytes))
    }

    /// Whether an offset is among the newest that the cleaner leaves alone.
    pub(crate) fn in_tail(&self, offset: Offset) -> bool {
        let tail = self.tail_bytes();
        if self.head().0.saturating_sub(offset.0) > self.layout.tail_messages as u64 {
            return false;
        }
        if offset >= self.active.first {
            return self.active.bodies.iter().skip(self.active.at(offset)).map(record_size).sum::<usize>()
                <= tail;
        }
        let mut behind = self.active.bytes;
        for slot in self.sealed.iter().rev() {
            if slot.first <= offset {
                return behind + slot.size() - slot.segment.bytes_before(slot.segment.find(offset)) <= tail;
            }
            behind += slot.size();
            if behind > tail {
                return false;
            }
        }
        false
    }

    /// How many sealed segments the cleaner may touch: those of which no record is in the tail. What it leaves alone is at
    /// least what [`Log::in_tail`] says, as a segment's last record is what counts.
    pub(crate) fn cleanable(&self) -> usize {
        let tail = self.tail_bytes();
        let (mut bytes, mut count) = (self.active.bytes, self.active.bodies.len());
        for (n, slot) in self.sealed.iter().enumerate().rev() {
            if bytes > tail || count > self.layout.tail_messages {
                return n + 1;
            }
            bytes += slot.size();
            count += slot.segment.len();
        }
        0
    }

    /// A copy takes the place of segments. Bytes that are overtaken are what it frees.
    pub(crate) fn put_in_place(&mut self, from: usize, length: usize, slot: Option<Slot>) {
        let to = (from + length).min(self.sealed.len());
        let old = self.sealed.splice(from.min(to)..to, slot.iter().cloned());
        let (size, live) = old.fold((0, 0), |(s, l), slot| (s + slot.size(), l + slot.live_bytes));
        self.size = self.size + slot.as_ref().map_or(0, Slot::size) - size;
        self.live_size = self.live_size + slot.as_ref().map_or(0, |s| s.live_bytes) - live;
    }

    /// The segment that is written, as a chunk, and its bits.
    pub(crate) fn active(&self) -> (Segment, &BitSet) {
        (self.active.segment(), &self.active.live)
    }
}

/// Goes through messages.
pub(crate) struct Walk<'a> {
    log: &'a Log,
    slot: usize,
    record: usize,
    all: bool,
}

impl Iterator for Walk<'_> {
    type Item = Message;

    fn next(&mut self) -> Option<Message> {
        while let Some(slot) = self.log.sealed.get(self.slot) {
            let n = if self.all { Some(self.record) } else { slot.live.next(self.record) };
            if let Some(message) = n.and_then(|n| slot.segment.message(n)) {
                self.record = n? + 1;
                return Some(message);
            }
            (self.slot, self.record) = (self.slot + 1, 0);
        }
        let active = &self.log.active;
        let n = if self.all { self.record } else { active.live.next(self.record)? };
        let body = active.bodies.get(n)?.clone();
        self.record = n + 1;
        Some(Message { offset: Offset(active.first.0 + n as u64), body })
    }
}
