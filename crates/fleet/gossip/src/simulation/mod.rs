//! A simulated cluster of fronts in one process on a simulated network.
//!
//! Packets are delayed, lost, duplicated or blocked, clocks run at different rates, and fronts are paused, killed and restarted. The
//! tests of this crate and of the crates that depend on it use the cluster.

mod observations;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use beechloft_membership::{MemberId, Zone};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use self::observations::{UnderestimatedAge, VersionRegression};
use crate::{Fault, Gossip, Input, Output, Packet, Peer, SectionKind, Settings};

/// The time at which each front starts, by its own clock.
const START: Duration = Duration::from_secs(1);
/// The IPv4 address of the first front. Those of the other fronts follow it.
const FIRST_ADDRESS: u32 = 0x0a00_0000;
const ZONES: usize = 3;
/// Size in bytes of the fleet's header of a datagram.
const FLEET_HEADER_BYTES: usize = 24;
/// Size in bytes of the headers of UDP and IP.
const UDP_IP_HEADER_BYTES: usize = 28;
/// Time that is added to each deadline, so that the rounding of a clock never makes it early.
const ROUNDING_MARGIN: Duration = Duration::from_micros(1);

#[derive(Debug, Clone, PartialEq, Eq)]
enum Event {
    Deadline(MemberId),
    Packet { from: usize, packet: Packet },
}

/// The position of an event in the queue, ordered by its time and then by when it was scheduled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Scheduled {
    at: Duration,
    sequence: u64,
    front: usize,
}

/// A running front.
pub struct Node {
    /// The state machine of the front.
    pub gossip: Gossip,
    /// Rate of the front's clock, where 1 is the true rate.
    rate: f64,
    /// True time at which the front was started.
    started_at: Duration,
}

/// Faults of the simulated network.
#[derive(Debug, Clone, Copy)]
pub struct Network {
    /// Number of lost packets per thousand.
    pub lost_per_mille: u32,
    /// Number of duplicated packets per thousand.
    pub duplicated_per_mille: u32,
    /// Maximum delay of a packet.
    pub max_delay: Duration,
}

/// A simulated cluster of fronts.
pub struct Cluster {
    /// The current true time.
    pub now: Duration,
    /// The fronts, or `None` for each front that was killed.
    pub nodes: Vec<Option<Node>>,
    /// The zone of each front.
    pub zones: Vec<usize>,
    /// Faults of the network.
    pub network: Network,
    /// Zones without a link to any other zone.
    pub isolated_zones: BTreeSet<usize>,
    /// Number of bytes that each front sent, including headers.
    pub sent_bytes: Vec<u64>,
    /// Length in bytes of the longest datagram so far.
    pub max_datagram_len: usize,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<Scheduled>>,
    events: BTreeMap<u64, Event>,
    scheduled: u64,
    settings: Settings,
    fault: Option<Fault>,
    /// Time until which each version of a member's row was the current one.
    superseded_at: BTreeMap<MemberId, BTreeMap<u64, Duration>>,
    paused_until: BTreeMap<usize, Duration>,
    /// Versions that were known at the last check, by the front that knew them and the member whose row it is.
    known_versions: BTreeMap<(MemberId, MemberId), u64>,
}

/// Returns the address of a front.
///
/// # Panics
/// Panics if there are more fronts than addresses.
pub fn address(front: usize) -> SocketAddr {
    let offset = u32::try_from(front).expect("the index of a front fits into an address");
    SocketAddr::new(IpAddr::V4(Ipv4Addr::from(FIRST_ADDRESS + offset)), 7000)
}

fn front_at(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => (u32::from(ip) - FIRST_ADDRESS) as usize,
        IpAddr::V6(_) => unreachable!("all addresses are IPv4 addresses"),
    }
}

/// Returns the zone with an index.
pub fn zone(index: usize) -> Zone {
    Zone::try_from(format!("zone-{index}")).expect("the zone name is valid")
}

