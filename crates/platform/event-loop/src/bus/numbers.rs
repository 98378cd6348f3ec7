//! Which events count, by their numbers.

use beechloft_http::sse;
use beechloft_protocol::bus::{Event, Topology};
use tracing::{info, warn};

/// What can't be read is asked for again so many times, as it may have been spoilt on its way; then it is passed over. The
/// next good event gives the tries back, so that a run of bad ones costs these calls together, not each.
const ASKED_AGAIN: u32 = 2;

/// A number further ahead than this is none: it would hide all that comes after it, and no front node has missed so many
/// changes of a list of some hundred servers.
const MOST_AHEAD: u64 = 1_000_000;

/// What an event is worth.
#[derive(Debug, PartialEq)]
pub(crate) enum Worth {
    /// It is new.
    New(Option<Topology>),
    /// It has no number that can be believed: what it tells is taken, but proves no progress, as it may come again.
    Unnumbered(Option<Topology>),
    /// It can't be read, and is to be asked for again from the last number.
    AskAgain,
    /// It was told before, or can't be read and is passed over.
    Nothing,
}

/// The number up to which all is known.
#[derive(Debug)]
pub(crate) struct Numbers {
    last: u64,
    /// The numbers around the newest gap. An event in it shows that the number behind it was wrong, or came too early: the
    /// stream goes on from there. Guards against one wrong number that hides those up to it.
    gap: Option<(u64, u64)>,
    asked_again: u32,
}

impl Numbers {
    pub fn from(last: u64) -> Numbers {
        Numbers { last, gap: None, asked_again: 0 }
    }

    /// The number to ask from.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Whether what can't be read is asked for once more; if not, it is to be passed over.
    pub fn ask_again(&mut self) -> bool {
        let again = self.asked_again < ASKED_AGAIN;
        self.asked_again += u32::from(again);
        again
    }

    /// Numbers begin at 1.
    fn believed(&self, number: Option<u64>) -> Option<u64> {
        number.filter(|n| *n != 0 && *n <= self.last.saturating_add(MOST_AHEAD))
    }

    fn is_new(&self, number: u64) -> bool {
        number > self.last || self.gap.is_some_and(|(from, to)| (from + 1..to).contains(&number))
    }

    fn move_to(&mut self, number: u64) {
        if number > self.last.saturating_add(1) {
            info!(last = self.last, number, "a gap in the numbers of the event bus; it is taken as it is");
            self.gap = Some((self.last, number));
        } else if let Some((_, to)) = self.gap.filter(|(from, to)| (from + 1..*to).contains(&number)) {
            // The gap begins behind it from now on: what comes twice counts once there too.
            self.gap = Some((number, to));
        }
        self.last = number;
    }

    pub fn hear(&mut self, event: &sse::Event) -> Worth {
        let id = self.believed(event.id.parse().ok());
        let told = match serde_json::from_str::<Event>(&event.data) {
            Ok(told) => told,
            Err(_) if id.is_some_and(|n| !self.is_new(n)) => return Worth::Nothing,
            Err(_) if self.ask_again() => return Worth::AskAgain,
            Err(why) => {
                // By its number, if that is the next: one further on may be spoilt as the rest is, and would hide those up to
                // it. Else those behind it count all the same, and the first of them that can be read passes it over; if
                // none comes it is met again, and skipped at once, after each break.
                warn!(id = event.id, last = self.last, %why, "an event that can't be read is passed over");
                if let Some(n) = id.filter(|n| *n == self.last.saturating_add(1)) {
                    self.move_to(n);
                }
                return Worth::Nothing;
            }
        };
        let number = match (id, self.believed(Some(told.offset))) {
            // Two that differ: the nearer of two new ones hides nothing. One new and one old: neither is believed.
            (Some(a), Some(b)) if self.is_new(a) == self.is_new(b) => Some(a.min(b)),
            (Some(_), Some(_)) => None,
            (a, b) => a.or(b),
        };
        if number.is_some_and(|n| !self.is_new(n)) {
            // Events may be written twice; each counts once.
            return Worth::Nothing;
        }
        if told.skipped.count > 0 {
            let (lines, why) = (told.skipped.count, &told.skipped.first_error);
            warn!(id = event.id, lines, why, "endpoints that can't be read are left out");
        }
        match number {
            Some(n) => {
                self.move_to(n);
                self.asked_again = 0;
                Worth::New(told.topology)
            }
            None => Worth::Unnumbered(told.topology),
        }
    }
}
