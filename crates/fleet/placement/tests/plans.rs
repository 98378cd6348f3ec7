//! Planning compared with exact solutions of small cases, its properties, and its duration.
#![allow(clippy::cast_possible_truncation)]

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use beechloft_placement::names::*;
use beechloft_placement::plan::capacity::{Capacity, Site};
use beechloft_placement::plan::inventory::{Inventory, RackInfo, ServerInfo, Usage};
use beechloft_placement::plan::rebalance::{Plan, ShardDemand, plan};
use beechloft_placement::plan::selection::{RegionDemand, choose};
use beechloft_placement::{Command, Resources, Rules};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::*;

/// Returns media servers of random size, two to a rack.
fn inventory(rng: &mut ChaCha8Rng, zones: u32, per_zone: u32, bytes: u64) -> Inventory {
    let mut all = Inventory::default();
    for z in 0..zones {
        let zone: Zone = name(&format!("z{z}"));
        all.regions.insert(name(&format!("r{z}")), BTreeSet::from([zone.clone()]));
        for b in 0..per_zone {
            let rack = RackId((z * 100 + b / 2) as u16);
            all.racks.insert(rack, RackInfo { uplink_kb_s: 40 * 100, reserved_kb_s: 0 });
            let bytes = rng.random_range(bytes / 2..=bytes);
            let total = Resources { bytes, streams: 1_000, kb_s: 100_000 };
            let info = ServerInfo { zone: zone.clone(), rack, total, reserved: Resources::default() };
            all.servers.insert(ServerId(z * 1_000 + b), info);
        }
    }
    all.regions.insert(name("all"), (0..zones).map(|z| name(&format!("z{z}"))).collect());
    all
}

/// Checks that a plan keeps all limits.
fn check(inventory: &Inventory, shards: &[ShardDemand], plan: &Plan) {
    let (mut servers, mut racks) = (BTreeMap::<ServerId, u64>::new(), BTreeMap::<RackId, u64>::new());
    for (shard, copies) in shards.iter().zip(&plan.copies) {
        let at: BTreeSet<ServerId> = copies.iter().map(|p| p.1).collect();
        assert_eq!(at.len(), copies.len(), "a media server has one copy of a shard at most");
        for (region, id) in copies {
            let info = &inventory.servers[id];
            assert!(inventory.regions[region].contains(&info.zone));
            *servers.entry(*id).or_default() += shard.resources.bytes;
            *racks.entry(info.rack).or_default() += shard.resources.kb_s;
        }
    }
    assert!(servers.iter().all(|(id, b)| *b <= inventory.servers[id].total.bytes), "{servers:?}");
    assert!(racks.iter().all(|(id, k)| *k <= inventory.racks[id].uplink_kb_s), "{racks:?}");
}

/// The inventory, shards, media servers, and copies that are not placed yet.
type Case<'a> = (&'a Inventory, &'a [ShardDemand], &'a [ServerId], &'a [(usize, Region)]);

/// Returns the minimum number of copies to be made by an exhaustive search, or `None` if the shards don't fit.
fn minimum_moves(inventory: &Inventory, shards: &[ShardDemand]) -> Option<usize> {
    let ids: Vec<ServerId> = inventory.servers.keys().copied().collect();
    let mut open: Vec<(usize, Region)> = Vec::new();
    for (n, shard) in shards.iter().enumerate() {
        shard.demands.iter().for_each(|(r, copies)| open.extend((0..*copies).map(|_| (n, r.clone()))));
    }
    let free: Vec<u64> = ids.iter().map(|id| inventory.servers[id].total.bytes).collect();
    let mut best = None;
    let mut at: Vec<BTreeSet<usize>> = vec![BTreeSet::new(); shards.len()];
    fn search(
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
            let within = inventory.regions[region].contains(&inventory.servers[id].zone);
            if !within || at[*n].contains(&site) || free[site] < shard.resources.bytes {
                continue;
            }
            let new = !shard.existing.iter().any(|h| h.1 == *id);
            free[site] -= shard.resources.bytes;
            at[*n].insert(site);
            search((inventory, shards, ids, rest), free, at, moves + usize::from(new), best);
            at[*n].remove(&site);
            free[site] += shard.resources.bytes;
        }
    }
    search((inventory, shards, &ids, &open), &mut free.clone(), &mut at, 0, &mut best);
    best
}

