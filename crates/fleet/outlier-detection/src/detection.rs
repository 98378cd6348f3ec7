//! Detection of outliers by pure functions of all fronts' reports.

use std::collections::{BTreeMap, BTreeSet};

use crate::fault_injection::Fault;
use crate::front_reports::FrontReports;
use crate::report::{AttemptCounts, ServerInstance, TitleReport};
use crate::settings::DetectionSettings;

/// Maximum number of failures that count per front, so that no front outweighs the others.
const MAX_FAILURES_PER_FRONT: u32 = 3;
/// Number of requests below which a viewer is not evaluated.
const MIN_VIEWER_REQUESTS: u16 = 4;

/// The zone and capacity of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerLocation {
    /// The server's zone.
    pub zone: u16,
    /// The server's capacity, its weight within the zone.
    pub capacity: f64,
}

/// All servers of the endpoint list, by their indices in it.
pub type ServerLocations = BTreeMap<u32, ServerLocation>;

/// A server that is detected as an outlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Outlier {
    /// The server.
    pub instance: ServerInstance,
    /// Number of fronts that find the server failing.
    pub failing_fronts: u32,
    /// Number of fronts that find the server healthy.
    pub healthy_fronts: u32,
    /// Number of failures that the failing fronts have observed.
    pub failures: u32,
}

/// A title at one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TitleAtServer {
    /// The server.
    pub instance: ServerInstance,
    /// The key of the title, from [`crate::title_key`].
    pub title: u32,
}

/// Totals of what fronts report about one server or title.
#[derive(Debug, Default)]
struct Tally {
    /// The zone of each front that finds the server or title failing.
    failing_zones: Vec<u16>,
    healthy_fronts: u32,
    failures: u32,
}

impl Tally {
    fn add_failing(&mut self, zone: u16, failures: u32) {
        self.failing_zones.push(zone);
        self.failures += failures.min(MAX_FAILURES_PER_FRONT);
    }

    fn failing_fronts(&self) -> u32 {
        u32::try_from(self.failing_zones.len()).unwrap_or(u32::MAX)
    }

    fn has_enough_failures(&self, settings: &DetectionSettings) -> bool {
        has_quorum(settings, &self.failing_zones) && self.failures >= settings.min_failures
    }

    fn is_outlier(&self, settings: &DetectionSettings) -> bool {
        let is_outvoted = if settings.has_fault(Fault::OneHealthyFrontVetoes) {
            self.healthy_fronts > 0
        } else {
            self.failing_fronts() < 2 * self.healthy_fronts.saturating_sub(1)
        };
        self.has_enough_failures(settings) && !is_outvoted
    }
}

/// Returns whether a report of a failing server counts.
///
/// It counts if, while the server failed, the front's attempts at other servers of the zone succeeded at least as often as they
/// failed. This excludes fronts for which all attempts fail and fronts that are or were partitioned from the zone. Successes before
/// or after the failures say nothing about the time between.
fn is_credible(settings: &DetectionSettings, counts: &AttemptCounts) -> bool {
    (counts.zone_successes > 0 && counts.zone_successes >= counts.zone_failures)
        || settings.has_fault(Fault::TrustsFailingFronts)
}

/// Returns whether fronts in these zones suffice for a detection when any one of them is not counted.
fn has_quorum(settings: &DetectionSettings, zones: &[u16]) -> bool {
    if settings.has_fault(Fault::OneFront) {
        return !zones.is_empty();
    }
    let mut by_zone: BTreeMap<u16, usize> = BTreeMap::new();
    zones.iter().for_each(|zone| *by_zone.entry(*zone).or_default() += 1);
    let has_fronts = zones.len().saturating_sub(1) >= settings.min_fronts;
    let has_zones = by_zone.len() >= 3 || (by_zone.len() == 2 && by_zone.values().all(|fronts| *fronts >= 2));
    has_fronts && (has_zones || settings.has_fault(Fault::OneZone))
}

