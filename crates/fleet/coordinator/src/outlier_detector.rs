//! A front's part in the outlier detection of the fleet.
//!
//! A separate thread writes the report of this front's attempts into its gossip row, evaluates the reports in all rows, and
//! acquires the probe lease when a probe is due. The front's own threads record attempts and read the evaluation. They never
//! wait for the network.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use beechloft_gossip::SectionKind;
use beechloft_leases::{Holder, HolderId, HolderInput, HolderOutput, LeaseSpec, Name, Request};
use beechloft_outlier_detection::{
    Attempt, AttemptCounts, AttemptWindow, EjectionEvent, Evaluation, FrontId, FrontReport, FrontReports,
    Outcome, OutlierDetector as Detector, Report, ServerInstance, ServerLocations, ServerReport,
    detect_viewer_outliers,
};
use tracing::{info, warn};

use crate::client::LeaderConnection;
use crate::membership::MembershipService;
use crate::settings::{FleetSettings, OutlierDetectionSettings};

/// Maximum wait of the thread before it checks the clock.
const MAX_WAIT: Duration = Duration::from_millis(20);
/// Interval between evaluations.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);
const STACK_BYTES: usize = 256 << 10;
/// Index of a zone that the settings do not list.
const UNKNOWN_ZONE: u16 = u16::MAX;
/// For tests: number of attempts that an inverted report claims for each media server.
const INVERTED_REPORT_ATTEMPTS: u16 = 9;
/// For tests: number of successes in the zone that an inverted report claims for each media server.
const INVERTED_REPORT_ZONE_SUCCESSES: u8 = 9;
/// For tests: maximum number of media servers in an inverted report.
const INVERTED_REPORT_SERVERS: usize = 20;

/// An attempt to set up a session that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptReport {
    /// The id of the media server.
    pub server: u32,
    /// The key of the title, see [`beechloft_outlier_detection::title_key`].
    pub title: u32,
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// The time since the attempt was sent.
    pub age: Duration,
}

/// A boot of a media server's process.
#[derive(Debug, Clone, Copy)]
struct ServerBoot {
    id: u64,
    /// Time at which this front first observed the boot.
    observed_at: Duration,
}

struct State {
    attempts: AttemptWindow,
    detector: Detector,
    /// The reports of all fronts.
    reports: FrontReports,
    locations: ServerLocations,
    /// The last known boot of each media server.
    boots: BTreeMap<u32, ServerBoot>,
    evaluation: Evaluation,
    /// The viewers that were detected as outliers at the last evaluation.
    outlier_viewers: Vec<u64>,
}

struct Shared {
    settings: OutlierDetectionSettings,
    zones: Vec<String>,
    membership: Arc<MembershipService>,
    state: Mutex<State>,
    /// The version of the evaluation, incremented with each change.
    version: AtomicU64,
    stop: AtomicBool,
}

/// A front's part in outlier detection. Its thread ends soon after it is dropped, and the drop does not wait for it.
pub struct OutlierDetector {
    shared: Arc<Shared>,
}

impl OutlierDetector {
    /// Starts the thread.
    ///
    /// # Errors
    /// Returns an error if the thread can't be started.
    pub fn start(
        settings: &FleetSettings,
        detection: OutlierDetectionSettings,
        membership: Arc<MembershipService>,
    ) -> io::Result<OutlierDetector> {
        let zone = zone_index(&settings.zones, &settings.zone.to_string());
        let state = State {
            attempts: AttemptWindow::new(detection.rules.window, zone),
            detector: Detector::new(detection.rules),
            reports: FrontReports::default(),
            locations: ServerLocations::new(),
            boots: BTreeMap::new(),
            evaluation: Evaluation::default(),
            outlier_viewers: Vec::new(),
        };
        let shared = Arc::new(Shared {
            settings: detection,
            zones: settings.zones.clone(),
            membership,
            state: Mutex::new(state),
            version: AtomicU64::new(0),
            stop: AtomicBool::new(false),
        });
        let name = Name::try_from("verdict/trial".to_owned()).map_err(io::Error::other)?;
        let spec = LeaseSpec { name, slots: 1, ttl_ms: detection.probe_lease_ttl_ms };
        let holder = Holder::new(HolderId(rand::random()), spec, settings.drift_bound, rand::random());
        let (worker, connection) = (Arc::clone(&shared), LeaderConnection::new(settings.clone()));
        thread::Builder::new()
            .name("verdicts".into())
            .stack_size(STACK_BYTES)
            .spawn(move || worker.run(holder, connection))?;
        Ok(OutlierDetector { shared })
    }

    /// Sets the media servers of the endpoint list and their locations.
    pub fn set_servers(&self, locations: ServerLocations) {
        self.shared.state().locations = locations;
    }

