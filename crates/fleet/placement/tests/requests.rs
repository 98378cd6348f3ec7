//! What customers ask, and what becomes of it at once.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]

mod support;

use std::collections::BTreeSet;

use beechloft_placement::names::*;
use beechloft_placement::words::request::{First, OnLoss, WhenFull};
use beechloft_placement::{
    Answer, Command, Event, Operate, Outcome, Placements, Quota, Reason, Request, Rules, Titles,
};
use support::*;

fn asked(state: &mut Placements, command: &Command) -> Answer {
    let (answer, _) = state.apply(command);
    state.audit().expect("all sums hold");
    answer
}

fn small() -> Placements {
    let mut state = fleet(2, 4, 1_000, Rules::default());
    meet_all(&mut state);
    state
}

#[test]
fn a_request_reads_as_json_and_what_makes_no_sense_is_said() {
    let text = r#"{"titles": {"named": ["stall-1", "stall-2"]}, "bytes": 5, "digest":
        "0101010101010101010101010101010101010101010101010101010101010101", "regions": {"south": 2},
        "first": {"home": "south"}, "on_loss": {"lend": {"to": ["east"], "for_ms": 3600000}}}"#;
    let sound: Request = serde_json::from_str(text).expect("a request");
    assert_eq!((sound.check(), sound.copies(), sound.when_full), (Ok(()), 2, WhenFull::Refuse));
    let with = |change: fn(&mut Request)| {
        let mut request = sound.clone();
        change(&mut request);
        request.check().expect_err("senseless").to_string()
    };
    assert!(with(|r| r.bytes = 0).contains("bytes: 0"));
    assert!(with(|r| r.regions.clear()).contains("0 are named"));
    assert!(with(|r| r.regions = [(name("south"), 9)].into()).contains("9 copies in south"));
    assert!(with(|r| r.first = First::Home(name("east"))).contains("home east"));
    assert!(
        with(|r| r.on_loss = OnLoss::Lend { to: vec![name("south")], for_ms: 5_000 }).contains("lend to")
    );
    assert!(with(|r| r.on_loss = OnLoss::Lend { to: vec![name("east")], for_ms: 1 }).contains("for_ms 1"));
    assert!(with(|r| r.titles = Titles::Range { from: 2, to: 1 }).contains("swap them"));
    assert!(with(|r| r.titles = Titles::Named(BTreeSet::new())).contains("titles"));
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
fn a_request_sent_again_is_done_once_and_versions_are_matched() {
    let mut s = small();
    let a = shard("ann", "a");
    let first = put(&a, "k1", None, request(&a, 10, &[("r0", 2)]));
    let admitted = asked(&mut s, &first);
    assert_eq!(admitted, Answer::Asked(AskId(1), Outcome::Admitted(Version(1))));
    assert_eq!(asked(&mut s, &first), admitted);
    assert_eq!(states(&s, &a).len(), 2);
    let other = put(&a, "k1", None, request(&a, 11, &[("r0", 2)]));
    assert_eq!(refused(&asked(&mut s, &other)), Some(&Reason::KeyReused));
    let unmatched = put(&a, "k2", None, request(&a, 10, &[("r1", 2)]));
    assert_eq!(refused(&asked(&mut s, &unmatched)), Some(&Reason::Version { is: 1 }));
    let grown = put(&a, "k3", Some(1), request(&a, 11, &[("r1", 2)]));
    assert!(matches!(refused(&asked(&mut s, &grown)), Some(Reason::Fixed(_))));
    let second = put(&a, "k4", Some(1), request(&a, 10, &[("r1", 2)]));
    assert_eq!(asked(&mut s, &second), Answer::Asked(AskId(4), Outcome::Admitted(Version(2))));
    // Nothing had been begun of the first version: its room is free at once.
    assert_eq!(s.pins()[&a].copies.values().filter(|c| c.region == name("r0")).count(), 0);
    // An unknown customer, and a shard of the same name of another's, are nobody's business of ann's.
    let b = shard("eve", "a");
    assert!(matches!(
        refused(&asked(&mut s, &put(&b, "k", None, request(&b, 1, &[("r0", 1)])))),
        Some(Reason::NoQuota(_))
    ));
    let c = shard("ben", "a");
    assert_eq!(refused(&asked(&mut s, &put(&c, "k", None, request(&c, 1, &[("r0", 1)])))), None);
    assert_eq!(s.pins()[&a].version, Version(2));
}

