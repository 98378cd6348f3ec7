//! Tracks the offsets of events: which events are new, and after which offset events are requested.

use beechloft_http::sse;
use beechloft_protocol::bus::{Event, Topology};
use tracing::{info, warn};

/// Number of requests for an unreadable event after the first one, as it may have been corrupted in transit. Then the
/// event is skipped.
///
/// The next readable event resets the count, so that several unreadable events in a row share these requests.
const MAX_RETRIES: u32 = 2;

/// Maximum distance of a plausible offset from the last handled one.
///
/// An offset that is too large would hide all events up to it, and no front node misses so many changes of a list of some
/// hundred media servers.
const MAX_AHEAD: u64 = 1_000_000;

/// Result of checking an event.
#[derive(Debug, PartialEq)]
pub(super) enum EventOutcome {
    /// The event is new.
    New(Option<Topology>),
    /// The event has no plausible offset. It is handled, but is no sign of progress, as it may arrive again.
    WithoutOffset(Option<Topology>),
    /// The event is unreadable and has to be requested again.
    Retry,
    /// The event has already been handled, or is unreadable and skipped.
    Ignored,
}

/// Range of offsets that were skipped, exclusive at both ends.
#[derive(Debug, Clone, Copy)]
struct Gap {
    from: u64,
    to: u64,
}

impl Gap {
    fn contains(self, offset: u64) -> bool {
        (self.from + 1..self.to).contains(&offset)
    }
}

/// Position in the stream of events, up to which all events are handled.
#[derive(Debug)]
pub(super) struct EventSequence {
    last: u64,
    /// The most recent gap. An event within it shows that the offset after the gap was wrong or early, so the stream
    /// continues from that event. Otherwise one wrong offset would hide all events up to it.
    gap: Option<Gap>,
    retries: u32,
}

impl EventSequence {
    pub fn starting_after(last: u64) -> EventSequence {
        EventSequence { last, gap: None, retries: 0 }
    }

    /// Returns the offset of the last handled event, after which events are requested.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Returns whether an unreadable event is requested again, and counts the request. If not, the event is skipped.
    pub fn take_retry(&mut self) -> bool {
        let request = self.retries < MAX_RETRIES;
        self.retries += u32::from(request);
        request
    }

    /// Returns the offset if it is plausible. Offsets start at 1.
    fn plausible(&self, offset: Option<u64>) -> Option<u64> {
        offset.filter(|n| *n != 0 && *n <= self.last.saturating_add(MAX_AHEAD))
    }

    fn is_new(&self, offset: u64) -> bool {
        offset > self.last || self.gap.is_some_and(|gap| gap.contains(offset))
    }

    fn advance_to(&mut self, offset: u64) {
        if offset > self.last.saturating_add(1) {
            info!(last = self.last, offset, "gap in the offsets of the event bus; continuing after it");
            self.gap = Some(Gap { from: self.last, to: offset });
        } else if let Some(gap) = self.gap.filter(|gap| gap.contains(offset)) {
            // The gap starts at this offset from now on, so that a duplicate event is ignored.
            self.gap = Some(Gap { from: offset, to: gap.to });
        }
        self.last = offset;
    }

    /// Checks the next event of the stream, and advances if it is new.
    pub fn receive(&mut self, raw: &sse::Event) -> EventOutcome {
        let id = self.plausible(raw.id.parse().ok());
        let event = match serde_json::from_str::<Event>(&raw.data) {
            Ok(event) => event,
            Err(error) => return self.receive_unreadable(&raw.id, id, &error),
        };
        let offset = self.resolve_offset(id, self.plausible(Some(event.offset)));
        if offset.is_some_and(|offset| !self.is_new(offset)) {
            // The event bus may write an event twice.
            return EventOutcome::Ignored;
        }
        if event.skipped.count > 0 {
            let (lines, error) = (event.skipped.count, &event.skipped.first_error);
            warn!(id = raw.id, lines, error, "skipped unreadable endpoints of an event");
        }
        match offset {
            Some(offset) => {
                self.advance_to(offset);
                self.retries = 0;
                EventOutcome::New(event.topology)
            }
            None => EventOutcome::WithoutOffset(event.topology),
        }
    }

    fn receive_unreadable(
        &mut self,
        raw_id: &str,
        id: Option<u64>,
        error: &serde_json::Error,
    ) -> EventOutcome {
        if id.is_some_and(|offset| !self.is_new(offset)) {
            return EventOutcome::Ignored;
        }
        if self.take_retry() {
            return EventOutcome::Retry;
        }
        warn!(id = raw_id, last = self.last, %error, "skipped an unreadable event");
        // The offset is used only if it is the next one. A larger offset may be corrupted like the rest of the event,
        // and would hide the events up to it. Without the offset, the next readable event skips this one. If none
        // arrives, this event arrives again after each disconnect and is skipped immediately.
        if let Some(offset) = id.filter(|offset| *offset == self.last.saturating_add(1)) {
            self.advance_to(offset);
        }
        EventOutcome::Ignored
    }

    /// Returns the offset of an event, given the plausible values of its `id` field and its `offset` field.
    fn resolve_offset(&self, id: Option<u64>, offset: Option<u64>) -> Option<u64> {
        match (id, offset) {
            // The smaller of two new offsets hides no events. If only one of them is new, neither is reliable.
            (Some(id), Some(offset)) if self.is_new(id) == self.is_new(offset) => Some(id.min(offset)),
            (Some(_), Some(_)) => None,
            (id, offset) => id.or(offset),
        }
    }
}
