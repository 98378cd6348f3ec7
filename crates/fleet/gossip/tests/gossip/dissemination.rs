//! Dissemination and age of rows in simulated clusters with lost and duplicated packets, restarted fronts and isolated zones.

use std::time::Duration;

use beechloft_gossip::simulation::{Cluster, Network};
use beechloft_gossip::{Fault, SectionKind, Settings};

use super::SECOND;
use super::unsolicited::accepted_unsolicited_rows;

const STEP: Duration = Duration::from_millis(250);

/// Ages of rows and traffic in a cluster in which all rows change each second.
struct Measurement {
    /// Ages of all rows at all fronts, in ascending order.
    ages: Vec<Duration>,
    /// Mean number of bytes that each front sends per second.
    bytes_per_second: f64,
    max_datagram_len: usize,
}

impl Measurement {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "an index into the ages")]
    fn percentile(&self, fraction: f64) -> Duration {
        self.ages[((self.ages.len() - 1) as f64 * fraction) as usize]
    }
}

fn measure(fronts: usize, seed: u64, network: Network, seconds: u8) -> Measurement {
    let mut cluster = Cluster::new(fronts, seed, Settings::default(), None);
    cluster.network = network;
    cluster.run_for(8 * SECOND);
    cluster.sent_bytes.iter_mut().for_each(|bytes| *bytes = 0);
    let mut ages = Vec::new();
    for second in 0..seconds {
        // A hundred bytes hold the data of a few quotas and media servers.
        (0..fronts).for_each(|front| cluster.write(front, vec![second; 100]));
        cluster.run_for(SECOND);
        assert_eq!(cluster.underestimated_age(), None);
        ages.extend(cluster.ages().into_iter().map(|age| age.expect("the row is known")));
    }
    ages.sort();
    let bytes = cluster.sent_bytes.iter().sum::<u64>() as f64;
    let bytes_per_second = bytes / fronts as f64 / f64::from(seconds);
    Measurement { ages, bytes_per_second, max_datagram_len: cluster.max_datagram_len }
}

#[test]
fn row_ages_of_three_hundred_fronts_stay_below_the_staleness_bound() {
    let bound = Settings::default().staleness(300);
    for (lost_per_mille, delay_ms, seconds) in [(0, 2, 2), (100, 50, 3)] {
        let network =
            Network { lost_per_mille, duplicated_per_mille: 20, max_delay: Duration::from_millis(delay_ms) };
        let measured = measure(300, 1, network, seconds);
        let [p50, p99, max] = [0.5, 0.99, 1.0].map(|fraction| measured.percentile(fraction));
        let Measurement { bytes_per_second, max_datagram_len, .. } = measured;
        println!(
            "300 fronts, {lost_per_mille} in 1,000 packets lost, up to {delay_ms} ms late: p50 {p50:?}, p99 {p99:?}, max {max:?}, bound {bound:?}; \
             {bytes_per_second:.0} bytes per second each, longest datagram {max_datagram_len}"
        );
        assert!(max <= bound, "{max:?} exceeds {bound:?}");
        assert!(max_datagram_len <= 1_432, "{max_datagram_len}");
        assert!(bytes_per_second <= f64::from(Settings::default().max_bytes_per_second));
    }
}

