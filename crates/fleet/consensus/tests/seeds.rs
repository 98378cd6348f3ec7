//! Five members under random faults: crashes at any input, lost disks with members replaced, cuts, lost, late and doubled
//! messages, clocks 5% apart. The laws are checked at each step, and once all is well again it must go on.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]

mod support;

use std::time::Duration;

use beechloft_consensus::{Fault, Input, MembershipChange, NodeId, PersistentState};
use rand::RngExt;
use rand::seq::IteratorRandom;
use support::{Cluster, Weather};

const STEP: Duration = Duration::from_millis(60);

struct Run {
    breach: Option<String>,
    committed: u64,
    reads: usize,
}

/// A run of so many steps, each with one thing that happens.
fn run(seed: u64, steps: usize, fault: Option<Fault>) -> Run {
    let mut c = Cluster::new(5, seed, fault);
    c.weather = Weather {
        lost: c.dice.random_range(0..150),
        doubled: c.dice.random_range(0..100),
        late: c.dice.random_range(0..50),
        crash: c.dice.random_range(0..6),
    };
    let mut next_id = 100;
    for _ in 0..steps {
        c.pass(STEP);
        if c.laws.breach.is_some() {
            break;
        }
        let ids: Vec<NodeId> = c.hosts.keys().copied().collect();
        let any = *ids.iter().choose(&mut c.dice).expect("members");
        match c.dice.random_range(0..40) {
            0..18 => {
                let to = c.leader().unwrap_or(any);
                c.propose(to);
            }
            18..22 => c.ask(any),
            22..24 => {
                let to = c.leader().unwrap_or(any);
                c.ask(to);
            }
            24 | 25 => c.compact(any),
            26 => {
                let other = *ids.iter().choose(&mut c.dice).expect("members");
                c.cut.insert((any, other));
            }
            27 => {
                // Cut off from all, both ways, the leader rather often.
                let one = c.leader().filter(|_| c.dice.random_bool(0.7)).unwrap_or(any);
                for id in &ids {
                    c.cut.extend([(one, *id), (*id, one)]);
                }
            }
            28..31 => c.cut.clear(),
            31 => c.stop(any),
            32 | 33 => {
                let down = c.hosts.iter().filter(|(_, h)| !h.up).map(|(id, _)| *id);
                if let Some(id) = down.choose(&mut c.dice) {
                    c.restart(id);
                }
            }
            34 => {
                if let Some(leader) = c.leader() {
                    c.hear(leader, Input::TransferLeadership(any));
                }
            }
            35 => {
                next_id += 1;
                let id = NodeId(next_id);
                if c.membership().iter().count() < 7 {
                    c.add(id, PersistentState::default());
                    c.change(MembershipChange::AddLearner(id, "new".into()));
                }
            }
            36 | 37 => {
                let learner = c.membership().iter().find(|(_, m)| !m.voter).map(|(id, _)| id);
                if let Some(id) = learner {
                    c.change(MembershipChange::Promote(id));
                }
            }
            38 => {
                let members = c.membership();
                if members.voters().count() > 3 {
                    c.change(MembershipChange::Remove(any));
                }
            }
            _ => lose_one(&mut c, any),
        }
    }
    c.check_logs();
    let (breach, committed, reads) = (c.laws.breach.clone(), c.laws.last().0, c.read);
    if breach.is_none() && fault.is_none() {
        goes_on(&mut c, seed);
    }
    Run { breach, committed, reads }
}

/// A member's disk is lost, where no quorum of any members that may be in force goes with it.
fn lose_one(c: &mut Cluster, id: NodeId) {
    let quorum_without = |h: &support::Host| {
        let m = h.raft.status().members;
        m.voters().filter(|v| *v != id && c.hosts.contains_key(v)).count() > m.quorum()
    };
    if c.hosts.values().all(quorum_without) {
        c.lose(id);
        c.change(MembershipChange::Remove(id));
    }
}

/// Once all is well, what is asked is committed and known to all members.
fn goes_on(c: &mut Cluster, seed: u64) {
    c.heal();
    c.pass(Duration::from_secs(8));
    let leader = c.leader().unwrap_or_else(|| {
        let all: Vec<_> = c.hosts.values().map(|h| h.raft.status()).collect();
        panic!("seed {seed}: nobody leads: {all:?}")
    });
    let before = c.laws.last();
    c.propose(leader);
    c.ask(leader);
    c.pass(Duration::from_secs(4));
    assert_eq!(c.laws.breach, None, "seed {seed}");
    assert!(c.laws.last() > before, "seed {seed}: nothing is committed any more");
    for (id, _) in c.membership().iter() {
        if let Some(host) = c.hosts.get(&id) {
            assert_eq!(host.applied, c.laws.last(), "seed {seed}: {id} is behind");
        }
    }
}

#[test]
fn the_laws_hold_under_random_faults_and_it_goes_on_afterwards() {
    let (mut committed, mut reads) = (0, 0);
    for seed in 0..150 {
        let run = run(seed, 250, None);
        assert_eq!(run.breach, None, "seed {seed}");
        committed += run.committed;
        reads += run.reads;
    }
    // It is worth nothing if nothing happens.
    assert!(committed > 150 * 40 && reads > 150 * 3, "{committed} committed, {reads} reads");
}

/// A leader that removes itself, with the change in its own log alone, must lead again: it has the longest log, and the others
/// need its vote. Found by seed 2390, after which nobody led any more.
#[test]
fn a_leader_that_removes_itself_and_loses_the_lead_before_it_is_known_leads_once_more() {
    let mut c = Cluster::new(4, 1, None);
    c.pass(Duration::from_secs(3));
    let leader = c.leader().expect("a leader");
    let others: Vec<NodeId> = c.hosts.keys().copied().filter(|id| *id != leader).collect();
    // Cut off, it takes its own removal and steps down; another is lost with its disk meanwhile.
    for id in &others {
        c.cut.extend([(leader, *id), (*id, leader)]);
    }
    c.change(MembershipChange::Remove(leader));
    c.lose(others[0]);
    c.pass(Duration::from_secs(3));
    // Started again it does not know any more what was committed.
    c.stop(leader);
    assert_eq!(c.leader(), None, "two of four are no quorum");
    c.heal();
    c.pass(Duration::from_secs(8));
    let next = c.leader().expect("somebody leads");
    assert_ne!(next, leader);
    assert!(c.membership().get(leader).is_none(), "its removal is committed");
}

/// Outside CI: `cargo test --release -p beechloft-consensus --test seeds -- --ignored`.
#[test]
#[ignore = "ten thousand runs, minutes"]
fn ten_thousand_runs() {
    std::thread::scope(|scope| {
        for part in 0..8 {
            scope.spawn(move || {
                for seed in (1_000 + part..11_000).step_by(8) {
                    assert_eq!(run(seed, 250, None).breach, None, "seed {seed}");
                }
            });
        }
    });
}

/// Which seed finds a planted fault first.
fn found(fault: Fault, seeds: u64) -> Option<(u64, String)> {
    (0..seeds).find_map(|seed| run(seed, 250, Some(fault)).breach.map(|why| (seed, why)))
}

/// A vote or an entry that is not synced, an older term's entry counted as committed and two changes at once want an order of events
/// that chance does not hit here: they are the explorer's.
#[test]
fn planted_faults_are_found() {
    for fault in
        [Fault::LearnerCounts, Fault::TakesAnyPrevious, Fault::VotesForBehind, Fault::ReadsUnconfirmed]
    {
        let found = found(fault, 400);
        assert!(found.is_some(), "{fault:?} is not found");
        println!("{fault:?}: {found:?}");
    }
}
