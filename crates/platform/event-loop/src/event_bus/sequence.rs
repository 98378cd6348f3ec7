//! The numbers of events: which events are new, and from which number events are requested.

use beechloft_http::sse;
use beechloft_protocol::bus::{Event, Topology};
use tracing::{info, warn};

/// An event that can't be read is requested again so many times, as it may have been corrupted on its way; then it is
/// skipped. The next good event restores the budget, so that a run of bad ones costs these requests together, not each.
const MAX_RETRIES: u32 = 2;

/// A number further ahead than this is not believed: it would hide all events after it, and no front node has missed so many
/// changes of a list of some hundred servers.
const MAX_AHEAD: u64 = 1_000_000;

/// What is to be done with an event.
#[derive(Debug, PartialEq)]
pub(super) enum EventOutcome {
    /// It is new.
    New(Option<Topology>),
    /// It has no number that can be believed: it is handled, but proves no progress, as it may come again.
    Unnumbered(Option<Topology>),
    /// It can't be read, and is to be requested again from the last number.
    Retry,
    /// It came before, or can't be read and is skipped.
    Ignored,
}

/// Numbers that were skipped, both ends excluded.
#[derive(Debug, Clone, Copy)]
struct Gap {
    from: u64,
    to: u64,
}

impl Gap {
    fn contains(self, number: u64) -> bool {
        (self.from + 1..self.to).contains(&number)
    }
}

/// The number up to which all events are handled.
#[derive(Debug)]
pub(super) struct EventSequence {
    last: u64,
    /// The newest gap. An event in it shows that the number behind it was wrong, or came too early: the stream goes on from
    /// there. Otherwise one wrong number would hide all events up to it.
    gap: Option<Gap>,
    retries: u32,
}

impl EventSequence {
    pub fn starting_after(last: u64) -> EventSequence {
        EventSequence { last, gap: None, retries: 0 }
    }

    /// The number to request from.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Whether an event that can't be read is requested once more; if not, it is to be skipped.
    pub fn take_retry(&mut self) -> bool {
        let request = self.retries < MAX_RETRIES;
        self.retries += u32::from(request);
        request
    }

    /// The number, if it is plausible. Numbers begin at 1.
    fn plausible(&self, number: Option<u64>) -> Option<u64> {
        number.filter(|n| *n != 0 && *n <= self.last.saturating_add(MAX_AHEAD))
    }

    fn is_new(&self, number: u64) -> bool {
        number > self.last || self.gap.is_some_and(|gap| gap.contains(number))
    }

    fn advance_to(&mut self, number: u64) {
        if number > self.last.saturating_add(1) {
            info!(last = self.last, number, "a gap in the numbers of the event bus; it is taken as it is");
            self.gap = Some(Gap { from: self.last, to: number });
        } else if let Some(gap) = self.gap.filter(|gap| gap.contains(number)) {
            // The gap begins behind this number from now on: what comes twice is handled once there, too.
            self.gap = Some(Gap { from: number, to: gap.to });
        }
        self.last = number;
    }

    /// Judges the next event of the stream.
    pub fn receive(&mut self, raw: &sse::Event) -> EventOutcome {
        let id = self.plausible(raw.id.parse().ok());
        let event = match serde_json::from_str::<Event>(&raw.data) {
            Ok(event) => event,
            Err(error) => return self.receive_unreadable(&raw.id, id, &error),
        };
        let number = self.number(id, self.plausible(Some(event.offset)));
        if number.is_some_and(|number| !self.is_new(number)) {
            // Events may be written twice; each is handled once.
            return EventOutcome::Ignored;
        }
        if event.skipped.count > 0 {
            let (lines, error) = (event.skipped.count, &event.skipped.first_error);
            warn!(id = raw.id, lines, error, "endpoints that can't be read are left out");
        }
        match number {
            Some(number) => {
                self.advance_to(number);
                self.retries = 0;
                EventOutcome::New(event.topology)
            }
            None => EventOutcome::Unnumbered(event.topology),
        }
    }

    fn receive_unreadable(
        &mut self,
        raw_id: &str,
        id: Option<u64>,
        error: &serde_json::Error,
    ) -> EventOutcome {
        if id.is_some_and(|number| !self.is_new(number)) {
            return EventOutcome::Ignored;
        }
        if self.take_retry() {
            return EventOutcome::Retry;
        }
        warn!(id = raw_id, last = self.last, %error, "an event that can't be read is passed over");
        // Its number is believed if it is the next: one further on may be corrupted as the rest is, and would hide the events
        // up to it. Otherwise events after it are handled all the same, and the first of them that can be read skips it. If
        // none comes it arrives again, and is skipped at once, after each disconnect.
        if let Some(number) = id.filter(|number| *number == self.last.saturating_add(1)) {
            self.advance_to(number);
        }
        EventOutcome::Ignored
    }

    /// The number of an event, from its id and its offset as far as these are plausible.
    fn number(&self, id: Option<u64>, offset: Option<u64>) -> Option<u64> {
        match (id, offset) {
            // Two that differ: the nearer of two new ones hides nothing. One new and one old: neither is believed.
            (Some(id), Some(offset)) if self.is_new(id) == self.is_new(offset) => Some(id.min(offset)),
            (Some(_), Some(_)) => None,
            (id, offset) => id.or(offset),
        }
    }
}
