//! The rows that a front knows.
//!
//! # Age of a row
//!
//! The age of a known row is the time since its version was the current one at its front. A front states age 0 for its own row. An
//! answer to a request states the age that the row had when it was sent. The receiver adds the time since it sent the request, which
//! includes the packet's transit. While a row is kept, its age grows by the local clock, divided by the slowest rate that a clock may
//! have. Each hop therefore adds at least the true time, and the age is an upper bound of the true one. Two answers with the same
//! version give two bounds of the same age, of which the smaller one counts.

mod row;

use std::collections::BTreeMap;
use std::time::Duration;

use beechloft_membership::MemberId;
use beechloft_membership::hash::{bucket_of, mix64};

use self::row::{Row, fits};
pub use self::row::{RowTooLong, RowView};
use crate::fault_injection::Fault;
use crate::messages::{BUCKETS, MAX_AGE_MS, MAX_ROWS, MemberKey, RowDelta, RowVersion, Section, SectionKind};
use crate::settings::Settings;

/// The outcome of merging a received row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MergeOutcome {
    /// The row is newer than the known one and has replaced it.
    Accepted,
    /// The row is not newer than the known one, or has expired.
    Stale,
    /// The row lacks changes that follow the known version.
    Gap,
    /// The table or the row would exceed its maximum size.
    Full,
}

/// All known rows, including the own one.
#[derive(Debug, Clone)]
pub(crate) struct RowTable {
    own: MemberId,
    settings: Settings,
    rows: BTreeMap<MemberId, Row>,
    bucket_digests: [u64; BUCKETS],
    pub(crate) fault: Option<Fault>,
}

/// Returns the bucket of a member's row.
pub(crate) fn bucket(member: MemberId) -> usize {
    bucket_of(member.0, BUCKETS)
}

fn row_digest(member: MemberId, version: u64) -> u64 {
    mix64(mix64(member.0) ^ version)
}

impl RowTable {
    /// Creates a table that contains only the own row, at its first version.
    pub(crate) fn new(own: MemberId, settings: Settings, now: Duration) -> RowTable {
        let rows = BTreeMap::from([(own, Row::new(1, Duration::ZERO, now))]);
        let mut table = RowTable { own, settings, rows, bucket_digests: [0; BUCKETS], fault: None };
        table.toggle_in_digest(own, 1);
        table
    }

    fn has_fault(&self, fault: Fault) -> bool {
        cfg!(feature = "planted") && self.fault == Some(fault)
    }

    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns the known version of a row, or 0 if the row is unknown.
    pub(crate) fn version(&self, member: MemberId) -> u64 {
        self.rows.get(&member).map_or(0, |row| row.version)
    }

    pub(crate) fn contains(&self, member: MemberId) -> bool {
        self.rows.contains_key(&member)
    }

    fn age(&self, member: MemberId, row: &Row, now: Duration) -> Duration {
        if member == self.own { Duration::ZERO } else { row.age(&self.settings, now) }
    }

