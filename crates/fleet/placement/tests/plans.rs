//! Planning against exact solutions of small cases, its properties, and its time.
// Counts of a test are small.
#![allow(clippy::cast_possible_truncation)]

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use beechloft_placement::names::*;
use beechloft_placement::plan::ground::{Ground, Site};
use beechloft_placement::plan::inventory::{BoxLine, Inventory, RackLine, Taken};
use beechloft_placement::plan::spread::{Want, choose};
use beechloft_placement::plan::whole::{Plan, Shard, plan};
use beechloft_placement::{Command, Room, Rules};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::*;

/// Boxes in zones of a rack each or two; sizes by dice.
fn inventory(dice: &mut ChaCha8Rng, zones: u32, per_zone: u32, bytes: u64) -> Inventory {
    let mut all = Inventory::default();
    for z in 0..zones {
        let zone: Zone = name(&format!("z{z}"));
        all.regions.insert(name(&format!("r{z}")), BTreeSet::from([zone.clone()]));
        for b in 0..per_zone {
            let rack = RackId((z * 100 + b / 2) as u16);
            all.racks.insert(rack, RackLine { uplink_kb_s: 40 * 100, held_kb_s: 0 });
            let bytes = dice.random_range(bytes / 2..=bytes);
            let has = Room { bytes, streams: 1_000, kb_s: 100_000 };
            let line = BoxLine { zone: zone.clone(), rack, has, held: Room::default() };
            all.boxes.insert(BoxId(z * 1_000 + b), line);
        }
    }
    all.regions.insert(name("all"), (0..zones).map(|z| name(&format!("z{z}"))).collect());
    all
}

/// Whether a plan keeps to all bounds.
fn check(inventory: &Inventory, shards: &[Shard], plan: &Plan) {
    let (mut boxes, mut racks) = (BTreeMap::<BoxId, u64>::new(), BTreeMap::<RackId, u64>::new());
    for (shard, places) in shards.iter().zip(&plan.places) {
        let at: BTreeSet<BoxId> = places.iter().map(|p| p.1).collect();
        assert_eq!(at.len(), places.len(), "a box takes one copy of a shard");
        for (region, id) in places {
            let line = &inventory.boxes[id];
            assert!(inventory.regions[region].contains(&line.zone));
            *boxes.entry(*id).or_default() += shard.room.bytes;
            *racks.entry(line.rack).or_default() += shard.room.kb_s;
        }
    }
    assert!(boxes.iter().all(|(id, b)| *b <= inventory.boxes[id].has.bytes), "{boxes:?}");
    assert!(racks.iter().all(|(id, k)| *k <= inventory.racks[id].uplink_kb_s), "{racks:?}");
}

/// Inventory, shards, boxes, copies that have no place yet.
type Case<'a> = (&'a Inventory, &'a [Shard], &'a [BoxId], &'a [(usize, Region)]);

/// The fewest copies that must be made for all shards to have theirs, by trying everything; none: it can't be.
fn least(inventory: &Inventory, shards: &[Shard]) -> Option<usize> {
    let ids: Vec<BoxId> = inventory.boxes.keys().copied().collect();
    let mut open: Vec<(usize, Region)> = Vec::new();
    for (n, shard) in shards.iter().enumerate() {
        shard.wants.iter().for_each(|(r, copies)| open.extend((0..*copies).map(|_| (n, r.clone()))));
    }
    let free: Vec<u64> = ids.iter().map(|id| inventory.boxes[id].has.bytes).collect();
    let mut best = None;
    let mut at: Vec<BTreeSet<usize>> = vec![BTreeSet::new(); shards.len()];
    fn go(
        of: Case<'_>,
        free: &mut Vec<u64>,
        at: &mut Vec<BTreeSet<usize>>,
        moves: usize,
        best: &mut Option<usize>,
    ) {
        let (inventory, shards, ids, open) = of;
        if best.is_some_and(|b| moves >= b) {
            return;
        }
        let Some(((n, region), rest)) = open.split_first() else {
            *best = Some(moves);
            return;
        };
        let shard = &shards[*n];
        for (site, id) in ids.iter().enumerate() {
            let within = inventory.regions[region].contains(&inventory.boxes[id].zone);
            if !within || at[*n].contains(&site) || free[site] < shard.room.bytes {
                continue;
            }
            let new = !shard.has.iter().any(|h| h.1 == *id);
            free[site] -= shard.room.bytes;
            at[*n].insert(site);
            go((inventory, shards, ids, rest), free, at, moves + usize::from(new), best);
            at[*n].remove(&site);
            free[site] += shard.room.bytes;
        }
    }
    go((inventory, shards, &ids, &open), &mut free.clone(), &mut at, 0, &mut best);
    best
}