    /// Records the boot id that a media server's process has reported.
    pub fn server_booted(&self, server: u32, boot: u64) {
        let now = self.shared.membership.now();
        let mut state = self.shared.state();
        if state.boots.get(&server).is_none_or(|known| known.id != boot) {
            state.boots.insert(server, ServerBoot { id: boot, observed_at: now });
        }
    }

    /// Records an attempt that has ended.
    pub fn attempt_ended(&self, attempt: AttemptReport) {
        let now = self.shared.membership.now();
        let mut state = self.shared.state();
        let boot = state.boots.get(&attempt.server).copied();
        // The attempt may have been made at the media server's previous process.
        if boot.is_some_and(|boot| now.saturating_sub(attempt.age) < boot.observed_at) {
            return;
        }
        let instance = ServerInstance::new(attempt.server, boot.map(|boot| boot.id));
        let is_probe = state.detector.probing() == Some(instance);
        let (title, outcome) = (attempt.title, attempt.outcome);
        let zone = state.locations.get(&attempt.server).map_or(UNKNOWN_ZONE, |location| location.zone);
        state.attempts.record(now, Attempt { instance, zone, title, viewer: None, outcome, is_probe });
        if is_probe && outcome != Outcome::Declined {
            let success = outcome == Outcome::Success;
            info!(server = instance.server, success, "probe ended");
            state.detector.probe_ended(now, instance, success);
            drop(state);
            // Evaluated at once, so that the media server is sent no second attempt before the thread's next evaluation.
            self.shared.evaluate(now, false);
        }
    }

    /// Returns the latest evaluation and its version, or `None` if the version is still `known_version`.
    pub fn evaluation_since(&self, known_version: u64) -> Option<(u64, Evaluation)> {
        let version = self.shared.version.load(Ordering::Acquire);
        if version == known_version {
            return None;
        }
        let state = self.shared.state();
        Some((self.shared.version.load(Ordering::Acquire), state.evaluation.clone()))
    }

    /// Returns the maximum part of a title's ready holders that may be excluded, per mille.
    pub fn max_ejected_per_mille(&self) -> u16 {
        self.shared.settings.rules.max_ejection_per_mille
    }

    /// Returns the duration above which an attempt is slow.
    pub fn slow_threshold(&self) -> Duration {
        self.shared.settings.slow_threshold
    }
}

impl Drop for OutlierDetector {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
    }
}

/// Returns the index of a zone in the settings, or [`UNKNOWN_ZONE`] if they do not list it.
fn zone_index(zones: &[String], zone: &str) -> u16 {
    let index = zones.iter().position(|listed| listed == zone);
    index.and_then(|index| u16::try_from(index).ok()).unwrap_or(UNKNOWN_ZONE)
}

/// Returns the current instance of a media server.
fn instance_of(boots: &BTreeMap<u32, ServerBoot>, server: u32) -> ServerInstance {
    ServerInstance::new(server, boots.get(&server).map(|boot| boot.id))
}

