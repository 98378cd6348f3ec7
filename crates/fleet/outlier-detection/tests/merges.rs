//! All orders in which reports of three fronts are written, sent, doubled, lost and forged: what is known converges, and nobody's own
//! report is another's.
// Counts of a test are small.
#![allow(clippy::cast_possible_truncation)]

use std::collections::BTreeSet;
use std::hash::Hash;

use beechloft_model_checker::{Limits, Model, explore};
use beechloft_outlier_detection::{
    BoxKey, BoxLine, Evidence, Fault, FrontLife, Place, Places, Report, Rules, Seen, Witness, judge,
};
use siphasher::sip128::SipHasher13;

const FRONTS: u64 = 3;
const FORGED: u64 = 99;

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct State {
    known: Vec<Evidence>,
    versions: Vec<u64>,
    /// On the way, each as often as the network likes.
    sent: Vec<(u64, Evidence)>,
    forged: bool,
}

#[derive(Debug, Clone)]
enum Action {
    Sees(u64),
    Sends(u64, u64),
    Arrives(usize),
    Forges(u64, u64),
}

struct Merges {
    rules: Rules,
    versions: u64,
    sends: usize,
}

/// What a front says at a version.
fn said(front: u64, version: u64) -> Witness {
    let n = version as u16;
    let seen = Seen {
        tries: n,
        errors: if front == 2 && version == 1 { 0 } else { n },
        beside_well: 1,
        ..Seen::default()
    };
    let boxes = vec![BoxLine { key: BoxKey { server: 1, life: 1 }, seen }];
    Witness { version, zone: front as u16, report: Report { boxes, ..Report::default() } }
}

impl Model for Merges {
    type State = State;
    type Action = Action;

    fn starts(&self) -> Vec<State> {
        let known = (0..FRONTS).map(|_| Evidence::default()).collect();
        vec![State { known, versions: vec![0; FRONTS as usize], ..State::default() }]
    }

    fn actions(&self, s: &State) -> Vec<Action> {
        let mut all: Vec<Action> =
            (0..FRONTS).filter(|f| s.versions[*f as usize] < self.versions).map(Action::Sees).collect();
        if s.sent.len() < self.sends {
            for from in 0..FRONTS {
                all.extend((0..FRONTS).filter(|to| *to != from).map(|to| Action::Sends(from, to)));
            }
            if !s.forged {
                all.extend((1..FRONTS).map(|whose| Action::Forges(0, whose)));
            }
        }
        all.extend((0..s.sent.len()).map(Action::Arrives));
        all
    }

    fn step(&self, s: &mut State, action: &Action) {
        match action {
            Action::Sees(f) => {
                let n = *f as usize;
                s.versions[n] += 1;
                s.known[n].put(&self.rules, FrontLife(*f), said(*f, s.versions[n]));
            }
            Action::Sends(from, to) => s.sent.push((*to, s.known[*from as usize].clone())),
            Action::Arrives(n) => {
                let (to, evidence) = s.sent[*n].clone();
                s.known[to as usize].merge(&self.rules, FrontLife(to), &evidence);
            }
            Action::Forges(by, whose) => {
                s.forged = true;
                let mut evidence = s.known[*by as usize].clone();
                evidence.put(&self.rules, FrontLife(*whose), said(*whose, FORGED));
                s.sent.push((*whose, evidence));
            }
        }
    }

    fn print(&self, s: &State, into: &mut SipHasher13) {
        s.hash(into);
    }

    fn broken(&self, s: &State) -> Option<String> {
        for (n, known) in s.known.iter().enumerate() {
            let own = known.get(FrontLife(n as u64)).map_or(0, |w| w.version);
            if own != s.versions[n] {
                return Some(format!("front {n} wrote version {} and has {own} as its own", s.versions[n]));
            }
            for (front, witness) in known.iter() {
                if *witness != said(front.0, witness.version) {
                    return Some(format!("front {n} has what nobody said: {witness:?}"));
                }
            }
        }
        // Whatever order all that is known is put together in, it is the same, and so is the verdict.
        let places: Places = [(1, Place { zone: 0, size: 1.0 })].into();
        let nobody = FrontLife(FRONTS);
        let mut ends = BTreeSet::new();
        for order in [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
            let mut all = Evidence::default();
            for n in order.iter().chain(&order[..2]) {
                all.merge(&self.rules, nobody, &s.known[*n]);
            }
            let print: Vec<(u64, u64, Report)> =
                all.iter().map(|(f, w)| (f.0, w.version, w.report.clone())).collect();
            ends.insert((print, judge(&self.rules, &places, &all)));
        }
        (ends.len() != 1).then(|| format!("{} ends of one evidence", ends.len()))
    }
}

fn limits(depth: usize) -> Limits {
    Limits { depth, states: 400_000, threads: 3 }
}

#[test]
fn all_orders_of_reports_converge() {
    let deep = std::env::var("DEEP").is_ok();
    let model = Merges { rules: Rules::default(), versions: 2, sends: 3 };
    let seen = explore(
        &model,
        Limits { states: if deep { 4_000_000 } else { 400_000 }, ..limits(if deep { 9 } else { 6 }) },
    )
    .unwrap_or_else(|f| panic!("{f:?}"));
    println!("{seen:?}");
    assert!(seen.complete && seen.states > 5_000, "{seen:?}");
}

#[cfg(feature = "planted")]
#[test]
fn planted_faults_are_found() {
    for fault in [Fault::AddedTwice, Fault::TakesOwnFromOthers] {
        let mut rules = Rules::default();
        rules.plant(fault);
        let found = explore(&Merges { rules, versions: 2, sends: 3 }, limits(6)).expect_err("found");
        println!("{fault:?}: {} events, {} states: {}", found.trail.len(), found.states, found.why);
    }
}
