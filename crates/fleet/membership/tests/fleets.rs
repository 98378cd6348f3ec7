//! Fleets of members that start, fail, are parted and meet again.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]

mod support;

use std::sync::Arc;
use std::time::Duration;

use beechloft_membership::{
    About, Digests, Fault, Incarnation, Input, Kind, Life, MemberId, Packet, Rumour, Said, Swim, Zone,
};
use rand::{RngExt, SeedableRng};
use support::{World, address};

const MINUTE: Duration = Duration::from_secs(60);

/// A fleet that knows itself, with a fault planted in each.
fn grown_with(members: usize, seed: u64, fault: Option<Fault>) -> Result<World, String> {
    let mut w = World::new(members, seed);
    w.fault = fault;
    (0..members).for_each(|n| w.start(n));
    w.until_agreed(2 * MINUTE).ok_or(format!("seed {seed}: {members} do not know each other"))?;
    Ok(w)
}

/// A fleet that knows itself.
fn grown(members: usize, seed: u64) -> World {
    grown_with(members, seed, None).unwrap_or_else(|why| panic!("{why}"))
}

#[test]
fn three_hundred_that_start_together_know_each_other_soon() {
    let mut w = World::all(300, 1);
    let took = w.until_agreed(MINUTE).expect("they agree");
    println!("300 members know each other after {took:?}");
    assert!(took <= Duration::from_secs(30) && w.gone.is_empty());
    let digest = w.members[0].as_ref().expect("it runs").roster().digest();
    assert!(w.members.iter().flatten().all(|m| m.roster().digest() == digest));
}

/// Packets and bytes a second that each sends, as a mean, once all is quiet.
fn quiet(members: usize) -> (f64, f64) {
    let mut w = grown(members, 7);
    // Until all that was said of the start has been said often enough.
    w.pass(6 * MINUTE);
    w.counts = true;
    w.pass(MINUTE);
    let (packets, bytes) = w.sent.iter().fold((0, 0), |s, t| (s.0 + t.packets, s.1 + t.bytes));
    let all = members as f64 * 60.0;
    (packets as f64 / all, bytes as f64 / all)
}

#[test]
fn what_a_member_sends_does_not_grow_with_the_fleet() {
    let all: Vec<(f64, f64)> = [10, 100, 300].into_iter().map(quiet).collect();
    println!("packets and bytes a second at 10, 100, 300: {all:?}");
    for (packets, bytes) in &all {
        assert!(*packets < 2.3 && *bytes < 250.0, "{all:?}");
        assert!(*packets > 1.5, "no probes: {all:?}");
    }
    assert!(all[2].1 <= all[0].1 * 1.2, "{all:?}");
}

#[test]
fn whoever_is_killed_is_gone_for_all_and_nobody_else_is() {
    for seed in 0..10 {
        let mut w = grown(40, seed);
        (w.lost, w.doubled, w.late) = (30, 30, 50);
        w.pass(MINUTE);
        let id = w.kill(seed as usize + 5);
        let took = w.until(2 * MINUTE, |w| w.believers(id) == 0);
        assert!(took.is_some_and(|t| t < MINUTE), "seed {seed}: {took:?}");
        w.pass(MINUTE);
        let others: Vec<_> = w.gone.iter().filter(|g| g.2 != id).collect();
        assert!(others.is_empty(), "seed {seed}: {others:?}");
    }
}

#[test]
fn whoever_leaves_is_not_missed_and_whoever_starts_again_is_another() {
    let mut w = grown(40, 3);
    let left = w.leave(4);
    let took = w.until(MINUTE, |w| w.believers(left) == 0).expect("heard by all");
    assert!(took < Duration::from_secs(20), "{took:?}");
    let life = |m: &Swim| m.roster().get(left).map(|m| m.life);
    assert!(w.members.iter().flatten().all(|m| life(m) == Some(Life::Left)));
    // Killed and started again at once, at the same address.
    let old = w.kill(5);
    w.start(5);
    let took = w.until(MINUTE, |w| w.believers(old) == 0).expect("heard by all");
    assert!(took < Duration::from_secs(20), "{took:?}");
    w.start(4);
    assert!(w.until_agreed(MINUTE).is_some());
    assert_eq!(w.gone.iter().filter(|g| g.2 != old).count(), 0);
}

