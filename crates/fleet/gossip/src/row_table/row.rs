//! A stored row, and the view of it for readers.

use std::collections::BTreeMap;
use std::time::Duration;

use beechloft_membership::MemberId;
use thiserror::Error;

use crate::messages::{MAX_ROW_BYTES, MAX_SECTIONS, RowDelta, Section, SectionKind};
use crate::settings::Settings;

/// Error of writing a section that does not fit into a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("row exceeds {MAX_SECTIONS} sections or {MAX_ROW_BYTES} bytes")]
pub struct RowTooLong;

/// A stored row.
#[derive(Debug, Clone)]
pub(super) struct Row {
    pub(super) front_slot: Option<u16>,
    pub(super) version: u64,
    /// Upper bound of the row's age at `age_known_at`.
    known_age: Duration,
    pub(super) age_known_at: Duration,
    pub(super) sections: BTreeMap<SectionKind, Section>,
}

impl Row {
    pub(super) fn new(version: u64, known_age: Duration, now: Duration) -> Row {
        Row { front_slot: None, version, known_age, age_known_at: now, sections: BTreeMap::new() }
    }

    /// Returns an upper bound of the row's age at `now`.
    pub(super) fn age(&self, settings: &Settings, now: Duration) -> Duration {
        self.known_age + settings.max_true_duration(now.saturating_sub(self.age_known_at))
    }

    pub(super) fn view(&self, member: MemberId, age: Duration) -> RowView<'_> {
        let (front_slot, version) = (self.front_slot, self.version);
        RowView { member, front_slot, version, age, sections: &self.sections }
    }

    /// Replaces the age by another bound of the same version's age if that one is smaller.
    pub(super) fn lower_age(&mut self, age: Duration, settings: &Settings, now: Duration) {
        if age < self.age(settings, now) {
            self.known_age = age;
            self.age_known_at = now;
        }
    }

    /// Replaces changed sections by those of another version.
    ///
    /// `accepts_any` is an injected fault that accepts sections of any version.
    pub(super) fn replace(&mut self, delta: RowDelta, age: Duration, now: Duration, accepts_any: bool) {
        for section in delta.sections {
            let known = self.sections.get(&section.kind);
            if known.is_none_or(|known| known.version < section.version || accepts_any) {
                self.sections.insert(section.kind, section);
            }
        }
        self.front_slot = delta.front_slot;
        self.version = delta.version;
        self.known_age = age;
        self.age_known_at = now;
    }
}

/// A row as this front knows it.
#[derive(Debug, Clone, Copy)]
pub struct RowView<'a> {
    /// The member whose row it is.
    pub member: MemberId,
    /// The front's slot, or `None` if it has none.
    pub front_slot: Option<u16>,
    /// The known version of the row.
    pub version: u64,
    /// Upper bound of the row's age, which is zero for the own row.
    pub age: Duration,
    sections: &'a BTreeMap<SectionKind, Section>,
}

impl<'a> RowView<'a> {
    /// Returns the content of a section, or `None` if the row has no section of this kind.
    pub fn section(&self, kind: SectionKind) -> Option<&'a [u8]> {
        self.sections.get(&kind).map(|section| section.bytes.as_slice())
    }
}

/// Returns whether a row stays within its maximum size after some of its sections have been replaced or added.
pub(super) fn fits(known: &BTreeMap<SectionKind, Section>, changed: &[Section]) -> bool {
    let is_kept = |section: &&Section| changed.iter().all(|other| other.kind != section.kind);
    let sections = || known.values().filter(is_kept).chain(changed);
    let bytes: usize = sections().map(|section| section.bytes.len()).sum();
    sections().count() <= MAX_SECTIONS && bytes <= MAX_ROW_BYTES
}
