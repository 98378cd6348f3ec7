//! Three zones of boxes, workers, fronts and customers under random faults: rules (a) to (e) at every moment, and all as asked for soon
//! after all is well.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]

mod support;

use std::time::Duration;

use beechloft_placement::names::*;
use beechloft_placement::words::request::{First, OnLoss, WhenFull};
use beechloft_placement::{Fault, Request};
use rand::RngExt;
use support::world::{World, ms};
use support::*;

const STEP: Duration = Duration::from_millis(80);

#[derive(Debug, Default)]
struct Run {
    breach: Option<String>,
    sessions: usize,
    copied: usize,
    narrowed: usize,
    over: usize,
    lent: usize,
    cut_short: usize,
}

fn any_request(w: &mut World, of: &ShardId) -> Request {
    let bytes = 300_000 + 100_000 * (of.name.as_str().len() as u64 % 3);
    let zone = w.dice.random_range(0..3);
    let copies = w.dice.random_range(1..=2);
    let (one, two) = (format!("r{zone}"), format!("r{}", (zone + 1) % 3));
    let both = [(one.as_str(), copies), (two.as_str(), 1)];
    let mut request = match w.dice.random_range(0..4) {
        0 => request(of, bytes, &[("all", copies + 1)]),
        1 => request(of, bytes, &both),
        _ => request(of, bytes, &both[..1]),
    };
    if w.chance(500) && !request.regions.contains_key(&name::<Region>("all")) {
        let to = name(&format!("r{}", (zone + 2) % 3));
        request.on_loss = OnLoss::Lend { to: vec![to], for_ms: w.dice.random_range(1_000..20_000) };
    }
    if w.chance(300) {
        let home = request.regions.keys().next().cloned().expect("a region");
        request.first = First::Home(home);
    }
    if w.chance(300) {
        request.when_full = WhenFull::Wait;
    }
    request
}

fn change(w: &mut World) {
    let customer = if w.chance(500) { "ann" } else { "ben" };
    let of = shard(customer, ["a", "bb", "ccc"][w.dice.random_range(0..3)]);
    let is = w.state.pins().get(&of).map(|p| p.version.0);
    let based_on = if w.chance(50) { Some(1) } else { is };
    let key = format!("k{}", w.dice.random_range(0..1_000_000));
    let command = match based_on {
        Some(version) if w.chance(150) => remove(&of, &key, version),
        _ => {
            let request = any_request(w, &of);
            put(&of, &key, based_on, request)
        }
    };
    w.ask(command);
}

fn trouble(w: &mut World) {
    let id = BoxId(w.dice.random_range(1..=9));
    let front = w.dice.random_range(0..w.fronts.len());
    let worker = w.dice.random_range(0..w.workers.len());
    let span = ms(w.dice.random_range(100..4_000));
    match w.dice.random_range(0..34) {
        0..6 => change(w),
        6 => w.stop_box(id),
        7..10 => {
            let with = w.dice.random_range(0..3);
            w.start_box(id, with);
        }
        10 => w.boxes.get_mut(&id).expect("a box").cut = true,
        11 => w.boxes.get_mut(&id).expect("a box").full = true,
        12 => w.boxes.get_mut(&id).expect("a box").wrong = 500,
        13 => w.boxes.get_mut(&id).expect("a box").broken = 500,
        14 => w.boxes.get_mut(&id).expect("a box").liar = true,
        15 | 16 => {
            let zone = w.dice.random_range(0..3);
            let lost = w.chance(500);
            for id in (1..=9).map(BoxId).filter(|id| zone_of(*id, 3) == zone) {
                if lost {
                    w.stop_box(id);
                } else {
                    w.boxes.get_mut(&id).expect("a box").cut = true;
                }
            }
        }
        17 => {
            for id in (1..=9).map(BoxId) {
                let host = w.boxes.get_mut(&id).expect("a box");
                (host.cut, host.full, host.wrong, host.broken, host.liar) = (false, false, 0, 0, false);
                if !host.up {
                    w.start_box(id, 2);
                }
            }
        }
        18..22 => w.fronts[front].stopped_until = w.now + span,
        22 => w.fronts[front].cut = true,
        23 => w.fronts[front].deaf = true,
        24 => w.restart_front(front),
        25..27 => w.fronts.iter_mut().for_each(|f| (f.cut, f.deaf) = (false, false)),
        27 => w.hand_over(worker, true),
        28 => w.hand_over(worker, false),
        29 => {
            // Stopped, and the lease goes on to another.
            let holder = w.holder;
            w.workers[holder].stopped_until = w.now + span;
            w.hand_over(worker, false);
        }
        30 => w.lead(),
        _ => {}
    }
}

