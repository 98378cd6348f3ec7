//! Counts of the outcomes of this front's own attempts in a sliding window, which is divided into slices.

mod zone_context;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use self::zone_context::ZoneContext;
use crate::detection::TitleAtServer;
use crate::report::{
    AttemptCounts, MAX_SERVERS, MAX_TITLES, MAX_VIEWERS, Report, ServerInstance, ServerReport, TitleReport,
    ViewerReport,
};

/// Number of slices of a window.
const SLICES: u32 = 10;
/// Minimum length of a slice.
const MIN_SLICE: Duration = Duration::from_millis(1);
/// Maximum number of servers, of titles at servers, and of viewers in one slice. Further ones are not counted.
const MAX_KEYS: usize = 4_096;

/// The outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The server accepted the request in time.
    Success,
    /// The server accepted the request, but later than the settings allow.
    Slow,
    /// The server answered with an error, or no connection was established.
    Error,
    /// The server did not answer in time.
    Timeout,
    /// The server rejected the request as invalid, which does not count against the server.
    Declined,
}

/// An attempt that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// The server.
    pub instance: ServerInstance,
    /// The server's zone.
    pub zone: u16,
    /// The key of the title, from [`crate::title_key`].
    pub title: u32,
    /// Hash of the viewer's address, or `None` if it is unknown.
    pub viewer: Option<u64>,
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// Whether the attempt was a probe of an ejected server, made under the probe lease.
    pub is_probe: bool,
}

/// Numbers of attempts and of failures among them.
#[derive(Debug, Clone, Copy, Default)]
struct Ratio {
    attempts: u16,
    failures: u16,
}

impl Ratio {
    fn count(&mut self, is_failure: bool) {
        increment(&mut self.attempts);
        if is_failure {
            increment(&mut self.failures);
        }
    }

    fn add(&mut self, other: Ratio) {
        self.attempts = self.attempts.saturating_add(other.attempts);
        self.failures = self.failures.saturating_add(other.failures);
    }
}

fn increment(count: &mut u16) {
    *count = count.saturating_add(1);
}

/// The counts of one slice of the window.
#[derive(Debug, Clone, Default)]
struct Slice {
    index: u64,
    servers: BTreeMap<ServerInstance, AttemptCounts>,
    titles: BTreeMap<TitleAtServer, Ratio>,
    viewers: BTreeMap<u64, Ratio>,
}

/// Returns whether a map contains a key or has capacity for it.
fn has_capacity_for<K: Ord, V>(map: &BTreeMap<K, V>, key: &K) -> bool {
    map.len() < MAX_KEYS || map.contains_key(key)
}

impl Slice {
    fn count_viewer(&mut self, attempt: &Attempt) {
        if let Some(viewer) = attempt.viewer.filter(|viewer| has_capacity_for(&self.viewers, viewer)) {
            self.viewers.entry(viewer).or_default().count(attempt.outcome == Outcome::Declined);
        }
    }

    /// Counts an attempt that was not declined. Returns false if there is no capacity for its server.
    fn count_server(&mut self, attempt: &Attempt) -> bool {
        if !has_capacity_for(&self.servers, &attempt.instance) {
            return false;
        }
        let counts = self.servers.entry(attempt.instance).or_default();
        increment(&mut counts.attempts);
        match attempt.outcome {
            Outcome::Error => increment(&mut counts.errors),
            Outcome::Timeout => increment(&mut counts.timeouts),
            Outcome::Slow => increment(&mut counts.slow),
            Outcome::Success | Outcome::Declined => {}
        }
        if attempt.is_probe {
            let is_success = attempt.outcome == Outcome::Success;
            let probes = if is_success { &mut counts.probe_successes } else { &mut counts.probe_failures };
            *probes = probes.saturating_add(1);
        }
        true
    }

    fn count_title(&mut self, attempt: &Attempt) {
        let key = TitleAtServer { instance: attempt.instance, title: attempt.title };
        if has_capacity_for(&self.titles, &key) {
            self.titles.entry(key).or_default().count(attempt.outcome != Outcome::Success);
        }
    }
}

/// The outcomes of this front's own attempts in a sliding window.
#[derive(Debug, Clone)]
pub struct AttemptWindow {
    slice_length: Duration,
    slices: VecDeque<Slice>,
    zone_context: ZoneContext,
}

impl AttemptWindow {
    /// Creates an empty window for a front in the zone `zone`.
    pub fn new(window: Duration, zone: u16) -> AttemptWindow {
        AttemptWindow {
            slice_length: (window / SLICES).max(MIN_SLICE),
            slices: VecDeque::new(),
            zone_context: ZoneContext::new(window, zone),
        }
    }

    fn slice_index(&self, now: Duration) -> u64 {
        u64::try_from(now.as_nanos() / self.slice_length.as_nanos()).unwrap_or(u64::MAX)
    }

