//! The rows that are known.
//!
//! **How an age is counted.** A row's age is the time since its front had it as its own. The front itself says nought. Whoever
//! asks for rows notes when it asked; the answer says how old the row was when it left; what passed since it asked is added,
//! which is more than the way took, however long the packet was on it. While a row is kept its age grows by the own clock, divided by
//! the slowest rate that a clock may have. So each step of a chain of relays adds at least what truly passed, and what comes out is never
//! under the true age. Two answers with the same version are two bounds of one thing: the smaller counts.

use std::collections::BTreeMap;
use std::time::Duration;

use beechloft_membership::MemberId;
use thiserror::Error;

use crate::planted::Fault;
use crate::settings::Settings;
use crate::words::{Delta, Entry, Kind, MOST_AGE_MS, MOST_ROW, MOST_ROWS, MOST_SECTIONS, PARTS, Section};

/// Sections that do not fit into a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a row has {MOST_SECTIONS} sections and {MOST_ROW} bytes at most")]
pub struct TooLong;

#[derive(Debug, Clone)]
struct Row {
    number: Option<u16>,
    version: u64,
    /// It was this old at most ...
    age: Duration,
    /// ... at this time.
    at: Duration,
    sections: BTreeMap<Kind, Section>,
}

/// A row as it is known here.
#[derive(Debug, Clone, Copy)]
pub struct RowView<'a> {
    /// Whose.
    pub life: MemberId,
    /// Its number among the fronts, if it has one, as it says.
    pub number: Option<u16>,
    /// Its version.
    pub version: u64,
    /// How old it is at most; nought for the own row.
    pub age: Duration,
    sections: &'a BTreeMap<Kind, Section>,
}

impl<'a> RowView<'a> {
    /// What it says of a matter.
    pub fn section(&self, kind: Kind) -> Option<&'a [u8]> {
        self.sections.get(&kind).map(|s| s.bytes.as_slice())
    }
}

/// What became of a row that came in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Taken {
    /// It is newer.
    New,
    /// Known already.
    Old,
    /// It begins after what is known.
    Gap,
    /// There is no room.
    Full,
}

#[derive(Debug, Clone)]
pub(crate) struct Table {
    own: MemberId,
    set: Settings,
    rows: BTreeMap<MemberId, Row>,
    parts: [u64; PARTS],
    pub(crate) fault: Option<Fault>,
}

