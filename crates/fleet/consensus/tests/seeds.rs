//! Five nodes under random faults: crashes at any input, lost storage with nodes replaced, partitions, lost, delayed and duplicated
//! messages, clocks 5% apart. The invariants are checked at each step, and without faults the cluster must make progress again.

mod support;

use std::time::Duration;

use beechloft_consensus::{Fault, Input, MembershipChange, NodeId, PersistentState};
use rand::RngExt;
use rand::seq::IteratorRandom;
use support::{NetworkFaults, SimulatedCluster};

const STEP: Duration = Duration::from_millis(60);

struct Run {
    violation: Option<String>,
    committed: u64,
    reads: usize,
}

/// A run of so many steps, each with one thing that happens.
fn run(seed: u64, steps: usize, fault: Option<Fault>) -> Run {
    let mut cluster = SimulatedCluster::new(5, seed, fault);
    cluster.faults = NetworkFaults {
        lost: cluster.rng.random_range(0..150),
        duplicated: cluster.rng.random_range(0..100),
        delayed: cluster.rng.random_range(0..50),
        crash: cluster.rng.random_range(0..6),
    };
    let mut next_id = 100;
    for _ in 0..steps {
        cluster.advance(STEP);
        if cluster.invariants.violation.is_some() {
            break;
        }
        let ids: Vec<NodeId> = cluster.processes.keys().copied().collect();
        let any = *ids.iter().choose(&mut cluster.rng).expect("members");
        match cluster.rng.random_range(0..40) {
            0..18 => {
                let to = cluster.leader().unwrap_or(any);
                cluster.propose(to);
            }
            18..22 => cluster.read(any),
            22..24 => {
                let to = cluster.leader().unwrap_or(any);
                cluster.read(to);
            }
            24 | 25 => cluster.compact(any),
            26 => {
                let other = *ids.iter().choose(&mut cluster.rng).expect("members");
                cluster.cut.insert((any, other));
            }
            27 => {
                // Cut off from all, both ways, the leader rather often.
                let one = cluster.leader().filter(|_| cluster.rng.random_bool(0.7)).unwrap_or(any);
                for id in &ids {
                    cluster.cut.extend([(one, *id), (*id, one)]);
                }
            }
            28..31 => cluster.cut.clear(),
            31 => cluster.stop(any),
            32 | 33 => {
                let down = cluster.processes.iter().filter(|(_, h)| !h.up).map(|(id, _)| *id);
                if let Some(id) = down.choose(&mut cluster.rng) {
                    cluster.restart(id);
                }
            }
            34 => {
                if let Some(leader) = cluster.leader() {
                    cluster.handle(leader, Input::TransferLeadership(any));
                }
            }
            35 => {
                next_id += 1;
                let id = NodeId(next_id);
                if cluster.membership().iter().count() < 7 {
                    cluster.add(id, PersistentState::default());
                    cluster.change(MembershipChange::AddLearner(id, "new".into()));
                }
            }
            36 | 37 => {
                let learner = cluster.membership().iter().find(|(_, m)| !m.voter).map(|(id, _)| id);
                if let Some(id) = learner {
                    cluster.change(MembershipChange::Promote(id));
                }
            }
            38 => {
                let members = cluster.membership();
                if members.voters().count() > 3 {
                    cluster.change(MembershipChange::Remove(any));
                }
            }
            _ => lose_storage(&mut cluster, any),
        }
    }
    cluster.check_logs();
    let (violation, committed, reads) =
        (cluster.invariants.violation.clone(), cluster.invariants.last().0, cluster.read);
    if violation.is_none() && fault.is_none() {
        assert_progress(&mut cluster, seed);
    }
    Run { violation, committed, reads }
}

/// A member's disk is lost, where no quorum of any members that may be in force goes with it.
fn lose_storage(cluster: &mut SimulatedCluster, id: NodeId) {
    let quorum_without = |h: &support::Process| {
        let m = h.raft.status().members;
        m.voters().filter(|v| *v != id && cluster.processes.contains_key(v)).count() > m.quorum()
    };
    if cluster.processes.values().all(quorum_without) {
        cluster.lose(id);
        cluster.change(MembershipChange::Remove(id));
    }
}

