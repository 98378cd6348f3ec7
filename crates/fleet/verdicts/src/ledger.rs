//! What this front's own attempts came to, in a window that slides by slices.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::report::{BoxKey, BoxLine, Report, Seen, TitleLine, ViewerLine, ZoneLine};

/// Slices of a window.
const SLICES: u32 = 10;
/// Boxes, titles at boxes, and viewers in one slice, at most: what comes besides is not counted.
const MOST: usize = 4_096;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The box took it in time.
    Well,
    /// The box took it, later than the settings find good.
    Slow,
    /// An error, or no connection.
    Error,
    /// No answer in time.
    Hang,
    /// The box found fault with the request itself.
    Declined,
}

/// An attempt that is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tried {
    /// At which box.
    pub key: BoxKey,
    /// For which title.
    pub title: u32,
    /// Whose, if that is known: a print of the viewer's address.
    pub viewer: Option<u64>,
    /// How it ended.
    pub outcome: Outcome,
    /// It was a trial, under the lease of trials.
    pub trial: bool,
}

#[derive(Debug, Clone, Default)]
struct Slice {
    boxes: BTreeMap<BoxKey, Seen>,
    titles: BTreeMap<(BoxKey, u32), (u16, u16)>,
    viewers: BTreeMap<u64, (u16, u16)>,
}

/// Own counts.
#[derive(Debug, Clone)]
pub struct Ledger {
    slice: Duration,
    slices: VecDeque<(u64, Slice)>,
}

fn more(count: &mut u16) {
    *count = count.saturating_add(1);
}

impl Ledger {
    /// Nothing was tried yet.
    pub fn new(window: Duration) -> Ledger {
        Ledger { slice: (window / SLICES).max(Duration::from_millis(1)), slices: VecDeque::new() }
    }

    fn number(&self, now: Duration) -> u64 {
        (now.as_nanos() / self.slice.as_nanos()) as u64
    }

    fn slide(&mut self, now: Duration) {
        let number = self.number(now);
        while self.slices.front().is_some_and(|s| s.0 + u64::from(SLICES) <= number) {
            self.slices.pop_front();
        }
    }

    /// An attempt is over.
    pub fn note(&mut self, now: Duration, tried: Tried) {
        self.slide(now);
        let number = self.number(now);
        if self.slices.back().is_none_or(|s| s.0 < number) {
            self.slices.push_back((number, Slice::default()));
        }
        let Some((_, slice)) = self.slices.back_mut() else { return };
        if let Some(viewer) =
            tried.viewer.filter(|v| slice.viewers.len() < MOST || slice.viewers.contains_key(v))
        {
            let (tries, bad) = slice.viewers.entry(viewer).or_default();
            more(tries);
            if tried.outcome == Outcome::Declined {
                more(bad);
            }
        }
        if tried.outcome == Outcome::Declined
            || (slice.boxes.len() >= MOST && !slice.boxes.contains_key(&tried.key))
        {
            return;
        }
        let seen = slice.boxes.entry(tried.key).or_default();
        more(&mut seen.tries);
        match tried.outcome {
            Outcome::Error => more(&mut seen.errors),
            Outcome::Hang => more(&mut seen.hangs),
            Outcome::Slow => more(&mut seen.slow),
            Outcome::Well | Outcome::Declined => {}
        }
        let well = tried.outcome == Outcome::Well;
        if tried.trial {
            let count = if well { &mut seen.trials_well } else { &mut seen.trials_badly };
            *count = count.saturating_add(1);
        }
        let title = (tried.key, tried.title);
        if slice.titles.len() < MOST || slice.titles.contains_key(&title) {
            let (tries, bad) = slice.titles.entry(title).or_default();
            more(tries);
            if !well {
                more(bad);
            }
        }
    }

    /// What was seen of all boxes in the window.
    fn boxes(&mut self, now: Duration) -> BTreeMap<BoxKey, Seen> {
        self.slide(now);
        let mut all: BTreeMap<BoxKey, Seen> = BTreeMap::new();
        for (key, s) in self.slices.iter().flat_map(|(_, slice)| &slice.boxes) {
            let sum = all.entry(*key).or_default();
            sum.tries = sum.tries.saturating_add(s.tries);
            sum.errors = sum.errors.saturating_add(s.errors);
            sum.hangs = sum.hangs.saturating_add(s.hangs);
            sum.slow = sum.slow.saturating_add(s.slow);
            sum.trials_well = sum.trials_well.saturating_add(s.trials_well);
            sum.trials_badly = sum.trials_badly.saturating_add(s.trials_badly);
        }
        all
    }

    /// What goes to the others. `zone` tells a box's zone; `asked` are boxes that somebody accuses: what was seen of them goes out
    /// even if all was well.
    pub fn report(
        &mut self,
        now: Duration,
        zone: impl Fn(u32) -> Option<u16>,
        asked: &BTreeSet<u32>,
    ) -> Report {
        let boxes = self.boxes(now);
        let mut zones: BTreeMap<u16, ZoneLine> = BTreeMap::new();
        for (key, seen) in &boxes {
            let Some(zone) = zone(key.server) else { continue };
            let line = zones.entry(zone).or_insert(ZoneLine { zone, tried: 0, well: 0 });
            more(&mut line.tried);
            if seen.absolves() {
                more(&mut line.well);
            }
        }
        // Bad ones and those that are asked for first, then the most tried.
        let mut lines: Vec<BoxLine> =
            boxes.iter().map(|(key, seen)| BoxLine { key: *key, seen: *seen }).collect();
        let rank = |b: &BoxLine| {
            (b.seen.bad() == 0 && !asked.contains(&b.key.server), u16::MAX - b.seen.tries, b.key)
        };
        lines.sort_by_key(rank);
        lines.truncate(24);
        let mut sum = Slice::default();
        for (_, slice) in &self.slices {
            for (key, (tries, bad)) in &slice.titles {
                let s = sum.titles.entry(*key).or_default();
                *s = (s.0.saturating_add(*tries), s.1.saturating_add(*bad));
            }
            for (key, (tries, bad)) in &slice.viewers {
                let s = sum.viewers.entry(*key).or_default();
                *s = (s.0.saturating_add(*tries), s.1.saturating_add(*bad));
            }
        }
        let mut titles: Vec<TitleLine> = sum
            .titles
            .into_iter()
            .filter(|(_, (_, bad))| *bad > 0)
            .map(|((key, title), (tries, bad))| TitleLine { key, title, tries, bad })
            .collect();
        titles.sort_by_key(|t| (u16::MAX - t.bad, t.key, t.title));
        titles.truncate(8);
        let mut viewers: Vec<ViewerLine> = sum
            .viewers
            .into_iter()
            .filter(|(_, (_, bad))| *bad > 0)
            .map(|(viewer, (tries, bad))| ViewerLine { viewer, tries, bad })
            .collect();
        viewers.sort_by_key(|v| (u16::MAX - v.bad, v.viewer));
        viewers.truncate(4);
        Report { zones: zones.into_values().collect(), boxes: lines, titles, viewers }
    }
}
