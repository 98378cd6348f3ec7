//! Shared helpers of the tests: a small fleet, requests and queries of the state.
#![allow(dead_code)]

pub mod simulation;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use beechloft_leases::Token;
use beechloft_placement::names::*;
use beechloft_placement::plan::inventory::{RackInfo, ServerInfo};
use beechloft_placement::protocol::request::{First, OnLoss, WhenFull};
use beechloft_placement::{
    Answer, Change, ChangeKind, Command, OperatorCommand, Outcome, Placements, Quota, Reason, Request,
    Resources, Rules, Step, Titles,
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

/// Returns the digest of a shard's content.
pub fn digest_of(shard: &ShardId) -> Digest {
    digest(shard.name.as_str().bytes().fold(17, |h, b| h * 31 + u64::from(b)))
}

/// Returns a request for a shard with one title, which has the shard's name.
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
    let kind = ChangeKind::Put(Arc::new(request));
    Command::Change(Change { shard: of.clone(), key: name(key), if_match: if_match.map(Version), kind })
}

pub fn remove(of: &ShardId, key: &str, if_match: u64) -> Command {
    let if_match = Some(Version(if_match));
    Command::Change(Change { shard: of.clone(), key: name(key), if_match, kind: ChangeKind::Remove })
}

pub fn refused(answer: &Answer) -> Option<&Reason> {
    match answer {
        Answer::Request(_, Outcome::Refused(why) | Outcome::Waiting(why)) => Some(why),
        _ => None,
    }
}

pub fn zone_of(id: ServerId, per_zone: u32) -> u32 {
    (id.0 - 1) / per_zone
}

/// Returns a state with zones `z0`, `z1` and so on, each with `per_zone` media servers, two to a rack. Regions `r0`, `r1`
/// and so on have one zone each, and region `all` has all zones.
pub fn fleet(zones: u32, per_zone: u32, bytes: u64, rules: Rules) -> Placements {
    let mut state = Placements::default();
    let mut apply = |command: OperatorCommand| {
        let (answer, _) = state.apply(&Command::Operator(command));
        assert_eq!(answer, Answer::Done);
    };
    apply(OperatorCommand::Rules(rules));
    for z in 0..zones {
        apply(OperatorCommand::Region(name(&format!("r{z}")), BTreeSet::from([name(&format!("z{z}"))])));
    }
    apply(OperatorCommand::Region(name("all"), (0..zones).map(|z| name(&format!("z{z}"))).collect()));
    for n in 1..=zones * per_zone {
        let (id, zone) = (ServerId(n), zone_of(ServerId(n), per_zone));
        let rack = RackId((zone * 100 + (n - 1) % per_zone / 2) as u16);
        apply(OperatorCommand::Rack(rack, RackInfo { uplink_kb_s: 10_000, reserved_kb_s: 0 }));
        let total = Resources { bytes, streams: 1_000, kb_s: 10_000 };
        apply(OperatorCommand::Server(
            id,
            ServerInfo { zone: name(&format!("z{zone}")), rack, total, reserved: Resources::default() },
        ));
    }
    let mut regions: BTreeSet<Region> = (0..zones).map(|z| name(&format!("r{z}"))).collect();
    regions.insert(name("all"));
    for customer in ["ann", "ben"] {
        let quota = Quota { bytes: 1 << 50, regions: regions.clone(), changes_an_hour: 1_000, shards: 1_000 };
        apply(OperatorCommand::Quota(name(customer), quota));
    }
    state
}

/// Records all media servers as reachable.
pub fn mark_all_up(state: &mut Placements) {
    let ids: Vec<ServerId> = state.inventory().servers.keys().copied().collect();
    for id in ids {
        let step = Step::ServerUp {
            id,
            incarnation: Incarnation(u64::from(id.0)),
            disk: DiskId(u64::from(id.0)),
            presence: OrderId(0),
        };
        assert_eq!(state.apply(&Command::Step(Token(1), step)).0, Answer::Done);
    }
}

/// Returns the names of the states of a shard's copies.
pub fn states(state: &Placements, of: &ShardId) -> BTreeMap<ServerId, &'static str> {
    let pin = state.pins().get(of);
    pin.map(|p| p.copies.iter().map(|(id, c)| (*id, c.state.name())).collect()).unwrap_or_default()
}
