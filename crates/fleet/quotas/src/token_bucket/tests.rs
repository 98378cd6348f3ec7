//! Tests of the token bucket.

use std::time::Duration;

use super::TokenBucket;

#[test]
fn fills_at_its_rate_up_to_its_burst() {
    let mut bucket = TokenBucket::default();
    let ms = Duration::from_millis;
    bucket.set_rate(ms(0), 5_000, 1_000);
    let mut taken = 0;
    for t in 0..10_000 {
        if bucket.has(ms(t), 1) {
            bucket.take(1);
            taken += 1;
        }
    }
    assert!((49..=50).contains(&taken), "{taken}");
    // An idle bucket fills up to its burst and no further.
    assert!(bucket.has(ms(60_000), 5) && !bucket.has(ms(60_000), 6));
    // A lower rate lowers the capacity. At rate zero the bucket is empty, and it is still empty after the rate is restored.
    bucket.set_rate(ms(60_000), 1_000, 1_000);
    assert!(bucket.has(ms(60_000), 1) && !bucket.has(ms(60_000), 2));
    bucket.set_rate(ms(60_000), 0, 1_000);
    bucket.set_rate(ms(61_000), 5_000, 1_000);
    assert!(!bucket.has(ms(61_000), 1));
    assert_eq!(bucket.time_until_token(), Some(ms(200)));
}
