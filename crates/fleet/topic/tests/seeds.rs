//! Replicas, subscribers and publishers under random faults. A complete subscriber has exactly what was written, no deleted
//! key reappears, no message is written twice, and no acknowledged message is lost. Once the faults end, all subscribers
//! become complete to the head.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]

mod support;

use std::time::Duration;

use beechloft_topic::{Fault, Outcome};
use rand::RngExt;
use support::Cluster;

#[derive(Default, Debug)]
struct Sums {
    caught_up: usize,
    resyncs: usize,
    fell_behind: usize,
    written: usize,
    unsure: usize,
    horizons: usize,
    cleaned: usize,
}

fn run(seed: u64, steps: usize, fault: Option<Fault>, sums: &mut Sums) -> Option<String> {
    let mut cluster = Cluster::new(5, 6, 3, seed, fault);
    cluster.loss_per_mille = cluster.rng.random_range(0..150);
    cluster.duplicate_per_mille = cluster.rng.random_range(0..150);
    cluster.keys = cluster.rng.random_range(2..12);
    let publish_rate = cluster.rng.random_range(1..60);
    for _ in 0..steps {
        if cluster.violation.is_some() {
            return cluster.violation;
        }
        cluster.step();
        if cluster.rng.random_range(0..60) < publish_rate {
            let n = cluster.rng.random_range(0..cluster.publishers.len());
            cluster.publish(n);
        }
        let (replica, subscriber) = (
            cluster.rng.random_range(0..cluster.replicas.len()),
            cluster.rng.random_range(0..cluster.subscribers.len()),
        );
        match cluster.rng.random_range(0..150) {
            0 | 1 => cluster.disconnect(subscriber),
            2 => {
                let span = Duration::from_millis(cluster.rng.random_range(10..8_000));
                cluster.pause(subscriber, span);
            }
            3..6 => cluster.snapshot(replica),
            6 => cluster.restart(replica),
            7 => cluster.replace(replica),
            8 => cluster.elect(),
            9 => {
                let n = cluster.rng.random_range(0..cluster.publishers.len());
                cluster.replace_publisher(n);
            }
            // Nothing is written for a while, so that tombstones expire.
            10 => cluster.now += Duration::from_secs(2),
            _ => {}
        }
    }
    cluster.settle();
    cluster.check_settled();
    sums.caught_up += cluster.caught_up;
    sums.resyncs += cluster.subscribers.iter().map(|s| s.resyncs).sum::<usize>();
    sums.fell_behind += cluster.subscribers.iter().map(|s| s.fell_behind).sum::<usize>();
    sums.written += cluster.reference.messages.len();
    sums.unsure += cluster.operations.values().filter(|a| a.outcome == Some(Outcome::Unsure)).count();
    sums.horizons += cluster.horizons;
    sums.cleaned += cluster.cleaned;
    cluster.violation
}

#[test]
fn random_faults_violate_no_guarantee() {
    let mut sums = Sums::default();
    for seed in 0..300 {
        assert_eq!(run(seed, 800, None, &mut sums), None, "seed {seed}");
    }
    println!("{sums:?}");
    // The run is meaningful only if enough events occur.
    assert!(sums.written > 300 * 50 && sums.horizons > 300 && sums.resyncs > 300 * 6, "{sums:?}");
    assert!(sums.fell_behind > 300 && sums.unsure > 300 && sums.cleaned > 300 * 100, "{sums:?}");
}

/// Not part of CI: `cargo test --release -p beechloft-topic --test seeds -- --ignored --nocapture`.
#[test]
#[ignore = "4,000 runs take minutes"]
fn random_faults_violate_no_guarantee_in_long_runs() {
    let began = std::time::Instant::now();
    let all: Vec<Sums> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4)
            .map(|part| {
                scope.spawn(move || {
                    let mut sums = Sums::default();
                    for seed in (10_000 + part..16_000).step_by(6) {
                        assert_eq!(run(seed, 1_500, None, &mut sums), None, "seed {seed}");
                    }
                    sums
                })
            })
            .collect();
        threads.into_iter().map(|thread| thread.join().expect("no violation")).collect()
    });
    let written: usize = all.iter().map(|s| s.written).sum();
    println!("4,000 runs, {written} messages, {:?}: {all:?}", began.elapsed());
}

#[test]
fn injected_faults_are_detected() {
    let all = [
        Fault::HorizonIgnored,
        Fault::TombstoneDroppedEarly,
        Fault::BatchClaimsHead,
        Fault::BacklogSkipped,
        Fault::SessionsNotInSnapshot,
        Fault::OffsetReused,
        Fault::LiveBitsNotInSnapshot,
        Fault::LaggingReplicaServes,
        Fault::StaleCopyInstalled,
        Fault::SequenceGapAccepted,
        Fault::DeletedKeysKept,
    ];
    let mut missed = Vec::new();
    for fault in all {
        let found = (0..300).find_map(|seed| {
            let result = std::panic::catch_unwind(|| run(seed, 800, Some(fault), &mut Sums::default()));
            // Reading an inconsistent snapshot panics, which counts as detection.
            result.unwrap_or_else(|_| Some("invalid snapshot".to_owned())).map(|reason| (seed, reason))
        });
        println!("{fault:?}: {found:?}");
        missed.extend(found.is_none().then_some(fault));
    }
    assert!(missed.is_empty(), "not detected: {missed:?}");
}