    /// Drops the slices that have left the window.
    fn slide(&mut self, now: Duration) {
        let index = self.slice_index(now);
        let is_old = |slice: &Slice| slice.index + u64::from(SLICES) <= index;
        while self.slices.front().is_some_and(is_old) {
            self.slices.pop_front();
        }
    }

    /// Records an attempt that ended at `now`.
    pub fn record(&mut self, now: Duration, attempt: Attempt) {
        self.slide(now);
        let index = self.slice_index(now);
        if self.slices.back().is_none_or(|slice| slice.index < index) {
            self.slices.push_back(Slice { index, ..Slice::default() });
        }
        let Some(slice) = self.slices.back_mut() else { return };
        slice.count_viewer(&attempt);
        if attempt.outcome == Outcome::Declined || !slice.count_server(&attempt) {
            return;
        }
        slice.count_title(&attempt);
        self.zone_context.record(now, &attempt);
    }

    /// Returns the counts of each server in the window.
    fn server_counts(&self) -> BTreeMap<ServerInstance, AttemptCounts> {
        let mut sums: BTreeMap<ServerInstance, AttemptCounts> = BTreeMap::new();
        for (instance, counts) in self.slices.iter().flat_map(|slice| &slice.servers) {
            let sum = sums.entry(*instance).or_default();
            sum.attempts = sum.attempts.saturating_add(counts.attempts);
            sum.errors = sum.errors.saturating_add(counts.errors);
            sum.timeouts = sum.timeouts.saturating_add(counts.timeouts);
            sum.slow = sum.slow.saturating_add(counts.slow);
            sum.probe_successes = sum.probe_successes.saturating_add(counts.probe_successes);
            sum.probe_failures = sum.probe_failures.saturating_add(counts.probe_failures);
        }
        for (instance, sum) in &mut sums {
            if sum.failures() > 0 {
                let others = self.zone_context.others_between_failures(*instance);
                sum.zone_successes = u8::try_from(others.successes).unwrap_or(u8::MAX);
                sum.zone_failures = u8::try_from(others.failures).unwrap_or(u8::MAX);
            }
        }
        sums
    }

    /// Returns the reports of servers that had failures or were requested, then of the others. Within both groups those with the
    /// most attempts come first.
    fn server_reports(&self, requested: &BTreeSet<u32>) -> Vec<ServerReport> {
        let report = |(instance, counts)| ServerReport { instance, counts };
        let mut reports: Vec<ServerReport> = self.server_counts().into_iter().map(report).collect();
        reports.sort_by_key(|server| {
            let is_minor = server.counts.failures() == 0 && !requested.contains(&server.instance.server);
            (is_minor, u16::MAX - server.counts.attempts, server.instance)
        });
        reports.truncate(MAX_SERVERS);
        reports
    }

    /// Returns the reports of titles with failures, in descending order of failures.
    fn title_reports(&self) -> Vec<TitleReport> {
        let mut sums: BTreeMap<TitleAtServer, Ratio> = BTreeMap::new();
        for (key, ratio) in self.slices.iter().flat_map(|slice| &slice.titles) {
            sums.entry(*key).or_default().add(*ratio);
        }
        let failing = sums.into_iter().filter(|(_, ratio)| ratio.failures > 0);
        let report = |(key, ratio): (TitleAtServer, Ratio)| TitleReport {
            instance: key.instance,
            title: key.title,
            attempts: ratio.attempts,
            failures: ratio.failures,
        };
        let mut reports: Vec<TitleReport> = failing.map(report).collect();
        reports.sort_by_key(|title| (u16::MAX - title.failures, title.instance, title.title));
        reports.truncate(MAX_TITLES);
        reports
    }

    /// Returns the reports of viewers with declined requests, in descending order of those requests.
    fn viewer_reports(&self) -> Vec<ViewerReport> {
        let mut sums: BTreeMap<u64, Ratio> = BTreeMap::new();
        for (viewer, ratio) in self.slices.iter().flat_map(|slice| &slice.viewers) {
            sums.entry(*viewer).or_default().add(*ratio);
        }
        let declined = sums.into_iter().filter(|(_, ratio)| ratio.failures > 0);
        let report = |(viewer, ratio): (u64, Ratio)| ViewerReport {
            viewer,
            requests: ratio.attempts,
            declined: ratio.failures,
        };
        let mut reports: Vec<ViewerReport> = declined.map(report).collect();
        reports.sort_by_key(|viewer| (u16::MAX - viewer.declined, viewer.viewer));
        reports.truncate(MAX_VIEWERS);
        reports
    }

    /// Returns the report for the other fronts.
    ///
    /// `requested` contains the servers that any front finds failing. Attempts at them are reported even if all of them succeeded.
    pub fn report(&mut self, now: Duration, requested: &BTreeSet<u32>) -> Report {
        self.slide(now);
        Report {
            servers: self.server_reports(requested),
            titles: self.title_reports(),
            viewers: self.viewer_reports(),
        }
    }
}