fn small(seed: u64) -> (Inventory, Vec<Shard>) {
    let mut dice = ChaCha8Rng::seed_from_u64(seed);
    let inventory = inventory(&mut dice, 2, 2, 10);
    let ids: Vec<BoxId> = inventory.boxes.keys().copied().collect();
    let count = dice.random_range(3..=5);
    let shards = (0..count).map(|_| {
        let zone = dice.random_range(0..2);
        let copies = dice.random_range(1..=2);
        let wants: (Region, usize) =
            if dice.random_range(0..3) == 0 { (name("all"), 2) } else { (name(&format!("r{zone}")), copies) };
        let room = Room { bytes: dice.random_range(1..=6), streams: 1, kb_s: 1 };
        // Where copies are, whether that is still allowed or not.
        let has = (0..2).map(|_| (wants.0.clone(), ids[dice.random_range(0..ids.len())])).collect();
        Shard { room, wants: vec![wants], has }
    });
    let shards = shards.collect();
    (inventory, shards)
}

#[test]
fn small_cases_against_exact_solutions() {
    let (mut cases, mut feasible, mut missed, mut moves, mut fewest, mut alike) = (0, 0, 0, 0, 0, 0);
    for seed in 0..3_000 {
        let (inventory, shards) = small(seed);
        let planned = plan(&inventory, &shards, |_| true);
        check(&inventory, &shards, &planned);
        cases += 1;
        let Some(least) = least(&inventory, &shards) else {
            assert!(!planned.lacks.is_empty(), "seed {seed}: what can't be is planned");
            continue;
        };
        feasible += 1;
        if planned.lacks.is_empty() {
            assert!(planned.moves >= least, "seed {seed}: under the least");
            moves += planned.moves;
            fewest += least;
            alike += usize::from(planned.moves == least);
        } else {
            missed += 1;
        }
    }
    println!(
        "{cases} cases, {feasible} that can be, {missed} of them not found, {moves} moves against {fewest} at least, {alike} alike"
    );
    assert!(feasible > 1_000 && missed * 50 <= feasible, "{missed} of {feasible} are not found");
    assert!(moves * 100 <= fewest * 105, "{moves} moves against {fewest}");
}

/// One shard alone: what is said to fit fits, what is not does not, and no single loss takes all where that can be.
#[test]
fn one_shard_is_placed_exactly_and_spread_where_it_can_be() {
    let mut refused = 0;
    for seed in 0..5_000 {
        let mut dice = ChaCha8Rng::seed_from_u64(seed);
        let mut inventory = inventory(&mut dice, 2, 4, 10);
        for line in inventory.racks.values_mut() {
            line.uplink_kb_s = dice.random_range(0..4);
        }
        let room = Room { bytes: dice.random_range(3..=10), streams: 1, kb_s: dice.random_range(1..=2) };
        let copies = dice.random_range(1..=4);
        let region: Region = name("all");
        let want = Want { region: &region, zones: &inventory.regions[&region], copies };
        let mut ground = Ground::new(&inventory, &Taken::default(), |_| true);
        let before = ground.clone();
        let chosen = choose(&mut ground, room, &[want], &[], &BTreeSet::new());
        // All ways, by bits.
        let fits = |sites: &[Site]| {
            let racks: BTreeMap<u16, u64> = sites.iter().fold(BTreeMap::new(), |mut all, s| {
                *all.entry(before.rack(*s)).or_default() += room.kb_s;
                all
            });
            sites.iter().all(|s| before.fits(*s, room) && racks[&before.rack(*s)] <= before.uplink(*s))
        };
        let of = |bits: u32| (0..before.len()).filter(|s| bits >> s & 1 == 1).collect::<Vec<Site>>();
        let ways = (0..1u32 << before.len()).filter(|b| b.count_ones() as usize == copies).map(of);
        let ways: Vec<Vec<Site>> = ways.filter(|w| fits(w)).collect();
        let spread = |by: fn(&Ground, Site) -> u16, sites: &[Site]| {
            sites.iter().map(|s| by(&before, *s)).collect::<BTreeSet<u16>>().len()
        };
        if !chosen.lacks.is_empty() {
            assert!(ways.is_empty(), "seed {seed}: refused, and {:?} fits", ways[0]);
            let most = (0..1u32 << before.len()).map(of).filter(|w| fits(w)).map(|w| w.len()).max();
            assert_eq!(Some(chosen.lacks[0].fit), most, "seed {seed}: how many would fit");
            refused += 1;
            continue;
        }
        let sites: Vec<Site> = chosen.new.iter().map(|n| n.1).collect();
        assert!(fits(&sites), "seed {seed}");
        let zones = ways.iter().map(|w| spread(Ground::zone, w)).max().unwrap_or(0);
        assert_eq!(spread(Ground::zone, &sites), zones, "seed {seed}: zones");
        if zones == 1 {
            let racks = ways.iter().map(|w| spread(Ground::rack, w).min(2)).max().unwrap_or(0);
            assert_eq!(spread(Ground::rack, &sites).min(2), racks, "seed {seed}: racks");
        }
    }
    assert!((500..4_500).contains(&refused), "{refused}");
}