/// A stopped process is gone for the others, comes back by itself, and holds its own sleep against nobody.
fn stopped(fault: Option<Fault>, seed: u64) -> Result<(), String> {
    let mut w = grown_with(40, seed, fault)?;
    // It suspects one that is cut off for a while, when it is stopped.
    let all = 0..40;
    w.cut = all.clone().flat_map(|n| [(n, 8), (8, n)]).collect();
    let cut_off = w.id(8);
    let suspects = |w: &World| {
        let nine = w.members[9].as_ref().expect("it runs");
        nine.roster().get(cut_off).is_some_and(|m| m.life == Life::Suspected)
    };
    w.until(MINUTE, suspects).ok_or("it suspects nobody")?;
    w.stop(9, 3 * MINUTE);
    w.cut.clear();
    let id = w.id(9);
    w.until(3 * MINUTE, |w| w.believers(id) == 1).ok_or("it is not missed")?;
    w.pass(3 * MINUTE);
    w.until_agreed(2 * MINUTE).ok_or("it does not come back")?;
    w.pass(MINUTE);
    match w.gone.iter().find(|g| g.2 != id) {
        Some(gone) => Err(format!("another is gone: {gone:?}")),
        None => Ok(()),
    }
}

#[test]
fn whoever_was_stopped_for_minutes_comes_back_and_blames_nobody() {
    for seed in 0..6 {
        assert_eq!(stopped(None, seed), Ok(()), "seed {seed}");
    }
}

/// Three zones parted for minutes and whole again.
fn parted(fault: Option<Fault>, seed: u64) -> Result<(), String> {
    let mut w = grown_with(60, seed, fault)?;
    w.parted = true;
    let alone = |w: &World| w.members.iter().flatten().all(|m| m.roster().there() == 20);
    w.until(4 * MINUTE, alone).ok_or("a zone does not know what is left of the fleet")?;
    w.pass(2 * MINUTE);
    w.parted = false;
    w.until_agreed(3 * MINUTE).ok_or("they do not find each other again")?;
    Ok(())
}

#[test]
fn zones_that_were_parted_find_each_other_again() {
    for seed in 0..4 {
        assert_eq!(parted(None, seed), Ok(()), "seed {seed}");
    }
}

/// A member is cut off from some that still hear all others.
fn cut_off_from_some(fault: Option<Fault>, seed: u64) -> Result<(), String> {
    let mut w = grown_with(30, seed, fault)?;
    // Each of ten can't reach one of them, in either direction; by way of others it is heard.
    for n in 5..15 {
        w.cut.extend([(n, 20), (20, n)]);
    }
    w.pass(5 * MINUTE);
    match w.gone.first() {
        Some(gone) => Err(format!("{gone:?}")),
        None => Ok(()),
    }
}

#[test]
fn a_way_that_is_cut_between_two_costs_nobody_its_membership() {
    for seed in 0..4 {
        assert_eq!(cut_off_from_some(None, seed), Ok(()), "seed {seed}");
    }
}

#[test]
fn a_member_that_is_slow_by_seconds_takes_nobody_with_it() {
    for seed in 0..4 {
        let mut w = grown(40, seed);
        w.slow.insert(7, Duration::from_millis(1_500));
        w.pass(5 * MINUTE);
        let slow = w.id(7);
        let others: Vec<_> = w.gone.iter().filter(|g| g.2 != slow).collect();
        assert!(others.is_empty(), "seed {seed}: {others:?}");
        w.slow.clear();
        assert!(w.until_agreed(3 * MINUTE).is_some(), "seed {seed}");
    }
}

/// All at once, by seeds; in the end all is well again.
fn anything(fault: Option<Fault>, seed: u64) -> Result<(), String> {
    let mut w = World::new(24, seed);
    w.fault = fault;
    (0..24).for_each(|n| w.start(n));
    w.pass(MINUTE);
    for _ in 0..40 {
        (w.lost, w.doubled, w.late) =
            (w.dice.random_range(0..200), w.dice.random_range(0..200), w.dice.random_range(0..300));
        let (a, b) = (w.dice.random_range(3..24), w.dice.random_range(0..24));
        let span = Duration::from_secs(w.dice.random_range(1..90));
        match w.dice.random_range(0..10) {
            0 if w.members[a].is_some() => drop(w.kill(a)),
            1 if w.members[a].is_some() => drop(w.leave(a)),
            2 | 3 if w.members[a].is_none() => w.start(a),
            4 => w.stop(a, span),
            5 => drop(w.cut.insert((a, b))),
            6 => w.parted = true,
            7 => drop(w.slow.insert(a, span / 30)),
            _ => {
                w.cut.clear();
                w.slow.clear();
                w.parted = false;
            }
        }
        w.pass(span / 6);
    }
    w.cut.clear();
    w.slow.clear();
    (w.parted, w.lost, w.late) = (false, 0, 5);
    w.until_agreed(5 * MINUTE).ok_or(format!("seed {seed}: they do not agree in the end"))?;
    Ok(())
}

