use super::*;

#[test]
fn independent_confirmations_shorten_the_timeout() {
    let period = Duration::from_secs(1);
    let mut suspicion = Suspicion::new(Incarnation(0), MemberId(1), Duration::ZERO);
    let mut last = suspicion.deadline(300, period);
    assert!(last > Duration::from_secs(74) && last < Duration::from_secs(75));
    assert!(!suspicion.confirm(MemberId(1)));
    for by in 2..5 {
        assert!(suspicion.confirm(MemberId(by)) && !suspicion.confirm(MemberId(by)));
        assert!(suspicion.deadline(300, period) < last);
        last = suspicion.deadline(300, period);
    }
    assert!(!suspicion.confirm(MemberId(9)), "the maximum number of confirmations is reached");
    assert!(last > Duration::from_secs(12) && last < Duration::from_secs(13));
    // In a fleet of two, no other member can confirm the suspicion.
    let in_fleet_of_two = Suspicion::new(Incarnation(0), MemberId(1), Duration::ZERO);
    assert_eq!(in_fleet_of_two.deadline(2, period), 5 * period);
}
