//! Admission of customers' requests, quotas, and commands of operators.
#![allow(clippy::cast_possible_truncation)]

mod support;

use std::collections::BTreeSet;

use beechloft_placement::names::*;
use beechloft_placement::protocol::request::{First, OnLoss, WhenFull};
use beechloft_placement::{
    Answer, Command, Event, OperatorCommand, Outcome, Placements, Quota, Reason, Request, Rules, Titles,
};
use support::*;

fn apply(state: &mut Placements, command: &Command) -> Answer {
    let (answer, _) = state.apply(command);
    state.audit().expect("the invariants hold");
    answer
}

fn small_fleet() -> Placements {
    let mut state = fleet(2, 4, 1_000, Rules::default());
    mark_all_up(&mut state);
    state
}

#[test]
fn parses_json_and_rejects_invalid_requests() {
    let text = r#"{"titles": {"named": ["stall-1", "stall-2"]}, "bytes": 5, "digest":
        "0101010101010101010101010101010101010101010101010101010101010101", "regions": {"south": 2},
        "first": {"home": "south"}, "on_loss": {"lend": {"to": ["east"], "for_ms": 3600000}}}"#;
    let valid: Request = serde_json::from_str(text).expect("a request");
    assert_eq!((valid.check(), valid.copies(), valid.when_full), (Ok(()), 2, WhenFull::Refuse));
    let error_of = |change: fn(&mut Request)| {
        let mut request = valid.clone();
        change(&mut request);
        request.check().expect_err("an invalid request").to_string()
    };
    assert!(error_of(|r| r.bytes = 0).contains("bytes: 0"));
    assert!(error_of(|r| r.regions.clear()).contains("0 are named"));
    assert!(error_of(|r| r.regions = [(name("south"), 9)].into()).contains("9 copies in south"));
    assert!(error_of(|r| r.first = First::Home(name("east"))).contains("home east"));
    assert!(
        error_of(|r| r.on_loss = OnLoss::FailOver { to: vec![name("south")], max_duration_ms: 5_000 })
            .contains("lend to")
    );
    assert!(
        error_of(|r| r.on_loss = OnLoss::FailOver { to: vec![name("east")], max_duration_ms: 1 })
            .contains("for_ms 1")
    );
    assert!(error_of(|r| r.titles = Titles::Range { from: 2, to: 1 }).contains("swap them"));
    assert!(error_of(|r| r.titles = Titles::Named(BTreeSet::new())).contains("titles"));
    for bad in [
        text.replace("south", "so uth"),
        text.replace("\"bytes\": 5", "\"bytes\": -5"),
        text.replace("0101", "01g1"),
        text.replace("first", "last"),
    ] {
        assert!(serde_json::from_str::<Request>(&bad).is_err(), "{bad}");
    }
}

#[test]
fn applies_retried_request_once_and_checks_version() {
    let mut state = small_fleet();
    let a = shard("ann", "a");
    let first = put(&a, "k1", None, request(&a, 10, &[("r0", 2)]));
    let admitted = apply(&mut state, &first);
    assert_eq!(admitted, Answer::Request(CustomerRequestId(1), Outcome::Admitted(Version(1))));
    assert_eq!(apply(&mut state, &first), admitted);
    assert_eq!(states(&state, &a).len(), 2);
    let other = put(&a, "k1", None, request(&a, 11, &[("r0", 2)]));
    assert_eq!(refused(&apply(&mut state, &other)), Some(&Reason::KeyReused));
    let unmatched = put(&a, "k2", None, request(&a, 10, &[("r1", 2)]));
    assert_eq!(refused(&apply(&mut state, &unmatched)), Some(&Reason::Version { is: 1 }));
    let grown = put(&a, "k3", Some(1), request(&a, 11, &[("r1", 2)]));
    assert!(matches!(refused(&apply(&mut state, &grown)), Some(Reason::Immutable(_))));
    let second = put(&a, "k4", Some(1), request(&a, 10, &[("r1", 2)]));
    assert_eq!(
        apply(&mut state, &second),
        Answer::Request(CustomerRequestId(4), Outcome::Admitted(Version(2)))
    );
    // No copy of the first version was started, so that its resources are free at once.
    assert_eq!(state.pins()[&a].copies.values().filter(|c| c.region == name("r0")).count(), 0);
    // An unknown customer is refused, and another customer may have a shard of the same name.
    let b = shard("eve", "a");
    assert!(matches!(
        refused(&apply(&mut state, &put(&b, "k", None, request(&b, 1, &[("r0", 1)])))),
        Some(Reason::NoQuota(_))
    ));
    let c = shard("ben", "a");
    assert_eq!(refused(&apply(&mut state, &put(&c, "k", None, request(&c, 1, &[("r0", 1)])))), None);
    assert_eq!(state.pins()[&a].version, Version(2));
}