fn tally(settings: &DetectionSettings, reports: &FrontReports, instance: ServerInstance) -> Tally {
    let is_same = |other: ServerInstance| {
        other == instance || (settings.has_fault(Fault::IgnoresInstance) && other.server == instance.server)
    };
    let mut tally = Tally::default();
    for (_, front) in reports.iter() {
        let server = front.report.servers.iter().find(|server| is_same(server.instance));
        let Some(counts) = server.map(|server| server.counts) else { continue };
        if counts.is_failing() && is_credible(settings, &counts) {
            tally.add_failing(front.zone, counts.failures());
        } else if counts.is_healthy() {
            tally.healthy_fronts += 1;
        }
    }
    tally
}

/// Returns the servers that the reports show to be outliers, in descending order of their failing fronts.
///
/// Fronts that have the same reports and the same list of servers get the same result.
pub fn detect_outliers(
    settings: &DetectionSettings,
    servers: &ServerLocations,
    reports: &FrontReports,
) -> Vec<Outlier> {
    let failing: BTreeSet<ServerInstance> = reports
        .iter()
        .flat_map(|(_, front)| &front.report.servers)
        .filter(|server| server.counts.is_failing())
        .map(|server| server.instance)
        .collect();
    let mut outliers: Vec<Outlier> = Vec::new();
    for instance in failing {
        let tally = tally(settings, reports, instance);
        if servers.contains_key(&instance.server) && tally.is_outlier(settings) {
            outliers.push(Outlier {
                instance,
                failing_fronts: tally.failing_fronts(),
                healthy_fronts: tally.healthy_fronts,
                failures: tally.failures,
            });
        }
    }
    outliers
        .sort_by_key(|outlier| (u32::MAX - outlier.failing_fronts, outlier.healthy_fronts, outlier.instance));
    outliers
}

/// Returns whether most of a front's attempts at a server for other titles succeeded.
fn plays_other_titles(counts: &AttemptCounts, title: &TitleReport) -> bool {
    let attempts = u32::from(counts.attempts).saturating_sub(u32::from(title.attempts));
    let failures = counts.failures().saturating_sub(u32::from(title.failures));
    attempts > 0 && failures * 2 < attempts
}

/// Returns the titles that a server fails to play although it plays other titles.
pub fn detect_title_outliers(settings: &DetectionSettings, reports: &FrontReports) -> Vec<TitleAtServer> {
    let mut tallies: BTreeMap<TitleAtServer, Tally> = BTreeMap::new();
    for (_, front) in reports.iter() {
        for title in &front.report.titles {
            let is_failing = title.failures > 0 && u32::from(title.failures) * 2 >= u32::from(title.attempts);
            let counts = front.report.counts_of(title.instance);
            if is_failing && counts.is_some_and(|counts| plays_other_titles(counts, title)) {
                let key = TitleAtServer { instance: title.instance, title: title.title };
                tallies.entry(key).or_default().add_failing(front.zone, u32::from(title.failures));
            }
        }
    }
    let outliers = tallies.into_iter().filter(|(_, tally)| tally.has_enough_failures(settings));
    outliers.map(|(key, _)| key).collect()
}

/// Returns the viewers for whom more than [`DetectionSettings::min_fronts`] fronts report that at least half of the requests are
/// declined.
///
/// The caller logs a warning about these viewers. Their requests are treated as any other's.
pub fn detect_viewer_outliers(settings: &DetectionSettings, reports: &FrontReports) -> Vec<u64> {
    let mut fronts_by_viewer: BTreeMap<u64, usize> = BTreeMap::new();
    for viewer in reports.iter().flat_map(|(_, front)| &front.report.viewers) {
        let is_mostly_declined = u32::from(viewer.declined) * 2 >= u32::from(viewer.requests);
        if viewer.requests >= MIN_VIEWER_REQUESTS && is_mostly_declined {
            *fronts_by_viewer.entry(viewer.viewer).or_default() += 1;
        }
    }
    let outliers = fronts_by_viewer.into_iter().filter(|(_, fronts)| *fronts > settings.min_fronts);
    outliers.map(|(viewer, _)| viewer).collect()
}
