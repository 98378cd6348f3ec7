//! Simulation of five replicas and many candidates for a lease under random faults.
//!
//! At any true time there are at most as many holders as slots. Tokens increase, the history of responses is linearizable, and a
//! candidate acquires the lease soon after the faults end.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]

mod support;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use beechloft_consensus::NodeId;
use beechloft_leases::Fault;
use rand::RngExt;
use rand::seq::IndexedRandom;
use support::SimulatedFleet;

const STEP: Duration = Duration::from_millis(80);

struct Run {
    violation: Option<String>,
    granted: usize,
    renewed: usize,
    replaced_count: usize,
}

fn run(seed: u64, candidates: usize, steps: usize, fault: Option<Fault>) -> Run {
    let slots = if seed % 4 == 3 { 3 } else { 1 };
    let mut fleet = SimulatedFleet::new(5, candidates, slots, seed, fault);
    fleet.loss_per_mille = fleet.rng.random_range(0..120);
    fleet.duplicate_per_mille = fleet.rng.random_range(0..100);
    fleet.delay_per_mille = fleet.rng.random_range(0..40);
    fleet.crash_per_mille = fleet.rng.random_range(0..4);
    (0..candidates).for_each(|candidate| fleet.acquire(candidate));
    for _ in 0..steps {
        fleet.advance(STEP);
        fleet.continue_replacement();
        let replicas = fleet.replica_ids();
        if fleet.violation.is_some() {
            break;
        }
        let random_replica: NodeId = *replicas.choose(&mut fleet.rng).expect("replicas");
        let random_candidate = fleet.rng.random_range(0..candidates);
        let holder = fleet.holders().first().copied().unwrap_or(random_candidate);
        let span = Duration::from_millis(fleet.rng.random_range(100..3_000));
        match fleet.rng.random_range(0..25) {
            0 | 1 => fleet.release(holder),
            2..5 => fleet.acquire(random_candidate),
            5 => fleet.kill(holder),
            // A pause may outlast the TTL of the lease.
            6 | 7 => fleet.pause(holder, span),
            8 => fleet.pause_replica(fleet.leader().unwrap_or(random_replica), span),
            9 => fleet.pause_replica(random_replica, span),
            10 => {
                let isolated = fleet.leader().unwrap_or(random_replica);
                for id in &replicas {
                    fleet.cut_links.extend([(isolated, *id), (*id, isolated)]);
                }
            }
            11 => {
                let peer = *replicas.choose(&mut fleet.rng).expect("replicas");
                fleet.cut_links.insert((random_replica, peer));
            }
            12 => {
                fleet.cut_client_links.insert((holder, random_replica));
            }
            13..17 => {
                fleet.cut_links.clear();
                fleet.cut_client_links.clear();
            }
            17 => fleet.stop_replica(fleet.leader().unwrap_or(random_replica)),
            20 => fleet.renew_lost_lease(random_candidate),
            24 => fleet.lose_replica(random_replica),
            18..20 => replicas.iter().for_each(|id| fleet.restart_replica(*id)),
            _ => {}
        }
    }
    let (granted, renewed, replaced_count) = (fleet.granted, fleet.renewed, fleet.replaced_count);
    let result = Run { violation: fleet.violation.clone(), granted, renewed, replaced_count };
    if result.violation.is_none() && fault.is_none() {
        check_recovery(&mut fleet, seed);
    }
    result
}

/// Checks that a candidate acquires the lease after all faults have ended, and keeps it.
fn check_recovery(fleet: &mut SimulatedFleet, seed: u64) {
    fleet.heal();
    // Completes a replacement of a replica first.
    for _ in 0..100 {
        fleet.advance(STEP);
        fleet.continue_replacement();
    }
    (0..fleet.candidates.len()).for_each(|candidate| fleet.acquire(candidate));
    fleet.advance(Duration::from_secs(8));
    (0..fleet.candidates.len()).for_each(|candidate| fleet.acquire(candidate));
    fleet.advance(Duration::from_secs(2));
    assert!(!fleet.holders().is_empty(), "seed {seed}: no candidate holds the lease");
    fleet.reset_max_unheld_time();
    fleet.advance(Duration::from_secs(5));
    assert_eq!(fleet.violation, None, "seed {seed}");
    assert_eq!(fleet.max_unheld_time, Duration::ZERO, "seed {seed}: the lease was unheld without faults");
}

