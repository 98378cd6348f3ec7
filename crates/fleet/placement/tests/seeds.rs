//! Random faults in a simulation of three zones with media servers, workers, fronts and customers. Rules (a) to (e) hold at
//! every moment, and the requested placement is reached soon after all faults are healed.
#![allow(clippy::cast_possible_truncation)]

mod support;

use std::time::Duration;

use beechloft_placement::names::*;
use beechloft_placement::protocol::request::{First, OnLoss, WhenFull};
use beechloft_placement::{Fault, Request};
use rand::RngExt;
use support::simulation::{Simulation, ms};
use support::*;

const STEP: Duration = Duration::from_millis(80);

#[derive(Debug, Default)]
struct Run {
    violation: Option<String>,
    sessions: usize,
    transfers: usize,
    withdrawals: usize,
    retired: usize,
    failovers: usize,
    sessions_cut: usize,
}

fn random_request(simulation: &mut Simulation, shard_id: &ShardId) -> Request {
    let bytes = 300_000 + 100_000 * (shard_id.name.as_str().len() as u64 % 3);
    let zone = simulation.rng.random_range(0..3);
    let copies = simulation.rng.random_range(1..=2);
    let (one, two) = (format!("r{zone}"), format!("r{}", (zone + 1) % 3));
    let both = [(one.as_str(), copies), (two.as_str(), 1)];
    let mut request = match simulation.rng.random_range(0..4) {
        0 => request(shard_id, bytes, &[("all", copies + 1)]),
        1 => request(shard_id, bytes, &both),
        _ => request(shard_id, bytes, &both[..1]),
    };
    if simulation.chance(500) && !request.regions.contains_key(&name::<Region>("all")) {
        let to = name(&format!("r{}", (zone + 2) % 3));
        request.on_loss =
            OnLoss::FailOver { to: vec![to], max_duration_ms: simulation.rng.random_range(1_000..20_000) };
    }
    if simulation.chance(300) {
        let home = request.regions.keys().next().cloned().expect("a region");
        request.first = First::Home(home);
    }
    if simulation.chance(300) {
        request.when_full = WhenFull::Wait;
    }
    request
}

fn random_change(simulation: &mut Simulation) {
    let customer = if simulation.chance(500) { "ann" } else { "ben" };
    let of = shard(customer, ["a", "bb", "ccc"][simulation.rng.random_range(0..3)]);
    let is = simulation.state.pins().get(&of).map(|p| p.version.0);
    let based_on = if simulation.chance(50) { Some(1) } else { is };
    let key = format!("k{}", simulation.rng.random_range(0..1_000_000));
    let command = match based_on {
        Some(version) if simulation.chance(150) => remove(&of, &key, version),
        _ => {
            let request = random_request(simulation, &of);
            put(&of, &key, based_on, request)
        }
    };
    simulation.submit(command);
}

fn inject_random_fault(simulation: &mut Simulation) {
    let id = ServerId(simulation.rng.random_range(1..=9));
    let front = simulation.rng.random_range(0..simulation.fronts.len());
    let worker = simulation.rng.random_range(0..simulation.workers.len());
    let span = ms(simulation.rng.random_range(100..4_000));
    match simulation.rng.random_range(0..34) {
        0..6 => random_change(simulation),
        6 => simulation.stop_server(id),
        7..10 => {
            let with = simulation.rng.random_range(0..3);
            simulation.start_server(id, with);
        }
        10 => simulation.servers.get_mut(&id).expect("a known media server").partitioned = true,
        11 => simulation.servers.get_mut(&id).expect("a known media server").full = true,
        12 => simulation.servers.get_mut(&id).expect("a known media server").corrupt_per_mille = 500,
        13 => simulation.servers.get_mut(&id).expect("a known media server").broken_per_mille = 500,
        14 => simulation.servers.get_mut(&id).expect("a known media server").false_reports = true,
        15 | 16 => {
            let zone = simulation.rng.random_range(0..3);
            let lost = simulation.chance(500);
            for server in (1..=9).map(ServerId).filter(|server| zone_of(*server, 3) == zone) {
                if lost {
                    simulation.stop_server(server);
                } else {
                    simulation.servers.get_mut(&server).expect("a known media server").partitioned = true;
                }
            }
        }
        17 => {
            for server in (1..=9).map(ServerId) {
                let host = simulation.servers.get_mut(&server).expect("a known media server");
                (
                    host.partitioned,
                    host.full,
                    host.corrupt_per_mille,
                    host.broken_per_mille,
                    host.false_reports,
                ) = (false, false, 0, 0, false);
                if !host.up {
                    simulation.start_server(server, 2);
                }
            }
        }
        18..22 => simulation.fronts[front].stopped_until = simulation.now + span,
        22 => simulation.fronts[front].partitioned = true,
        23 => simulation.fronts[front].no_records = true,
        24 => simulation.restart_front(front),
        25..27 => simulation.fronts.iter_mut().for_each(|f| (f.partitioned, f.no_records) = (false, false)),
        27 => simulation.move_lease(worker, true),
        28 => simulation.move_lease(worker, false),
        29 => {
            // The holder is stopped, and the lease moves to another worker.
            let holder = simulation.holder;
            simulation.workers[holder].stopped_until = simulation.now + span;
            simulation.move_lease(worker, false);
        }
        30 => simulation.change_leader(),
        _ => {}
    }
}

