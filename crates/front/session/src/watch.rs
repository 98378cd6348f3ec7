//! Whether a box still runs what was set up there, judged from its event stream.
//!
//! Media flows between player and box, so a broken stream proves nothing by itself. Three things end the sessions of
//! a box: nobody listens at its address any more, it names another start of its process, or it has been out of
//! reach for [`LOST_AFTER`]. In the last case it may still run them, and they are released as well.

use std::collections::{BTreeMap, BTreeSet};

use beechloft::api::{Micros, ServerId};

/// A box whose stream is down so long is lost, whatever it does.
pub const LOST_AFTER: Micros = Micros(10_000_000);

/// What became of the sessions of a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// As far as is known they play.
    Kept,
    /// Their process is gone and they with it.
    Gone,
    /// They are given up, but the box may still run them.
    Doubtful,
}

#[derive(Debug, Default)]
struct Seen {
    boot: Option<u64>,
    broken_since: Option<Micros>,
}

/// What is known of the boxes' processes.
#[derive(Debug, Default)]
pub struct Watches {
    seen: BTreeMap<ServerId, Seen>,
    /// Boxes whose stream is down, the longest first: looked at with every input, while nearly all boxes are up.
    broken: BTreeSet<(Micros, ServerId)>,
}

impl Watches {
    /// The stream is up, and the box names this start of its process.
    pub fn hello(&mut self, server: ServerId, boot: u64) -> Fate {
        self.mend(server);
        let seen = self.seen.entry(server).or_default();
        match seen.boot.replace(boot) {
            Some(before) if before != boot => Fate::Gone,
            _ => Fate::Kept,
        }
    }

    /// The stream broke. The time counts from the first break.
    pub fn broken(&mut self, now: Micros, server: ServerId) {
        let since = *self.seen.entry(server).or_default().broken_since.get_or_insert(now);
        self.broken.insert((since, server));
    }

    /// Nobody listens there.
    pub fn refused(&mut self, server: ServerId) -> Fate {
        self.forget(server);
        Fate::Gone
    }

    /// Boxes that have been out of reach too long, once each.
    pub fn take_lost(&mut self, now: Micros) -> Vec<ServerId> {
        let lost = self.broken.iter().take_while(|(since, _)| now - *since >= LOST_AFTER);
        let mut ids: Vec<_> = lost.map(|(_, id)| *id).collect();
        ids.sort_unstable();
        ids.iter().for_each(|id| self.mend(*id));
        ids
    }

    /// Its stream counts as down no longer.
    fn mend(&mut self, server: ServerId) {
        let since = self.seen.get_mut(&server).and_then(|s| s.broken_since.take());
        if let Some(since) = since {
            self.broken.remove(&(since, server));
        }
    }

    /// When the next box may be lost.
    pub fn next_due(&self) -> Option<Micros> {
        self.broken.first().map(|(since, _)| *since + LOST_AFTER)
    }

    /// Forgets a box that is off the list.
    pub fn forget(&mut self, server: ServerId) {
        self.mend(server);
        self.seen.remove(&server);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BOX: ServerId = ServerId(3);

    #[test]
    fn a_broken_stream_alone_loses_nothing_for_a_while() {
        let mut w = Watches::default();
        assert_eq!(w.hello(BOX, 7), Fate::Kept);
        w.broken(Micros(5), BOX);
        w.broken(Micros(6_000_000), BOX);
        assert!(w.take_lost(Micros(9_000_000)).is_empty());
        assert_eq!(w.hello(BOX, 7), Fate::Kept);
        assert!(w.take_lost(Micros(99_000_000)).is_empty());
    }

    #[test]
    fn another_start_or_a_refused_connection_ends_what_ran_there() {
        let mut w = Watches::default();
        w.hello(BOX, 7);
        assert_eq!(w.hello(BOX, 8), Fate::Gone);
        assert_eq!(w.refused(BOX), Fate::Gone);
        assert_eq!(w.hello(BOX, 9), Fate::Kept, "the first start that is seen ends nothing");
    }

    #[test]
    fn out_of_reach_too_long_is_lost_once() {
        let mut w = Watches::default();
        w.broken(Micros(0), BOX);
        assert_eq!(w.next_due(), Some(LOST_AFTER));
        assert_eq!(w.take_lost(LOST_AFTER), [BOX]);
        assert!(w.take_lost(LOST_AFTER + LOST_AFTER).is_empty());
    }
}