impl Cluster {
    /// Creates a cluster of `fronts` running fronts in three zones that know each other. `fault` is injected into each front.
    pub fn new(fronts: usize, seed: u64, settings: Settings, fault: Option<Fault>) -> Cluster {
        let mut cluster = Cluster {
            now: START,
            nodes: (0..fronts).map(|_| None).collect(),
            zones: (0..fronts).map(|front| front % ZONES).collect(),
            network: Network {
                lost_per_mille: 0,
                duplicated_per_mille: 0,
                max_delay: Duration::from_millis(2),
            },
            isolated_zones: BTreeSet::new(),
            sent_bytes: vec![0; fronts],
            max_datagram_len: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            scheduled: 0,
            settings,
            fault,
            superseded_at: BTreeMap::new(),
            paused_until: BTreeMap::new(),
            known_versions: BTreeMap::new(),
        };
        (0..fronts).for_each(|front| cluster.start(front));
        cluster.update_peers();
        cluster
    }

    fn start(&mut self, front: usize) {
        let id = MemberId(self.rng.random());
        let mut gossip = Gossip::new(id, self.settings, self.rng.random(), START);
        if let Some(fault) = self.fault {
            gossip.inject_fault(fault);
        }
        let drift = f64::from(self.settings.max_drift_ppm) / 1e6;
        let rate = self.rng.random_range(1.0 - drift..=1.0 + drift);
        self.nodes[front] = Some(Node { gossip, rate, started_at: self.now });
        self.schedule_deadline(front);
    }

    /// Updates the list of peers at each front to the fronts that run.
    pub fn update_peers(&mut self) {
        let peer = |front: usize| {
            let id = self.nodes[front].as_ref()?.gossip.id();
            Some((front, Peer { id, address: address(front), zone: zone(self.zones[front]) }))
        };
        let running: Vec<(usize, Peer)> = (0..self.nodes.len()).filter_map(peer).collect();
        for front in 0..self.nodes.len() {
            let others = running.iter().filter(|(other, _)| *other != front);
            let peers = others.map(|(_, other)| other.clone()).collect();
            self.handle(front, Input::Peers(peers));
        }
    }

    /// Kills a front and returns its member id.
    ///
    /// # Panics
    /// Panics if the front does not run.
    pub fn kill(&mut self, front: usize) -> MemberId {
        self.nodes[front].take().expect("the front runs").gossip.id()
    }

    /// Kills a front and starts a new process in its place.
    ///
    /// # Panics
    /// Panics if the front does not run.
    pub fn restart(&mut self, front: usize) {
        self.kill(front);
        self.start(front);
        self.update_peers();
    }

    /// Pauses a front. It handles the packets that it receives meanwhile after the pause.
    pub fn pause(&mut self, front: usize, span: Duration) {
        self.paused_until.insert(front, self.now + span);
    }

    /// Returns a running front.
    ///
    /// # Panics
    /// Panics if the front does not run.
    pub fn node(&self, front: usize) -> &Node {
        self.nodes[front].as_ref().expect("the front runs")
    }

    /// Returns the time by a running front's clock.
    pub fn clock(&self, front: usize) -> Duration {
        let node = self.node(front);
        START + (self.now - node.started_at).mul_f64(node.rate)
    }

    /// Returns the member id of a running front.
    pub fn id(&self, front: usize) -> MemberId {
        self.node(front).gossip.id()
    }

