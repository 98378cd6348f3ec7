//! Tags of sessions.

use std::collections::BTreeMap;

use beechloft_leases::Name;
use beechloft_quotas::tag::{count, read, write};
use beechloft_quotas::{Claim, FrontId, Key};

#[test]
fn a_tag_is_read_as_it_was_written_and_counts_for_its_front_alone() {
    let limit = Name::try_from("sessions".to_owned()).expect("a name");
    let claim = Claim { limit, key: Key::of("market"), customer: Key::default() };
    let tag = write(FrontId(7), &[(claim.clone(), 3)]).expect("short");
    assert_eq!(read(&tag), Some((FrontId(7), vec![(claim.clone(), 3)])));
    let mut sum = BTreeMap::new();
    count(FrontId(7), [(tag.as_str(), 4), ("malformed", 9), ("0", 1), ("ff", 1)], &mut sum);
    assert_eq!(sum, BTreeMap::from([(claim, 12)]));
    let mut none = BTreeMap::new();
    count(FrontId(8), [(tag.as_str(), 4)], &mut none);
    assert!(none.is_empty());
}