fn run(seed: u64, fronts: usize, steps: usize, fault: Option<Fault>) -> Run {
    let mut simulation = Simulation::new(seed, fronts, fault);
    simulation.run_for(ms(1_500));
    for n in 0..4 {
        let of = shard(["ann", "ben"][n % 2], ["a", "bb"][n / 2]);
        let request = random_request(&mut simulation, &of);
        simulation.submit(put(&of, "first", None, request));
    }
    simulation.run_for(ms(2_500));
    simulation.loss_per_mille = simulation.rng.random_range(0..120);
    simulation.duplicate_per_mille = simulation.rng.random_range(0..100);
    simulation.late_per_mille = simulation.rng.random_range(0..40);
    for _ in 0..steps {
        simulation.run_for(STEP);
        if simulation.violation.is_some() {
            break;
        }
        inject_random_fault(&mut simulation);
    }
    if simulation.violation.is_none() && fault.is_none() {
        simulation.heal();
        for _ in 0..30 {
            simulation.run_for(ms(4_000));
            if simulation.violation.is_some() || simulation.unsettled().is_none() {
                break;
            }
        }
        simulation.violation = simulation.violation.take().or_else(|| simulation.unsettled());
    }
    Run {
        violation: simulation.violation,
        sessions: simulation.sessions,
        transfers: simulation.transfers,
        withdrawals: simulation.withdrawals,
        retired: simulation.retired,
        failovers: simulation.failovers,
        sessions_cut: simulation.sessions_cut,
    }
}

fn runs(seeds: impl Iterator<Item = u64>, fronts: usize, steps: usize) -> Run {
    let mut all = Run::default();
    for seed in seeds {
        let run = run(seed, fronts, steps, None);
        assert!(run.violation.is_none(), "seed {seed}: {}", run.violation.unwrap_or_default());
        all.sessions += run.sessions;
        all.transfers += run.transfers;
        all.withdrawals += run.withdrawals;
        all.retired += run.retired;
        all.failovers += run.failovers;
        all.sessions_cut += run.sessions_cut;
    }
    all
}

#[test]
fn keeps_rules_under_random_faults_and_settles() {
    let all = runs(0..200, 4, 200);
    println!("{all:?}");
    // The test is meaningful only if enough events happen.
    assert!(
        all.sessions > 10_000 && all.transfers > 2_000 && all.withdrawals > 400 && all.retired > 400,
        "{all:?}"
    );
    assert!(all.failovers > 10, "{all:?}");
}

/// Runs outside CI with `cargo test --release -p beechloft-placement --test seeds -- --ignored --nocapture`.
#[test]
#[ignore = "thousands of runs, minutes"]
fn keeps_rules_in_five_thousand_runs() {
    std::thread::scope(|scope| {
        for part in 0..4 {
            scope.spawn(move || println!("{:?}", runs((10_000 + part..15_000).step_by(4), 8, 250)));
        }
    });
}

#[test]
fn detects_injected_faults() {
    for fault in [
        Fault::IgnoreToken,
        Fault::WithdrawAtOnce,
        Fault::LeaseFromArrival,
        Fault::IgnoreDrift,
        Fault::IgnoreDigest,
        Fault::WithdrawBeforeComplete,
        Fault::ReserveLate,
        Fault::NoGracePeriod,
        Fault::TrustReturnedDisk,
        Fault::AcceptOldOrders,
        Fault::AcceptOldSnapshot,
        Fault::RetireAtOnce,
        Fault::NoLeaseRestart,
    ] {
        // The rarest fault, leases without the drift bound, shows in one of several hundred runs.
        let found =
            (0..2_000).find_map(|seed| run(seed, 4, 200, Some(fault)).violation.map(|why| (seed, why)));
        let description = found
            .as_ref()
            .map(|(seed, why)| format!("seed {seed}: {}", why.lines().next().unwrap_or_default()));
        println!("{fault:?}: {description:?}");
        assert!(found.is_some(), "{fault:?} is not detected");
    }
}
