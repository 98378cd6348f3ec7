//! A front's part in the fleet's outlier detection, on a thread of its own: its evidence goes into its row, all rows are evaluated,
//! and the lease of trials is acquired when one is due. The front reports its attempts and reads the result at any moment, and
//! waits for a lock at most.

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

/// The thread waits no longer than this before it checks the clock.
const MAX_WAIT: Duration = Duration::from_millis(20);
/// Interval of evaluations.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);
const STACK_BYTES: usize = 256 << 10;
/// Stands for a zone that the settings do not name.
const UNKNOWN_ZONE: u16 = u16::MAX;

/// An attempt to set up a session, once it has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptReport {
    /// The media server.
    pub server: u32,
    /// The title: see [`beechloft_outlier_detection::title_key`].
    pub title: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub age: Duration,
}

struct State {
    ledger: AttemptWindow,
    verdicts: Detector,
    evidence: FrontReports,
    places: ServerLocations,
    /// The run that each box's process names, and since when.
    lives: BTreeMap<u32, (u64, Duration)>,
    outlook: Evaluation,
    viewers: Vec<u64>,
}

struct Shared {
    settings: OutlierDetectionSettings,
    zones: Vec<String>,
    membership: Arc<MembershipService>,
    state: Mutex<State>,
    version: AtomicU64,
    stop: AtomicBool,
}

/// A front's part in outlier detection. Its thread ends soon after it is dropped, without being waited for.
pub struct OutlierDetector {
    shared: Arc<Shared>,
}

impl OutlierDetector {
    /// Starts the thread.
    ///
    /// # Errors
    /// There is no thread.
    pub fn start(
        settings: &FleetSettings,
        detection: OutlierDetectionSettings,
        membership: Arc<MembershipService>,
    ) -> io::Result<OutlierDetector> {
        let own = settings.zone.to_string();
        let zone = settings.zones.iter().position(|z| *z == own).map_or(UNKNOWN_ZONE, zone_number);
        let state = State {
            ledger: AttemptWindow::new(detection.rules.window, zone),
            verdicts: Detector::new(detection.rules),
            evidence: FrontReports::default(),
            places: ServerLocations::new(),
            lives: BTreeMap::new(),
            outlook: Evaluation::default(),
            viewers: Vec::new(),
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
        let spec = LeaseSpec { name, slots: 1, ttl_ms: detection.trial_ttl_ms };
        let holder = Holder::new(HolderId(rand::random()), spec, settings.drift_bound, rand::random());
        let (worker, connection) = (Arc::clone(&shared), LeaderConnection::new(settings.clone()));
        thread::Builder::new()
            .name("verdicts".into())
            .stack_size(STACK_BYTES)
            .spawn(move || worker.run(holder, connection))?;
        Ok(OutlierDetector { shared })
    }

    /// Sets the media servers of the endpoint list.
    pub fn set_servers(&self, places: ServerLocations) {
        self.shared.state().places = places;
    }

    /// A media server's process has said by which boot it runs.
    pub fn server_booted(&self, server: u32, boot: u64) {
        let now = self.shared.membership.now();
        let mut state = self.shared.state();
        if state.lives.get(&server).is_none_or(|l| l.0 != boot) {
            state.lives.insert(server, (boot, now));
        }
    }

    /// Takes an attempt that has ended.
    pub fn attempt_ended(&self, attempt: AttemptReport) {
        let now = self.shared.membership.now();
        let mut state = self.shared.state();
        let life = state.lives.get(&attempt.server).copied();
        // The attempt may have met the process before.
        if life.is_some_and(|(_, since)| now.saturating_sub(attempt.age) < since) {
            return;
        }
        let key = ServerInstance::new(attempt.server, life.map(|l| l.0));
        let trial = state.verdicts.probing() == Some(key);
        let (title, outcome) = (attempt.title, attempt.outcome);
        let zone = state.places.get(&attempt.server).map_or(UNKNOWN_ZONE, |p| p.zone);
        state
            .ledger
            .record(now, Attempt { instance: key, zone, title, viewer: None, outcome, is_probe: trial });
        if trial && outcome != Outcome::Declined {
            let well = outcome == Outcome::Success;
            info!(server = key.server, well, "trial is over");
            state.verdicts.probe_ended(now, key, well);
            drop(state);
            // So that no second attempt goes there before the thread's next evaluation.
            self.shared.evaluate(now, false);
        }
    }

    /// The media servers to be avoided, if that has changed since a version, with the new version.
    pub fn outlook(&self, since: u64) -> Option<(u64, Evaluation)> {
        let version = self.shared.version.load(Ordering::Acquire);
        if version == since {
            return None;
        }
        let state = self.shared.state();
        Some((self.shared.version.load(Ordering::Acquire), state.outlook.clone()))
    }

    /// Maximum part of a title's ready holders that is avoided, per mille.
    pub fn max_ejected_per_mille(&self) -> u16 {
        self.shared.settings.rules.max_ejection_per_mille
    }

    /// An attempt that takes longer is slow.
    pub fn slow_threshold(&self) -> Duration {
        self.shared.settings.slow
    }
}

impl Drop for OutlierDetector {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
    }
}

/// The number of a zone by its index in the settings.
fn zone_number(index: usize) -> u16 {
    u16::try_from(index).unwrap_or(UNKNOWN_ZONE)
}

