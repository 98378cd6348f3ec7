//! Measurements of one time to live by a holder and a replica, with clock rates within the drift bound.

use std::time::Duration;

use beechloft_leases::DriftBound;

#[test]
fn lease_ends_at_holder_before_replica() {
    for ppm in [0, 1, 200, 10_000, 99_999] {
        let drift = DriftBound::ppm(ppm).expect("within the limit");
        let max_deviation = f64::from(ppm) / 1e6;
        for ms in [1, 250, 3_000, 3_600_000] {
            let ttl = Duration::from_millis(ms);
            // The worst case is the slowest clock at the holder and the fastest one at the replica.
            let holder_s = drift.shorter(ttl).as_secs_f64() / (1.0 - max_deviation);
            let replica_s = drift.longer(ttl).as_secs_f64() / (1.0 + max_deviation);
            assert!(holder_s <= replica_s + 1e-9, "{ppm} ppm, {ms} ms: {holder_s} s > {replica_s} s");
        }
    }
    assert_eq!(DriftBound::ppm(100_000), None);
}