#[test]
fn refuses_request_without_capacity_and_suggests_nearest() {
    let mut state = small_fleet();
    let (a, b) = (shard("ann", "a"), shard("ben", "b"));
    assert_eq!(refused(&apply(&mut state, &put(&a, "k", None, request(&a, 600, &[("r0", 3)])))), None);
    let answer = apply(&mut state, &put(&b, "k", None, request(&b, 600, &[("r0", 2)])));
    let Some(Reason::InsufficientCapacity(shortage)) = refused(&answer) else { panic!("{answer:?}") };
    let region = &shortage.regions[0];
    assert_eq!((region.wanted, region.fit, region.max_free.bytes), (2, 1, 1_000));
    assert_eq!((shortage.nearest.copies.get(&name("r0")), shortage.nearest.bytes), (Some(&1), 400));
    // The suggested request fits.
    let nearest = request(&b, shortage.nearest.bytes, &[("r0", 2)]);
    assert_eq!(refused(&apply(&mut state, &put(&b, "k2", None, nearest))), None);
    let text = Reason::InsufficientCapacity(shortage.clone()).to_string();
    assert!(
        text.contains("r0 has capacity for 1 of 2 copies") && text.contains("or all copies with 400 bytes"),
        "{text}"
    );
}

#[test]
fn admits_waiting_request_when_capacity_is_free() {
    let mut state = small_fleet();
    let (a, b) = (shard("ann", "a"), shard("ben", "b"));
    apply(&mut state, &put(&a, "k", None, request(&a, 600, &[("r0", 3)])));
    let mut waits = request(&b, 600, &[("r0", 2)]);
    waits.when_full = WhenFull::Wait;
    let answer = apply(&mut state, &put(&b, "k", None, waits.clone()));
    let Answer::Request(id, Outcome::Waiting(_)) = answer else { panic!("{answer:?}") };
    let admit = Command::Step(beechloft_leases::Token(1), beechloft_placement::Step::Admit(id));
    assert_eq!(apply(&mut state, &admit), Answer::NotApplicable);
    apply(&mut state, &remove(&a, "k2", 1));
    assert_eq!(apply(&mut state, &admit), Answer::Done);
    assert_eq!(state.request(id).map(|tracked| tracked.outcome.clone()), Some(Outcome::Admitted(Version(1))));
    assert_eq!(state.waiting().count(), 0);
}

#[test]
fn later_request_supersedes_waiting_one() {
    let mut state = small_fleet();
    let c = shard("ann", "c");
    let mut large = request(&c, 5_000, &[("r1", 1)]);
    large.when_full = WhenFull::Wait;
    let Answer::Request(id, Outcome::Waiting(_)) = apply(&mut state, &put(&c, "k3", None, large)) else {
        panic!("the request does not wait")
    };
    apply(&mut state, &put(&c, "k4", None, request(&c, 5, &[("r1", 1)])));
    assert_eq!(
        state.request(id).map(|tracked| tracked.outcome.clone()),
        Some(Outcome::Refused(Reason::Superseded))
    );
    assert_eq!(state.waiting().count(), 0);
}