#[test]
fn whatever_failed_they_agree_once_all_is_well() {
    for seed in 0..60 {
        assert_eq!(anything(None, seed), Ok(()));
    }
}

#[test]
fn planted_faults_are_found() {
    type Check = fn(Option<Fault>, u64) -> Result<(), String>;
    let all: [(Fault, Check); 4] = [
        (Fault::NoRefuting, stopped),
        (Fault::NoHelpers, cut_off_from_some),
        (Fault::JudgesAfterSleep, stopped),
        (Fault::NoComparing, anything),
    ];
    for (fault, check) in all {
        let found = (0..40).find_map(|seed| check(Some(fault), seed).err().map(|why| (seed, why)));
        println!("{fault:?}: {found:?}");
        assert!(found.is_some(), "{fault:?} is not found");
    }
}

#[test]
fn rubbish_of_any_kind_is_borne_and_what_it_costs_is_bounded() {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(5);
    let about = |n| About { address: address(n), zone: Zone::default(), kind: Kind::Front };
    let mut swim = Swim::new(MemberId(1), about(0), vec![address(1)], 9, Duration::ZERO);
    let (mut now, mut sent) = (Duration::ZERO, 0usize);
    for n in 0..60_000u64 {
        now += Duration::from_micros(rng.random_range(0..2_000));
        let id = MemberId(if rng.random_range(0..8) == 0 { rng.random() } else { rng.random_range(0..30) });
        let incarnation = Incarnation(rng.random::<u64>() >> rng.random_range(0..64));
        let by = MemberId(rng.random_range(0..30));
        let rumour = match rng.random_range(0..3) {
            0 => Rumour::Alive { id, incarnation, about: Arc::new(about(n as usize)) },
            1 => Rumour::Suspected { id, incarnation, by },
            _ => Rumour::Gone { id, incarnation, by },
        };
        let digests = Digests(vec![rng.random(); rng.random_range(0..200)]);
        let seq = rng.random_range(0..2_000);
        let said = match rng.random_range(0..7) {
            0 => Said::Ping { seq, digest: n },
            1 => Said::PingFor { seq, target: id, address: address(n as usize) },
            2 => Said::Ack { seq, digest: n },
            3 => Said::Nack { seq },
            4 => Said::Another { seq },
            5 => Said::Compare { digests, answers: rng.random() },
            _ => Said::Entries,
        };
        let to = [None, Some(MemberId(1)), Some(id)][rng.random_range(0..3)];
        let packet = Packet { from: by, to, said, rumours: vec![rumour] };
        let from = address(rng.random_range(0..30));
        sent += swim.handle(now, Input::Heard(from, packet)).len();
        assert!(swim.next_due() >= Duration::ZERO);
    }
    assert!(swim.roster().iter().count() <= 8_192 && swim.waiting() <= 8_192);
    assert!(swim.roster().get(MemberId(1)).is_some_and(|m| m.life == Life::Alive), "it believes itself gone");
    assert!(swim.counts().nonsense > 0 && swim.counts().unanswered > 0);
    // About one answer for each packet, and no more than twenty comparisons a second of nine packets.
    assert!(sent < 60_000 * 2 + 60 * 20 * 10, "{sent}");
}

/// Outside CI: `cargo test --release -p beechloft-membership --test fleets -- --ignored --nocapture`.
#[test]
#[ignore = "five thousand members, minutes"]
fn five_thousand_members() {
    let mut w = World::all(5_000, 1);
    w.all_known();
    assert!(w.agree());
    w.pass(MINUTE / 2);
    w.counts = true;
    w.pass(MINUTE / 2);
    w.counts = false;
    let (packets, bytes) = w.sent.iter().fold((0, 0), |s, t| (s.0 + t.packets, s.1 + t.bytes));
    let all = 5_000.0 * 30.0;
    println!("{} packets, {} bytes a second", packets as f64 / all, bytes as f64 / all);
    let id = w.kill(77);
    let first = w.until(2 * MINUTE, |w| w.believers(id) < 4_999);
    let last = w.until(2 * MINUTE, |w| w.believers(id) == 0);
    println!(
        "one killed: the first believes it after {first:?}, all {last:?} later; longest packet {}",
        w.longest_packet()
    );
    assert!(first.is_some() && last.is_some() && w.gone.iter().all(|g| g.2 == id));
}
