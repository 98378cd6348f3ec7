//! Members that are killed, paused, slow, restarted or partitioned: who is declared dead, and how the fleet converges again.

use std::fmt;
use std::time::Duration;

use beechloft_membership::{Fault, MemberState, Swim};
use rand::RngExt;

use super::cluster::{Cluster, Death, MINUTE, Network};

/// What a run found wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Failure(String);

impl Failure {
    fn new(seed: u64, what: impl fmt::Display) -> Failure {
        Failure(format!("seed {seed}: {what}"))
    }
}

type RunResult = Result<(), Failure>;

fn no_deaths(seed: u64, deaths: &[Death]) -> RunResult {
    match deaths.first() {
        Some(death) => Err(Failure::new(seed, format!("declared dead: {death:?}"))),
        None => Ok(()),
    }
}

/// A fleet that has converged, with a fault injected into each member.
fn converged_with(members: usize, seed: u64, fault: Option<Fault>) -> Result<Cluster, Failure> {
    let mut cluster = Cluster::new(members, seed);
    cluster.fault = fault;
    (0..members).for_each(|member| cluster.start(member));
    cluster
        .run_until_converged(2 * MINUTE)
        .ok_or_else(|| Failure::new(seed, format!("{members} members do not converge")))?;
    Ok(cluster)
}

fn converged(members: usize, seed: u64) -> Cluster {
    converged_with(members, seed, None).unwrap_or_else(|failure| panic!("{failure:?}"))
}

#[test]
fn a_killed_member_is_declared_dead_by_all_and_no_other_is() {
    for seed in 0..10 {
        let mut cluster = converged(40, seed);
        cluster.network = Network { lost: 30, duplicated: 30, delay_ms: 50 };
        cluster.run_for(MINUTE);
        let member = usize::try_from(seed).expect("small") + 5;
        let killed = cluster.kill(member);
        let took = cluster.run_until(2 * MINUTE, |cluster| cluster.believers(killed) == 0);
        assert!(took.is_some_and(|took| took < MINUTE), "seed {seed}: {took:?}");
        cluster.run_for(MINUTE);
        assert_eq!(no_deaths(seed, &cluster.deaths_besides(killed)), Ok(()));
    }
}

#[test]
fn a_member_that_leaves_is_removed_and_a_restarted_process_is_another_member() {
    let mut cluster = converged(40, 3);
    let left = cluster.leave(4);
    let took = cluster.run_until(MINUTE, |cluster| cluster.believers(left) == 0).expect("all know");
    assert!(took < Duration::from_secs(20), "{took:?}");
    let state = |member: &Swim| member.members().get(left).map(|left| left.state);
    assert!(cluster.running().all(|member| state(member) == Some(MemberState::Left)));
    // Killed and restarted at once, at the same address.
    let old = cluster.kill(5);
    cluster.start(5);
    let replaced = cluster.run_until(MINUTE, |cluster| cluster.believers(old) == 0).expect("all know");
    assert!(replaced < Duration::from_secs(20), "{replaced:?}");
    cluster.start(4);
    assert!(cluster.run_until_converged(MINUTE).is_some());
    assert_eq!(cluster.deaths_besides(old).len(), 0);
}

/// A paused process is declared dead by the others, comes back by itself, and declares nobody dead for its own pause.
fn paused(fault: Option<Fault>, seed: u64) -> RunResult {
    const PAUSED: usize = 9;
    const BLOCKED: usize = 8;
    let fail = |what: &str| Failure::new(seed, what);
    let mut cluster = converged_with(40, seed, fault)?;
    // It suspects a member that is unreachable for a while when it is paused.
    (0..40).for_each(|member| cluster.block_both_ways(member, BLOCKED));
    let unreachable = cluster.id(BLOCKED);
    let suspects = |fleet: &Cluster| {
        let member = fleet.members[PAUSED].as_ref().expect("it runs");
        member.members().get(unreachable).is_some_and(|other| other.state == MemberState::Suspect)
    };
    cluster.run_until(MINUTE, suspects).ok_or_else(|| fail("it suspects nobody"))?;
    cluster.pause(PAUSED, 3 * MINUTE);
    cluster.blocked.clear();
    let id = cluster.id(PAUSED);
    cluster
        .run_until(3 * MINUTE, |cluster| cluster.believers(id) == 1)
        .ok_or_else(|| fail("it is not declared dead"))?;
    cluster.run_for(3 * MINUTE);
    cluster.run_until_converged(2 * MINUTE).ok_or_else(|| fail("it does not come back"))?;
    cluster.run_for(MINUTE);
    no_deaths(seed, &cluster.deaths_besides(id))
}

