//! Tests of a front under overload from a SIP gateway.

mod support;

use std::time::Duration;

use beechloft_checker::{Recorder, Rules, check};
use beechloft_fakes::trunk::{Plan, Tally, Trunk};
use support::*;

/// Calls a front for two seconds at several times the rate that an unoptimised build can handle. Checks the rules and that
/// each call has exactly one answer.
fn run_gateway(claims: bool, obeys: bool) -> Tally {
    let recorder = Recorder::default();
    let (fleet, front) = start_with_sip(4, &recorder);
    let plan = Plan {
        front: front.sip_address().expect("SIP is up"),
        number: 0,
        titles: vec!["all".into(), "pair".into(), "one".into()],
        rate: 1_200.0,
        lasts: Duration::from_secs(2),
        holds: Duration::from_millis(150),
        patience: Duration::from_secs(4),
        obeys,
        claims,
        returns: true,
        seed: 4,
    };
    let tally = Trunk::new(plan, Some(recorder.clone())).and_then(Trunk::run).expect("a trunk");
    until("all calls have ended", || fleet.sessions() == 0);
    let report = check(&recorder.trace(), &Rules { drain_grace_us: 1_000_000, ..Rules::default() });
    assert!(report.kept(), "{report:#?}");
    assert_eq!((tally.twice, tally.timed_out), (0, 0), "{tally:?}");
    assert!(tally.accepted > 20, "{tally:?}");
    // Every call is accounted for.
    let refused: u64 = tally.refused.values().sum();
    assert_eq!(tally.accepted + refused + tally.kept_back + tally.not_taken, tally.wanted, "{tally:?}");
    tally
}

#[test]
fn gateway_without_overload_control() {
    let tally = run_gateway(false, false);
    assert_eq!(tally.kept_back, 0);
}

#[test]
fn gateway_that_obeys_overload_control() {
    run_gateway(true, true);
}

#[test]
fn gateway_that_only_claims_overload_control() {
    run_gateway(true, false);
}
