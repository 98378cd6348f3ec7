//! Ejection of outliers, and readmission of the servers through probes and probation.

mod probing;
mod result;

use std::collections::BTreeMap;
use std::time::Duration;

use self::probing::ProbeSchedule;
pub use self::result::{EjectionEvent, Evaluation, Exclusion};
use crate::detection::{Outlier, ServerLocations, TitleAtServer, detect_outliers, detect_title_outliers};
use crate::fault_injection::Fault;
use crate::front_reports::FrontReports;
use crate::report::{AttemptCounts, ServerInstance};
use crate::settings::DetectionSettings;

/// Fraction of the sessions that are offered a server in each step of its probation, in thousandths.
const PROBATION_STEPS: [u16; 3] = [125, 250, 500];
/// Number of steps of a probation.
const PROBATION_STEP_COUNT: u32 = 3;
/// The fraction of all sessions, in thousandths.
const ALL_SESSIONS_PER_MILLE: u16 = 1_000;
/// Tolerance for comparing capacities, which are sums of floating-point numbers.
const CAPACITY_TOLERANCE: f64 = 1e-9;

/// The state of a server that was detected as an outlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum EjectionState {
    /// The server is offered to no session.
    Ejected { since: Duration, last_detected: Duration },
    /// The server is offered to a fraction of the sessions that rises in steps.
    Probation { since: Duration },
}

/// The end of this front's last probe of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct LastProbe {
    ended_at: Duration,
    succeeded: bool,
}

/// The ejection of one server instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Ejection {
    state: EjectionState,
    failing_fronts: u32,
    last_probe: Option<LastProbe>,
}

impl Ejection {
    fn new(now: Duration, failing_fronts: u32) -> Ejection {
        let state = EjectionState::Ejected { since: now, last_detected: now };
        Ejection { state, failing_fronts, last_probe: None }
    }

    fn is_ejected(&self) -> bool {
        matches!(self.state, EjectionState::Ejected { .. })
    }
}

/// The ejections of media servers, as one front applies them.
#[derive(Debug, Clone)]
pub struct OutlierDetector {
    settings: DetectionSettings,
    ejections: BTreeMap<ServerInstance, Ejection>,
    /// Outliers that are not ejected because of the ejection limit, with the time of their first detection.
    suppressed: BTreeMap<ServerInstance, Duration>,
    /// Titles that were detected as outliers, with the time of the last detection.
    titles: BTreeMap<TitleAtServer, Duration>,
    probes: ProbeSchedule,
}

impl OutlierDetector {
    /// Creates a detector without ejections.
    pub fn new(settings: DetectionSettings) -> OutlierDetector {
        OutlierDetector {
            settings,
            ejections: BTreeMap::new(),
            suppressed: BTreeMap::new(),
            titles: BTreeMap::new(),
            probes: ProbeSchedule::default(),
        }
    }

    /// Returns the settings of the detector.
    pub fn settings(&self) -> &DetectionSettings {
        &self.settings
    }

    /// Returns the servers that are ejected or on probation.
    pub fn ejections(&self) -> impl Iterator<Item = ServerInstance> {
        self.ejections.keys().copied()
    }

    /// Returns the server that this front is probing, or `None` if there is no probe.
    pub fn probing(&self) -> Option<ServerInstance> {
        self.probes.current()
    }

    /// Records that an attempt at the server that this front is probing has ended.
    pub fn probe_ended(&mut self, now: Duration, instance: ServerInstance, succeeded: bool) {
        if !self.probes.end(instance) {
            return;
        }
        if let Some(ejection) = self.ejections.get_mut(&instance) {
            ejection.last_probe = Some(LastProbe { ended_at: now, succeeded });
            if let EjectionState::Ejected { last_detected, .. } = &mut ejection.state
                && !succeeded
            {
                // A failed probe of this front counts as a detection by this front.
                *last_detected = now;
            }
        }
        if !succeeded {
            self.probes.hold_lease_until(now + self.settings.probe_retry_delay);
        }
    }

