//! Checks that histories of conditional writes, as publishers observe them, are linearizable: each operation on a key takes
//! effect at one moment between its start and its end (Herlihy and Wing, "Linearizability", TOPLAS 1990). The search is that
//! of Wing and Gong, "Testing and Verifying Concurrent Objects", JPDC 1993, with memoization of visited states.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]

mod support;

use std::collections::{BTreeMap, HashSet};

use beechloft_topic::{Expect, Fault, Offset, Outcome, Refusal};
use rand::RngExt;
use support::{Cluster, Operation};

/// Effect of an operation on the register of its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Effect {
    /// The operation was applied and the register has this state.
    Applied(Option<Offset>),
    /// The operation was refused because the register had this state.
    Mismatch(Option<Offset>),
    /// The operation may have been applied at any time after its start. If so, the register has this state.
    Unknown(Option<Offset>),
}

#[derive(Debug, Clone, Copy)]
struct RegisterOperation {
    started_at: u64,
    ended_at: u64,
    expect: Option<Offset>,
    effect: Effect,
}

/// Returns whether some order of the operations explains their effects.
fn is_linearizable(operations: &[RegisterOperation]) -> bool {
    let mut visited: HashSet<(Vec<u64>, Option<Offset>)> = HashSet::new();
    // Each entry has the set of ordered operations and the resulting state of the register.
    let mut pending = vec![(vec![0u64; operations.len().div_ceil(64)], None)];
    while let Some((done, current)) = pending.pop() {
        let remaining = || (0..operations.len()).filter(|n| done[n / 64] >> (n % 64) & 1 == 0);
        let is_certain = |n: &usize| !matches!(operations[*n].effect, Effect::Unknown(_));
        if !remaining().any(|n| is_certain(&n)) {
            return true;
        }
        let first_end =
            remaining().filter(is_certain).map(|n| operations[n].ended_at).min().unwrap_or(u64::MAX);
        for n in remaining().filter(|n| operations[*n].started_at <= first_end) {
            let operation = operations[n];
            let next = match operation.effect {
                Effect::Applied(next) | Effect::Unknown(next) if operation.expect == current => next,
                Effect::Mismatch(found) if found == current => current,
                _ => continue,
            };
            let mut done = done.clone();
            done[n / 64] |= 1 << (n % 64);
            if visited.insert((done.clone(), next)) {
                pending.push((done, next));
            }
        }
    }
    false
}

fn register_operation(cluster: &Cluster, ticket: u64, operation: &Operation) -> Option<RegisterOperation> {
    let expect = match operation.expect {
        Expect::At(offset) => Some(offset),
        _ => None,
    };
    let current = |offset: Offset| (!operation.delete).then_some(offset);
    let effect = match operation.outcome {
        Some(Outcome::Written(offset)) => Effect::Applied(current(offset)),
        Some(Outcome::Refused(Refusal::OffsetMismatch(found))) => Effect::Mismatch(found),
        Some(Outcome::Refused(Refusal::NoKey)) => Effect::Mismatch(None),
        Some(Outcome::Unsure) | None if operation.delete => Effect::Unknown(None),
        // The reference model shows whether the value was written.
        Some(Outcome::Unsure) | None => Effect::Unknown(Some(cluster.offset_of(ticket)?)),
        Some(Outcome::QueueFull | Outcome::TimedOut) => return None,
        Some(other) => panic!("{other:?}"),
    };
    Some(RegisterOperation {
        started_at: operation.started_at,
        ended_at: operation.ended_at.unwrap_or(u64::MAX),
        expect,
        effect,
    })
}

struct Run {
    violation: Option<String>,
    applied: usize,
    mismatches: usize,
}

fn run(seed: u64, fault: Option<Fault>) -> Run {
    let mut cluster = Cluster::new(3, 0, 4, seed, fault);
    (cluster.loss_per_mille, cluster.duplicate_per_mille, cluster.keys, cluster.conditional_only) =
        (100, 100, 2, true);
    for _ in 0..300 {
        cluster.step();
        let n = cluster.rng.random_range(0..cluster.publishers.len());
        match cluster.rng.random_range(0..60) {
            0..20 => cluster.publish(n),
            20 => cluster.elect(),
            21 => cluster.replace_publisher(n),
            22 => cluster.snapshot(0),
            23 => cluster.restart(0),
            _ => {}
        }
    }
    cluster.settle();
    let mut by_key: BTreeMap<_, Vec<RegisterOperation>> = BTreeMap::new();
    for (ticket, operation) in &cluster.operations {
        if let Some(register_operation) = register_operation(&cluster, *ticket, operation) {
            by_key.entry(operation.key.clone()).or_default().push(register_operation);
        }
    }
    let unexplained = by_key.iter().find(|(_, operations)| !is_linearizable(operations));
    let violation =
        unexplained.map(|(key, all)| format!("no order explains the {} operations of {key:?}", all.len()));
    let count = |f: fn(&Effect) -> bool| by_key.values().flatten().filter(|o| f(&o.effect)).count();
    let (applied, mismatches) =
        (count(|e| matches!(e, Effect::Applied(_))), count(|e| matches!(e, Effect::Mismatch(_))));
    Run { violation: cluster.violation.or(violation), applied, mismatches }
}

#[test]
fn conditional_writes_are_linearizable() {
    let (mut applied, mut mismatches) = (0, 0);
    for seed in 0..200 {
        let run = run(seed, None);
        assert_eq!(run.violation, None, "seed {seed}");
        applied += run.applied;
        mismatches += run.mismatches;
    }
    println!("{applied} applied, {mismatches} mismatches");
    assert!(applied > 200 * 10 && mismatches > 200 * 10, "{applied} applied, {mismatches} mismatches");
}

#[test]
fn ignored_expected_offset_is_detected() {
    let found = (0..200).find_map(|seed| {
        run(seed, Some(Fault::ExpectedOffsetIgnored)).violation.map(|reason| (seed, reason))
    });
    println!("ExpectedOffsetIgnored: {found:?}");
    assert!(found.is_some());
}

#[test]
fn checker_accepts_only_linearizable_histories() {
    let o = |n| Some(Offset(n));
    let op =
        |started_at, ended_at, expect, effect| RegisterOperation { started_at, ended_at, expect, effect };
    let history = [
        op(0, 5, None, Effect::Applied(o(0))),
        op(1, 9, o(0), Effect::Applied(o(1))),
        op(2, 4, o(0), Effect::Mismatch(None)),
        op(6, 8, o(0), Effect::Mismatch(o(1))),
        op(7, 7, o(1), Effect::Unknown(None)),
        op(10, 11, None, Effect::Applied(o(2))),
    ];
    assert!(is_linearizable(&history));
    // The last operation is possible only after the one of unknown effect.
    let mut without = history.to_vec();
    without.remove(4);
    assert!(!is_linearizable(&without));
    // An operation can't take effect after a later one.
    assert!(!is_linearizable(&[
        op(0, 1, None, Effect::Applied(o(0))),
        op(2, 3, None, Effect::Mismatch(None))
    ]));
    // Two writes can't replace the same state.
    assert!(!is_linearizable(&[
        op(0, 9, None, Effect::Applied(o(0))),
        op(0, 9, None, Effect::Applied(o(1)))
    ]));
}
