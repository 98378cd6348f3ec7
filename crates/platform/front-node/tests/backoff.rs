//! The back-off: how long it waits.

use beechloft::api::Micros;
use beechloft_front_node::ExponentialBackoff;

#[test]
fn delays_double_up_to_the_maximum_and_start_again_after_a_success() {
    let mut backoff = ExponentialBackoff::new(Micros(50), Micros(500), 7);
    for whole in [50, 100, 200, 400, 500, 500, 500] {
        let wait = backoff.next_delay().0;
        assert!((whole / 2..=whole).contains(&wait), "{wait} of {whole}");
    }
    backoff.reset();
    assert!(backoff.next_delay().0 <= 50);
    for _ in 0..4 {
        backoff.next_delay();
    }
    // Past the end of its count of failures.
    for _ in 0..1_000 {
        let wait = backoff.next_delay().0;
        assert!((250..=500).contains(&wait), "{wait}");
    }
}