/// For tests: the report of a front that claims the contrary of what it has seen.
fn invert_report(
    mut report: Report,
    places: &ServerLocations,
    lives: impl Fn(u32) -> ServerInstance,
) -> Report {
    let line = |server: &u32| {
        let key = lives(*server);
        let bad = report.of(key).is_some_and(AttemptCounts::is_failing);
        let errors = if bad { 0 } else { 9 };
        ServerReport {
            instance: key,
            counts: AttemptCounts {
                attempts: 9,
                errors,
                zone_successes: 9,
                probe_successes: u8::from(bad),
                ..AttemptCounts::default()
            },
        }
    };
    report.servers = places.keys().take(20).map(line).collect();
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
                let wants = self.evaluate(now, holder.permit(now).is_some());
                let wanted = if wants { HolderInput::Acquire } else { HolderInput::Release };
                requests.extend(handle_holder(&mut holder, now, wanted));
                self.write_row(now);
            }
            for request in requests {
                connection.send_request(request);
            }
        }
    }

    /// Takes the evidence of all rows.
    fn read_rows(&self) {
        let rows = self.membership.sections(SectionKind::OUTLIER_REPORT);
        let mut ages = BTreeMap::new();
        let mut state = self.state();
        for row in rows {
            let front = FrontId(row.member.0);
            ages.insert(front, row.age);
            if state.evidence.get(front).is_some_and(|w| w.version >= row.version) {
                continue;
            }
            let Ok(report) = Report::decode(&row.bytes) else { continue };
            let zone = self.zones.iter().position(|z| *z == row.zone).map_or(UNKNOWN_ZONE, zone_number);
            let witness = FrontReport { version: row.version, zone, report };
            state.evidence.insert(&self.settings.rules, front, witness);
        }
        let rules = self.settings.rules;
        let fresh = state.evidence.fresh(&rules, |f| ages.get(&f).copied());
        state.evidence = fresh;
    }

    /// Evaluates the evidence and logs what changed; whether the lease of trials is wanted.
    fn evaluate(&self, now: Duration, leased: bool) -> bool {
        let mut state = self.state();
        let State { verdicts, evidence, places, lives, outlook, .. } = &mut *state;
        let of = |server: u32| ServerInstance::new(server, lives.get(&server).map(|l| l.0));
        let mut new = verdicts.evaluate(now, evidence, places, of, leased);
        let changes = std::mem::take(&mut new.events);
        let differs = new != *outlook;
        let wants = new.wants_probe_lease;
        if let Some(key) = new.probing.filter(|key| outlook.probing != Some(*key)) {
            info!(server = key.server, "on trial here: offered until one attempt has ended");
        }
        *outlook = new;
        let viewers = detect_viewer_outliers(&self.settings.rules, evidence);
        let news: Vec<u64> = viewers.iter().filter(|v| !state.viewers.contains(v)).copied().collect();
        state.viewers = viewers;
        if differs {
            self.version.fetch_add(1, Ordering::Release);
        }
        drop(state);
        changes.iter().for_each(log_change);
        for viewer in news {
            warn!(
                viewer = format_args!("{viewer:016x}"),
                "most of this viewer's requests are declined, at several fronts"
            );
        }
        wants
    }

    /// Writes this front's evidence into its row.
    fn write_row(&self, now: Duration) {
        let mut state = self.state();
        let accused: BTreeSet<u32> = state
            .evidence
            .iter()
            .flat_map(|(_, w)| &w.report.servers)
            .filter(|b| b.counts.is_failing())
            .map(|b| b.instance.server)
            .collect();
        let State { ledger, places, lives, .. } = &mut *state;
        let mut report = ledger.report(now, &accused);
        if self.settings.test_lies {
            report = invert_report(report, places, |server| {
                ServerInstance::new(server, lives.get(&server).map(|l| l.0))
            });
        }
        drop(state);
        if let Err(error) = self.membership.write_section(SectionKind::OUTLIER_REPORT, report.encode()) {
            warn!("outlier evidence is not gossiped: {error}");
        }
    }
}

fn handle_holder(holder: &mut Holder, now: Duration, input: HolderInput) -> Vec<Request> {
    let mut requests = Vec::new();
    for output in holder.handle(now, input) {
        match output {
            HolderOutput::Send(request) => requests.push(request),
            HolderOutput::Acquired(token) => info!(token = token.0, "the lease of trials is held"),
            HolderOutput::Lost(token) => info!(token = token.0, "the lease of trials is lost"),
            HolderOutput::Rejected(reason) => warn!("the lease of trials was rejected for good: {reason}"),
        }
    }
    requests
}

fn log_change(change: &EjectionEvent) {
    match change {
        EjectionEvent::Ejected(j) => info!(
            server = j.instance.server,
            life = j.instance.boot_hash,
            accusers = j.failing_fronts,
            absolvers = j.healthy_fronts,
            bad = j.failures,
            "judged bad: avoided from now on"
        ),
        EjectionEvent::EjectionSuppressed(j) => warn!(
            server = j.instance.server,
            accusers = j.failing_fronts,
            absolvers = j.healthy_fronts,
            bad = j.failures,
            "judged bad and offered nonetheless: too much of its zone is avoided already"
        ),
        EjectionEvent::ProbesSucceeded(key) => {
            info!(server = key.server, "trials went well: it comes back in steps")
        }
        EjectionEvent::EjectionExpired(key) => {
            info!(server = key.server, "the verdict is old: it comes back in steps")
        }
        EjectionEvent::Reinstated(key) => info!(server = key.server, "it is back for all sessions"),
        EjectionEvent::InstanceReplaced(key) => {
            info!(server = key.server, "another process runs there: it starts clean")
        }
    }
}
