//! Selection of the replica that requests are sent to.

use beechloft_leases::LeaderLocator;

#[test]
fn skips_silent_replica_and_follows_named_leader() {
    let mut locator = LeaderLocator::new(3, 4);
    let targets = (locator.next_target(), locator.next_target(), locator.next_target());
    assert_eq!(targets, (1, 2, 0));
    locator.on_response();
    assert_eq!(locator.next_target(), 0);
    locator.on_not_leader(Some(2));
    assert_eq!(locator.next_target(), 2);
    locator.on_not_leader(None);
    assert_eq!(locator.next_target(), 0);
    locator.on_not_leader(Some(9));
    assert_eq!(locator.next_target(), 1);
}