    /// Updates the ejections from the reports of all fronts and returns the result.
    ///
    /// - `reports` contains only reports that have not expired, see [`FrontReports::fresh`].
    /// - `current_instance` returns the running instance of a server, as far as this front knows it.
    /// - `has_probe_lease` states whether this front holds the probe lease at `now`.
    pub fn evaluate(
        &mut self,
        now: Duration,
        reports: &FrontReports,
        servers: &ServerLocations,
        current_instance: impl Fn(u32) -> ServerInstance,
        has_probe_lease: bool,
    ) -> Evaluation {
        let ignores_instance = self.settings.has_fault(Fault::IgnoresInstance);
        let is_current =
            |instance: ServerInstance| current_instance(instance.server) == instance || ignores_instance;
        let mut events = self.drop_replaced_instances(|instance| {
            is_current(instance) && servers.contains_key(&instance.server)
        });
        for outlier in detect_outliers(&self.settings, servers, reports) {
            if is_current(outlier.instance) {
                events.extend(self.apply_outlier(now, outlier, servers));
            }
        }
        let ejection_time = self.settings.ejection_time;
        self.suppressed.retain(|_, detected| now.saturating_sub(*detected) < ejection_time);
        self.update_titles(now, reports, is_current);
        let finished = self.finished_probations(now);
        self.start_probations(now, reports, &mut events);
        for instance in finished {
            self.ejections.remove(&instance);
            events.push(EjectionEvent::Reinstated(instance));
        }
        let wants_probe_lease = self.probes.update(&self.settings, now, &self.ejections, has_probe_lease);
        Evaluation {
            exclusions: self.exclusions(now),
            excluded_titles: self.titles.keys().copied().collect(),
            wants_probe_lease,
            probing: self.probing(),
            events,
        }
    }

    /// Removes the ejections of instances that are no longer running or listed. A new instance starts without an ejection.
    fn drop_replaced_instances(&mut self, is_listed: impl Fn(ServerInstance) -> bool) -> Vec<EjectionEvent> {
        let replaced: Vec<ServerInstance> =
            self.ejections().filter(|instance| !is_listed(*instance)).collect();
        for instance in &replaced {
            self.ejections.remove(instance);
        }
        replaced.into_iter().map(EjectionEvent::InstanceReplaced).collect()
    }

    /// Ejects an outlier or extends its ejection.
    fn apply_outlier(
        &mut self,
        now: Duration,
        outlier: Outlier,
        servers: &ServerLocations,
    ) -> Option<EjectionEvent> {
        let instance = outlier.instance;
        let is_within_limit = self.is_within_ejection_limit(instance, servers);
        match self.ejections.get_mut(&instance) {
            Some(Ejection {
                state: EjectionState::Ejected { last_detected, .. }, failing_fronts, ..
            }) => {
                *last_detected = now;
                *failing_fronts = outlier.failing_fronts;
                None
            }
            Some(on_probation) => {
                *on_probation = Ejection::new(now, outlier.failing_fronts);
                Some(EjectionEvent::Ejected(outlier))
            }
            None if is_within_limit => {
                self.ejections.insert(instance, Ejection::new(now, outlier.failing_fronts));
                self.suppressed.remove(&instance);
                Some(EjectionEvent::Ejected(outlier))
            }
            None => {
                let is_new = self.suppressed.insert(instance, now).is_none();
                is_new.then_some(EjectionEvent::EjectionSuppressed(outlier))
            }
        }
    }

    /// Returns whether a server may be ejected in addition to those of its zone that are ejected or on probation.
    ///
    /// The servers are weighted by capacity.
    fn is_within_ejection_limit(&self, instance: ServerInstance, servers: &ServerLocations) -> bool {
        let Some(server) = servers.get(&instance.server) else { return false };
        let capacity: f64 =
            servers.values().filter(|other| other.zone == server.zone).map(|other| other.capacity).sum();
        let ejected: f64 = self
            .ejections
            .keys()
            .filter_map(|ejected| servers.get(&ejected.server))
            .filter(|other| other.zone == server.zone)
            .map(|other| other.capacity)
            .sum();
        let limit =
            capacity * f64::from(self.settings.max_ejection_per_mille) / f64::from(ALL_SESSIONS_PER_MILLE);
        ejected + server.capacity <= limit + CAPACITY_TOLERANCE
            || self.settings.has_fault(Fault::NoEjectionLimit)
    }

