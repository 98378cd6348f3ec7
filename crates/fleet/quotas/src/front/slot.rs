//! What a front has of one counter.

use std::time::Duration;

use crate::bucket::Bucket;
use crate::definition::{LimitDefinition, MILLI};
use crate::message::ShareReport;
use crate::refusal::RecentCounts;

/// A slot of one key among many is let go after it was not used for so long.
const FORGET: Duration = Duration::from_secs(30);

/// Share, use and demand of one claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct Slot {
    pub(super) share: u64,
    pub(super) used: u64,
    /// The sum of all fronts is over the limit.
    pub(super) closed: bool,
    /// Others lack so much of it.
    pub(super) recall: u64,
    pub(super) bucket: Bucket,
    pub(super) recent_counts: RecentCounts,
    /// Units that came and that were refused since the last word.
    came: u64,
    lacked: u64,
    came_before: u64,
    /// Thousandths a second, smoothed, for rates.
    pace: u64,
    rolled_at: Duration,
    busy_at: Duration,
    spare_since: Option<Duration>,
    /// What was last said of it: used and wanted.
    said: Option<(u64, u64)>,
}

impl Slot {
    pub(super) fn new(now: Duration) -> Slot {
        Slot { rolled_at: now, busy_at: now, ..Slot::default() }
    }

    pub(super) fn came(&mut self, now: Duration, units: u64) {
        self.came = self.came.saturating_add(units);
        self.busy_at = now;
    }

    pub(super) fn lacked(&mut self, now: Duration, units: u64) {
        self.lacked = self.lacked.saturating_add(units);
        self.busy_at = now;
    }

    /// What newcomers may take of it: what is owed is not theirs.
    pub(super) fn room(&self) -> u64 {
        self.share.saturating_sub(self.recall).saturating_sub(self.used)
    }

    /// Whether little is left for those who come next.
    pub(super) fn is_low(&self) -> bool {
        self.room() <= self.used / 16
    }

    /// What it would hold: what it uses, an eighth above, and what came of late; a rate by what came.
    fn want(&self, of: &LimitDefinition) -> u64 {
        if of.counts.is_rate() {
            return (self.pace + self.pace / 4).max(of.least);
        }
        let room = (self.used / 8).max(self.came + self.came_before).saturating_add(2 * self.lacked);
        self.used.saturating_add(room).max(of.least)
    }

    fn roll(&mut self, now: Duration, of: &LimitDefinition) {
        let passed = u64::try_from(now.saturating_sub(self.rolled_at).as_millis().max(1)).unwrap_or(u64::MAX);
        if of.counts.is_rate() {
            let seen = (self.came + self.lacked).saturating_mul(MILLI * 1_000) / passed;
            self.pace = if seen > self.pace { (self.pace + seen) / 2 } else { (3 * self.pace + seen) / 4 };
        }
        self.rolled_at = now;
        (self.came_before, self.came, self.lacked) = (self.came, 0, 0);
    }

    /// What is to be said of it now, if anything is. The share is lowered here, before the word leaves. `patience` is how long a
    /// surplus must stand before it is given back unasked.
    pub(super) fn say(
        &mut self,
        now: Duration,
        of: &LimitDefinition,
        patience: Duration,
    ) -> Option<(u64, u64, u64)> {
        let used = if of.counts.is_rate() { 0 } else { self.used };
        let idle = used == 0 && now.saturating_sub(self.busy_at) >= FORGET && keyed(of);
        let mut want = if idle { 0 } else { self.want(of) };
        let held = self.share;
        if self.closed {
            want = used;
            self.share = self.share.min(used);
        } else {
            let least = if idle { 0 } else { of.least };
            let given = self.recall.min(self.share.saturating_sub(used.max(least)));
            self.share -= given;
            // The rest is owed, and is given back as sessions end.
            self.recall -= given;
            let spare = self.share.saturating_sub(want.max(used));
            if spare > self.share / 8 || idle && spare > 0 {
                let since = *self.spare_since.get_or_insert(now);
                if now.saturating_sub(since) >= patience {
                    self.share -= spare;
                    self.spare_since = None;
                }
            } else {
                self.spare_since = None;
            }
        }
        let near = |a: u64, b: u64| a.abs_diff(b) <= a.max(b) / 8;
        let news = self.share < held
            || want > self.share
            || self.recall > 0
            || self.closed
            || self.said.is_none_or(|(u, w)| !near(u, used) || !near(w, want));
        self.roll(now, of);
        if news {
            self.said = Some((used, want));
            return Some((self.share, used, want));
        }
        None
    }

    /// Whether nothing of it is left to be kept in mind.
    pub(super) fn is_gone(&self) -> bool {
        self.share == 0 && self.used == 0 && self.said == Some((0, 0))
    }

    /// Whether it lacks what it said that it wants.
    pub(super) fn is_lacking(&self) -> bool {
        self.said.is_some_and(|(_, want)| want > self.share)
    }

    /// What it was said to be is not known any more by the ledger.
    pub(super) fn unsay(&mut self) {
        self.said = None;
    }
}

/// Whether there is one for each of many keys.
pub(super) fn keyed(of: &LimitDefinition) -> bool {
    of.only.is_none() && of.of != crate::definition::Scope::All || !of.weights.is_empty()
}

/// A line of a request.
pub(super) fn said(claim: &crate::message::Claim, (hold, used, want): (u64, u64, u64)) -> ShareReport {
    ShareReport { claim: claim.clone(), hold, used, want }
}
