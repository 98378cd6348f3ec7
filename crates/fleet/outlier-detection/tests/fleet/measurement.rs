//! Measurement of the failed attempts at a failing server, with and without shared reports.

use std::collections::BTreeMap;
use std::time::Duration;

use beechloft_gossip::simulation::Network;
use beechloft_outlier_detection::{DetectionSettings, EjectionEvent};

use super::SECOND;
use super::fleet::{Fleet, Health, STEP};

/// The server that fails.
const SERVER: usize = 7;

struct Measurement {
    failed_attempts: usize,
    /// Time from the first failed attempt until all fronts eject the server, or `None` if they do not.
    all_ejected_after: Option<Duration>,
    /// Times from the first failed attempt until each front ejects the server, in ascending order.
    ejected_after: Vec<Duration>,
}

impl Measurement {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "an index into the list")]
    fn percentile(&self, fraction: f64) -> Option<&Duration> {
        self.ejected_after.get(((self.ejected_after.len().max(1) - 1) as f64 * fraction) as usize)
    }
}

/// Measures a fleet in which one of sixty servers fails for `seconds`.
fn measure(fronts: usize, shares_reports: bool, seconds: u32, seed: u64) -> Measurement {
    let mut fleet = Fleet::new(fronts, 60, seed, DetectionSettings::default(), shares_reports);
    fleet.cluster.network =
        Network { lost_per_mille: 20, duplicated_per_mille: 10, max_delay: Duration::from_millis(5) };
    fleet.sessions_per_second = 10.0;
    fleet.run_for(12 * SECOND);
    fleet.servers[SERVER].health = Health::Failing(1.0);
    let start = fleet.cluster.now;
    let mut all_ejected_at = None;
    while fleet.cluster.now < start + seconds * SECOND {
        fleet.run_for(STEP);
        if all_ejected_at.is_none() && shares_reports && fleet.ejecting_fronts(SERVER) == fronts {
            all_ejected_at = Some(fleet.cluster.now);
        }
    }
    let first = fleet.failed_attempts[SERVER].first().copied().unwrap_or(start);
    let mut first_ejections: BTreeMap<usize, Duration> = BTreeMap::new();
    for event in &fleet.events {
        if matches!(event.event, EjectionEvent::Ejected(outlier) if outlier.instance.server as usize == SERVER)
        {
            first_ejections.entry(event.front).or_insert(event.at - first);
        }
    }
    let mut ejected_after: Vec<Duration> = first_ejections.into_values().collect();
    ejected_after.sort();
    Measurement {
        failed_attempts: fleet.failed_attempts[SERVER].len(),
        all_ejected_after: all_ejected_at.map(|at| at - first),
        ejected_after,
    }
}

#[test]
#[ignore = "measurement without assertions"]
fn measures_failed_attempts_with_and_without_shared_reports() {
    for fronts in [8, 300] {
        let alone = measure(fronts, false, 60, 1);
        let shared = measure(fronts, true, 60, 1);
        println!(
            "{fronts} simulated fronts, 60 s: {} attempts failed with each front by itself, {} with shared reports ({:.2}); a front \
             ejects p50 {:?}, p99 {:?}, max {:?} after the first failed attempt; all of them {:?}",
            alone.failed_attempts,
            shared.failed_attempts,
            shared.failed_attempts as f64 / alone.failed_attempts as f64,
            shared.percentile(0.5),
            shared.percentile(0.99),
            shared.percentile(1.0),
            shared.all_ejected_after
        );
    }
}
