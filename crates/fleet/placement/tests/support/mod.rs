//! What tests have in common: a small fleet, and words for it.
#![allow(dead_code)]

pub mod world;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use beechloft_leases::Token;
use beechloft_placement::names::*;
use beechloft_placement::plan::inventory::{BoxLine, RackLine};
use beechloft_placement::words::request::{First, OnLoss, WhenFull};
use beechloft_placement::{
    Answer, Change, Command, Operate, Outcome, Placements, Quota, Reason, Request, Room, Rules, Step, Titles,
    What,
};

pub fn name<T>(text: &str) -> T
where
    T: TryFrom<String, Error: std::fmt::Debug>,
{
    T::try_from(text.to_owned()).expect("a name")
}

pub fn shard(customer: &str, of: &str) -> ShardId {
    ShardId { customer: name(customer), name: name(of) }
}

pub fn digest(n: u64) -> Digest {
    let mut bytes = [7; 32];
    bytes[..8].copy_from_slice(&n.to_be_bytes());
    Digest(bytes)
}

/// The digest of a shard's content.
pub fn digest_of(shard: &ShardId) -> Digest {
    digest(shard.name.as_str().bytes().fold(17, |h, b| h * 31 + u64::from(b)))
}

/// A request for a shard's one title of its own name.
pub fn request(of: &ShardId, bytes: u64, regions: &[(&str, u8)]) -> Request {
    let title: Title = name(of.name.as_str());
    Request {
        titles: Titles::Named(BTreeSet::from([title])),
        bytes,
        digest: digest_of(of),
        streams: 1,
        kb_s: 10,
        regions: regions.iter().map(|(r, n)| (name(r), *n)).collect(),
        first: First::Nearest,
        on_loss: OnLoss::Refuse,
        when_full: WhenFull::Refuse,
    }
}

pub fn put(of: &ShardId, key: &str, if_match: Option<u64>, request: Request) -> Command {
    let what = What::Put(Arc::new(request));
    Command::Change(Change { shard: of.clone(), key: name(key), if_match: if_match.map(Version), what })
}

pub fn remove(of: &ShardId, key: &str, if_match: u64) -> Command {
    let if_match = Some(Version(if_match));
    Command::Change(Change { shard: of.clone(), key: name(key), if_match, what: What::Remove })
}

pub fn refused(answer: &Answer) -> Option<&Reason> {
    match answer {
        Answer::Asked(_, Outcome::Refused(why) | Outcome::Held(why)) => Some(why),
        _ => None,
    }
}

pub fn zone_of(id: BoxId, per_zone: u32) -> u32 {
    (id.0 - 1) / per_zone
}

/// `zones` zones `z0`, `z1` .. with as many boxes each, two to a rack; regions `r0`, `r1` .. of a zone each and `all` of all.
pub fn fleet(zones: u32, per_zone: u32, bytes: u64, rules: Rules) -> Placements {
    let mut state = Placements::default();
    let mut done = |operate: Operate| {
        let (answer, _) = state.apply(&Command::Operate(operate));
        assert_eq!(answer, Answer::Done);
    };
    done(Operate::Rules(rules));
    for z in 0..zones {
        done(Operate::Region(name(&format!("r{z}")), BTreeSet::from([name(&format!("z{z}"))])));
    }
    done(Operate::Region(name("all"), (0..zones).map(|z| name(&format!("z{z}"))).collect()));
    for n in 1..=zones * per_zone {
        let (id, zone) = (BoxId(n), zone_of(BoxId(n), per_zone));
        let rack = RackId((zone * 100 + (n - 1) % per_zone / 2) as u16);
        done(Operate::Rack(rack, RackLine { uplink_kb_s: 10_000, held_kb_s: 0 }));
        let has = Room { bytes, streams: 1_000, kb_s: 10_000 };
        done(Operate::Box(id, BoxLine { zone: name(&format!("z{zone}")), rack, has, held: Room::default() }));
    }
    let mut regions: BTreeSet<Region> = (0..zones).map(|z| name(&format!("r{z}"))).collect();
    regions.insert(name("all"));
    for customer in ["ann", "ben"] {
        let quota = Quota { bytes: 1 << 50, regions: regions.clone(), changes_an_hour: 1_000, shards: 1_000 };
        done(Operate::Quota(name(customer), quota));
    }
    state
}

/// All boxes are met.
pub fn meet_all(state: &mut Placements) {
    let ids: Vec<BoxId> = state.inventory().boxes.keys().copied().collect();
    for id in ids {
        let met =
            Step::Met { id, life: Life(u64::from(id.0)), disk: DiskId(u64::from(id.0)), told: Order(0) };
        assert_eq!(state.apply(&Command::Step(Token(1), met)).0, Answer::Done);
    }
}

/// Copies of a shard by state.
pub fn states(state: &Placements, of: &ShardId) -> BTreeMap<BoxId, &'static str> {
    let pin = state.pins().get(of);
    pin.map(|p| p.copies.iter().map(|(id, c)| (*id, c.state.name())).collect()).unwrap_or_default()
}
