//! The merged reports of all fronts.
//!
//! They are a map from each front to its last report, in which the higher version wins. The map is a state-based CRDT (Shapiro,
//! Preguica, Baquero and Zawirski, "Conflict-free Replicated Data Types", SSS 2011).

use std::collections::BTreeMap;
use std::time::Duration;

use crate::fault_injection::Fault;
use crate::report::Report;
use crate::settings::DetectionSettings;

/// The member id of a front's process. A restarted front has another id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FrontId(pub u64);

/// A front's report with its version and the front's zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FrontReport {
    /// The report's version.
    pub version: u64,
    /// The front's zone, from the member list.
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
    /// Inserts a front's report, unless a newer one is known.
    ///
    /// `settings` matter only for injected faults.
    pub fn insert(&mut self, settings: &DetectionSettings, front: FrontId, report: FrontReport) {
        match self.reports.get_mut(&front) {
            Some(known) if settings.has_fault(Fault::DuplicatesAdded) => add_duplicate(known, &report),
            // Two reports of one version are equal unless one is forged. The greater one wins then, so that all fronts keep the same.
            Some(known) if (known.version, &known.report) >= (report.version, &report.report) => {}
            _ => drop(self.reports.insert(front, report)),
        }
    }

    /// Merges the reports that another front knows.
    ///
    /// The report of `own`, this front itself, is ignored: no other front may replace it.
    pub fn merge(&mut self, settings: &DetectionSettings, own: FrontId, other: &FrontReports) {
        for (front, report) in &other.reports {
            if *front != own || settings.has_fault(Fault::OwnReportFromOthers) {
                self.insert(settings, *front, report.clone());
            }
        }
    }

    /// Returns the reports that are not older than [`DetectionSettings::max_report_age`].
    ///
    /// `age` returns the age of a front's report, or `None` if it is unknown. Reports of unknown age are left out.
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

    /// Returns all reports with their fronts.
    pub fn iter(&self) -> impl Iterator<Item = (FrontId, &FrontReport)> {
        self.reports.iter().map(|(front, report)| (*front, report))
    }

    /// Returns the report of a front, or `None` if there is none.
    pub fn get(&self, front: FrontId) -> Option<&FrontReport> {
        self.reports.get(&front)
    }
}

/// Adds the counts of a duplicate report to the known ones, for [`Fault::DuplicatesAdded`].
fn add_duplicate(known: &mut FrontReport, duplicate: &FrontReport) {
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
