//! Model check of the merging of reports.
//!
//! It explores all orders in which the reports of three fronts are written, sent, duplicated, lost and forged. The merged reports must
//! converge, and no front may accept a report of its own from another.

use std::collections::BTreeSet;
use std::hash::Hash;

use beechloft_model_checker::{FingerprintHasher, Limits, Model, explore};
use beechloft_outlier_detection::{
    AttemptCounts, DetectionSettings, Fault, FrontId, FrontReport, FrontReports, Report, ServerInstance,
    ServerLocation, ServerLocations, ServerReport, detect_outliers,
};

const FRONTS: usize = 3;
const FORGED_VERSION: u64 = 99;

fn id(front: usize) -> FrontId {
    FrontId(front as u64)
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Sent {
    to: usize,
    reports: FrontReports,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct State {
    known: Vec<FrontReports>,
    versions: Vec<u64>,
    /// Messages in transit. Each may arrive any number of times.
    sent: Vec<Sent>,
    is_forged: bool,
}

#[derive(Debug, Clone)]
enum Action {
    Write(usize),
    Send { from: usize, to: usize },
    Arrive(usize),
    Forge { by: usize, front: usize },
}

struct Merging {
    settings: DetectionSettings,
    max_version: u64,
    max_sent: usize,
}

/// Returns a front's report at a version.
fn report_of(front: FrontId, version: u64) -> FrontReport {
    let attempts = u16::try_from(version).expect("a small integer");
    let counts = AttemptCounts {
        attempts,
        errors: if front.0 == 2 && version == 1 { 0 } else { attempts },
        zone_successes: 1,
        ..AttemptCounts::default()
    };
    let servers = vec![ServerReport { instance: ServerInstance { server: 1, boot_hash: 1 }, counts }];
    let zone = u16::try_from(front.0).expect("a small integer");
    FrontReport { version, zone, report: Report { servers, ..Report::default() } }
}

impl Merging {
    /// Describes a report that no front has written but that some front knows, or an own report of the wrong version.
    fn unwritten_report(state: &State) -> Option<String> {
        for (front, known) in state.known.iter().enumerate() {
            let (written, own) = (state.versions[front], known.get(id(front)).map_or(0, |own| own.version));
            if own != written {
                return Some(format!(
                    "front {front} wrote version {written}, but its own report has version {own}"
                ));
            }
            let is_unwritten =
                |(origin, report): &(FrontId, &FrontReport)| **report != report_of(*origin, report.version);
            if let Some((_, report)) = known.iter().find(is_unwritten) {
                return Some(format!("front {front} knows a report that no front wrote: {report:?}"));
            }
        }
        None
    }

    /// Describes a divergence if the order of merging affects the merged reports or the detected outliers.
    fn divergence(&self, state: &State) -> Option<String> {
        let servers: ServerLocations = [(1, ServerLocation { zone: 0, capacity: 1.0 })].into();
        let unused_id = id(FRONTS);
        let mut results = BTreeSet::new();
        for order in [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
            let mut all = FrontReports::default();
            for front in order.iter().chain(&order[..2]) {
                all.merge(&self.settings, unused_id, &state.known[*front]);
            }
            let content: Vec<(u64, u64, Report)> =
                all.iter().map(|(front, known)| (front.0, known.version, known.report.clone())).collect();
            results.insert((content, detect_outliers(&self.settings, &servers, &all)));
        }
        (results.len() != 1)
            .then(|| format!("{} different results of merging the same reports", results.len()))
    }
}

impl Model for Merging {
    type State = State;
    type Action = Action;

    fn initial_states(&self) -> Vec<State> {
        let known = vec![FrontReports::default(); FRONTS];
        vec![State { known, versions: vec![0; FRONTS], ..State::default() }]
    }

    fn actions(&self, state: &State) -> Vec<Action> {
        let may_write = |front: &usize| state.versions[*front] < self.max_version;
        let mut actions: Vec<Action> = (0..FRONTS).filter(may_write).map(Action::Write).collect();
        if state.sent.len() < self.max_sent {
            for from in 0..FRONTS {
                let others = (0..FRONTS).filter(|to| *to != from);
                actions.extend(others.map(|to| Action::Send { from, to }));
            }
            if !state.is_forged {
                actions.extend((1..FRONTS).map(|front| Action::Forge { by: 0, front }));
            }
        }
        actions.extend((0..state.sent.len()).map(Action::Arrive));
        actions
    }

    fn step(&self, state: &mut State, action: &Action) {
        match *action {
            Action::Write(front) => {
                state.versions[front] += 1;
                let report = report_of(id(front), state.versions[front]);
                state.known[front].insert(&self.settings, id(front), report);
            }
            Action::Send { from, to } => state.sent.push(Sent { to, reports: state.known[from].clone() }),
            Action::Arrive(index) => {
                let Sent { to, reports } = state.sent[index].clone();
                state.known[to].merge(&self.settings, id(to), &reports);
            }
            Action::Forge { by, front } => {
                state.is_forged = true;
                let mut reports = state.known[by].clone();
                reports.insert(&self.settings, id(front), report_of(id(front), FORGED_VERSION));
                state.sent.push(Sent { to: front, reports });
            }
        }
    }

    fn fingerprint(&self, state: &State, hasher: &mut FingerprintHasher) {
        state.hash(hasher);
    }

    fn violation(&self, state: &State) -> Option<String> {
        Merging::unwritten_report(state).or_else(|| self.divergence(state))
    }
}

fn model(settings: DetectionSettings) -> Merging {
    Merging { settings, max_version: 2, max_sent: 3 }
}

fn limits(depth: usize) -> Limits {
    Limits { depth, states: 400_000, threads: 3 }
}

#[test]
fn reports_converge_in_any_order() {
    let is_deep = std::env::var("DEEP").is_ok();
    let limits = if is_deep { Limits { states: 4_000_000, ..limits(9) } } else { limits(6) };
    let explored = explore(&model(DetectionSettings::default()), limits)
        .unwrap_or_else(|violation| panic!("{violation:?}"));
    println!("{explored:?}");
    assert!(explored.complete && explored.states > 5_000, "{explored:?}");
}

#[test]
fn injected_faults_are_detected() {
    for fault in [Fault::DuplicatesAdded, Fault::OwnReportFromOthers] {
        let mut settings = DetectionSettings::default();
        settings.inject_fault(fault);
        let found = explore(&model(settings), limits(6)).expect_err("the fault is detected");
        println!("{fault:?}: {} events, {} states: {}", found.trace.len(), found.states, found.violation);
    }
}