fn large(dice: &mut ChaCha8Rng) -> (Inventory, Vec<Shard>) {
    let mut inventory = inventory(dice, 6, 50, 4_000 << 30);
    for line in inventory.racks.values_mut() {
        line.uplink_kb_s = 3_000_000;
    }
    let shards = (0..10_000).map(|_| {
        let zone = dice.random_range(0..6);
        let wants: (Region, usize) =
            if dice.random_range(0..3) == 0 { (name("all"), 3) } else { (name(&format!("r{zone}")), 2) };
        let room =
            Room { bytes: dice.random_range(1..60) << 30, streams: 1, kb_s: dice.random_range(10..300) };
        Shard { room, wants: vec![wants], has: Vec::new() }
    });
    let shards = shards.collect();
    (inventory, shards)
}

/// Outside CI: `cargo test --release -p beechloft-placement --test plans -- --ignored --nocapture --test-threads 1`.
#[test]
#[ignore = "figures"]
fn ten_thousand_shards_over_three_hundred_boxes() {
    let mut dice = ChaCha8Rng::seed_from_u64(1);
    let (inventory, mut shards) = large(&mut dice);
    for what in ["whole", "again, nothing changed", "a zone's ten boxes lost"] {
        let lost = |id: BoxId| what.starts_with('a') && what.contains("lost") && id.0 < 10;
        let began = Instant::now();
        let planned = plan(&inventory, &shards, |id| !lost(id));
        let took = began.elapsed();
        let had: usize = shards.iter().map(|s| s.has.iter().filter(|h| lost(h.1)).count()).sum();
        check(&inventory, &shards, &planned);
        println!(
            "{what}: {:.1} ms, {} copies made ({had} were lost), {} without a place",
            took.as_secs_f64() * 1e3,
            planned.moves,
            planned.lacks.len()
        );
        for (shard, places) in shards.iter_mut().zip(planned.places) {
            shard.has = places;
        }
    }
    // One change in a state with 10,000 shards, as the log applies it.
    let mut state = fleet(6, 50, 4_000 << 30, Rules::default());
    let racks: Vec<RackId> = state.inventory().racks.keys().copied().collect();
    for rack in racks {
        let line = RackLine { uplink_kb_s: 3_000_000, held_kb_s: 0 };
        state.apply(&Command::Operate(beechloft_placement::Operate::Rack(rack, line)));
    }
    let quota = beechloft_placement::Quota {
        bytes: u64::MAX,
        regions: state.inventory().regions.keys().cloned().collect(),
        changes_an_hour: 1_000_000,
        shards: 1_000_000,
    };
    let customers: Vec<String> = (0..100).map(|n| format!("c{n}")).collect();
    for customer in &customers {
        let quota = beechloft_placement::Operate::Quota(name(customer), quota.clone());
        state.apply(&Command::Operate(quota));
    }
    meet_all(&mut state);
    let mut times = Vec::new();
    for n in 0..10_000 {
        let of = shard(&customers[n % 100], &format!("s{n}"));
        let mut request = request(&of, 10 << 30, &[]);
        request.regions = shards[n].wants.iter().map(|(r, c)| (r.clone(), *c as u8)).collect();
        let command = put(&of, &format!("k{n}"), None, request);
        let began = Instant::now();
        let (answer, _) = state.apply(&command);
        times.push(began.elapsed());
        assert_eq!(refused(&answer), None, "{answer:?}");
    }
    let mut last = times.split_off(9_000);
    last.sort();
    let at = |p: usize| last[p * last.len() / 100].as_secs_f64() * 1e6;
    println!(
        "one request among 10,000: p50 {:.0} us, p99 {:.0} us, max {:.0} us",
        at(50),
        at(99),
        at(99).max(last[999].as_secs_f64() * 1e6)
    );
}
