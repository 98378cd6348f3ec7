//! The reports of all fronts, merged: a map from a front to its last report, in which the higher version wins (a state-based CRDT:
//! Shapiro, Preguica, Baquero and Zawirski, "Conflict-free Replicated Data Types", SSS 2011).

use std::collections::BTreeMap;
use std::time::Duration;

use crate::fault_injection::Fault;
use crate::report::Report;
use crate::settings::DetectionSettings;

/// A front's process, by its member id: a restarted one is another front.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FrontId(pub u64);

/// A front's report, with its origin.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FrontReport {
    /// The report's version.
    pub version: u64,
    /// The front's zone, by the member list.
    pub zone: u16,
    /// The report.
    pub report: Report,
}

/// The last known reports of all fronts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct FrontReports {
    reports: BTreeMap<FrontId, FrontReport>,
}

impl FrontReports {
    /// Inserts a front's report, unless a newer one is known. `settings` only carry a test's fault.
    pub fn insert(&mut self, settings: &DetectionSettings, front: FrontId, report: FrontReport) {
        match self.reports.get_mut(&front) {
            Some(known) if settings.has_fault(Fault::DuplicatesAdded) => add(known, &report),
            // Two reports of one version are the same unless one is forged; then the greater one wins at all fronts.
            Some(known) if (known.version, &known.report) >= (report.version, &report.report) => {}
            _ => drop(self.reports.insert(front, report)),
        }
    }

    /// Merges what another front knows. The report of `own` is accepted from nobody.
    pub fn merge(&mut self, settings: &DetectionSettings, own: FrontId, other: &FrontReports) {
        for (front, report) in &other.reports {
            if *front != own || settings.has_fault(Fault::OwnReportFromOthers) {
                self.insert(settings, *front, report.clone());
            }
        }
    }

    /// The reports that are not older than [`DetectionSettings::max_report_age`]. `age` is the age of a front's report, if it is
    /// known.
    pub fn fresh(
        &self,
        settings: &DetectionSettings,
        age: impl Fn(FrontId) -> Option<Duration>,
    ) -> FrontReports {
        let is_fresh = |front: FrontId| {
            age(front).is_some_and(|age| age <= settings.max_report_age)
                || settings.has_fault(Fault::NoExpiry)
        };
        let fresh = self.reports.iter().filter(|(front, _)| is_fresh(**front));
        FrontReports { reports: fresh.map(|(front, report)| (*front, report.clone())).collect() }
    }

    /// All reports.
    pub fn iter(&self) -> impl Iterator<Item = (FrontId, &FrontReport)> {
        self.reports.iter().map(|(front, report)| (*front, report))
    }

    /// A front's report.
    pub fn get(&self, front: FrontId) -> Option<&FrontReport> {
        self.reports.get(&front)
    }
}

/// What [`Fault::DuplicatesAdded`] does.
fn add(known: &mut FrontReport, duplicate: &FrontReport) {
    for server in &duplicate.report.servers {
        let counts = server.counts;
        match known.report.servers.iter_mut().find(|known| known.instance == server.instance) {
            Some(sum) => {
                sum.counts.attempts = sum.counts.attempts.saturating_add(counts.attempts);
                sum.counts.errors = sum.counts.errors.saturating_add(counts.errors);
                sum.counts.timeouts = sum.counts.timeouts.saturating_add(counts.timeouts);
            }
            None => known.report.servers.push(*server),
        }
    }
    known.version = known.version.max(duplicate.version);
}