#[test]
fn two_requests_never_take_the_same_room_and_what_lacks_is_said() {
    let mut s = small();
    let (a, b) = (shard("ann", "a"), shard("ben", "b"));
    assert_eq!(refused(&asked(&mut s, &put(&a, "k", None, request(&a, 600, &[("r0", 3)])))), None);
    let answer = asked(&mut s, &put(&b, "k", None, request(&b, 600, &[("r0", 2)])));
    let Some(Reason::NoRoom(lacks)) = refused(&answer) else { panic!("{answer:?}") };
    let short = &lacks.short[0];
    assert_eq!((short.wanted, short.fit, short.most_free.bytes), (2, 1, 1_000));
    assert_eq!((lacks.nearest.copies.get(&name("r0")), lacks.nearest.bytes), (Some(&1), 400));
    // The nearest fits.
    let nearest = request(&b, lacks.nearest.bytes, &[("r0", 2)]);
    assert_eq!(refused(&asked(&mut s, &put(&b, "k2", None, nearest))), None);
    let text = Reason::NoRoom(lacks.clone()).to_string();
    assert!(
        text.contains("r0 has room for 1 of 2 copies") && text.contains("or all copies of 400 bytes"),
        "{text}"
    );
}

#[test]
fn a_request_that_waits_is_held_until_there_is_room_and_a_later_one_takes_its_place() {
    let mut s = small();
    let (a, b) = (shard("ann", "a"), shard("ben", "b"));
    asked(&mut s, &put(&a, "k", None, request(&a, 600, &[("r0", 3)])));
    let mut waits = request(&b, 600, &[("r0", 2)]);
    waits.when_full = WhenFull::Wait;
    let answer = asked(&mut s, &put(&b, "k", None, waits.clone()));
    let Answer::Asked(id, Outcome::Held(_)) = answer else { panic!("{answer:?}") };
    let admit = Command::Step(beechloft_leases::Token(1), beechloft_placement::Step::Admit(id));
    assert_eq!(asked(&mut s, &admit), Answer::Nothing);
    asked(&mut s, &remove(&a, "k2", 1));
    assert_eq!(asked(&mut s, &admit), Answer::Done);
    assert_eq!(s.ask(id).map(|a| a.outcome.clone()), Some(Outcome::Admitted(Version(1))));
    // Held, then overtaken.
    let c = shard("ann", "c");
    let mut large = request(&c, 5_000, &[("r1", 1)]);
    large.when_full = WhenFull::Wait;
    let Answer::Asked(id, Outcome::Held(_)) = asked(&mut s, &put(&c, "k3", None, large)) else {
        panic!("held")
    };
    asked(&mut s, &put(&c, "k4", None, request(&c, 5, &[("r1", 1)])));
    assert_eq!(s.ask(id).map(|a| a.outcome.clone()), Some(Outcome::Refused(Reason::Superseded)));
    assert_eq!(s.held().count(), 0);
}

