//! The outcomes of this front's own attempts, in a window that slides by slices.

mod zone_context;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use self::zone_context::ZoneContext;
use crate::detection::TitleAtServer;
use crate::report::{
    AttemptCounts, MAX_SERVERS, MAX_TITLES, MAX_VIEWERS, Report, ServerInstance, ServerReport, TitleReport,
    ViewerReport,
};

/// Slices of a window.
const SLICES: u32 = 10;
/// The shortest slice.
const MIN_SLICE: Duration = Duration::from_millis(1);
/// Maximum number of servers, titles at servers, and viewers in one slice. Others are not counted.
const MAX_KEYS: usize = 4_096;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The server accepted it in time.
    Success,
    /// The server accepted it, later than the settings allow.
    Slow,
    /// An error, or no connection.
    Error,
    /// No answer in time.
    Timeout,
    /// The server found the request itself at fault.
    Declined,
}

/// An attempt that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// The server.
    pub instance: ServerInstance,
    /// The server's zone.
    pub zone: u16,
    /// The title: see [`crate::title_key`].
    pub title: u32,
    /// A hash of the viewer's address, if it is known.
    pub viewer: Option<u64>,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether it was a probe of an ejected server, under the lease for it.
    pub is_probe: bool,
}

/// Attempts, and how many of them failed.
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

#[derive(Debug, Clone, Default)]
struct Slice {
    number: u64,
    servers: BTreeMap<ServerInstance, AttemptCounts>,
    titles: BTreeMap<TitleAtServer, Ratio>,
    viewers: BTreeMap<u64, Ratio>,
}

/// Whether a map has a key, or room for it.
fn has_room<K: Ord, V>(map: &BTreeMap<K, V>, key: &K) -> bool {
    map.len() < MAX_KEYS || map.contains_key(key)
}

impl Slice {
    fn count_viewer(&mut self, attempt: &Attempt) {
        if let Some(viewer) = attempt.viewer.filter(|viewer| has_room(&self.viewers, viewer)) {
            self.viewers.entry(viewer).or_default().count(attempt.outcome == Outcome::Declined);
        }
    }

    /// Counts an attempt that was not declined; false: there is no room for its server.
    fn count_server(&mut self, attempt: &Attempt) -> bool {
        if !has_room(&self.servers, &attempt.instance) {
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
        if has_room(&self.titles, &key) {
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
    /// An empty window of a front in this zone.
    pub fn new(window: Duration, zone: u16) -> AttemptWindow {
        AttemptWindow {
            slice_length: (window / SLICES).max(MIN_SLICE),
            slices: VecDeque::new(),
            zone_context: ZoneContext::new(window, zone),
        }
    }

    fn slice_number(&self, now: Duration) -> u64 {
        u64::try_from(now.as_nanos() / self.slice_length.as_nanos()).unwrap_or(u64::MAX)
    }

    /// Drops slices that are out of the window.
    fn slide(&mut self, now: Duration) {
        let number = self.slice_number(now);
        let is_old = |slice: &Slice| slice.number + u64::from(SLICES) <= number;
        while self.slices.front().is_some_and(is_old) {
            self.slices.pop_front();
        }
    }

    /// Records an attempt that ends now.
    pub fn record(&mut self, now: Duration, attempt: Attempt) {
        self.slide(now);
        let number = self.slice_number(now);
        if self.slices.back().is_none_or(|slice| slice.number < number) {
            self.slices.push_back(Slice { number, ..Slice::default() });
        }
        let Some(slice) = self.slices.back_mut() else { return };
        slice.count_viewer(&attempt);
        if attempt.outcome == Outcome::Declined || !slice.count_server(&attempt) {
            return;
        }
        slice.count_title(&attempt);
        self.zone_context.record(now, &attempt);
    }

    /// The attempts at each server in the window.
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

    /// Servers with failures and those that were requested first, then those with the most attempts.
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

    /// Titles with failures, those with the most first.
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

    /// Viewers with declined requests, those with the most first.
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

    /// The report for the other fronts. `requested` are servers that any front finds failing: they are reported even if all attempts
    /// at them succeeded.
    pub fn report(&mut self, now: Duration, requested: &BTreeSet<u32>) -> Report {
        self.slide(now);
        Report {
            servers: self.server_reports(requested),
            titles: self.title_reports(),
            viewers: self.viewer_reports(),
        }
    }
}
