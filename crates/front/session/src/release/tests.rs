//! Releases are retried with backoff, and end.

use super::*;

const SECOND: u64 = 1_000_000;

#[test]
fn a_release_is_retried_until_the_media_server_says_gone() {
    let mut releases = Releases::default();
    releases.add(Micros(0), ServerId(1), "/r/1".into());
    let first = releases.take_due(Micros(0)).attempts;
    assert_eq!(first.len(), 1);
    releases.result(Micros(1000), first[0].id, false);
    assert!(releases.take_due(Micros(1000)).attempts.is_empty(), "not before its backoff");
    let second = releases.take_due(Micros(SECOND)).attempts;
    assert_eq!(second, first);
    releases.result(Micros(SECOND), first[0].id, true);
    releases.result(Micros(SECOND), first[0].id, false);
    assert!(releases.is_empty() && releases.next_due().is_none());
}

#[test]
fn an_attempt_without_an_answer_is_repeated_and_the_release_is_given_up_at_last() {
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
fn a_media_server_that_is_gone_takes_its_releases_with_it() {
    let mut releases = Releases::default();
    releases.add(Micros(0), ServerId(1), "/r/1".into());
    releases.add(Micros(0), ServerId(2), "/r/2".into());
    releases.forget(ServerId(1));
    assert!(!releases.concerns(ServerId(1)) && releases.concerns(ServerId(2)));
    assert_eq!(releases.take_due(Micros(0)).attempts.len(), 1);
}
