//! Encoding of sessions' tags, and counting of sessions by their tags.

use std::collections::BTreeMap;

use beechloft_leases::Name;
use beechloft_quotas::tag::{add_units, decode, encode};
use beechloft_quotas::{Claim, FrontId, Key};

#[test]
fn counts_only_the_sessions_of_the_given_front() {
    let limit = Name::try_from("sessions".to_owned()).expect("a valid name");
    let claim = Claim { limit, key: Key::of("market"), customer: Key::default() };
    let tag = encode(FrontId(7), &[(claim.clone(), 3)]).expect("short enough");
    assert_eq!(decode(&tag), Some((FrontId(7), vec![(claim.clone(), 3)])));
    let mut units = BTreeMap::new();
    add_units(FrontId(7), [(tag.as_str(), 4), ("malformed", 9), ("0", 1), ("ff", 1)], &mut units);
    assert_eq!(units, BTreeMap::from([(claim, 12)]));
    let mut units_of_other = BTreeMap::new();
    add_units(FrontId(8), [(tag.as_str(), 4)], &mut units_of_other);
    assert!(units_of_other.is_empty());
}