#[test]
fn quota_limits_bytes_regions_shards_and_changes() {
    let mut state = small_fleet();
    let quota = Quota { bytes: 100, regions: BTreeSet::from([name("r0")]), changes_an_hour: 3, shards: 2 };
    apply(&mut state, &Command::Operator(OperatorCommand::Quota(name("ann"), quota)));
    let (a, b, c) = (shard("ann", "a"), shard("ann", "b"), shard("ann", "c"));
    let reason_of = |answer: Answer| refused(&answer).cloned();
    let bytes = reason_of(apply(&mut state, &put(&a, "1", None, request(&a, 60, &[("r0", 2)]))));
    assert_eq!(bytes, Some(Reason::Bytes { would: 120, quota: 100, fits: 100 }));
    assert_eq!(
        reason_of(apply(&mut state, &put(&a, "2", None, request(&a, 1, &[("r1", 1)])))),
        Some(Reason::Region(name("r1")))
    );
    let mut failover_due = request(&a, 1, &[("r0", 1)]);
    failover_due.on_loss = OnLoss::FailOver { to: vec![name("r1")], max_duration_ms: 1_000 };
    assert_eq!(
        reason_of(apply(&mut state, &put(&a, "3", None, failover_due))),
        Some(Reason::Region(name("r1")))
    );
    assert_eq!(reason_of(apply(&mut state, &put(&a, "4", None, request(&a, 30, &[("r0", 2)])))), None);
    assert!(matches!(
        reason_of(apply(&mut state, &put(&b, "5", None, request(&b, 21, &[("r0", 2)])))),
        Some(Reason::Bytes { .. })
    ));
    // A title is in one shard at most.
    let mut same = request(&b, 1, &[("r0", 1)]);
    same.titles = request(&a, 1, &[]).titles;
    assert!(matches!(
        reason_of(apply(&mut state, &put(&b, "6", None, same.clone()))),
        Some(Reason::Overlap { .. })
    ));
    same.titles = Titles::Range { from: 0, to: u64::MAX };
    assert!(matches!(reason_of(apply(&mut state, &put(&b, "7", None, same))), Some(Reason::Overlap { .. })));
    assert_eq!(reason_of(apply(&mut state, &put(&b, "8", None, request(&b, 1, &[("r0", 1)])))), None);
    assert_eq!(
        reason_of(apply(&mut state, &put(&c, "9", None, request(&c, 1, &[("r0", 1)])))),
        Some(Reason::Shards(2))
    );
    assert_eq!(reason_of(apply(&mut state, &remove(&b, "10", 1))), None);
    let changes = reason_of(apply(&mut state, &remove(&a, "11", 1)));
    assert_eq!(changes, Some(Reason::Changes { made: 3, wait_ms: 3_600_000 }));
    for _ in 0..2 {
        let clock = state.clock() + 1_800_000;
        apply(
            &mut state,
            &Command::Step(beechloft_leases::Token(1), beechloft_placement::Step::Clock(clock)),
        );
    }
    assert_eq!(reason_of(apply(&mut state, &remove(&a, "12", 1))), None);
}

#[test]
fn spreads_copies_over_zones_then_racks() {
    let mut state = small_fleet();
    let a = shard("ann", "a");
    apply(&mut state, &put(&a, "1", None, request(&a, 1, &[("all", 2)])));
    let zones: BTreeSet<Zone> = state.pins()[&a].copies.values().map(|c| c.zone.clone()).collect();
    assert_eq!(zones.len(), 2);
    let b = shard("ann", "b");
    apply(&mut state, &put(&b, "2", None, request(&b, 1, &[("r1", 2)])));
    let racks: BTreeSet<RackId> = state.pins()[&b].copies.values().map(|c| c.rack).collect();
    assert_eq!(racks.len(), 2);
    // The regions of one request must not share a zone.
    let c = shard("ann", "c");
    let shared = apply(&mut state, &put(&c, "3", None, request(&c, 1, &[("all", 1), ("r1", 1)])));
    assert!(matches!(refused(&shared), Some(Reason::SharedZone(..))));
}

#[test]
fn rejects_invalid_operator_commands() {
    let mut state = small_fleet();
    let mut is_rejected =
        |command: OperatorCommand| matches!(state.apply(&Command::Operator(command)).0, Answer::Rejected(_));
    assert!(is_rejected(OperatorCommand::Region(name("x"), BTreeSet::new())));
    assert!(is_rejected(OperatorCommand::Rules(Rules { server_transfers: 0, ..Rules::default() })));
    assert!(is_rejected(OperatorCommand::Rules(Rules { uplink_percent: 101, ..Rules::default() })));
    assert!(is_rejected(OperatorCommand::Decommission(ServerId(1))));
    let mut info = fleet(2, 4, 1, Rules::default()).inventory().servers[&ServerId(1)].clone();
    info.zone = name("z1");
    assert!(is_rejected(OperatorCommand::Server(ServerId(1), info)));
}

#[test]
fn snapshot_round_trips() {
    let mut state = small_fleet();
    let a = shard("ann", "a");
    let (_, events) = state.apply(&put(&a, "1", None, request(&a, 1, &[("r0", 2)])));
    assert!(events.iter().any(|e| matches!(e, Event::Published { .. })));
    let read = Placements::read(&state.write()).expect("a state");
    assert_eq!(read, state);
    assert_eq!(Placements::read(&[]).expect("empty"), Placements::default());
    assert!(Placements::read(&[1, 2, 3]).is_err());
}
