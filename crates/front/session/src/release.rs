//! Sessions left behind on boxes: those whose client never got or no longer wants them are ended there, for certain.
//!
//! A release is tried until the box says that the session is gone, the box itself is gone, or `GIVE_UP` has passed:
//! by then the box has freed it by itself, as no client keeps its media consent fresh (RFC 7675).

use std::collections::{BTreeMap, BTreeSet};

use beechloft::api::{Micros, ServerId};

/// First pause between two tries; doubled by each.
const PAUSE: Micros = Micros(250_000);
/// How often the pause is doubled.
const DOUBLINGS: u32 = 5;
/// A try without a word for so long counts as failed.
const TRY_FOR: Micros = Micros(3_000_000);
/// A session not known to be gone by then is left to the box's own time-out.
const GIVE_UP: Micros = Micros(60_000_000);

/// Names a release.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

#[derive(Debug)]
struct Entry {
    server: ServerId,
    resource: String,
    since: Micros,
    tries: u32,
    /// The next try, or the end of the one that runs.
    due: Micros,
}

/// A try that is to be made now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Try {
    /// Which release.
    pub ticket: Ticket,
    /// The box.
    pub server: ServerId,
    /// The path there.
    pub resource: String,
}

/// All releases that are not done.
#[derive(Debug, Default)]
pub struct Releases {
    next: u64,
    open: BTreeMap<Ticket, Entry>,
    due: BTreeSet<(Micros, Ticket)>,
}

impl Releases {
    /// Takes a session to be ended; the first try is due at once.
    pub fn add(&mut self, now: Micros, server: ServerId, resource: String) {
        let ticket = Ticket(self.next);
        self.next += 1;
        self.open.insert(ticket, Entry { server, resource, since: now, tries: 0, due: now });
        self.due.insert((now, ticket));
    }

    /// The result of a try; a late or repeated one of a release that is done changes nothing.
    pub fn result(&mut self, now: Micros, ticket: Ticket, gone: bool) {
        let Some(entry) = self.open.get_mut(&ticket) else { return };
        self.due.remove(&(entry.due, ticket));
        if gone {
            self.open.remove(&ticket);
            return;
        }
        entry.due = now + Micros(PAUSE.0 << entry.tries.saturating_sub(1).min(DOUBLINGS));
        self.due.insert((entry.due, ticket));
    }

    /// The process that held these sessions is gone, and they with it.
    pub fn forget(&mut self, server: ServerId) {
        let due = &mut self.due;
        self.open.retain(|&ticket, entry| {
            let keep = entry.server != server;
            if !keep {
                due.remove(&(entry.due, ticket));
            }
            keep
        });
    }

    /// The tries due by now, and how many releases were given up.
    pub fn take_due(&mut self, now: Micros) -> (Vec<Try>, usize) {
        let (mut tries, mut given_up) = (Vec::new(), 0);
        while let Some(&(at, ticket)) = self.due.first().filter(|d| d.0 <= now) {
            self.due.remove(&(at, ticket));
            let Some(entry) = self.open.get_mut(&ticket) else { continue };
            if now - entry.since >= GIVE_UP {
                self.open.remove(&ticket);
                given_up += 1;
                continue;
            }
            entry.tries += 1;
            entry.due = now + TRY_FOR;
            self.due.insert((entry.due, ticket));
            tries.push(Try { ticket, server: entry.server, resource: entry.resource.clone() });
        }
        (tries, given_up)
    }

    /// When the next try or time-out is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.due.first().map(|d| d.0)
    }

    /// How many are not done.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether all are done.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Whether this session is still to be ended.
    pub fn has(&self, server: ServerId, resource: &str) -> bool {
        self.open.values().any(|e| e.server == server && e.resource == resource)
    }

    /// Whether some session of this box is still to be ended.
    pub fn concerns(&self, server: ServerId) -> bool {
        self.open.values().any(|e| e.server == server)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: u64 = 1_000_000;

    #[test]
    fn a_release_is_tried_until_the_box_says_gone() {
        let mut r = Releases::default();
        r.add(Micros(0), ServerId(1), "/r/1".into());
        let (tries, _) = r.take_due(Micros(0));
        assert_eq!(tries.len(), 1);
        r.result(Micros(1000), tries[0].ticket, false);
        assert!(r.take_due(Micros(1000)).0.is_empty(), "not before its pause");
        let again = r.take_due(Micros(S)).0;
        assert_eq!(again, tries);
        r.result(Micros(S), tries[0].ticket, true);
        r.result(Micros(S), tries[0].ticket, false);
        assert!(r.is_empty() && r.next_due().is_none());
    }

    #[test]
    fn a_try_without_a_word_is_made_again_and_all_ends_by_itself() {
        let mut r = Releases::default();
        r.add(Micros(0), ServerId(1), "/r/1".into());
        let (mut tries, mut given_up) = (0, 0);
        for ms in 0..80_000 {
            let (t, g) = r.take_due(Micros(ms * 1000));
            tries += t.len();
            given_up += g;
        }
        assert!(tries >= 15, "{tries}");
        assert_eq!((given_up, r.len(), r.next_due()), (1, 0, None));
    }

    #[test]
    fn a_box_that_is_gone_takes_its_releases_with_it() {
        let mut r = Releases::default();
        r.add(Micros(0), ServerId(1), "/r/1".into());
        r.add(Micros(0), ServerId(2), "/r/2".into());
        r.forget(ServerId(1));
        assert!(!r.concerns(ServerId(1)) && r.concerns(ServerId(2)));
        assert_eq!(r.take_due(Micros(0)).0.len(), 1);
    }
}
