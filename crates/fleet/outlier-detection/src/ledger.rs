//! What this front's own attempts came to, in a window that slides by slices.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::report::{BoxKey, BoxLine, Report, Seen, TitleLine, ViewerLine};

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
    /// The box's zone.
    pub zone: u16,
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

/// Attempts so far, well and bad.
#[derive(Debug, Clone, Copy, Default)]
struct Sum {
    well: u64,
    bad: u64,
}

impl Sum {
    fn add(&mut self, well: bool) {
        if well { self.well += 1 } else { self.bad += 1 }
    }

    fn less(self, other: Sum) -> Sum {
        Sum { well: self.well.saturating_sub(other.well), bad: self.bad.saturating_sub(other.bad) }
    }
}

/// How things stood at a bad attempt: at its zone's boxes, at all, and at the box itself.
#[derive(Debug, Clone, Copy)]
struct Mark {
    at: Duration,
    zone: Sum,
    all: Sum,
    own: Sum,
}

/// The bad attempts at a box: the oldest ones that are remembered, and the last.
#[derive(Debug, Clone, Default)]
struct Run {
    zone: u16,
    own: Sum,
    marks: VecDeque<Mark>,
}

/// Own counts.
#[derive(Debug, Clone)]
pub struct Ledger {
    slice: Duration,
    window: Duration,
    zone: u16,
    slices: VecDeque<(u64, Slice)>,
    zones: BTreeMap<u16, Sum>,
    all: Sum,
    runs: BTreeMap<BoxKey, Run>,
}

/// Bad attempts at a box that are remembered one by one.
const MOST_MARKS: usize = 64;

fn more(count: &mut u16) {
    *count = count.saturating_add(1);
}

impl Ledger {
    /// Nothing was tried yet, by a front of this zone.
    pub fn new(window: Duration, zone: u16) -> Ledger {
        Ledger {
            slice: (window / SLICES).max(Duration::from_millis(1)),
            window,
            zone,
            slices: VecDeque::new(),
            zones: BTreeMap::new(),
            all: Sum::default(),
            runs: BTreeMap::new(),
        }
    }

    /// Notes how others stand at each bad attempt, so that it can be told what they were like between the first and the last.
    fn run(&mut self, now: Duration, tried: &Tried) {
        let well = tried.outcome == Outcome::Well;
        self.zones.entry(tried.zone).or_default().add(well);
        self.all.add(well);
        let window = self.window;
        let old = |m: &Mark| now.saturating_sub(m.at) >= window;
        if self.runs.len() >= MOST {
            self.runs.retain(|_, run| run.marks.back().is_some_and(|m| !old(m)));
        }
        let (zone, all) = (self.zones.get(&tried.zone).copied().unwrap_or_default(), self.all);
        if well && !self.runs.contains_key(&tried.key) {
            return;
        }
        let run = self.runs.entry(tried.key).or_default();
        run.zone = tried.zone;
        run.own.add(well);
        while run.marks.front().is_some_and(old) {
            run.marks.pop_front();
        }
        if !well {
            if run.marks.len() >= MOST_MARKS {
                // The last one moves on.
                run.marks.pop_back();
            }
            run.marks.push_back(Mark { at: now, zone, all, own: run.own });
        }
    }

    /// What others were like between the first bad attempt at a box and the last: of its zone; of all, if the zone is this
    /// front's own and no other box of it was tried.
    fn beside(&self, key: BoxKey) -> Sum {
        let Some(run) = self.runs.get(&key) else { return Sum::default() };
        let (Some(first), Some(last)) = (run.marks.front(), run.marks.back()) else { return Sum::default() };
        let own = last.own.less(first.own);
        let zone = last.zone.less(first.zone).less(own);
        if zone.well + zone.bad == 0 && run.zone == self.zone {
            last.all.less(first.all).less(own)
        } else {
            zone
        }
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
        self.run(now, &tried);
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
        for (key, seen) in &mut all {
            if seen.bad() > 0 {
                let beside = self.beside(*key);
                let few = |n: u64| u8::try_from(n).unwrap_or(u8::MAX);
                (seen.beside_well, seen.beside_bad) = (few(beside.well), few(beside.bad));
            }
        }
        all
    }

    /// What goes to the others. `asked` are boxes that somebody accuses: what was seen of them goes out
    /// even if all was well.
    pub fn report(&mut self, now: Duration, asked: &BTreeSet<u32>) -> Report {
        let boxes = self.boxes(now);
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
        Report { boxes: lines, titles, viewers }
    }
}
