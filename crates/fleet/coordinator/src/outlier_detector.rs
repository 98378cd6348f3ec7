//! A front's part in the fleet's verdicts, on a thread of its own: its evidence goes into its row, all rows are judged, and the lease of
//! trials is asked for when one is due. The front tells of its attempts and looks at the outlook at any moment, and never waits.

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

/// The longest that the thread listens before it looks at the clock.
const LISTEN: Duration = Duration::from_millis(20);
/// How often rows are judged.
const JUDGE: Duration = Duration::from_millis(100);
/// A zone that the settings do not name.
const ELSEWHERE: u16 = u16::MAX;

/// An attempt that is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Noted {
    /// At which box.
    pub server: u32,
    /// For which title: see [`beechloft_outlier_detection::title_key`].
    pub title: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// How long ago it went out.
    pub ago: Duration,
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
    set: OutlierDetectionSettings,
    zones: Vec<String>,
    peers: Arc<MembershipService>,
    state: Mutex<State>,
    version: AtomicU64,
    end: AtomicBool,
}

/// A front's part in verdicts. It ends when it is dropped.
pub struct OutlierDetector {
    shared: Arc<Shared>,
}

impl OutlierDetector {
    /// Begins to judge.
    ///
    /// # Errors
    /// There is no thread.
    pub fn start(
        set: &FleetSettings,
        verdicts: OutlierDetectionSettings,
        peers: Arc<MembershipService>,
    ) -> io::Result<OutlierDetector> {
        let own = set.zone.to_string();
        let zone = set.zones.iter().position(|z| *z == own).map_or(ELSEWHERE, |n| n as u16);
        let state = State {
            ledger: AttemptWindow::new(verdicts.rules.window, zone),
            verdicts: Detector::new(verdicts.rules),
            evidence: FrontReports::default(),
            places: ServerLocations::new(),
            lives: BTreeMap::new(),
            outlook: Evaluation::default(),
            viewers: Vec::new(),
        };
        let shared = Arc::new(Shared {
            set: verdicts,
            zones: set.zones.clone(),
            peers,
            state: Mutex::new(state),
            version: AtomicU64::new(0),
            end: AtomicBool::new(false),
        });
        let name = Name::try_from("verdict/trial".to_owned()).map_err(io::Error::other)?;
        let terms = LeaseSpec { name, slots: 1, ttl_ms: verdicts.trial_ttl_ms };
        let holder = Holder::new(HolderId(rand::random()), terms, set.drift, rand::random());
        let (its, way) = (Arc::clone(&shared), LeaderConnection::new(set.clone()));
        thread::Builder::new()
            .name("verdicts".into())
            .stack_size(256 << 10)
            .spawn(move || its.run(holder, way))?;
        Ok(OutlierDetector { shared })
    }

    /// The boxes of the list.
    pub fn list(&self, places: ServerLocations) {
        self.shared.state().places = places;
    }

    /// A box's process names its run.
    pub fn life(&self, server: u32, boot: u64) {
        let now = self.shared.peers.now();
        let mut state = self.shared.state();
        if state.lives.get(&server).is_none_or(|l| l.0 != boot) {
            state.lives.insert(server, (boot, now));
        }
    }

    /// An attempt is over.
    pub fn tried(&self, noted: Noted) {
        let now = self.shared.peers.now();
        let mut state = self.shared.state();
        let life = state.lives.get(&noted.server).copied();
        // It may have met the process before.
        if life.is_some_and(|(_, since)| now.saturating_sub(noted.ago) < since) {
            return;
        }
        let key = ServerInstance::new(noted.server, life.map(|l| l.0));
        let trial = state.verdicts.probing() == Some(key);
        let (title, outcome) = (noted.title, noted.outcome);
        let zone = state.places.get(&noted.server).map_or(ELSEWHERE, |p| p.zone);
        state
            .ledger
            .record(now, Attempt { instance: key, zone, title, viewer: None, outcome, is_probe: trial });
        if trial && outcome != Outcome::Declined {
            let well = outcome == Outcome::Success;
            info!(server = key.server, well, "trial is over");
            state.verdicts.probe_ended(now, key, well);
            drop(state);
            // So that no second attempt goes there before this thread's next turn.
            self.shared.look(now, false);
        }
    }