#[test]
fn holders_never_exceed_slots_under_faults() {
    let (mut granted, mut renewed, mut replaced_count) = (0, 0, 0);
    for seed in 0..200 {
        let run = run(seed, 8, 200, None);
        assert_eq!(run.violation, None, "seed {seed}");
        granted += run.granted;
        renewed += run.renewed;
        replaced_count += run.replaced_count;
    }
    println!("{granted} granted, {renewed} renewals, {replaced_count} replicas replaced");
    // Guards against a simulation in which nothing happens.
    assert!(granted > 120 * 5 && renewed > 120 * 20, "{granted} granted, {renewed} renewals");
    assert!(replaced_count > 120, "{replaced_count} replicas replaced");
}

/// Does not run in CI. Run it with `cargo test --release -p beechloft-replica --test leases -- --ignored --nocapture`.
#[test]
#[ignore = "ten thousand runs with fifty candidates, takes minutes"]
fn holders_never_exceed_slots_in_ten_thousand_runs() {
    let (finished_runs, replaced_count, granted) =
        (AtomicUsize::new(0), AtomicUsize::new(0), AtomicUsize::new(0));
    let (threads, started_at) = (std::thread::available_parallelism().map_or(1, usize::from), Instant::now());
    std::thread::scope(|scope| {
        for offset in 0..threads as u64 {
            let (finished_runs, replaced_count, granted) = (&finished_runs, &replaced_count, &granted);
            scope.spawn(move || {
                for seed in (10_000 + offset..20_000).step_by(threads) {
                    let run = run(seed, 50, 80, None);
                    assert_eq!(run.violation, None, "seed {seed}");
                    replaced_count.fetch_add(run.replaced_count, Ordering::Relaxed);
                    granted.fetch_add(run.granted, Ordering::Relaxed);
                    let finished_runs = finished_runs.fetch_add(1, Ordering::Relaxed) + 1;
                    if finished_runs.is_multiple_of(1_000) {
                        println!(
                            "{finished_runs} runs in {:?}: {granted:?} granted, {replaced_count:?} replicas replaced",
                            started_at.elapsed()
                        );
                    }
                }
            });
        }
    });
}

#[test]
fn injected_faults_are_detected() {
    for fault in [
        Fault::DriftIgnored,
        Fault::TtlFromArrival,
        Fault::TokenReused,
        Fault::ReleasedGrantRenewed,
        Fault::TtlNotRestartedOnElection,
    ] {
        let detected =
            (0..400).find_map(|seed| run(seed, 8, 200, Some(fault)).violation.map(|why| (seed, why)));
        println!("{fault:?}: {detected:?}");
        assert!(detected.is_some(), "{fault:?} is not detected");
    }
}

#[test]
fn lease_moves_within_two_seconds_after_holder_is_killed() {
    for seed in 0..20 {
        let mut fleet = SimulatedFleet::new(5, 8, 1, seed, None);
        (0..8).for_each(|candidate| fleet.acquire(candidate));
        fleet.advance(Duration::from_secs(3));
        let holder = fleet.holders()[0];
        fleet.reset_max_unheld_time();
        fleet.kill(holder);
        fleet.advance(Duration::from_secs(6));
        // The TTL of the lease is one second. Another second is enough to acquire it.
        assert!(fleet.max_unheld_time < Duration::from_secs(2), "seed {seed}: {:?}", fleet.max_unheld_time);
        assert_eq!((fleet.violation.clone(), fleet.holders().len()), (None, 1), "seed {seed}");
    }
}

#[test]
fn holder_keeps_lease_when_leader_is_killed() {
    let mut gaps = 0;
    for seed in 0..20 {
        let mut fleet = SimulatedFleet::new(5, 8, 1, seed, None);
        (0..8).for_each(|candidate| fleet.acquire(candidate));
        fleet.advance(Duration::from_secs(3));
        let holders = fleet.holders();
        fleet.reset_max_unheld_time();
        fleet.stop_replica(fleet.leader().expect("a leader"));
        fleet.advance(Duration::from_secs(4));
        gaps += usize::from(fleet.max_unheld_time > Duration::ZERO || fleet.holders() != holders);
        assert_eq!(fleet.violation, None, "seed {seed}");
    }
    assert!(gaps <= 2, "the holder lost its lease in {gaps} of 20 losses of the leader");
}