#[test]
fn quotas_bound_bytes_regions_shards_and_changes() {
    let mut s = small();
    let quota = Quota { bytes: 100, regions: BTreeSet::from([name("r0")]), changes_an_hour: 3, shards: 2 };
    asked(&mut s, &Command::Operate(Operate::Quota(name("ann"), quota)));
    let (a, b, c) = (shard("ann", "a"), shard("ann", "b"), shard("ann", "c"));
    let no = |answer: Answer| refused(&answer).cloned();
    let bytes = no(asked(&mut s, &put(&a, "1", None, request(&a, 60, &[("r0", 2)]))));
    assert_eq!(bytes, Some(Reason::Bytes { would: 120, quota: 100, fits: 100 }));
    assert_eq!(
        no(asked(&mut s, &put(&a, "2", None, request(&a, 1, &[("r1", 1)])))),
        Some(Reason::Region(name("r1")))
    );
    let mut lends = request(&a, 1, &[("r0", 1)]);
    lends.on_loss = OnLoss::Lend { to: vec![name("r1")], for_ms: 1_000 };
    assert_eq!(no(asked(&mut s, &put(&a, "3", None, lends))), Some(Reason::Region(name("r1"))));
    assert_eq!(no(asked(&mut s, &put(&a, "4", None, request(&a, 30, &[("r0", 2)])))), None);
    assert!(matches!(
        no(asked(&mut s, &put(&b, "5", None, request(&b, 21, &[("r0", 2)])))),
        Some(Reason::Bytes { .. })
    ));
    // Titles lie in one shard at most.
    let mut same = request(&b, 1, &[("r0", 1)]);
    same.titles = request(&a, 1, &[]).titles;
    assert!(matches!(no(asked(&mut s, &put(&b, "6", None, same.clone()))), Some(Reason::Overlap { .. })));
    same.titles = Titles::Range { from: 0, to: u64::MAX };
    assert!(matches!(no(asked(&mut s, &put(&b, "7", None, same))), Some(Reason::Overlap { .. })));
    assert_eq!(no(asked(&mut s, &put(&b, "8", None, request(&b, 1, &[("r0", 1)])))), None);
    assert_eq!(no(asked(&mut s, &put(&c, "9", None, request(&c, 1, &[("r0", 1)])))), Some(Reason::Shards(2)));
    assert_eq!(no(asked(&mut s, &remove(&b, "10", 1))), None);
    let changes = no(asked(&mut s, &remove(&a, "11", 1)));
    assert_eq!(changes, Some(Reason::Changes { made: 3, wait_ms: 3_600_000 }));
    for _ in 0..2 {
        let clock = s.clock() + 1_800_000;
        asked(&mut s, &Command::Step(beechloft_leases::Token(1), beechloft_placement::Step::Clock(clock)));
    }
    assert_eq!(no(asked(&mut s, &remove(&a, "12", 1))), None);
}

#[test]
fn copies_lie_in_two_zones_or_else_two_racks_where_they_can() {
    let mut s = small();
    let a = shard("ann", "a");
    asked(&mut s, &put(&a, "1", None, request(&a, 1, &[("all", 2)])));
    let zones: BTreeSet<Zone> = s.pins()[&a].copies.values().map(|c| c.zone.clone()).collect();
    assert_eq!(zones.len(), 2);
    let b = shard("ann", "b");
    asked(&mut s, &put(&b, "2", None, request(&b, 1, &[("r1", 2)])));
    let racks: BTreeSet<RackId> = s.pins()[&b].copies.values().map(|c| c.rack).collect();
    assert_eq!(racks.len(), 2);
    // Regions of one request share no zone.
    let c = shard("ann", "c");
    let shared = asked(&mut s, &put(&c, "3", None, request(&c, 1, &[("all", 1), ("r1", 1)])));
    assert!(matches!(refused(&shared), Some(Reason::Shared(..))));
}

#[test]
fn operators_words_that_can_not_hold_are_refused() {
    let mut s = small();
    let mut unfit = |operate: Operate| matches!(s.apply(&Command::Operate(operate)).0, Answer::Unfit(_));
    assert!(unfit(Operate::Region(name("x"), BTreeSet::new())));
    assert!(unfit(Operate::Rules(Rules { box_copies: 0, ..Rules::default() })));
    assert!(unfit(Operate::Rules(Rules { uplink_percent: 101, ..Rules::default() })));
    assert!(unfit(Operate::Scrap(BoxId(1))));
    let mut line = fleet(2, 4, 1, Rules::default()).inventory().boxes[&BoxId(1)].clone();
    line.zone = name("z1");
    assert!(unfit(Operate::Box(BoxId(1), line)));
}

#[test]
fn a_snapshot_reads_back_and_the_same_commands_give_the_same() {
    let mut s = small();
    let a = shard("ann", "a");
    let (_, events) = s.apply(&put(&a, "1", None, request(&a, 1, &[("r0", 2)])));
    assert!(events.iter().any(|e| matches!(e, Event::Published { .. })));
    let read = Placements::read(&s.write()).expect("a state");
    assert_eq!(read, s);
    assert_eq!(Placements::read(&[]).expect("empty"), Placements::default());
    assert!(Placements::read(&[1, 2, 3]).is_err());
}
