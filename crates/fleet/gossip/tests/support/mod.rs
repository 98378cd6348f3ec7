//! Many fronts' rows in one process on a simulated network: packets late, lost, doubled, cut; clocks at different rates; fronts
//! stopped, killed and started anew.
#![allow(dead_code)] // each test file uses another part

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use beechloft_gossip::{Fault, Input, Kind, Output, Packet, Peer, Settings, Spread};
use beechloft_membership::{MemberId, Zone};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[derive(Debug, Clone, PartialEq, Eq)]
enum Event {
    Due(usize, MemberId),
    Packet { to: usize, from: usize, packet: Packet },
}

pub struct Node {
    pub spread: Spread,
    /// Its clock's rate.
    pub rate: f64,
    /// When it was started, by true time.
    pub started: Duration,
}

/// What is asked of the network.
#[derive(Debug, Clone, Copy)]
pub struct Network {
    /// In a thousand.
    pub lost: u32,
    /// In a thousand.
    pub doubled: u32,
    /// At most.
    pub late: Duration,
}

pub struct World {
    pub now: Duration,
    pub nodes: Vec<Option<Node>>,
    pub zones: Vec<usize>,
    pub dice: ChaCha8Rng,
    pub network: Network,
    /// Zones that hear nobody else and are heard by nobody else.
    pub cut: BTreeSet<usize>,
    /// Bytes that each sent, heads of the fleet, UDP and IP counted.
    pub sent: Vec<u64>,
    pub longest: usize,
    queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    events: BTreeMap<u64, Event>,
    made: u64,
    set: Settings,
    fault: Option<Fault>,
    /// By life: until when each version was its front's own.
    replaced: BTreeMap<MemberId, BTreeMap<u64, Duration>>,
    stopped: BTreeMap<usize, Duration>,
    /// The highest version that one life has known of another.
    known: BTreeMap<(MemberId, MemberId), u64>,
}

pub fn address(n: usize) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::from(0x0a00_0000 + n as u32)), 7000)
}

fn place(at: SocketAddr) -> usize {
    match at.ip() {
        IpAddr::V4(ip) => (u32::from(ip) - 0x0a00_0000) as usize,
        IpAddr::V6(_) => unreachable!("all are of the fourth version"),
    }
}

pub fn zone(n: usize) -> Zone {
    Zone::try_from(format!("zone-{n}")).expect("a zone")
}

impl World {
    /// So many fronts in three zones, which know of each other.
    pub fn new(fronts: usize, seed: u64, set: Settings, fault: Option<Fault>) -> World {
        let mut w = World {
            now: Duration::from_secs(1),
            nodes: (0..fronts).map(|_| None).collect(),
            zones: (0..fronts).map(|n| n % 3).collect(),
            dice: ChaCha8Rng::seed_from_u64(seed),
            network: Network { lost: 0, doubled: 0, late: Duration::from_millis(2) },
            cut: BTreeSet::new(),
            sent: vec![0; fronts],
            longest: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            made: 0,
            set,
            fault,
            replaced: BTreeMap::new(),
            stopped: BTreeMap::new(),
            known: BTreeMap::new(),
        };
        (0..fronts).for_each(|n| w.boot(n));
        w.acquaint();
        w
    }

    fn boot(&mut self, n: usize) {
        let id = MemberId(self.dice.random());
        let spread = Spread::new(id, self.set, self.dice.random(), Duration::from_secs(1));
        #[cfg(feature = "planted")]
        let spread = {
            let mut spread = spread;
            if let Some(fault) = self.fault {
                spread.plant(fault);
            }
            spread
        };
        let d = f64::from(self.set.drift_ppm) / 1e6;
        let rate = self.dice.random_range(1.0 - d..=1.0 + d);
        self.nodes[n] = Some(Node { spread, rate, started: self.now });
        self.wake(n);
    }

    /// The roster of each has all that run.
    pub fn acquaint(&mut self) {
        let all: Vec<(usize, Peer)> = self
            .nodes
            .iter()
            .enumerate()
            .filter_map(|(n, node)| {
                let id = node.as_ref()?.spread.id();
                Some((n, Peer { id, address: address(n), zone: zone(self.zones[n]) }))
            })
            .collect();
        for n in 0..self.nodes.len() {
            let peers = all.iter().filter(|(m, _)| *m != n).map(|(_, p)| p.clone()).collect();
            self.put_in(n, Input::Peers(peers));
        }
    }

    pub fn kill(&mut self, n: usize) -> MemberId {
        self.nodes[n].take().expect("it runs").spread.id()
    }

    pub fn start_again(&mut self, n: usize) {
        self.kill(n);
        self.boot(n);
        self.acquaint();
    }

    pub fn stop(&mut self, n: usize, span: Duration) {
        self.stopped.insert(n, self.now + span);
    }

    pub fn clock(&self, n: usize) -> Duration {
        let node = self.nodes[n].as_ref().expect("it runs");
        Duration::from_secs(1) + (self.now - node.started).mul_f64(node.rate)
    }

    pub fn id(&self, n: usize) -> MemberId {
        self.nodes[n].as_ref().expect("it runs").spread.id()
    }

    fn push(&mut self, at: Duration, to: usize, event: Event) {
        self.made += 1;
        self.events.insert(self.made, event);
        self.queue.push(Reverse((at, self.made, to)));
    }

    fn wake(&mut self, n: usize) {
        let Some(node) = &self.nodes[n] else { return };
        let due = node.spread.next_due().saturating_sub(Duration::from_secs(1));
        let at = node.started + due.div_f64(node.rate) + Duration::from_micros(1);
        let id = node.spread.id();
        self.push(at.max(self.now), n, Event::Due(n, id));
    }

