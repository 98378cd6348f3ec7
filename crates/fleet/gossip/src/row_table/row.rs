//! One row, as it is kept and as it is shown to readers.

use std::collections::BTreeMap;
use std::time::Duration;

use beechloft_membership::MemberId;
use thiserror::Error;

use crate::messages::{MAX_ROW_BYTES, MAX_SECTIONS, RowDelta, Section, SectionKind};
use crate::settings::Settings;

/// Sections that do not fit into a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a row has {MAX_SECTIONS} sections and {MAX_ROW_BYTES} bytes at most")]
pub struct RowTooLong;

#[derive(Debug, Clone)]
pub(super) struct Row {
    pub(super) front_number: Option<u16>,
    pub(super) version: u64,
    /// Bound of its age at `age_known_at`.
    known_age: Duration,
    pub(super) age_known_at: Duration,
    pub(super) sections: BTreeMap<SectionKind, Section>,
}

impl Row {
    pub(super) fn new(version: u64, known_age: Duration, now: Duration) -> Row {
        Row { front_number: None, version, known_age, age_known_at: now, sections: BTreeMap::new() }
    }

    /// Bound of its age now.
    pub(super) fn age(&self, settings: &Settings, now: Duration) -> Duration {
        self.known_age + settings.max_true_duration(now.saturating_sub(self.age_known_at))
    }

    pub(super) fn view(&self, member: MemberId, age: Duration) -> RowView<'_> {
        let (front_number, version) = (self.front_number, self.version);
        RowView { member, front_number, version, age, sections: &self.sections }
    }

    /// Takes another bound of the same version's age if it is smaller: both are true.
    pub(super) fn lower_age(&mut self, age: Duration, settings: &Settings, now: Duration) {
        if age < self.age(settings, now) {
            self.known_age = age;
            self.age_known_at = now;
        }
    }

    /// Takes the changes of another version. `accepts_any` is a test's fault: sections of any version are taken.
    pub(super) fn replace(&mut self, delta: RowDelta, age: Duration, now: Duration, accepts_any: bool) {
        for section in delta.sections {
            let known = self.sections.get(&section.kind);
            if known.is_none_or(|known| known.version < section.version || accepts_any) {
                self.sections.insert(section.kind, section);
            }
        }
        self.front_number = delta.front_number;
        self.version = delta.version;
        self.known_age = age;
        self.age_known_at = now;
    }
}

/// A row as this front knows it.
#[derive(Debug, Clone, Copy)]
pub struct RowView<'a> {
    /// Whose row.
    pub member: MemberId,
    /// Its front's number among the fronts, if it states one.
    pub front_number: Option<u16>,
    /// Its version.
    pub version: u64,
    /// Bound of its age; zero for the own row.
    pub age: Duration,
    sections: &'a BTreeMap<SectionKind, Section>,
}

impl<'a> RowView<'a> {
    /// The content of a section, if the row has one of this kind.
    pub fn section(&self, kind: SectionKind) -> Option<&'a [u8]> {
        self.sections.get(&kind).map(|section| section.bytes.as_slice())
    }
}

/// Whether a row with changed sections keeps within its bounds: it may be filled up by one section after another.
pub(super) fn fits(known: &BTreeMap<SectionKind, Section>, changed: &[Section]) -> bool {
    let is_kept = |section: &&Section| changed.iter().all(|other| other.kind != section.kind);
    let sections = || known.values().filter(is_kept).chain(changed);
    let bytes: usize = sections().map(|section| section.bytes.len()).sum();
    sections().count() <= MAX_SECTIONS && bytes <= MAX_ROW_BYTES
}
