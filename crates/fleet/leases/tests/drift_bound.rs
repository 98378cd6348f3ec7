//! Holders' and replicas' measures of one time to live, with clocks within the drift bound.

use std::time::Duration;

use beechloft_leases::DriftBound;

#[test]
fn a_holders_time_is_over_before_its_replicas_at_any_rates_within_the_bound() {
    for ppm in [0, 1, 200, 10_000, 99_999] {
        let drift = DriftBound::ppm(ppm).expect("within bounds");
        let d = f64::from(ppm) / 1e6;
        for ms in [1, 250, 3_000, 3_600_000] {
            let ttl = Duration::from_millis(ms);
            // The slowest holder's clock and the fastest replica's.
            let held = drift.shorter(ttl).as_secs_f64() / (1.0 - d);
            let kept = drift.longer(ttl).as_secs_f64() / (1.0 + d);
            assert!(held <= kept + 1e-9, "{ppm} {ms}: {held} and {kept}");
        }
    }
    assert_eq!(DriftBound::ppm(100_000), None);
}
