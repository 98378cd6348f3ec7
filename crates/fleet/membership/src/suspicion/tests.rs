use super::*;

#[test]
fn each_confirmation_shortens_the_timeout_and_none_counts_twice() {
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
    assert!(!suspicion.confirm(MemberId(9)), "there are enough confirmations");
    assert!(last > Duration::from_secs(12) && last < Duration::from_secs(13));
    // In a fleet of two nobody else can confirm it.
    let of_two = Suspicion::new(Incarnation(0), MemberId(1), Duration::ZERO);
    assert_eq!(of_two.deadline(2, period), 5 * period);
}
