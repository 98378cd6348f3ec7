//! Levels of the bucket.

use std::time::Duration;

use super::Bucket;

#[test]
fn it_holds_its_burst_and_mints_at_its_rate_whatever_the_steps() {
    let mut bucket = Bucket::default();
    let ms = Duration::from_millis;
    bucket.set(ms(0), 5_000, 1_000);
    let mut taken = 0;
    for t in 0..10_000 {
        if bucket.has(ms(t), 1) {
            bucket.take(1);
            taken += 1;
        }
    }
    assert!((49..=50).contains(&taken), "{taken}");
    // A rest fills it to its burst and no further.
    assert!(bucket.has(ms(60_000), 5) && !bucket.has(ms(60_000), 6));
    // A lower rate holds less, none holds nothing, and what comes back is empty.
    bucket.set(ms(60_000), 1_000, 1_000);
    assert!(bucket.has(ms(60_000), 1) && !bucket.has(ms(60_000), 2));
    bucket.set(ms(60_000), 0, 1_000);
    bucket.set(ms(61_000), 5_000, 1_000);
    assert!(!bucket.has(ms(61_000), 1));
    assert_eq!(bucket.wait(), Some(ms(200)));
}
