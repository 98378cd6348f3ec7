//! Simulated fleet of fronts and media servers.
//!
//! Each front chooses at random among the servers that it is offered. It backs off from a server that failed for half a second, and
//! for twice as long after each further failure, up to eight seconds. This is what a front does without outlier detection.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use beechloft_gossip::simulation::Cluster;
use beechloft_gossip::{SectionKind, Settings as GossipSettings};
use beechloft_outlier_detection::{
    Attempt, AttemptCounts, AttemptWindow, DetectionSettings, EjectionEvent, FrontId, FrontReport,
    FrontReports, Outcome, OutlierDetector, Report, ServerInstance, ServerLocation, ServerLocations,
    ServerReport,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const STEP: Duration = Duration::from_millis(100);
const ZONES: usize = 3;
/// Maximum number of attempts of a session.
const MAX_ATTEMPTS: usize = 3;
/// Backoff after the first failure of a server.
const MIN_BACKOFF: Duration = Duration::from_millis(500);
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Probability per step that a front discovers a server's new process.
const INSTANCE_DISCOVERY_PROBABILITY: f64 = 0.3;
/// Maximum number of servers in the report of a lying front.
const MAX_FALSE_SERVER_REPORTS: usize = 20;
/// Mask that makes the seed of the fleet differ from that of its cluster.
const SEED_MASK: u64 = 77;

fn zone_of(index: usize) -> u16 {
    u16::try_from(index % ZONES).expect("a small integer")
}

fn server_id(server: usize) -> u32 {
    u32::try_from(server).expect("few servers")
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Health {
    Healthy,
    /// This fraction of attempts fails.
    Failing(f64),
}

#[derive(Debug, Clone)]
pub struct SimulatedServer {
    pub boot: u64,
    pub health: Health,
    zone: u16,
}

#[derive(Debug, Clone, Copy, Default)]
struct Backoff {
    failures: u32,
    until: Duration,
}

pub struct SimulatedFront {
    /// Whether it reports the opposite of what it observes.
    pub lies: bool,
    window: AttemptWindow,
    detector: OutlierDetector,
    reports: FrontReports,
    /// The boot id that the front knows of each server.
    boots: Vec<u64>,
    backoffs: BTreeMap<usize, Backoff>,
    /// The fraction of sessions that are offered an excluded server, in thousandths.
    admitted_per_mille: BTreeMap<usize, u16>,
    wants_lease: bool,
}

impl SimulatedFront {
    fn new(front: usize, servers: usize, settings: DetectionSettings) -> SimulatedFront {
        SimulatedFront {
            lies: false,
            window: AttemptWindow::new(settings.window, zone_of(front)),
            detector: OutlierDetector::new(settings),
            reports: FrontReports::default(),
            boots: vec![1; servers],
            backoffs: BTreeMap::new(),
            admitted_per_mille: BTreeMap::new(),
            wants_lease: false,
        }
    }

    fn is_offered(&self, server: usize, draw_per_mille: u16) -> bool {
        self.admitted_per_mille.get(&server).is_none_or(|admitted| draw_per_mille < *admitted)
    }

    fn is_backed_off(&self, server: usize, now: Duration) -> bool {
        self.backoffs.get(&server).is_some_and(|backoff| now < backoff.until)
    }

    fn extend_backoff(&mut self, server: usize, now: Duration) {
        let backoff = self.backoffs.entry(server).or_default();
        backoff.until = now + MIN_BACKOFF * 2u32.pow(backoff.failures.min(MAX_BACKOFF_DOUBLINGS));
        backoff.failures += 1;
    }
}

/// An ejection event with its front and its time.
#[derive(Debug, Clone, Copy)]
pub struct FleetEvent {
    pub at: Duration,
    pub front: usize,
    pub event: EjectionEvent,
}

pub struct Fleet {
    pub cluster: Cluster,
    pub servers: Vec<SimulatedServer>,
    pub fronts: Vec<SimulatedFront>,
    /// Rate of sessions at each front.
    pub sessions_per_second: f64,
    /// Whether a coordinator grants the probe lease.
    pub has_coordinator: bool,
    /// Times of the failed attempts at each server.
    pub failed_attempts: Vec<Vec<Duration>>,
    pub events: Vec<FleetEvent>,
    pub max_concurrent_probes: usize,
    settings: DetectionSettings,
    is_detection_enabled: bool,
    rng: ChaCha8Rng,
    lease_holder: Option<usize>,
    /// Fronts that are probing a server.
    probing: BTreeSet<usize>,
}

impl Fleet {
    pub fn new(
        fronts: usize,
        servers: usize,
        seed: u64,
        settings: DetectionSettings,
        is_detection_enabled: bool,
    ) -> Fleet {
        let server = |index| SimulatedServer { zone: zone_of(index), boot: 1, health: Health::Healthy };
        Fleet {
            cluster: Cluster::new(fronts, seed, GossipSettings::default(), None),
            servers: (0..servers).map(server).collect(),
            fronts: (0..fronts).map(|front| SimulatedFront::new(front, servers, settings)).collect(),
            sessions_per_second: 4.0,
            has_coordinator: true,
            failed_attempts: vec![Vec::new(); servers],
            events: Vec::new(),
            max_concurrent_probes: 0,
            settings,
            is_detection_enabled,
            rng: ChaCha8Rng::seed_from_u64(seed ^ SEED_MASK),
            lease_holder: None,
            probing: BTreeSet::new(),
        }
    }

    fn locations(&self) -> ServerLocations {
        let location = |(index, server): (usize, &SimulatedServer)| {
            (server_id(index), ServerLocation { zone: server.zone, capacity: 1.0 })
        };
        self.servers.iter().enumerate().map(location).collect()
    }

    fn reaches(&self, front: usize, server: usize) -> bool {
        let (from, to) = (self.cluster.zones[front], usize::from(self.servers[server].zone));
        let isolated = &self.cluster.isolated_zones;
        from == to || !(isolated.contains(&from) || isolated.contains(&to))
    }

    fn instance(&self, front: usize, server: usize) -> ServerInstance {
        ServerInstance::new(server_id(server), Some(self.fronts[front].boots[server]))
    }

    /// Runs a session, which makes attempts at different servers until one succeeds.
    fn run_session(&mut self, front: usize, now: Duration) {
        let mut tried = BTreeSet::new();
        for _ in 0..MAX_ATTEMPTS {
            let draw_per_mille = self.rng.random_range(0..1_000u16);
            let state = &self.fronts[front];
            let is_available = |server: &usize| {
                !tried.contains(server)
                    && state.is_offered(*server, draw_per_mille)
                    && !state.is_backed_off(*server, now)
            };
            let available: Vec<usize> = (0..self.servers.len()).filter(is_available).collect();
            if available.is_empty() {
                return;
            }
            let server = available[self.rng.random_range(0..available.len())];
            tried.insert(server);
            if self.attempt(front, server, now) {
                return;
            }
        }
    }

    fn succeeds(&mut self, front: usize, server: usize) -> bool {
        self.reaches(front, server)
            && match self.servers[server].health {
                Health::Healthy => true,
                Health::Failing(fraction) => !self.rng.random_bool(fraction),
            }
    }

    /// Makes one attempt. Returns whether it succeeds.
    fn attempt(&mut self, front: usize, server: usize, now: Duration) -> bool {
        let succeeds = self.succeeds(front, server);
        let instance = self.instance(front, server);
        let zone = self.servers[server].zone;
        let state = &mut self.fronts[front];
        let is_probe = state.detector.probing() == Some(instance);
        let outcome = if succeeds { Outcome::Success } else { Outcome::Error };
        state.window.record(now, Attempt { instance, zone, title: 0, viewer: None, outcome, is_probe });
        if is_probe {
            state.detector.probe_ended(now, instance, succeeds);
            state.admitted_per_mille.insert(server, 0);
        }
        if succeeds {
            state.backoffs.remove(&server);
        } else {
            state.extend_backoff(server, now);
            self.failed_attempts[server].push(self.cluster.now);
        }
        succeeds
    }

    /// Returns a report that states the opposite of each server's health.
    fn false_report(&self, front: usize) -> Report {
        let server = |index: usize| {
            let is_healthy = self.servers[index].health == Health::Healthy;
            let counts = AttemptCounts {
                attempts: 9,
                errors: if is_healthy { 9 } else { 0 },
                zone_successes: 9,
                probe_successes: u8::from(!is_healthy),
                ..AttemptCounts::default()
            };
            ServerReport { instance: self.instance(front, index), counts }
        };
        let servers = (0..self.servers.len().min(MAX_FALSE_SERVER_REPORTS)).map(server).collect();
        Report { servers, ..Report::default() }
    }

    /// Reads the reports of all fronts from the rows that a front knows.
    fn read_reports(&mut self, front: usize) {
        let zones: BTreeMap<FrontId, u16> = self
            .cluster
            .running()
            .map(|other| (FrontId(self.cluster.id(other).0), zone_of(self.cluster.zones[other])))
            .collect();
        let state = &mut self.fronts[front];
        let mut ages = BTreeMap::new();
        for row in self.cluster.node(front).gossip.rows(self.cluster.clock(front)) {
            let Some(bytes) = row.section(SectionKind::OUTLIER_REPORT) else { continue };
            let origin = FrontId(row.member.0);
            ages.insert(origin, row.age);
            if state.reports.get(origin).is_some_and(|known| known.version >= row.version) {
                continue;
            }
            let Ok(report) = Report::decode(bytes) else { continue };
            let zone = zones.get(&origin).copied().unwrap_or(u16::MAX);
            let report = FrontReport { version: row.version, zone, report };
            state.reports.insert(&self.settings, origin, report);
        }
        state.reports = state.reports.fresh(&self.settings, |origin| ages.get(&origin).copied());
    }

    fn evaluate(&mut self, front: usize) {
        let now = self.cluster.clock(front);
        let locations = self.locations();
        let has_lease = self.lease_holder == Some(front);
        let state = &mut self.fronts[front];
        let boots = &state.boots;
        let current = |server: u32| ServerInstance::new(server, boots.get(server as usize).copied());
        let result = state.detector.evaluate(now, &state.reports, &locations, current, has_lease);
        let admitted = |exclusion: &beechloft_outlier_detection::Exclusion| {
            (exclusion.instance.server as usize, exclusion.admitted_per_mille)
        };
        state.admitted_per_mille = result.exclusions.iter().map(admitted).collect();
        state.wants_lease = result.wants_probe_lease;
        let at = self.cluster.now;
        self.events.extend(result.events.into_iter().map(|event| FleetEvent { at, front, event }));
        if result.probing.is_some() {
            self.probing.insert(front);
        } else {
            self.probing.remove(&front);
        }
        self.max_concurrent_probes = self.max_concurrent_probes.max(self.probing.len());
    }

    fn write_report(&mut self, front: usize) {
        let now = self.cluster.clock(front);
        let state = &mut self.fronts[front];
        let failing: BTreeSet<u32> = state
            .reports
            .iter()
            .flat_map(|(_, known)| &known.report.servers)
            .filter(|server| server.counts.is_failing())
            .map(|server| server.instance.server)
            .collect();
        let observed = state.window.report(now, &failing);
        let report = if state.lies { self.false_report(front) } else { observed };
        self.cluster.write(front, report.encode());
    }

    /// Grants the probe lease to one front at a time while there is a coordinator.
    fn grant_lease(&mut self) {
        let is_valid = |front: usize| {
            self.fronts[front].wants_lease && self.has_coordinator && self.cluster.nodes[front].is_some()
        };
        if !self.lease_holder.is_some_and(is_valid) {
            self.lease_holder = None;
        }
        if self.lease_holder.is_none() && self.has_coordinator {
            let wants_lease = |front: &usize| self.fronts[*front].wants_lease;
            let candidates: Vec<usize> = (0..self.fronts.len()).filter(wants_lease).collect();
            if !candidates.is_empty() {
                self.lease_holder = Some(candidates[self.rng.random_range(0..candidates.len())]);
            }
        }
    }

    /// Discovers new processes of servers at random. A real front learns of them through the server's event stream.
    fn discover_instances(&mut self, front: usize) {
        for server in 0..self.servers.len() {
            let boot = self.servers[server].boot;
            if self.fronts[front].boots[server] != boot
                && self.reaches(front, server)
                && self.rng.random_bool(INSTANCE_DISCOVERY_PROBABILITY)
            {
                self.fronts[front].boots[server] = boot;
            }
        }
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the number of sessions is small and not negative"
    )]
    fn run_front(&mut self, front: usize) {
        let now = self.cluster.clock(front);
        let expected = self.sessions_per_second * STEP.as_secs_f64();
        let sessions = expected as u32 + u32::from(self.rng.random_bool(expected.fract()));
        (0..sessions).for_each(|_| self.run_session(front, now));
        self.discover_instances(front);
        if self.is_detection_enabled {
            self.read_reports(front);
            self.evaluate(front);
            self.write_report(front);
        }
    }

    pub fn run_for(&mut self, span: Duration) {
        let end = self.cluster.now + span;
        while self.cluster.now < end {
            let running: Vec<usize> = self.cluster.running().collect();
            running.into_iter().for_each(|front| self.run_front(front));
            self.grant_lease();
            self.cluster.run_for(STEP);
        }
    }

    /// Returns the number of fronts that offer a server to no session.
    pub fn ejecting_fronts(&self, server: usize) -> usize {
        self.fronts.iter().filter(|front| front.admitted_per_mille.get(&server) == Some(&0)).count()
    }

    /// Returns an ejection of a server other than `failing` since a time, or `None` if there is none.
    pub fn wrong_ejection(&self, since: Duration, failing: Option<usize>) -> Option<FleetEvent> {
        let is_wrong = |event: &&FleetEvent| match event.event {
            EjectionEvent::Ejected(outlier) => Some(outlier.instance.server as usize) != failing,
            _ => false,
        };
        self.events.iter().filter(|event| event.at >= since).find(is_wrong).copied()
    }
}