fn small_case(seed: u64) -> (Inventory, Vec<ShardDemand>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let inventory = inventory(&mut rng, 2, 2, 10);
    let ids: Vec<ServerId> = inventory.servers.keys().copied().collect();
    let count = rng.random_range(3..=5);
    let shards = (0..count).map(|_| {
        let zone = rng.random_range(0..2);
        let copies = rng.random_range(1..=2);
        let demands: (Region, usize) =
            if rng.random_range(0..3) == 0 { (name("all"), 2) } else { (name(&format!("r{zone}")), copies) };
        let resources = Resources { bytes: rng.random_range(1..=6), streams: 1, kb_s: 1 };
        // Existing copies, whether or not their place is still allowed.
        let existing = (0..2).map(|_| (demands.0.clone(), ids[rng.random_range(0..ids.len())])).collect();
        ShardDemand { resources, demands: vec![demands], existing }
    });
    let shards = shards.collect();
    (inventory, shards)
}

#[test]
fn matches_exact_solutions_of_small_cases() {
    let (mut cases, mut feasible, mut not_found, mut moves, mut minimum, mut equal) = (0, 0, 0, 0, 0, 0);
    for seed in 0..3_000 {
        let (inventory, shards) = small_case(seed);
        let planned = plan(&inventory, &shards, |_| true);
        check(&inventory, &shards, &planned);
        cases += 1;
        let Some(minimum_moves) = minimum_moves(&inventory, &shards) else {
            assert!(!planned.unplaced.is_empty(), "seed {seed}: an impossible case is planned");
            continue;
        };
        feasible += 1;
        if planned.unplaced.is_empty() {
            assert!(planned.moves >= minimum_moves, "seed {seed}: fewer moves than the minimum");
            moves += planned.moves;
            minimum += minimum_moves;
            equal += usize::from(planned.moves == minimum_moves);
        } else {
            not_found += 1;
        }
    }
    println!(
        "{cases} cases, {feasible} feasible, {not_found} of them not found, {moves} moves against a minimum of {minimum}, {equal} equal"
    );
    assert!(feasible > 1_000 && not_found * 50 <= feasible, "{not_found} of {feasible} are not found");
    assert!(moves * 100 <= minimum * 105, "{moves} moves against {minimum}");
}

/// Compares the placement of one shard with all possible ones: feasibility is exact, and the copies are in two zones or
/// two racks wherever that is possible.
#[test]
fn places_one_shard_exactly_and_spread() {
    let mut refused = 0;
    for seed in 0..5_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut inventory = inventory(&mut rng, 2, 4, 10);
        for info in inventory.racks.values_mut() {
            info.uplink_kb_s = rng.random_range(0..4);
        }
        let resources =
            Resources { bytes: rng.random_range(3..=10), streams: 1, kb_s: rng.random_range(1..=2) };
        let copies = rng.random_range(1..=4);
        let region: Region = name("all");
        let demand = RegionDemand { region: &region, zones: &inventory.regions[&region], copies };
        let mut capacity = Capacity::new(&inventory, &Usage::default(), |_| true);
        let before = capacity.clone();
        let chosen = choose(&mut capacity, resources, &[demand], &[], &BTreeSet::new());
        // Enumerates all sets of sites as bit masks.
        let fits = |sites: &[Site]| {
            let racks: BTreeMap<u16, u64> = sites.iter().fold(BTreeMap::new(), |mut all, s| {
                *all.entry(before.rack(*s)).or_default() += resources.kb_s;
                all
            });
            sites.iter().all(|s| before.fits(*s, resources) && racks[&before.rack(*s)] <= before.uplink(*s))
        };
        let of = |bits: u32| (0..before.len()).filter(|s| bits >> s & 1 == 1).collect::<Vec<Site>>();
        let layouts = (0..1u32 << before.len()).filter(|b| b.count_ones() as usize == copies).map(of);
        let layouts: Vec<Vec<Site>> = layouts.filter(|w| fits(w)).collect();
        let spread = |by: fn(&Capacity, Site) -> u16, sites: &[Site]| {
            sites.iter().map(|s| by(&before, *s)).collect::<BTreeSet<u16>>().len()
        };
        if !chosen.unplaced.is_empty() {
            assert!(layouts.is_empty(), "seed {seed}: refused, but {:?} fits", layouts[0]);
            let most = (0..1u32 << before.len()).map(of).filter(|w| fits(w)).map(|w| w.len()).max();
            assert_eq!(Some(chosen.unplaced[0].fit), most, "seed {seed}: how many would fit");
            refused += 1;
            continue;
        }
        let sites: Vec<Site> = chosen.new.iter().map(|n| n.1).collect();
        assert!(fits(&sites), "seed {seed}");
        let zones = layouts.iter().map(|w| spread(Capacity::zone, w)).max().unwrap_or(0);
        assert_eq!(spread(Capacity::zone, &sites), zones, "seed {seed}: zones");
        if zones == 1 {
            let racks = layouts.iter().map(|w| spread(Capacity::rack, w).min(2)).max().unwrap_or(0);
            assert_eq!(spread(Capacity::rack, &sites).min(2), racks, "seed {seed}: racks");
        }
    }
    assert!((500..4_500).contains(&refused), "{refused}");
}