#[test]
fn a_process_that_was_paused_for_minutes_comes_back_and_declares_nobody_dead() {
    for seed in 0..6 {
        assert_eq!(paused(None, seed), Ok(()));
    }
}

/// Three zones are partitioned for minutes, then the partition heals.
fn partitioned(fault: Option<Fault>, seed: u64) -> RunResult {
    let fail = |what: &str| Failure::new(seed, what);
    let mut cluster = converged_with(60, seed, fault)?;
    cluster.is_partitioned = true;
    let knows_own_zone =
        |fleet: &Cluster| fleet.running().all(|member| member.members().active_count() == 20);
    cluster
        .run_until(4 * MINUTE, knows_own_zone)
        .ok_or_else(|| fail("a zone does not know what is left of the fleet"))?;
    cluster.run_for(2 * MINUTE);
    cluster.is_partitioned = false;
    cluster.run_until_converged(3 * MINUTE).ok_or_else(|| fail("the zones do not converge"))?;
    Ok(())
}

#[test]
fn zones_converge_after_a_partition_heals() {
    for seed in 0..4 {
        assert_eq!(partitioned(None, seed), Ok(()));
    }
}

/// Some members can't reach one that all others reach.
fn partly_unreachable(fault: Option<Fault>, seed: u64) -> RunResult {
    let mut cluster = converged_with(30, seed, fault)?;
    for member in 5..15 {
        cluster.block_both_ways(member, 20);
    }
    cluster.run_for(5 * MINUTE);
    no_deaths(seed, &cluster.deaths)
}

#[test]
fn links_that_are_blocked_between_some_members_cost_none_its_membership() {
    for seed in 0..4 {
        assert_eq!(partly_unreachable(None, seed), Ok(()));
    }
}

#[test]
fn a_member_that_is_slow_by_seconds_has_no_other_declared_dead() {
    for seed in 0..4 {
        let mut cluster = converged(40, seed);
        cluster.slow.insert(7, Duration::from_millis(1_500));
        cluster.run_for(5 * MINUTE);
        let slow = cluster.id(7);
        assert_eq!(no_deaths(seed, &cluster.deaths_besides(slow)), Ok(()));
        cluster.slow.clear();
        assert!(cluster.run_until_converged(3 * MINUTE).is_some(), "seed {seed}");
    }
}

/// One random failure, or the end of those that last.
fn fail_at_random(cluster: &mut Cluster) {
    cluster.network.lost = cluster.rng.random_range(0..200);
    cluster.network.duplicated = cluster.rng.random_range(0..200);
    cluster.network.delay_ms = cluster.rng.random_range(0..300);
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
        7 => drop(cluster.slow.insert(member, span / 30)),
        _ => heal(cluster),
    }
    cluster.run_for(span / 6);
}

fn heal(cluster: &mut Cluster) {
    cluster.blocked.clear();
    cluster.slow.clear();
    cluster.is_partitioned = false;
}

/// Failures of all kinds; in the end all is well again.
fn random_failures(fault: Option<Fault>, seed: u64) -> RunResult {
    let mut cluster = Cluster::new(24, seed);
    cluster.fault = fault;
    (0..24).for_each(|member| cluster.start(member));
    cluster.run_for(MINUTE);
    (0..40).for_each(|_| fail_at_random(&mut cluster));
    heal(&mut cluster);
    cluster.network.lost = 0;
    cluster.network.delay_ms = 5;
    cluster
        .run_until_converged(5 * MINUTE)
        .ok_or_else(|| Failure::new(seed, "the fleet does not converge in the end"))?;
    Ok(())
}

#[test]
fn a_fleet_converges_after_any_failures_once_all_is_well() {
    for seed in 0..60 {
        assert_eq!(random_failures(None, seed), Ok(()));
    }
}

#[test]
fn injected_faults_are_detected() {
    type Run = fn(Option<Fault>, u64) -> RunResult;
    let runs: [(Fault, Run); 4] = [
        (Fault::NoRefutation, paused),
        (Fault::NoIndirectProbes, partly_unreachable),
        (Fault::NoPauseDetection, paused),
        (Fault::NoAntiEntropy, random_failures),
    ];
    for (fault, run) in runs {
        let detected = (0..40).find_map(|seed| run(Some(fault), seed).err());
        println!("{fault:?}: {detected:?}");
        assert!(detected.is_some(), "{fault:?} is not detected");
    }
}