    /// Excludes titles that are detected as outliers, for as long as the probe of a server would be delayed.
    fn update_titles(
        &mut self,
        now: Duration,
        reports: &FrontReports,
        is_current: impl Fn(ServerInstance) -> bool,
    ) {
        for title in detect_title_outliers(&self.settings, reports) {
            if is_current(title.instance) {
                self.titles.insert(title, now);
            }
        }
        let never_expires = self.settings.has_fault(Fault::NoExpiry);
        let exclusion_time = self.settings.probe_delay;
        self.titles.retain(|title, detected| {
            let is_recent = now.saturating_sub(*detected) < exclusion_time;
            is_current(title.instance) && (is_recent || never_expires)
        });
    }

    /// Ends ejections that have enough successful probes or have expired, and starts the probations.
    fn start_probations(&mut self, now: Duration, reports: &FrontReports, events: &mut Vec<EjectionEvent>) {
        let settings = self.settings;
        for (instance, ejection) in &mut self.ejections {
            let EjectionState::Ejected { since, last_detected } = ejection.state else { continue };
            let is_expired = now.saturating_sub(last_detected) >= settings.ejection_time
                && !settings.has_fault(Fault::NoExpiry);
            // After this delay, probes from before an earlier probation have left all windows.
            let counts_probes = now.saturating_sub(since) >= settings.probe_delay;
            if counts_probes && has_enough_probes(&settings, reports, *instance) {
                events.push(EjectionEvent::ProbesSucceeded(*instance));
            } else if is_expired {
                events.push(EjectionEvent::EjectionExpired(*instance));
            } else {
                continue;
            }
            ejection.state = EjectionState::Probation { since: now };
        }
    }

    fn finished_probations(&self, now: Duration) -> Vec<ServerInstance> {
        let duration = self.settings.probation_step * PROBATION_STEP_COUNT;
        let is_finished = |ejection: &Ejection| match ejection.state {
            EjectionState::Probation { since } => now.saturating_sub(since) >= duration,
            EjectionState::Ejected { .. } => false,
        };
        let finished = self.ejections.iter().filter(|(_, ejection)| is_finished(ejection));
        finished.map(|(instance, _)| *instance).collect()
    }

    /// Returns the servers that are not offered to all sessions, in descending order of their failing fronts.
    fn exclusions(&self, now: Duration) -> Vec<Exclusion> {
        let mut ejections: Vec<(ServerInstance, &Ejection)> =
            self.ejections.iter().map(|(instance, ejection)| (*instance, ejection)).collect();
        ejections.sort_by_key(|(instance, ejection)| (u32::MAX - ejection.failing_fronts, *instance));
        let exclusion = |(instance, ejection): (ServerInstance, &Ejection)| Exclusion {
            instance,
            admitted_per_mille: self.admitted_per_mille(now, instance, ejection),
        };
        let is_excluded = |server: &Exclusion| server.admitted_per_mille < ALL_SESSIONS_PER_MILLE;
        ejections.into_iter().map(exclusion).filter(is_excluded).collect()
    }

    fn admitted_per_mille(&self, now: Duration, instance: ServerInstance, ejection: &Ejection) -> u16 {
        match ejection.state {
            _ if self.probing() == Some(instance) => ALL_SESSIONS_PER_MILLE,
            EjectionState::Ejected { .. } => 0,
            EjectionState::Probation { .. } if self.settings.has_fault(Fault::NoProbation) => {
                ALL_SESSIONS_PER_MILLE
            }
            EjectionState::Probation { since } => {
                let step =
                    now.saturating_sub(since).as_nanos() / self.settings.probation_step.as_nanos().max(1);
                let step = usize::try_from(step).unwrap_or(usize::MAX);
                PROBATION_STEPS.get(step).copied().unwrap_or(ALL_SESSIONS_PER_MILLE)
            }
        }
    }
}

/// Returns whether enough fronts report successful probes of a server, and more of them than report failed ones.
fn has_enough_probes(settings: &DetectionSettings, reports: &FrontReports, instance: ServerInstance) -> bool {
    let fronts_with = |probes: fn(&AttemptCounts) -> u8| {
        let counts =
            |report: &crate::FrontReport| report.report.counts_of(instance).is_some_and(|c| probes(c) > 0);
        reports.iter().filter(|(_, report)| counts(report)).count()
    };
    let succeeded = fronts_with(|counts| counts.probe_successes);
    let failed = fronts_with(|counts| counts.probe_failures);
    let required = if settings.has_fault(Fault::OneProbe) { 1 } else { settings.required_probes };
    succeeded >= required && succeeded > failed
}
