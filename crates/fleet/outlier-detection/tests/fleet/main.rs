//! Tests of simulated fleets with failing and restarting servers, a lying front, isolated zones, and lost, duplicated and delayed
//! packets.

mod fleet;
mod measurement;

use std::time::Duration;

use beechloft_gossip::simulation::Network;
use beechloft_outlier_detection::{DetectionSettings, Fault};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::fleet::{Fleet, Health};

const SECOND: Duration = Duration::from_secs(1);

fn settings(fault: Option<Fault>) -> DetectionSettings {
    let mut settings = DetectionSettings::default();
    if let Some(fault) = fault {
        settings.inject_fault(fault);
    }
    settings
}

/// Fails if a server other than `failing` was ejected since a time.
fn check_ejections(fleet: &Fleet, since: Duration, failing: Option<usize>, when: &str) -> Result<(), String> {
    match fleet.wrong_ejection(since, failing) {
        Some(event) => Err(format!("{when}: {event:?}")),
        None => Ok(()),
    }
}

fn check_not_ejected(fleet: &Fleet, server: usize, when: &str) -> Result<(), String> {
    match fleet.ejecting_fronts(server) {
        0 => Ok(()),
        fronts => Err(format!("{fronts} fronts eject server {server} {when}")),
    }
}

fn check_probes(fleet: &Fleet) -> Result<(), String> {
    match fleet.max_concurrent_probes {
        0 | 1 => Ok(()),
        fronts => Err(format!("{fronts} fronts probed concurrently")),
    }
}

/// Runs a fleet with a lying front and without failing servers. In every second run a zone is isolated for a while.
fn fleet_without_failures(rng: &mut ChaCha8Rng, seed: u64, fault: Option<Fault>) -> Result<Fleet, String> {
    let (fronts, servers) = (rng.random_range(9..18), rng.random_range(9..13));
    let mut fleet = Fleet::new(fronts, servers, seed, settings(fault), true);
    fleet.cluster.network = Network {
        lost_per_mille: rng.random_range(0..150),
        duplicated_per_mille: 100,
        max_delay: Duration::from_millis(rng.random_range(2..300)),
    };
    let liar = rng.random_range(0..fronts);
    fleet.fronts[liar].lies = true;
    fleet.run_for(12 * SECOND);
    let isolated = rng.random_range(0..3);
    if seed.is_multiple_of(2) {
        fleet.cluster.isolated_zones.insert(isolated);
        fleet.run_for(Duration::from_secs(rng.random_range(3..15)));
        fleet.cluster.isolated_zones.clear();
        fleet.run_for(14 * SECOND);
    }
    check_ejections(&fleet, Duration::ZERO, None, "no server fails")?;
    Ok(fleet)
}

/// Replaces the failing server by a new, healthy process and checks that it is not ejected.
fn restart(fleet: &mut Fleet, server: usize) -> Result<(), String> {
    fleet.servers[server].boot = 2;
    fleet.servers[server].health = Health::Healthy;
    let since = fleet.cluster.now + 3 * SECOND;
    fleet.run_for(9 * SECOND);
    check_not_ejected(fleet, server, "after its restart")?;
    check_ejections(fleet, since, None, "after the restart")
}

/// Lets the failing server recover and checks that its ejection ends. In some runs no coordinator grants the probe lease.
fn recover(fleet: &mut Fleet, server: usize, rng: &mut ChaCha8Rng) -> Result<(), String> {
    fleet.has_coordinator = rng.random_bool(0.7);
    fleet.servers[server].health = Health::Healthy;
    let seconds = if fleet.has_coordinator { 45 } else { 85 };
    fleet.run_for(Duration::from_secs(seconds));
    let when = format!("{seconds} s after its recovery (coordinator: {})", fleet.has_coordinator);
    check_not_ejected(fleet, server, &when)
}

/// Runs a fleet with a failing server, a lying front, an isolated zone, and a restart or a recovery of the server.
fn random_failures(seed: u64, fault: Option<Fault>) -> Result<(), String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = fleet_without_failures(&mut rng, seed, fault)?;
    let failing = rng.random_range(0..fleet.servers.len());
    fleet.servers[failing].health = Health::Failing(1.0);
    fleet.run_for(10 * SECOND);
    let (ejecting, fronts) = (fleet.ejecting_fronts(failing), fleet.fronts.len());
    if ejecting < fronts - 1 {
        return Err(format!("{ejecting} of {fronts} fronts eject server {failing} after 10 s"));
    }
    check_probes(&fleet)?;
    if rng.random_bool(0.5) {
        restart(&mut fleet, failing)?;
    } else {
        recover(&mut fleet, failing, &mut rng)?;
    }
    check_probes(&fleet)?;
    check_ejections(&fleet, Duration::ZERO, Some(failing), "one server fails")
}

fn integer_from_environment(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn all_fronts_eject_only_the_failing_server() {
    let first = integer_from_environment("FROM", 0);
    let seeds = integer_from_environment("SEEDS", 40);
    let failed: Vec<(u64, String)> =
        (first..first + seeds).filter_map(|seed| Some((seed, random_failures(seed, None).err()?))).collect();
    assert!(failed.is_empty(), "{} of {seeds}: {:#?}", failed.len(), &failed[..failed.len().min(5)]);
}

#[test]
fn injected_faults_are_detected_in_fleets() {
    for fault in
        [Fault::TrustsFailingFronts, Fault::IgnoresInstance, Fault::ProbesWithoutLease, Fault::NoExpiry]
    {
        let detected = (0..40).find_map(|seed| Some((seed, random_failures(seed, Some(fault)).err()?)));
        println!("{fault:?}: {detected:?}");
        assert!(detected.is_some(), "{fault:?}");
    }
}
