//! Tests of the retries and the end of releases.

use super::*;

const SECOND: u64 = 1_000_000;

#[test]
fn retries_with_backoff_until_end_is_confirmed() {
    let mut releases = Releases::default();
    releases.add(Micros(0), ServerId(1), "/r/1".into());
    let first = releases.take_due(Micros(0)).attempts;
    assert_eq!(first.len(), 1);
    releases.result(Micros(1000), first[0].id, false);
    assert!(releases.take_due(Micros(1000)).attempts.is_empty(), "the backoff has not passed");
    let second = releases.take_due(Micros(SECOND)).attempts;
    assert_eq!(second, first);
    releases.result(Micros(SECOND), first[0].id, true);
    releases.result(Micros(SECOND), first[0].id, false);
    assert!(releases.is_empty() && releases.next_due().is_none());
}

#[test]
fn retries_unanswered_attempts_and_finally_gives_up() {
    let mut releases = Releases::default();
    releases.add(Micros(0), ServerId(1), "/r/1".into());
    let (mut attempts, mut given_up) = (0, 0);
    for millis in 0..80_000 {
        let due = releases.take_due(Micros(millis * 1000));
        attempts += due.attempts.len();
        given_up += due.given_up;
    }
    assert!(attempts >= 15, "{attempts}");
    assert_eq!((given_up, releases.len(), releases.next_due()), (1, 0, None));
}

#[test]
fn forget_drops_only_the_releases_of_that_media_server() {
    let mut releases = Releases::default();
    releases.add(Micros(0), ServerId(1), "/r/1".into());
    releases.add(Micros(0), ServerId(2), "/r/2".into());
    releases.forget(ServerId(1));
    assert!(!releases.concerns(ServerId(1)) && releases.concerns(ServerId(2)));
    assert_eq!(releases.take_due(Micros(0)).attempts.len(), 1);
}
