//! Tests of failures: members that are killed, paused, slow, restarted or partitioned.

use std::fmt;
use std::time::Duration;

use beechloft_membership::{Fault, MemberState, Swim};
use rand::RngExt;

use super::cluster::{Cluster, Death, MINUTE, Network};

/// A violation of an invariant in a simulation run.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Failure(String);

impl Failure {
    fn new(seed: u64, message: impl fmt::Display) -> Failure {
        Failure(format!("seed {seed}: {message}"))
    }
}

type RunResult = Result<(), Failure>;

fn check_no_deaths(seed: u64, deaths: &[Death]) -> RunResult {
    match deaths.first() {
        Some(death) => Err(Failure::new(seed, format!("declared dead: {death:?}"))),
        None => Ok(()),
    }
}

/// Starts a fleet, with `fault` injected into each member, and runs it until it has converged.
fn converged_with_fault(members: usize, seed: u64, fault: Option<Fault>) -> Result<Cluster, Failure> {
    let mut cluster = Cluster::new(members, seed);
    cluster.fault = fault;
    (0..members).for_each(|member| cluster.start(member));
    cluster
        .run_until_converged(2 * MINUTE)
        .ok_or_else(|| Failure::new(seed, format!("{members} members do not converge")))?;
    Ok(cluster)
}

fn converged(members: usize, seed: u64) -> Cluster {
    converged_with_fault(members, seed, None).unwrap_or_else(|failure| panic!("{failure:?}"))
}

#[test]
fn all_members_declare_only_the_killed_member_dead() {
    for seed in 0..10 {
        let mut cluster = converged(40, seed);
        cluster.network = Network { lost_per_mille: 30, duplicated_per_mille: 30, max_delay_ms: 50 };
        cluster.run_for(MINUTE);
        let member = usize::try_from(seed).expect("a small integer") + 5;
        let killed = cluster.kill(member);
        let took = cluster.run_until(2 * MINUTE, |cluster| cluster.count_believing_active(killed) == 0);
        assert!(took.is_some_and(|took| took < MINUTE), "seed {seed}: {took:?}");
        cluster.run_for(MINUTE);
        assert_eq!(check_no_deaths(seed, &cluster.deaths_of_others(killed)), Ok(()));
    }
}

#[test]
fn departed_and_restarted_members_are_removed_quickly() {
    let mut cluster = converged(40, 3);
    let left = cluster.leave(4);
    let took = cluster
        .run_until(MINUTE, |cluster| cluster.count_believing_active(left) == 0)
        .expect("all members detect it");
    assert!(took < Duration::from_secs(20), "{took:?}");
    let state = |member: &Swim| member.members().get(left).map(|left| left.state);
    assert!(cluster.running().all(|member| state(member) == Some(MemberState::Left)));
    // Member 5 is killed and restarted immediately at the same address.
    let old = cluster.kill(5);
    cluster.start(5);
    let replaced = cluster
        .run_until(MINUTE, |cluster| cluster.count_believing_active(old) == 0)
        .expect("all members detect it");
    assert!(replaced < Duration::from_secs(20), "{replaced:?}");
    cluster.start(4);
    assert!(cluster.run_until_converged(MINUTE).is_some());
    assert_eq!(cluster.deaths_of_others(old).len(), 0);
}

/// Checks that a paused process is declared dead by the others, rejoins, and declares no other member dead because of its pause.
fn check_pause(fault: Option<Fault>, seed: u64) -> RunResult {
    const PAUSED: usize = 9;
    const BLOCKED: usize = 8;
    let fail = |message: &str| Failure::new(seed, message);
    let mut cluster = converged_with_fault(40, seed, fault)?;
    // The process is paused while it suspects a member that is temporarily unreachable.
    (0..40).for_each(|member| cluster.block_both_ways(member, BLOCKED));
    let unreachable = cluster.id(BLOCKED);
    let suspects = |fleet: &Cluster| {
        let member = fleet.members[PAUSED].as_ref().expect("the member runs");
        member.members().get(unreachable).is_some_and(|other| other.state == MemberState::Suspect)
    };
    cluster.run_until(MINUTE, suspects).ok_or_else(|| fail("the member to pause suspects no other"))?;
    cluster.pause(PAUSED, 3 * MINUTE);
    cluster.blocked.clear();
    let id = cluster.id(PAUSED);
    cluster
        .run_until(3 * MINUTE, |cluster| cluster.count_believing_active(id) == 1)
        .ok_or_else(|| fail("the paused member is not declared dead"))?;
    cluster.run_for(3 * MINUTE);
    cluster.run_until_converged(2 * MINUTE).ok_or_else(|| fail("the paused member does not rejoin"))?;
    cluster.run_for(MINUTE);
    check_no_deaths(seed, &cluster.deaths_of_others(id))
}

#[test]
fn paused_member_rejoins_and_declares_no_other_dead() {
    for seed in 0..6 {
        assert_eq!(check_pause(None, seed), Ok(()));
    }
}