/// Runs a cluster with random faults and checks the ages, the versions and the convergence of rows.
///
/// Packets are lost, duplicated and delayed by more than a round, clocks differ by up to a hundredth, one front is paused, one is
/// restarted, and a zone is isolated.
fn random_failures(fault: Option<Fault>, seed: u64) -> Result<(), String> {
    const FRONTS: usize = 16;
    const RESTARTED: usize = 5;
    let mut cluster = Cluster::new(FRONTS, seed, Settings::default(), fault);
    cluster.network =
        Network { lost_per_mille: 150, duplicated_per_mille: 150, max_delay: Duration::from_millis(900) };
    let killed = cluster.id(RESTARTED);
    for step in 0..120u8 {
        let writes = |front: &usize| (usize::from(step) + front).is_multiple_of(3);
        (0..FRONTS).filter(writes).for_each(|front| cluster.write(front, vec![step; 1 + front]));
        match step {
            30 => cluster.pause(3, 4 * SECOND),
            50 => cluster.restart(RESTARTED),
            70 => drop(cluster.isolated_zones.insert(1)),
            90 => cluster.isolated_zones.clear(),
            _ => {}
        }
        cluster.run_for(STEP);
        if let Some(age) = cluster.underestimated_age() {
            return Err(format!("seed {seed}, step {step}: {age:?}"));
        }
        if let Some(regression) = cluster.version_regression() {
            return Err(format!("seed {seed}, step {step}: {regression:?}"));
        }
    }
    cluster.network =
        Network { lost_per_mille: 0, duplicated_per_mille: 0, max_delay: Duration::from_millis(2) };
    cluster.run_for(10 * SECOND);
    // The row of a killed process must expire, and no front may disseminate it again.
    cluster.run_for(Settings::default().row_expiry + 5 * SECOND);
    let knows_killed =
        |front: &usize| cluster.node(*front).gossip.row(cluster.clock(*front), killed).is_some();
    if let Some(front) = cluster.running().find(knows_killed) {
        return Err(format!("seed {seed}: front {front} still knows the row of a killed process"));
    }
    if !cluster.has_converged() {
        return Err(format!("seed {seed}: the fronts do not converge after the faults"));
    }
    Ok(())
}

#[test]
fn never_underestimates_ages_and_converges() {
    let seeds = std::env::var("SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(40);
    for seed in 0..seeds {
        assert_eq!(random_failures(None, seed), Ok(()));
    }
}

/// Returns whether any row of a hundred fronts exceeds the staleness bound while a tenth of all packets is lost.
fn exceeds_staleness(fault: Option<Fault>) -> bool {
    let mut cluster = Cluster::new(100, 5, Settings::default(), fault);
    cluster.network =
        Network { lost_per_mille: 100, duplicated_per_mille: 0, max_delay: Duration::from_millis(2) };
    cluster.run_for(8 * SECOND);
    let bound = Settings::default().staleness(100);
    cluster.ages().into_iter().any(|age| age.is_none_or(|age| age > bound))
}

/// Returns the time until all of a hundred fronts know a section that was written once.
fn time_to_reach_all(fault: Option<Fault>) -> Duration {
    let mut cluster = Cluster::new(100, 6, Settings::default(), fault);
    cluster.run_for(8 * SECOND);
    cluster.write(0, vec![7; 9]);
    let (start, id) = (cluster.now, cluster.id(0));
    let has_section = |fronts: &Cluster, front: usize| {
        let row = fronts.node(front).gossip.row(fronts.clock(front), id);
        row.and_then(|row| row.section(SectionKind::OUTLIER_REPORT)).is_some_and(|bytes| bytes.len() == 9)
    };
    while !(0..100).all(|front| has_section(&cluster, front)) && cluster.now - start < 60 * SECOND {
        cluster.run_for(Duration::from_millis(20));
    }
    cluster.now - start
}

#[test]
fn injected_faults_are_detected() {
    for fault in [Fault::AgeFromArrival, Fault::AgeNotCarried, Fault::NoExpiry, Fault::AnyVersion] {
        let detected = (0..20).find_map(|seed| random_failures(Some(fault), seed).err());
        println!("{fault:?}: {detected:?}");
        assert!(detected.is_some(), "{fault:?}");
    }
    // Without requests, rows exceed the staleness bound or take longer to reach all fronts.
    assert!(!exceeds_staleness(None));
    assert!(
        exceeds_staleness(Some(Fault::NoPull))
            || time_to_reach_all(Some(Fault::NoPull)) > time_to_reach_all(None)
    );
    assert!(accepted_unsolicited_rows(Some(Fault::AcceptsUnsolicited)) > 0);
}