/// Once all is well, what is asked is committed and known to all members.
fn assert_progress(cluster: &mut SimulatedCluster, seed: u64) {
    cluster.heal();
    cluster.advance(Duration::from_secs(8));
    let leader = cluster.leader().unwrap_or_else(|| {
        let all: Vec<_> = cluster.processes.values().map(|h| h.raft.status()).collect();
        panic!("seed {seed}: nobody leads: {all:?}")
    });
    let before = cluster.invariants.last();
    cluster.propose(leader);
    cluster.read(leader);
    cluster.advance(Duration::from_secs(4));
    assert_eq!(cluster.invariants.violation, None, "seed {seed}");
    assert!(cluster.invariants.last() > before, "seed {seed}: nothing is committed any more");
    for (id, _) in cluster.membership().iter() {
        if let Some(process) = cluster.processes.get(&id) {
            assert_eq!(process.applied, cluster.invariants.last(), "seed {seed}: {id} is behind");
        }
    }
}

#[test]
fn invariants_hold_under_random_faults_and_progress_resumes_afterwards() {
    let (mut committed, mut reads) = (0, 0);
    for seed in 0..150 {
        let run = run(seed, 250, None);
        assert_eq!(run.violation, None, "seed {seed}");
        committed += run.committed;
        reads += run.reads;
    }
    // It is worth nothing if nothing happens.
    assert!(committed > 150 * 40 && reads > 150 * 3, "{committed} committed, {reads} reads");
}

/// A leader that removes itself, with the change in its own log alone, must lead again: it has the longest log, and the others
/// need its vote. Found by seed 2390, after which nobody led any more.
#[test]
fn a_leader_that_removed_itself_only_in_its_own_log_is_elected_again() {
    let mut cluster = SimulatedCluster::new(4, 1, None);
    cluster.advance(Duration::from_secs(3));
    let leader = cluster.leader().expect("a leader");
    let others: Vec<NodeId> = cluster.processes.keys().copied().filter(|id| *id != leader).collect();
    // Cut off, it takes its own removal and steps down; another is lost with its disk meanwhile.
    for id in &others {
        cluster.cut.extend([(leader, *id), (*id, leader)]);
    }
    cluster.change(MembershipChange::Remove(leader));
    cluster.lose(others[0]);
    cluster.advance(Duration::from_secs(3));
    // Started again it does not know any more what was committed.
    cluster.stop(leader);
    assert_eq!(cluster.leader(), None, "two of four are no quorum");
    cluster.heal();
    cluster.advance(Duration::from_secs(8));
    let next = cluster.leader().expect("somebody leads");
    assert_ne!(next, leader);
    assert!(cluster.membership().get(leader).is_none(), "its removal is committed");
}

/// Outside CI: `cargo test --release -p beechloft-consensus --test seeds -- --ignored`.
#[test]
#[ignore = "ten thousand runs, minutes"]
fn invariants_hold_in_ten_thousand_runs() {
    std::thread::scope(|scope| {
        for part in 0..8 {
            scope.spawn(move || {
                for seed in (1_000 + part..11_000).step_by(8) {
                    assert_eq!(run(seed, 250, None).violation, None, "seed {seed}");
                }
            });
        }
    });
}

/// Which seed finds a planted fault first.
fn find_violation(fault: Fault, seeds: u64) -> Option<(u64, String)> {
    (0..seeds).find_map(|seed| run(seed, 250, Some(fault)).violation.map(|why| (seed, why)))
}

/// A vote or an entry that is not synced, an older term's entry counted as committed and two changes at once want an order of events
/// that chance does not hit here: they are the explorer's.
#[test]
fn injected_faults_are_detected() {
    for fault in
        [Fault::LearnerCounts, Fault::TakesAnyPrevious, Fault::VotesForBehind, Fault::ReadsUnconfirmed]
    {
        let found = find_violation(fault, 400);
        assert!(found.is_some(), "{fault:?} is not detected");
        println!("{fault:?}: {found:?}");
    }
}