    pub(crate) fn view(&self, member: MemberId, now: Duration) -> Option<RowView<'_>> {
        let row = self.rows.get(&member)?;
        Some(row.view(member, self.age(member, row, now)))
    }

    pub(crate) fn views(&self, now: Duration) -> impl Iterator<Item = RowView<'_>> {
        self.rows.keys().filter_map(move |member| self.view(*member, now))
    }

    /// Returns a digest of the rows' versions for each bucket.
    pub(crate) fn digests(&self) -> Vec<[u8; 8]> {
        self.bucket_digests.iter().map(|digest| digest.to_le_bytes()).collect()
    }

    pub(crate) fn differs(&self, bucket: usize, digest: &[u8; 8]) -> bool {
        self.bucket_digests.get(bucket).is_some_and(|own| own.to_le_bytes() != *digest)
    }

    /// Returns the known versions of the rows in a bucket.
    pub(crate) fn versions_in(&self, index: usize) -> impl Iterator<Item = RowVersion> {
        let is_in_bucket = move |(member, _): &(&MemberId, &Row)| bucket(**member) == index;
        self.rows
            .iter()
            .filter(is_in_bucket)
            .map(|(member, row)| RowVersion { member: MemberKey::from(*member), version: row.version })
    }

    pub(crate) fn members(&self) -> impl Iterator<Item = MemberId> {
        self.rows.keys().copied()
    }

    /// Adds a version to the digest of its bucket, or removes it.
    ///
    /// The digest is an exclusive or, so it does not depend on the order of changes.
    fn toggle_in_digest(&mut self, member: MemberId, version: u64) {
        self.bucket_digests[bucket(member)] ^= row_digest(member, version);
    }

    /// Gives the own row a new version that is also greater than `min_exclusive`.
    pub(crate) fn bump(&mut self, min_exclusive: u64, now: Duration) {
        let own = self.own;
        let Some(row) = self.rows.get_mut(&own) else { return };
        let before = row.version;
        let version = before.max(min_exclusive) + 1;
        row.version = version;
        row.age_known_at = now;
        self.toggle_in_digest(own, before);
        self.toggle_in_digest(own, version);
    }

    /// Returns the time at which the own row got its version.
    pub(crate) fn bumped_at(&self) -> Duration {
        self.rows.get(&self.own).map_or(Duration::ZERO, |row| row.age_known_at)
    }

    pub(crate) fn set_front_slot(&mut self, front_slot: Option<u16>, now: Duration) {
        let own = self.own;
        if self.rows.get(&own).is_some_and(|row| row.front_slot != front_slot) {
            self.bump(0, now);
            if let Some(row) = self.rows.get_mut(&own) {
                row.front_slot = front_slot;
            }
        }
    }

    /// Writes a section of the own row. The row keeps its version if the section already has this content.
    pub(crate) fn write_section(
        &mut self,
        kind: SectionKind,
        bytes: Vec<u8>,
        now: Duration,
    ) -> Result<(), RowTooLong> {
        let own = self.own;
        let Some(row) = self.rows.get(&own) else { return Ok(()) };
        if row.sections.get(&kind).is_some_and(|section| section.bytes == bytes) {
            return Ok(());
        }
        let section = Section { kind, version: 0, bytes };
        if !fits(&row.sections, std::slice::from_ref(&section)) {
            return Err(RowTooLong);
        }
        self.bump(0, now);
        if let Some(bumped) = self.rows.get_mut(&own) {
            bumped.sections.insert(kind, Section { version: bumped.version, ..section });
        }
        Ok(())
    }

    /// Returns the changes of a row since a version, or `None` if the row has no newer version.
    pub(crate) fn delta(&self, member: MemberId, since: u64, now: Duration) -> Option<RowDelta> {
        let row = self.rows.get(&member).filter(|row| row.version > since)?;
        let age = self.age(member, row, now);
        let age_ms = u32::try_from(age.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX).min(MAX_AGE_MS);
        let changed = row.sections.values().filter(|section| section.version > since);
        Some(RowDelta {
            member: MemberKey::from(member),
            front_slot: row.front_slot,
            since,
            version: row.version,
            age_ms,
            sections: changed.cloned().collect(),
        })
    }

    /// Returns an upper bound of the age of a received row that was requested at `requested_at`.
    fn received_age(&self, delta: &RowDelta, requested_at: Duration, now: Duration) -> Duration {
        let mut since_request = now.saturating_sub(requested_at);
        let mut stated = Duration::from_millis(u64::from(delta.age_ms));
        if self.has_fault(Fault::AgeFromArrival) {
            since_request = Duration::ZERO;
        }
        if self.has_fault(Fault::AgeNotCarried) {
            stated = Duration::ZERO;
        }
        stated + self.settings.max_true_duration(since_request)
    }

    /// Merges a received row that was requested at `requested_at`.
    pub(crate) fn merge(&mut self, delta: RowDelta, requested_at: Duration, now: Duration) -> MergeOutcome {
        let member = MemberId::from(delta.member);
        let age = self.received_age(&delta, requested_at, now);
        if age > self.settings.row_expiry && !self.has_fault(Fault::NoExpiry) {
            return MergeOutcome::Stale;
        }
        if !self.contains(member) && self.rows.len() >= MAX_ROWS {
            return MergeOutcome::Full;
        }
        let accepts_any = self.has_fault(Fault::AnyVersion);
        let known = self.version(member);
        if delta.version < known && !accepts_any {
            return MergeOutcome::Stale;
        }
        if delta.since > known {
            return MergeOutcome::Gap;
        }
        if self.rows.get(&member).is_some_and(|row| !fits(&row.sections, &delta.sections)) {
            return MergeOutcome::Full;
        }
        let settings = self.settings;
        let version = delta.version;
        let row = self.rows.entry(member).or_insert_with(|| Row::new(0, age, now));
        if version == known {
            row.lower_age(age, &settings, now);
            return MergeOutcome::Stale;
        }
        row.replace(delta, age, now, accepts_any);
        if known > 0 {
            self.toggle_in_digest(member, known);
        }
        self.toggle_in_digest(member, version);
        MergeOutcome::Accepted
    }

    /// Removes expired rows. Returns their number.
    pub(crate) fn remove_expired(&mut self, now: Duration) -> usize {
        if self.has_fault(Fault::NoExpiry) {
            return 0;
        }
        let is_expired = |row: &RowView<'_>| row.age > self.settings.row_expiry;
        let expired: Vec<MemberId> = self.views(now).filter(is_expired).map(|row| row.member).collect();
        for member in &expired {
            if let Some(row) = self.rows.remove(member) {
                self.toggle_in_digest(*member, row.version);
            }
        }
        expired.len()
    }
}