/// Checks that three zones that are partitioned for minutes converge after the partition heals.
fn check_partition(fault: Option<Fault>, seed: u64) -> RunResult {
    let fail = |message: &str| Failure::new(seed, message);
    let mut cluster = converged_with_fault(60, seed, fault)?;
    cluster.is_partitioned = true;
    let knows_own_zone =
        |fleet: &Cluster| fleet.running().all(|member| member.members().active_count() == 20);
    cluster
        .run_until(4 * MINUTE, knows_own_zone)
        .ok_or_else(|| fail("a zone does not detect the partition"))?;
    cluster.run_for(2 * MINUTE);
    cluster.is_partitioned = false;
    cluster.run_until_converged(3 * MINUTE).ok_or_else(|| fail("the zones do not converge"))?;
    Ok(())
}

#[test]
fn zones_converge_after_a_partition_heals() {
    for seed in 0..4 {
        assert_eq!(check_partition(None, seed), Ok(()));
    }
}

/// Checks that no member is declared dead if only some members cannot reach it.
fn check_partially_unreachable(fault: Option<Fault>, seed: u64) -> RunResult {
    let mut cluster = converged_with_fault(30, seed, fault)?;
    for member in 5..15 {
        cluster.block_both_ways(member, 20);
    }
    cluster.run_for(5 * MINUTE);
    check_no_deaths(seed, &cluster.deaths)
}

#[test]
fn partially_unreachable_member_stays_alive() {
    for seed in 0..4 {
        assert_eq!(check_partially_unreachable(None, seed), Ok(()));
    }
}

#[test]
fn slow_member_declares_no_other_dead() {
    for seed in 0..4 {
        let mut cluster = converged(40, seed);
        cluster.additional_delays.insert(7, Duration::from_millis(1_500));
        cluster.run_for(5 * MINUTE);
        let slow = cluster.id(7);
        assert_eq!(check_no_deaths(seed, &cluster.deaths_of_others(slow)), Ok(()));
        cluster.additional_delays.clear();
        assert!(cluster.run_until_converged(3 * MINUTE).is_some(), "seed {seed}");
    }
}

/// Causes a random failure, or ends those that last.
fn cause_random_failure(cluster: &mut Cluster) {
    cluster.network.lost_per_mille = cluster.rng.random_range(0..200);
    cluster.network.duplicated_per_mille = cluster.rng.random_range(0..200);
    cluster.network.max_delay_ms = cluster.rng.random_range(0..300);
    let member = cluster.rng.random_range(3..24);
    let other = cluster.rng.random_range(0..24);
    let span = Duration::from_secs(cluster.rng.random_range(1..90));
    let is_running = cluster.members[member].is_some();
    match cluster.rng.random_range(0..10) {
        0 if is_running => drop(cluster.kill(member)),
        1 if is_running => drop(cluster.leave(member)),
        2 | 3 if !is_running => cluster.start(member),
        4 => cluster.pause(member, span),
        5 => drop(cluster.blocked.insert((member, other))),
        6 => cluster.is_partitioned = true,
        7 => drop(cluster.additional_delays.insert(member, span / 30)),
        _ => heal(cluster),
    }
    cluster.run_for(span / 6);
}

fn heal(cluster: &mut Cluster) {
    cluster.blocked.clear();
    cluster.additional_delays.clear();
    cluster.is_partitioned = false;
}

/// Checks that a fleet converges after random failures of all kinds have ended.
fn check_random_failures(fault: Option<Fault>, seed: u64) -> RunResult {
    let mut cluster = Cluster::new(24, seed);
    cluster.fault = fault;
    (0..24).for_each(|member| cluster.start(member));
    cluster.run_for(MINUTE);
    (0..40).for_each(|_| cause_random_failure(&mut cluster));
    heal(&mut cluster);
    cluster.network.lost_per_mille = 0;
    cluster.network.max_delay_ms = 5;
    cluster
        .run_until_converged(5 * MINUTE)
        .ok_or_else(|| Failure::new(seed, "the fleet does not converge after the failures"))?;
    Ok(())
}

#[test]
fn fleet_converges_after_random_failures_end() {
    for seed in 0..60 {
        assert_eq!(check_random_failures(None, seed), Ok(()));
    }
}

#[test]
fn injected_faults_are_detected() {
    type Run = fn(Option<Fault>, u64) -> RunResult;
    let runs: [(Fault, Run); 4] = [
        (Fault::NoRefutation, check_pause),
        (Fault::NoIndirectProbes, check_partially_unreachable),
        (Fault::NoPauseDetection, check_pause),
        (Fault::NoAntiEntropy, check_random_failures),
    ];
    for (fault, run) in runs {
        let detected = (0..40).find_map(|seed| run(Some(fault), seed).err());
        println!("{fault:?}: {detected:?}");
        assert!(detected.is_some(), "{fault:?} is not detected");
    }
}
