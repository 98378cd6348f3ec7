//! Simulation of a topic with five replicas, twenty subscribers and twenty publishers under random faults.
//!
//! The faults are crashes, pauses, losses of storage with replacement of the replica, cut links, clock rates that deviate by 5%,
//! and messages that are lost, duplicated or late. A subscriber that is complete has the content of the log, without missing or
//! deleted keys, and the log contains each acknowledged publication.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]

mod simulated_fleet;

use std::time::Duration;

use beechloft_topic::{Fault, Outcome};
use rand::RngExt;
use rand::seq::IndexedRandom;
use simulated_fleet::SimulatedFleet;

const STEP: Duration = Duration::from_millis(80);
/// Number of simulated runs in CI.
const RUNS: u64 = 16;

#[derive(Default, Debug)]
struct Totals {
    written: usize,
    acknowledged: usize,
    unsure: usize,
    caught_up: usize,
    feed_restarts: usize,
    behind: usize,
    horizons: usize,
    replaced: usize,
    restored: usize,
}

fn run(seed: u64, steps: usize, fault: Option<Fault>, totals: &mut Totals) -> Option<String> {
    let mut fleet = SimulatedFleet::new(5, 20, 20, seed, fault);
    fleet.loss_per_mille = fleet.rng.random_range(0..100);
    fleet.duplicate_per_mille = fleet.rng.random_range(0..100);
    fleet.delay_per_mille = fleet.rng.random_range(0..40);
    fleet.crash_per_mille = fleet.rng.random_range(0..4);
    let publications_per_step = fleet.rng.random_range(2..6);
    for _ in 0..steps {
        fleet.advance(STEP);
        fleet.continue_replacement();
        fleet.declare();
        if fleet.violation.is_some() {
            return fleet.violation;
        }
        for _ in 0..publications_per_step {
            let publisher = fleet.rng.random_range(0..fleet.publishers.len());
            fleet.publish(publisher);
        }
        let replicas = fleet.replica_ids();
        let random_replica = *replicas.choose(&mut fleet.rng).expect("replicas");
        let leader = fleet.leader().unwrap_or(random_replica);
        let subscriber = fleet.rng.random_range(0..fleet.subscribers.len());
        let span = Duration::from_millis(fleet.rng.random_range(100..3_000));
        match fleet.rng.random_range(0..30) {
            0 => fleet.disconnect_subscriber(subscriber, Duration::ZERO),
            1 => fleet.disconnect_subscriber(subscriber, span * 3),
            2 => fleet.pause_replica(leader, span),
            3 => fleet.pause_replica(random_replica, span),
            4 => {
                for id in &replicas {
                    fleet.cut_links.extend([(leader, *id), (*id, leader)]);
                }
            }
            5 => {
                let peer = *replicas.choose(&mut fleet.rng).expect("replicas");
                fleet.cut_links.insert((random_replica, peer));
            }
            6..10 => fleet.cut_links.clear(),
            10 => fleet.stop_replica(leader),
            11 => fleet.stop_replica(random_replica),
            12..15 => replicas.iter().for_each(|id| fleet.restart_replica(*id)),
            15 | 16 => fleet.lose_replica(random_replica),
            17 => {
                let publisher = fleet.rng.random_range(0..fleet.publishers.len());
                fleet.kill_publisher(publisher);
            }
            _ => {}
        }
    }
    fleet.heal();
    for _ in 0..150 {
        fleet.advance(STEP);
        fleet.continue_replacement();
        fleet.declare();
    }
    fleet.advance(Duration::from_secs(10));
    fleet.check_final_state();
    let count_outcomes = |matches: fn(&Outcome) -> bool| {
        fleet.outcomes.values().flatten().filter(|outcome| matches(&outcome.2)).count()
    };
    totals.written += fleet.appended_records.len();
    totals.acknowledged += count_outcomes(|outcome| matches!(outcome, Outcome::Written(_)));
    totals.unsure += count_outcomes(|outcome| matches!(outcome, Outcome::Unsure));
    totals.caught_up += fleet.caught_up_count;
    totals.feed_restarts += fleet.subscribers.iter().map(|subscriber| subscriber.restarts).sum::<usize>();
    totals.behind += fleet.subscribers.iter().map(|subscriber| subscriber.behind_count).sum::<usize>();
    totals.horizons += fleet.horizon_count;
    totals.replaced += fleet.replaced_count;
    totals.restored += fleet.restored_count;
    fleet.violation
}

#[test]
fn subscribers_and_publishers_agree_with_log_under_faults() {
    let mut totals = Totals::default();
    for seed in 0..RUNS {
        assert_eq!(run(seed, 200, None, &mut totals), None, "seed {seed}");
    }
    println!("{totals:?}");
    // Guards against a simulation in which nothing happens.
    assert!(
        totals.acknowledged > RUNS as usize * 50
            && totals.feed_restarts > RUNS as usize * 20
            && totals.horizons > RUNS as usize,
        "{totals:?}"
    );
    assert!(
        totals.replaced > RUNS as usize && totals.restored > 0 && totals.behind > RUNS as usize,
        "{totals:?}"
    );
}

/// Does not run in CI. Run it with `cargo test --release -p beechloft-replica --test topics -- --ignored --nocapture`.
#[test]
#[ignore = "a thousand runs, takes minutes"]
fn subscribers_and_publishers_agree_with_log_in_a_thousand_runs() {
    let started_at = std::time::Instant::now();
    let all_totals: Vec<Totals> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4)
            .map(|offset| {
                scope.spawn(move || {
                    let mut totals = Totals::default();
                    for seed in (10_000 + offset..11_000).step_by(4) {
                        assert_eq!(run(seed, 200, None, &mut totals), None, "seed {seed}");
                    }
                    totals
                })
            })
            .collect();
        threads.into_iter().map(|thread| thread.join().expect("no violation")).collect()
    });
    println!("1,000 runs, {:?}: {all_totals:?}", started_at.elapsed());
}

#[test]
fn injected_faults_are_detected() {
    for fault in
        [Fault::HorizonIgnored, Fault::BatchClaimsHead, Fault::SessionsNotInSnapshot, Fault::BacklogSkipped]
    {
        let detected = (0..20)
            .find_map(|seed| run(seed, 200, Some(fault), &mut Totals::default()).map(|why| (seed, why)));
        println!("{fault:?}: {detected:?}");
        assert!(detected.is_some(), "{fault:?} is not detected");
    }
}