/// Spreads a number over all bits (the finalizer of SplitMix64).
fn mixed(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

pub(crate) fn part(life: MemberId) -> usize {
    (mixed(life.0) % PARTS as u64) as usize
}

fn print(life: MemberId, version: u64) -> u64 {
    mixed(mixed(life.0) ^ version)
}

/// Guards against whoever fills a row up by one section after another: those of a sound row always fit.
fn fits(known: &BTreeMap<Kind, Section>, more: &[Section]) -> bool {
    let kept = known.values().filter(|s| more.iter().all(|m| m.kind != s.kind));
    let all = || kept.clone().chain(more);
    all().count() <= MOST_SECTIONS && all().map(|s| s.bytes.len()).sum::<usize>() <= MOST_ROW
}

impl Table {
    /// The own row is there from the first, at the version that it begins with.
    pub(crate) fn new(own: MemberId, set: Settings, now: Duration) -> Table {
        let row = Row { number: None, version: 1, age: Duration::ZERO, at: now, sections: BTreeMap::new() };
        let mut table =
            Table { own, set, rows: BTreeMap::from([(own, row)]), parts: [0; PARTS], fault: None };
        table.parts[part(own)] ^= print(own, 1);
        table
    }

    fn planted(&self, fault: Fault) -> bool {
        cfg!(feature = "planted") && self.fault == Some(fault)
    }

    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }

    pub(crate) fn version(&self, life: MemberId) -> u64 {
        self.rows.get(&life).map_or(0, |r| r.version)
    }

    pub(crate) fn knows(&self, life: MemberId) -> bool {
        self.rows.contains_key(&life)
    }

    fn age(&self, life: MemberId, row: &Row, now: Duration) -> Duration {
        if life == self.own { Duration::ZERO } else { row.age + self.set.longer(now.saturating_sub(row.at)) }
    }

    pub(crate) fn view(&self, life: MemberId, now: Duration) -> Option<RowView<'_>> {
        let row = self.rows.get(&life)?;
        let age = self.age(life, row, now);
        Some(RowView { life, number: row.number, version: row.version, age, sections: &row.sections })
    }

    pub(crate) fn views(&self, now: Duration) -> impl Iterator<Item = RowView<'_>> {
        self.rows.keys().filter_map(move |life| self.view(*life, now))
    }

    pub(crate) fn parts(&self) -> Vec<[u8; 8]> {
        self.parts.iter().map(|p| p.to_le_bytes()).collect()
    }

    pub(crate) fn differs(&self, part: usize, theirs: &[u8; 8]) -> bool {
        self.parts.get(part).is_some_and(|p| p.to_le_bytes() != *theirs)
    }

    pub(crate) fn entries(&self, of: usize) -> impl Iterator<Item = Entry> {
        let here = move |(life, _): &(&MemberId, &Row)| part(**life) == of;
        self.rows.iter().filter(here).map(|(life, r)| Entry { life: (*life).into(), version: r.version })
    }

    pub(crate) fn lives(&self) -> impl Iterator<Item = MemberId> {
        self.rows.keys().copied()
    }

    /// The own row has a new version, above all that were seen of it.
    pub(crate) fn bump(&mut self, above: u64, now: Duration) {
        let own = self.own;
        let Some(row) = self.rows.get_mut(&own) else { return };
        let before = row.version;
        row.version = row.version.max(above) + 1;
        row.at = now;
        self.parts[part(own)] ^= print(own, before) ^ print(own, row.version);
    }

    pub(crate) fn bumped_at(&self) -> Duration {
        self.rows.get(&self.own).map_or(Duration::ZERO, |r| r.at)
    }

    pub(crate) fn number(&mut self, number: Option<u16>, now: Duration) {
        let own = self.own;
        if self.rows.get(&own).is_some_and(|r| r.number != number) {
            self.bump(0, now);
            if let Some(row) = self.rows.get_mut(&own) {
                row.number = number;
            }
        }
    }

    /// Writes a section of the own row; the same again changes nothing.
    pub(crate) fn write(&mut self, kind: Kind, bytes: Vec<u8>, now: Duration) -> Result<bool, TooLong> {
        let own = self.own;
        let Some(row) = self.rows.get(&own) else { return Ok(false) };
        if row.sections.get(&kind).is_some_and(|s| s.bytes == bytes) {
            return Ok(false);
        }
        let others = row.sections.values().filter(|s| s.kind != kind);
        let (count, sum) = others.fold((1, bytes.len()), |(n, sum), s| (n + 1, sum + s.bytes.len()));
        if count > MOST_SECTIONS || sum > MOST_ROW {
            return Err(TooLong);
        }
        self.bump(0, now);
        if let Some(row) = self.rows.get_mut(&own) {
            row.sections.insert(kind, Section { kind, version: row.version, bytes });
        }
        Ok(true)
    }

    /// What changed of a row since a version, if anything did.
    pub(crate) fn delta(&self, life: MemberId, since: u64, now: Duration) -> Option<Delta> {
        let row = self.rows.get(&life).filter(|r| r.version > since)?;
        let age = self.age(life, row, now);
        let age_ms = u32::try_from(age.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX).min(MOST_AGE_MS);
        let sections = row.sections.values().filter(|s| s.version > since).cloned().collect();
        Some(Delta { life: life.into(), number: row.number, since, version: row.version, age_ms, sections })
    }

    /// Takes in what came, asked for at a time.
    pub(crate) fn take(&mut self, delta: Delta, asked: Duration, now: Duration) -> Taken {
        let life = MemberId::from(delta.life);
        let since =
            if self.planted(Fault::AgeFromArrival) { Duration::ZERO } else { now.saturating_sub(asked) };
        let told = Duration::from_millis(u64::from(delta.age_ms));
        let told = if self.planted(Fault::AgeNotCarried) { Duration::ZERO } else { told };
        let age = told + self.set.longer(since);
        if age > self.set.forget && !self.planted(Fault::NeverForgets) {
            return Taken::Old;
        }
        if !self.rows.contains_key(&life) && self.rows.len() >= MOST_ROWS {
            return Taken::Full;
        }
        let set = self.set;
        let any = self.planted(Fault::AnyVersion);
        let empty = || Row { number: None, version: 0, age, at: now, sections: BTreeMap::new() };
        let known = self.version(life);
        if delta.version < known && !any {
            return Taken::Old;
        }
        if delta.since > known {
            return Taken::Gap;
        }
        let fits = self.rows.get(&life).is_none_or(|r| fits(&r.sections, &delta.sections));
        if !fits {
            return Taken::Full;
        }
        let row = self.rows.entry(life).or_insert_with(empty);
        if delta.version == known {
            // Another bound of the same age: the smaller is as true.
            if age < row.age + set.longer(now.saturating_sub(row.at)) {
                (row.age, row.at) = (age, now);
            }
            return Taken::Old;
        }
        for section in delta.sections {
            if row.sections.get(&section.kind).is_none_or(|s| s.version < section.version || any) {
                row.sections.insert(section.kind, section);
            }
        }
        (row.number, row.version, row.age, row.at) = (delta.number, delta.version, age, now);
        if known > 0 {
            self.parts[part(life)] ^= print(life, known);
        }
        self.parts[part(life)] ^= print(life, delta.version);
        Taken::New
    }

    /// Drops the rows of fronts that are gone for long.
    pub(crate) fn forget(&mut self, now: Duration) -> usize {
        if self.planted(Fault::NeverForgets) {
            return 0;
        }
        let old: Vec<MemberId> =
            self.views(now).filter(|r| r.age > self.set.forget).map(|r| r.life).collect();
        for life in &old {
            if let Some(row) = self.rows.remove(life) {
                self.parts[part(*life)] ^= print(*life, row.version);
            }
        }
        old.len()
    }
}