fn run(seed: u64, fronts: usize, steps: usize, fault: Option<Fault>) -> Run {
    let mut w = World::new(seed, fronts, fault);
    w.pass(ms(1_500));
    for n in 0..4 {
        let of = shard(["ann", "ben"][n % 2], ["a", "bb"][n / 2]);
        let request = any_request(&mut w, &of);
        w.ask(put(&of, "first", None, request));
    }
    w.pass(ms(2_500));
    w.lost = w.dice.random_range(0..120);
    w.doubled = w.dice.random_range(0..100);
    w.late = w.dice.random_range(0..40);
    for _ in 0..steps {
        w.pass(STEP);
        if w.breach.is_some() {
            break;
        }
        trouble(&mut w);
    }
    if w.breach.is_none() && fault.is_none() {
        w.heal();
        for _ in 0..30 {
            w.pass(ms(4_000));
            if w.breach.is_some() || w.unsettled().is_none() {
                break;
            }
        }
        w.breach = w.breach.take().or_else(|| w.unsettled());
    }
    Run {
        breach: w.breach,
        sessions: w.sessions,
        copied: w.copied,
        narrowed: w.narrowed,
        over: w.over,
        lent: w.lent,
        cut_short: w.cut_short,
    }
}

fn runs(seeds: impl Iterator<Item = u64>, fronts: usize, steps: usize) -> Run {
    let mut all = Run::default();
    for seed in seeds {
        let run = run(seed, fronts, steps, None);
        assert!(run.breach.is_none(), "seed {seed}: {}", run.breach.unwrap_or_default());
        all.sessions += run.sessions;
        all.copied += run.copied;
        all.narrowed += run.narrowed;
        all.over += run.over;
        all.lent += run.lent;
        all.cut_short += run.cut_short;
    }
    all
}

#[test]
fn no_rule_is_broken_whatever_fails_and_all_is_as_asked_for_after() {
    let all = runs(0..200, 4, 200);
    println!("{all:?}");
    // It is worth nothing if nothing happens.
    assert!(all.sessions > 10_000 && all.copied > 2_000 && all.narrowed > 400 && all.over > 400, "{all:?}");
    assert!(all.lent > 10, "{all:?}");
}

/// Outside CI: `cargo test --release -p beechloft-placement --test seeds -- --ignored --nocapture`.
#[test]
#[ignore = "thousands of runs, minutes"]
fn five_thousand_runs() {
    std::thread::scope(|scope| {
        for part in 0..4 {
            scope.spawn(move || println!("{:?}", runs((10_000 + part..15_000).step_by(4), 8, 250)));
        }
    });
}

#[test]
fn planted_faults_are_found() {
    for fault in [
        Fault::NoToken,
        Fault::NarrowAtOnce,
        Fault::RightFromArrival,
        Fault::NoDrift,
        Fault::NoDigest,
        Fault::NarrowFirst,
        Fault::RoomLate,
        Fault::NoGrace,
        Fault::OldDiskServes,
        Fault::OldOrders,
        Fault::ViewBack,
        Fault::OverAtOnce,
        Fault::NoTimeAnew,
    ] {
        // The rarest, rights without the drift, shows in one run of some hundreds.
        let found = (0..2_000).find_map(|seed| run(seed, 4, 200, Some(fault)).breach.map(|why| (seed, why)));
        let told = found
            .as_ref()
            .map(|(seed, why)| format!("seed {seed}: {}", why.lines().next().unwrap_or_default()));
        println!("{fault:?}: {told:?}");
        assert!(found.is_some(), "{fault:?} is not found");
    }
}
