//! Observations of a simulated cluster that tests check.

use std::collections::BTreeMap;
use std::time::Duration;

use beechloft_membership::MemberId;

use super::Cluster;
use crate::SectionKind;

/// A row whose stated age is below the true one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnderestimatedAge {
    /// The front that states the age.
    pub front: usize,
    /// The member whose row it is.
    pub member: MemberId,
    /// The version that the front knows.
    pub version: u64,
    /// The age that the front states.
    pub stated: Duration,
    /// The true age.
    pub true_age: Duration,
}

/// A row of which a front knows an older version than before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionRegression {
    /// The front that knows the older version.
    pub known_by: MemberId,
    /// The member whose row it is.
    pub member: MemberId,
    /// The version that the front knew before.
    pub before: u64,
}

impl Cluster {
    /// Returns the true age of a version, which is the time since it was the current one at its front.
    fn true_age(&self, member: MemberId, version: u64) -> Duration {
        let superseded_at = self.superseded_at.get(&member).and_then(|versions| versions.get(&version));
        superseded_at.map_or(Duration::ZERO, |at| self.now - *at)
    }

    /// Returns a row whose stated age is below the true one, or `None` if there is none.
    pub fn underestimated_age(&self) -> Option<UnderestimatedAge> {
        self.running().find_map(|front| {
            self.node(front).gossip.rows(self.clock(front)).find_map(|row| {
                let true_age = self.true_age(row.member, row.version);
                let (member, version, stated) = (row.member, row.version, row.age);
                (stated < true_age).then_some(UnderestimatedAge { front, member, version, stated, true_age })
            })
        })
    }

    /// Returns a row of which a front knows an older version than at the last call, or `None` if there is none.
    pub fn version_regression(&mut self) -> Option<VersionRegression> {
        let mut known = BTreeMap::new();
        for front in self.running() {
            let gossip = &self.node(front).gossip;
            let rows = gossip.rows(self.clock(front));
            known.extend(rows.map(|row| ((gossip.id(), row.member), row.version)));
        }
        let before = std::mem::replace(&mut self.known_versions, known);
        let regressed = |key: &(MemberId, MemberId), version: u64| {
            self.known_versions.get(key).is_some_and(|now| *now < version)
        };
        let (key, before) = before.into_iter().find(|(key, version)| regressed(key, *version))?;
        Some(VersionRegression { known_by: key.0, member: key.1, before })
    }

    /// Returns the stated ages of all running fronts' rows at all others, with `None` for each row that is unknown.
    pub fn ages(&self) -> Vec<Option<Duration>> {
        let ids: Vec<MemberId> = self.running().map(|front| self.id(front)).collect();
        let mut ages = Vec::new();
        for front in self.running() {
            let now = self.clock(front);
            let gossip = &self.node(front).gossip;
            let others = ids.iter().filter(|id| **id != gossip.id());
            ages.extend(others.map(|id| gossip.row(now, *id).map(|row| row.age)));
        }
        ages
    }

    /// Returns whether all running fronts know the rows of all running fronts and no others, with the same sections.
    pub fn has_converged(&self) -> bool {
        let sections = |front: usize| -> BTreeMap<MemberId, Option<Vec<u8>>> {
            let rows = self.node(front).gossip.rows(self.clock(front));
            rows.map(|row| (row.member, row.section(SectionKind::OUTLIER_REPORT).map(<[u8]>::to_vec)))
                .collect()
        };
        let mut all = self.running().map(sections);
        let Some(first) = all.next() else { return true };
        first.len() == self.running().count() && all.all(|other| other == first)
    }
}