/// For tests: returns the report of a front that claims the opposite of what it has observed.
fn invert_report(
    mut report: Report,
    locations: &ServerLocations,
    boots: &BTreeMap<u32, ServerBoot>,
) -> Report {
    let invert = |server: &u32| {
        let instance = instance_of(boots, *server);
        let is_failing = report.counts_of(instance).is_some_and(AttemptCounts::is_failing);
        ServerReport {
            instance,
            counts: AttemptCounts {
                attempts: INVERTED_REPORT_ATTEMPTS,
                errors: if is_failing { 0 } else { INVERTED_REPORT_ATTEMPTS },
                zone_successes: INVERTED_REPORT_ZONE_SUCCESSES,
                probe_successes: u8::from(is_failing),
                ..AttemptCounts::default()
            },
        }
    };
    report.servers = locations.keys().take(INVERTED_REPORT_SERVERS).map(invert).collect();
    report
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(&self, mut holder: Holder, mut connection: LeaderConnection) {
        let mut next_evaluation = Duration::ZERO;
        while !self.stop.load(Ordering::Relaxed) {
            let input = connection.receive_input(MAX_WAIT).unwrap_or(HolderInput::Tick);
            let now = self.membership.now();
            let mut requests = handle_holder(&mut holder, now, input);
            if now >= next_evaluation {
                next_evaluation = now + EVALUATION_INTERVAL;
                self.read_rows();
                let wants_lease = self.evaluate(now, holder.permit(now).is_some());
                let lease_input = if wants_lease { HolderInput::Acquire } else { HolderInput::Release };
                requests.extend(handle_holder(&mut holder, now, lease_input));
                self.write_row(now);
            }
            for request in requests {
                connection.send_request(request);
            }
        }
    }

    /// Reads the reports in all rows, and drops those that are too old.
    fn read_rows(&self) {
        let rows = self.membership.sections(SectionKind::OUTLIER_REPORT);
        let mut ages = BTreeMap::new();
        let mut state = self.state();
        for row in rows {
            let front = FrontId(row.member.0);
            ages.insert(front, row.age);
            if state.reports.get(front).is_some_and(|known| known.version >= row.version) {
                continue;
            }
            let Ok(report) = Report::decode(&row.bytes) else { continue };
            let zone = zone_index(&self.zones, &row.zone);
            let front_report = FrontReport { version: row.version, zone, report };
            state.reports.insert(&self.settings.rules, front, front_report);
        }
        let rules = self.settings.rules;
        let fresh = state.reports.fresh(&rules, |front| ages.get(&front).copied());
        state.reports = fresh;
    }

    /// Evaluates the reports and logs what has changed. Returns whether this front wants the probe lease.
    fn evaluate(&self, now: Duration, has_probe_lease: bool) -> bool {
        let mut state = self.state();
        let State { detector, reports, locations, boots, evaluation, .. } = &mut *state;
        let mut new =
            detector.evaluate(now, reports, locations, |server| instance_of(boots, server), has_probe_lease);
        let events = std::mem::take(&mut new.events);
        let has_changed = new != *evaluation;
        let wants_lease = new.wants_probe_lease;
        if let Some(instance) = new.probing.filter(|instance| evaluation.probing != Some(*instance)) {
            info!(server = instance.server, "probing an ejected media server with one attempt");
        }
        *evaluation = new;
        let viewers = detect_viewer_outliers(&self.settings.rules, reports);
        let new_viewers: Vec<u64> =
            viewers.iter().filter(|viewer| !state.outlier_viewers.contains(viewer)).copied().collect();
        state.outlier_viewers = viewers;
        if has_changed {
            self.version.fetch_add(1, Ordering::Release);
        }
        drop(state);
        events.iter().for_each(log_event);
        for viewer in new_viewers {
            warn!(
                viewer = format_args!("{viewer:016x}"),
                "several fronts report that media servers decline most requests of this viewer"
            );
        }
        wants_lease
    }

    /// Writes the report of this front's attempts into its row.
    fn write_row(&self, now: Duration) {
        let mut state = self.state();
        let failing_servers: BTreeSet<u32> = state
            .reports
            .iter()
            .flat_map(|(_, front_report)| &front_report.report.servers)
            .filter(|server| server.counts.is_failing())
            .map(|server| server.instance.server)
            .collect();
        let State { attempts, locations, boots, .. } = &mut *state;
        let mut report = attempts.report(now, &failing_servers);
        if self.settings.test_inverts_reports {
            report = invert_report(report, locations, boots);
        }
        drop(state);
        if let Err(error) = self.membership.write_section(SectionKind::OUTLIER_REPORT, report.encode()) {
            warn!("outlier report was not gossiped: {error}");
        }
    }
}

/// Handles an input of the probe lease's holder. Returns the requests to be sent.
fn handle_holder(holder: &mut Holder, now: Duration, input: HolderInput) -> Vec<Request> {
    let mut requests = Vec::new();
    for output in holder.handle(now, input) {
        match output {
            HolderOutput::Send(request) => requests.push(request),
            HolderOutput::Acquired(token) => info!(token = token.0, "probe lease acquired"),
            HolderOutput::Lost(token) => info!(token = token.0, "probe lease lost"),
            HolderOutput::Rejected(reason) => warn!("probe lease was permanently rejected: {reason}"),
        }
    }
    requests
}

fn log_event(event: &EjectionEvent) {
    match event {
        EjectionEvent::Ejected(outlier) => info!(
            server = outlier.instance.server,
            boot_hash = outlier.instance.boot_hash,
            failing_fronts = outlier.failing_fronts,
            healthy_fronts = outlier.healthy_fronts,
            failures = outlier.failures,
            "media server ejected"
        ),
        EjectionEvent::EjectionSuppressed(outlier) => warn!(
            server = outlier.instance.server,
            failing_fronts = outlier.failing_fronts,
            healthy_fronts = outlier.healthy_fronts,
            failures = outlier.failures,
            "media server not ejected: the maximum part of its zone is ejected already"
        ),
        EjectionEvent::ProbesSucceeded(instance) => {
            info!(server = instance.server, "probes succeeded: probation begins")
        }
        EjectionEvent::EjectionExpired(instance) => {
            info!(server = instance.server, "ejection expired: probation begins")
        }
        EjectionEvent::Reinstated(instance) => info!(server = instance.server, "media server reinstated"),
        EjectionEvent::InstanceReplaced(instance) => {
            info!(server = instance.server, "media server runs a new process: ejection ended")
        }
    }
}