    /// Returns the indices of the running fronts.
    pub fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.nodes.len()).filter(|front| self.nodes[*front].is_some())
    }

    fn schedule(&mut self, at: Duration, front: usize, event: Event) {
        self.scheduled += 1;
        self.events.insert(self.scheduled, event);
        self.queue.push(Reverse(Scheduled { at, sequence: self.scheduled, front }));
    }

    fn schedule_deadline(&mut self, front: usize) {
        let Some(node) = &self.nodes[front] else { return };
        let local = node.gossip.next_deadline().saturating_sub(START);
        let at = node.started_at + local.div_f64(node.rate) + ROUNDING_MARGIN;
        let id = node.gossip.id();
        self.schedule(at.max(self.now), front, Event::Deadline(id));
    }

    /// Writes the section [`SectionKind::OUTLIER_REPORT`] of a running front's row.
    ///
    /// # Panics
    /// Panics if the front does not run or the section is too long.
    pub fn write(&mut self, front: usize, bytes: Vec<u8>) {
        let now = self.clock(front);
        self.change_and_record_version(front, |gossip| {
            gossip.write_section(now, SectionKind::OUTLIER_REPORT, bytes).expect("the section fits");
        });
    }

    /// Applies `change` to a front, and records the current time as the end of its row's version if that changes.
    fn change_and_record_version<T>(&mut self, front: usize, change: impl FnOnce(&mut Gossip) -> T) -> T {
        let local = self.clock(front);
        let gossip = &mut self.nodes[front].as_mut().expect("the front runs").gossip;
        let id = gossip.id();
        let version = |state: &Gossip| state.row(local, id).map_or(0, |row| row.version);
        let before = version(gossip);
        let result = change(gossip);
        if version(gossip) != before {
            self.superseded_at.entry(id).or_default().insert(before, self.now);
        }
        result
    }

    fn handle(&mut self, front: usize, input: Input) {
        if self.nodes[front].is_none() {
            return;
        }
        let now = self.clock(front);
        for Output::Send(to, packet) in
            self.change_and_record_version(front, |gossip| gossip.handle(now, input))
        {
            self.send(front, to, packet);
        }
    }

    fn record_sent_packet(&mut self, from: usize, packet: &Packet) {
        let length = postcard::to_allocvec(packet).expect("the packet is encoded").len();
        let bound = packet.max_encoded_len();
        assert!(length <= bound, "a packet of {length} bytes exceeds its bound of {bound} bytes");
        let datagram = length + FLEET_HEADER_BYTES;
        self.max_datagram_len = self.max_datagram_len.max(datagram);
        self.sent_bytes[from] += (datagram + UDP_IP_HEADER_BYTES) as u64;
    }

    fn is_linked(&self, from: usize, to: usize) -> bool {
        let (from, to) = (self.zones[from], self.zones[to]);
        from == to || !(self.isolated_zones.contains(&from) || self.isolated_zones.contains(&to))
    }

    fn send(&mut self, from: usize, address: SocketAddr, packet: Packet) {
        self.record_sent_packet(from, &packet);
        let to = front_at(address);
        if !self.is_linked(from, to) || self.rng.random_range(0..1000) < self.network.lost_per_mille {
            return;
        }
        let max_delay = u64::try_from(self.network.max_delay.as_micros()).unwrap_or(u64::MAX);
        for _ in 0..1 + u32::from(self.rng.random_range(0..1000) < self.network.duplicated_per_mille) {
            let delay = Duration::from_micros(self.rng.random_range(100..=max_delay));
            self.schedule(self.now + delay, to, Event::Packet { from, packet: packet.clone() });
        }
    }

    /// Runs the cluster for a duration of true time.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.queue.peek().is_some_and(|Reverse(next)| next.at <= end) {
            let Some(Reverse(next)) = self.queue.pop() else { break };
            let Some(event) = self.events.remove(&next.sequence) else { continue };
            self.now = self.now.max(next.at);
            if let Some(resumed_at) = self.paused_until.get(&next.front).copied() {
                if self.now < resumed_at {
                    self.schedule(resumed_at, next.front, event);
                    continue;
                }
                self.paused_until.remove(&next.front);
            }
            self.run_event(next.front, event);
        }
        self.now = end;
    }

    fn run_event(&mut self, front: usize, event: Event) {
        match event {
            Event::Deadline(id) => {
                // The process that the deadline belongs to may have been killed meanwhile.
                if self.nodes[front].as_ref().is_some_and(|node| node.gossip.id() == id) {
                    self.handle(front, Input::Tick);
                    self.schedule_deadline(front);
                }
            }
            Event::Packet { from, packet } => self.handle(front, Input::Received(address(from), packet)),
        }
    }
}
