//! The cleaner: copies what is live of a run of neighbouring segments into one, a few records at a time, and puts that in their
//! place in one step. Until then nothing has changed, so it may be stopped anywhere. Readers hold the segments that they read,
//! which never change.

use std::sync::Arc;

use crate::bit_set::BitSet;
use crate::log::{Log, Slot};
use crate::segment::{Builder, Segment};

/// Segments of a run at most.
const MAX_RUN: usize = 16;
/// Segments without garbage are put together when so many fit into one: each record is copied seldom for that.
const MANY: usize = 4;
/// What a look at a record costs, in bytes copied.
const LOOK: usize = 32;

/// A run that is being copied.
#[derive(Debug, Clone, Hash)]
struct Copying {
    /// The first segment's place. Segments before it stay where they are while this goes on, as only the cleaner moves any.
    from: usize,
    inputs: Vec<Arc<Segment>>,
    /// Which input and record comes next.
    at: (usize, usize),
    out: Builder,
    /// Of each record that was copied, which input's and which it was.
    origins: Vec<(u32, u32)>,
}

/// How far the cleaner is.
#[derive(Debug, Clone, Hash, Default)]
pub(crate) struct Cleaner {
    /// Where it looks next.
    sweep: usize,
    /// Segments in a row in which there was nothing to do.
    idle: usize,
    /// How much had changed when it last found nothing to do anywhere.
    rested_at: Option<u64>,
    copying: Option<Box<Copying>>,
    /// A planted fault: records count as they did when they were copied.
    pub(crate) stale: bool,
    /// A planted fault: no deletion is copied.
    pub(crate) drops_tombstones: bool,
}

impl Log {
    /// Works for about so many bytes; whether there may be more to do.
    pub(crate) fn clean(&mut self, budget: usize) -> bool {
        let mut done = 0;
        while done < budget {
            if let Some(mut copying) = self.cleaner.copying.take() {
                let (work, over) = self.copy(&mut copying, budget - done);
                done += work;
                if over {
                    self.replace(*copying);
                } else {
                    self.cleaner.copying = Some(copying);
                }
                continue;
            }
            if self.cleaner.rested_at == Some(self.changes) {
                return false;
            }
            let cleanable = self.cleanable();
            if self.cleaner.idle > cleanable {
                self.cleaner.idle = 0;
                self.cleaner.rested_at = Some(self.changes);
                return false;
            }
            if self.cleaner.sweep >= cleanable {
                self.cleaner.sweep = 0;
            }
            match self.run(self.cleaner.sweep, cleanable) {
                0 => {
                    self.cleaner.sweep += 1;
                    self.cleaner.idle += 1;
                    done += LOOK;
                }
                length => {
                    self.cleaner.idle = 0;
                    self.begin(length);
                }
            }
        }
        true
    }

    /// How many segments from one on are worth copying into one.
    fn run(&self, from: usize, cleanable: usize) -> usize {
        let garbage = |size: usize, live: usize| (size - live) * 100 >= size * self.layout.garbage_percent;
        let (mut live, mut size, mut records, mut length) = (0, 0, 0, 0);
        for slot in self.sealed.iter().take(cleanable).skip(from).take(MAX_RUN) {
            let more = (live + slot.live_bytes, records + slot.live_records);
            if length > 0 && (more.0 > self.layout.segment_bytes || more.1 > self.layout.segment_records) {
                break;
            }
            (live, records) = more;
            size += slot.size();
            length += 1;
        }
        if length >= MANY || (length > 0 && garbage(size, live)) {
            return length;
        }
        let first = self.sealed.get(from).filter(|_| from < cleanable);
        usize::from(first.is_some_and(|s| garbage(s.size(), s.live_bytes)))
    }

    fn begin(&mut self, length: usize) {
        let from = self.cleaner.sweep;
        let run = self.sealed.iter().skip(from).take(length);
        let live = run.clone().map(|s| s.live_bytes).sum();
        let inputs = run.map(|s| s.segment.clone()).collect();
        let copying = Copying { from, inputs, at: (0, 0), out: Builder::new(live), origins: Vec::new() };
        self.cleaner.copying = Some(Box::new(copying));
    }

    fn copy(&self, copying: &mut Copying, budget: usize) -> (usize, bool) {
        let mut done = 0;
        while done < budget {
            let (input, record) = copying.at;
            let (Some(segment), Some(slot)) =
                (copying.inputs.get(input), self.sealed.get(copying.from + input))
            else {
                return (done + LOOK, true);
            };
            done += LOOK;
            match slot.live.next(record) {
                None => copying.at = (input + 1, 0),
                Some(n) => {
                    let forgets = self.cleaner.drops_tombstones
                        && segment.message(n).is_some_and(|m| m.body.is_tombstone());
                    if let Some(record) = segment.record(n).filter(|_| !forgets) {
                        copying.out.push_record(record);
                        copying.origins.push((input as u32, n as u32));
                    }
                    done += segment.record_size(n);
                    copying.at = (input, n + 1);
                }
            }
        }
        (done, false)
    }

    /// Puts the copy in place. What was overtaken since it was copied is so in the copy too: the bits of the old segments say.
    fn replace(&mut self, copying: Copying) {
        let Copying { from, inputs, out, origins, .. } = copying;
        let mut live = BitSet::default();
        for (input, record) in &origins {
            let slot = self.sealed.get(from + *input as usize);
            live.push(self.cleaner.stale || slot.is_some_and(|s| s.live.get(*record as usize)));
        }
        debug_assert_eq!(out.len(), live.len());
        // One of which nothing is left takes no place at all.
        let slot = Slot::new(out.build(), live);
        self.cleaner.sweep = from + usize::from(slot.is_some());
        self.put_in_place(from, inputs.len(), slot);
    }
}