fn large_case(rng: &mut ChaCha8Rng) -> (Inventory, Vec<ShardDemand>) {
    let mut inventory = inventory(rng, 6, 50, 4_000 << 30);
    for info in inventory.racks.values_mut() {
        info.uplink_kb_s = 3_000_000;
    }
    let shards = (0..10_000).map(|_| {
        let zone = rng.random_range(0..6);
        let demands: (Region, usize) =
            if rng.random_range(0..3) == 0 { (name("all"), 3) } else { (name(&format!("r{zone}")), 2) };
        let resources =
            Resources { bytes: rng.random_range(1..60) << 30, streams: 1, kb_s: rng.random_range(10..300) };
        ShardDemand { resources, demands: vec![demands], existing: Vec::new() }
    });
    let shards = shards.collect();
    (inventory, shards)
}

/// Runs outside CI with `cargo test --release -p beechloft-placement --test plans -- --ignored --nocapture --test-threads 1`.
#[test]
#[ignore = "measures durations"]
fn plans_ten_thousand_shards_over_three_hundred_servers() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (inventory, mut shards) = large_case(&mut rng);
    for what in ["initial plan", "repeated without change", "ten media servers of a zone lost"] {
        let lost = |id: ServerId| what.ends_with("lost") && id.0 < 10;
        let start = Instant::now();
        let planned = plan(&inventory, &shards, |id| !lost(id));
        let elapsed = start.elapsed();
        let had: usize = shards.iter().map(|s| s.existing.iter().filter(|h| lost(h.1)).count()).sum();
        check(&inventory, &shards, &planned);
        println!(
            "{what}: {:.1} ms, {} copies made ({had} were lost), {} unplaced",
            elapsed.as_secs_f64() * 1e3,
            planned.moves,
            planned.unplaced.len()
        );
        for (shard, copies) in shards.iter_mut().zip(planned.copies) {
            shard.existing = copies;
        }
    }
    // The duration of one change in a state with 10,000 shards, as the log applies it.
    let mut state = fleet(6, 50, 4_000 << 30, Rules::default());
    let racks: Vec<RackId> = state.inventory().racks.keys().copied().collect();
    for rack in racks {
        let info = RackInfo { uplink_kb_s: 3_000_000, reserved_kb_s: 0 };
        state.apply(&Command::Operator(beechloft_placement::OperatorCommand::Rack(rack, info)));
    }
    let quota = beechloft_placement::Quota {
        bytes: u64::MAX,
        regions: state.inventory().regions.keys().cloned().collect(),
        changes_an_hour: 1_000_000,
        shards: 1_000_000,
    };
    let customers: Vec<String> = (0..100).map(|n| format!("c{n}")).collect();
    for customer in &customers {
        let quota = beechloft_placement::OperatorCommand::Quota(name(customer), quota.clone());
        state.apply(&Command::Operator(quota));
    }
    mark_all_up(&mut state);
    let mut times = Vec::new();
    for n in 0..10_000 {
        let of = shard(&customers[n % 100], &format!("s{n}"));
        let mut request = request(&of, 10 << 30, &[]);
        request.regions = shards[n].demands.iter().map(|(r, c)| (r.clone(), *c as u8)).collect();
        let command = put(&of, &format!("k{n}"), None, request);
        let start = Instant::now();
        let (answer, _) = state.apply(&command);
        times.push(start.elapsed());
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