    /// What is to be avoided, if that has changed since a version.
    pub fn outlook(&self, since: u64) -> Option<(u64, Evaluation)> {
        let version = self.shared.version.load(Ordering::Acquire);
        if version == since {
            return None;
        }
        let state = self.shared.state();
        Some((self.shared.version.load(Ordering::Acquire), state.outlook.clone()))
    }

    /// Of a thousand ready holders of a title so many are avoided at most.
    pub fn part(&self) -> u16 {
        self.shared.set.rules.max_ejection_per_mille
    }

    /// From which time on an attempt is slow.
    pub fn slow(&self) -> Duration {
        self.shared.set.slow
    }
}

impl Drop for OutlierDetector {
    fn drop(&mut self) {
        self.shared.end.store(true, Ordering::Relaxed);
    }
}

/// Everything the other way round, as a front that lies says it.
fn lie(mut report: Report, places: &ServerLocations, lives: impl Fn(u32) -> ServerInstance) -> Report {
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

    fn run(&self, mut holder: Holder, mut way: LeaderConnection) {
        let mut judge_at = Duration::ZERO;
        while !self.end.load(Ordering::Relaxed) {
            let input = way.hear(LISTEN).unwrap_or(HolderInput::Tick);
            let now = self.peers.now();
            let mut requests = take(&mut holder, now, input);
            if now >= judge_at {
                judge_at = now + JUDGE;
                self.read();
                let wants = self.look(now, holder.permit(now).is_some());
                let wish = if wants { HolderInput::Acquire } else { HolderInput::Release };
                requests.extend(take(&mut holder, now, wish));
                self.write(now);
            }
            for request in requests {
                way.send(request);
            }
        }
    }

    /// Takes in all rows.
    fn read(&self) {
        let rows = self.peers.rows(SectionKind::OUTLIER_REPORT);
        let mut ages = BTreeMap::new();
        let mut state = self.state();
        for row in rows {
            let front = FrontId(row.life.0);
            ages.insert(front, row.age);
            if state.evidence.get(front).is_some_and(|w| w.version >= row.version) {
                continue;
            }
            let Ok(report) = Report::decode(&row.bytes) else { continue };
            let zone = self.zones.iter().position(|z| *z == row.zone).map_or(ELSEWHERE, |n| n as u16);
            let witness = FrontReport { version: row.version, zone, report };
            state.evidence.insert(&self.set.rules, front, witness);
        }
        let rules = self.set.rules;
        let fresh = state.evidence.fresh(&rules, |f| ages.get(&f).copied());
        state.evidence = fresh;
    }

    /// Judges, and says what changed; whether the lease of trials is wanted.
    fn look(&self, now: Duration, leased: bool) -> bool {
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
        let viewers = detect_viewer_outliers(&self.set.rules, evidence);
        let news: Vec<u64> = viewers.iter().filter(|v| !state.viewers.contains(v)).copied().collect();
        state.viewers = viewers;
        if differs {
            self.version.fetch_add(1, Ordering::Release);
        }
        drop(state);
        changes.iter().for_each(told);
        for viewer in news {
            warn!(
                viewer = format_args!("{viewer:016x}"),
                "most of this viewer's requests are declined, at several fronts"
            );
        }
        wants
    }

    /// Says what was seen here.
    fn write(&self, now: Duration) {
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
        if self.set.test_lies {
            report =
                lie(report, places, |server| ServerInstance::new(server, lives.get(&server).map(|l| l.0)));
        }
        drop(state);
        if let Err(why) = self.peers.write_row(SectionKind::OUTLIER_REPORT, report.encode()) {
            warn!("evidence is not told to others: {why}");
        }
    }
}

fn take(holder: &mut Holder, now: Duration, input: HolderInput) -> Vec<Request> {
    let mut requests = Vec::new();
    for output in holder.handle(now, input) {
        match output {
            HolderOutput::Send(request) => requests.push(request),
            HolderOutput::Acquired(token) => info!(token = token.0, "the lease of trials is held"),
            HolderOutput::Lost(token) => info!(token = token.0, "the lease of trials is lost"),
            HolderOutput::Rejected(why) => warn!("the lease of trials can't be had: {why}"),
        }
    }
    requests
}

fn told(change: &EjectionEvent) {
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
