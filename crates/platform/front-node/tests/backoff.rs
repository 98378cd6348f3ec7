//! Delays of the exponential backoff.

use beechloft::api::Micros;
use beechloft_front_node::ExponentialBackoff;

#[test]
fn doubles_up_to_maximum_and_resets() {
    let mut backoff = ExponentialBackoff::new(Micros(50), Micros(500), 7);
    for full_delay in [50, 100, 200, 400, 500, 500, 500] {
        let delay = backoff.next_delay().0;
        assert!((full_delay / 2..=full_delay).contains(&delay), "{delay} of {full_delay}");
    }
    backoff.reset();
    assert!(backoff.next_delay().0 <= 50);
    for _ in 0..4 {
        backoff.next_delay();
    }
    // The number of failures exceeds the range of its counter.
    for _ in 0..1_000 {
        let delay = backoff.next_delay().0;
        assert!((250..=500).contains(&delay), "{delay}");
    }
}
