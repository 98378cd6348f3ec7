//! What a test looks at in a simulated cluster.

use std::collections::BTreeMap;
use std::time::Duration;

use beechloft_membership::MemberId;

use super::Cluster;
use crate::SectionKind;

/// A row whose age is underestimated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnderestimatedAge {
    /// Who does.
    pub front: usize,
    /// Whose row.
    pub member: MemberId,
    /// The version that is known.
    pub version: u64,
    /// The age that the front states.
    pub stated: Duration,
    /// The true age.
    pub truth: Duration,
}

/// A row of which an older version is known than before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionRegression {
    /// By whom.
    pub known_by: MemberId,
    /// Whose row.
    pub member: MemberId,
    /// The version that was known.
    pub before: u64,
}

impl Cluster {
    /// The age of a version: the time since it was its front's current one.
    fn true_age(&self, member: MemberId, version: u64) -> Duration {
        let superseded_at = self.superseded_at.get(&member).and_then(|versions| versions.get(&version));
        superseded_at.map_or(Duration::ZERO, |at| self.now - *at)
    }

    /// A row whose stated age is below the true one, if there is any.
    pub fn underestimated_age(&self) -> Option<UnderestimatedAge> {
        self.running().find_map(|front| {
            self.node(front).gossip.rows(self.clock(front)).find_map(|row| {
                let truth = self.true_age(row.member, row.version);
                let (member, version, stated) = (row.member, row.version, row.age);
                (stated < truth).then_some(UnderestimatedAge { front, member, version, stated, truth })
            })
        })
    }

    /// A row of which an older version is known than at the last call, if there is any.
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

    /// The stated ages of all running fronts' rows at all others; none: the row is unknown.
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

    /// Whether all running fronts know the same sections of all running fronts.
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