    pub fn write(&mut self, n: usize, bytes: Vec<u8>) {
        let now = self.clock(n);
        self.noting(n, |spread| spread.write(now, Kind::EVIDENCE, bytes).expect("short enough"));
    }

    /// Notes until when the version before was the front's own.
    fn noting<T>(&mut self, n: usize, act: impl FnOnce(&mut Spread) -> T) -> T {
        let local = self.clock(n);
        let node = self.nodes[n].as_mut().expect("it runs");
        let id = node.spread.id();
        let version = |s: &Spread| s.row(local, id).map_or(0, |r| r.version);
        let before = version(&node.spread);
        let done = act(&mut node.spread);
        if version(&node.spread) != before {
            self.replaced.entry(id).or_default().insert(before, self.now);
        }
        done
    }

    fn put_in(&mut self, n: usize, input: Input) {
        if self.nodes[n].is_none() {
            return;
        }
        let now = self.clock(n);
        for Output::Send(at, packet) in self.noting(n, |spread| spread.handle(now, input)) {
            self.send(n, at, packet);
        }
    }

    fn send(&mut self, from: usize, at: SocketAddr, packet: Packet) {
        let bytes = postcard::to_allocvec(&packet).expect("short").len();
        assert!(bytes <= packet.bytes(), "{bytes} bytes, and {} were thought", packet.bytes());
        // The fleet's head; UDP's and IP's.
        self.longest = self.longest.max(bytes + 24);
        self.sent[from] += bytes as u64 + 24 + 28;
        let to = place(at);
        let apart = self.zones[from] != self.zones[to]
            && (self.cut.contains(&self.zones[from]) || self.cut.contains(&self.zones[to]));
        if apart || self.dice.random_range(0..1000) < self.network.lost {
            return;
        }
        for _ in 0..1 + u32::from(self.dice.random_range(0..1000) < self.network.doubled) {
            let late =
                Duration::from_micros(self.dice.random_range(100..=self.network.late.as_micros() as u64));
            self.push(self.now + late, to, Event::Packet { to, from, packet: packet.clone() });
        }
    }

    pub fn pass(&mut self, span: Duration) {
        let until = self.now + span;
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= until) {
            let Some(Reverse((at, key, n))) = self.queue.pop() else { break };
            let Some(event) = self.events.remove(&key) else { continue };
            self.now = self.now.max(at);
            if let Some(end) = self.stopped.get(&n).copied() {
                if self.now < end {
                    self.push(end, n, event);
                    continue;
                }
                self.stopped.remove(&n);
            }
            match event {
                Event::Due(n, id) => {
                    if self.nodes[n].as_ref().is_some_and(|node| node.spread.id() == id) {
                        self.put_in(n, Input::Tick);
                        self.wake(n);
                    }
                }
                Event::Packet { to, from, packet } => self.put_in(to, Input::Heard(address(from), packet)),
            }
        }
        self.now = until;
    }

    /// How old a version truly is: since it was its front's own.
    fn true_age(&self, life: MemberId, version: u64) -> Duration {
        let replaced = self.replaced.get(&life).and_then(|of| of.get(&version));
        replaced.map_or(Duration::ZERO, |at| self.now - *at)
    }

    /// A row that somebody thinks younger than it is.
    pub fn too_young(&self) -> Option<String> {
        self.nodes.iter().enumerate().filter(|(_, node)| node.is_some()).find_map(|(n, node)| {
            let spread = &node.as_ref()?.spread;
            spread.rows(self.clock(n)).find_map(|row| {
                let true_age = self.true_age(row.life, row.version);
                (row.age < true_age).then(|| {
                    format!(
                        "front {n} thinks {} of {} {:?} old, it is {true_age:?}",
                        row.version, row.life, row.age
                    )
                })
            })
        })
    }

    /// A row that went back to an older version while it was known.
    pub fn gone_back(&mut self) -> Option<String> {
        let mut now = BTreeMap::new();
        for n in (0..self.nodes.len()).filter(|n| self.nodes[*n].is_some()) {
            let spread = &self.nodes[n].as_ref()?.spread;
            now.extend(spread.rows(self.clock(n)).map(|r| ((spread.id(), r.life), r.version)));
        }
        let before = std::mem::replace(&mut self.known, now);
        let back = before.into_iter().find(|(key, v)| self.known.get(key).is_some_and(|now| now < v));
        back.map(|((at, of), v)| format!("{at} knew version {v} of {of} and knows an older one now"))
    }

    /// Of all pairs: how old the row of one is at the other, by what that one thinks; none: not known.
    pub fn ages(&self) -> Vec<Option<Duration>> {
        let ids: Vec<MemberId> = self.nodes.iter().flatten().map(|node| node.spread.id()).collect();
        let mut all = Vec::new();
        for n in (0..self.nodes.len()).filter(|n| self.nodes[*n].is_some()) {
            let now = self.clock(n);
            let spread = &self.nodes[n].as_ref().expect("it runs").spread;
            let others = ids.iter().filter(|id| **id != spread.id());
            all.extend(others.map(|id| spread.row(now, *id).map(|r| r.age)));
        }
        all
    }

    /// Whether all that run know the same bytes of all that run.
    pub fn agree(&self) -> bool {
        let views = |n: usize| -> BTreeMap<MemberId, Option<Vec<u8>>> {
            let spread = &self.nodes[n].as_ref().expect("it runs").spread;
            spread
                .rows(self.clock(n))
                .map(|r| (r.life, r.section(Kind::EVIDENCE).map(<[u8]>::to_vec)))
                .collect()
        };
        let mut all = (0..self.nodes.len()).filter(|n| self.nodes[*n].is_some()).map(views);
        let Some(first) = all.next() else { return true };
        first.len() == self.nodes.iter().flatten().count() && all.all(|v| v == first)
    }
}
