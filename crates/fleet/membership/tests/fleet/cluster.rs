//! A simulated fleet of members in one process on a simulated network.
//!
//! Packets are delayed, lost, duplicated, or blocked by sender and receiver. Members are paused and resumed, killed and restarted.

use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use beechloft_membership::{
    Fault, Input, MemberId, MemberInfo, MemberKind, MemberState, Output, Packet, Swim, Update, Zone,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const MINUTE: Duration = Duration::from_secs(60);

/// The IPv4 address of the first member. Those of the other members follow it.
const FIRST_ADDRESS: u32 = 0x0a00_0000;
const ZONES: usize = 3;
const SEEDS: usize = 3;
/// Interval at which a condition is checked while the simulation runs.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Size in bytes of a datagram's headers of the fleet, UDP and IP.
const HEADER_BYTES: u64 = 22 + 28;

#[derive(Debug, PartialEq, Eq)]
enum Event {
    Deadline(usize),
    Packet { to: usize, from: usize, packet: Packet },
}

impl Event {
    fn member(&self) -> usize {
        match self {
            Event::Deadline(member) => *member,
            Event::Packet { to, .. } => *to,
        }
    }
}

/// An event in the queue. Events are ordered by their times and then by when they were scheduled.
#[derive(Debug)]
struct Scheduled {
    at: Duration,
    sequence: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Totals of what a member sent.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    pub packets: u64,
    pub bytes: u64,
}

/// Faults of the simulated network.
#[derive(Debug, Clone, Copy)]
pub struct Network {
    /// Number of lost packets per thousand.
    pub lost_per_mille: u32,
    /// Number of duplicated packets per thousand.
    pub duplicated_per_mille: u32,
    /// Maximum delay of a packet in milliseconds, in addition to a constant 0.1 ms.
    pub max_delay_ms: u64,
}

/// An event in which one member declares another dead.
#[derive(Debug, Clone, Copy)]
#[expect(dead_code, reason = "all fields appear in the messages of failed tests")]
pub struct Death {
    pub at: Duration,
    pub declared_by: usize,
    pub member: MemberId,
}

pub struct Cluster {
    pub now: Duration,
    pub members: Vec<Option<Swim>>,
    pub zones: Vec<usize>,
    pub rng: ChaCha8Rng,
    pub network: Network,
    /// Additional delay of all packets from and to a member.
    pub additional_delays: BTreeMap<usize, Duration>,
    /// Pairs of members for which packets from the first to the second are dropped.
    pub blocked: BTreeSet<(usize, usize)>,
    /// Whether packets between zones are dropped.
    pub is_partitioned: bool,
    /// Whether traffic is counted, which slows the simulation down.
    pub counts_traffic: bool,
    pub traffic: Vec<Traffic>,
    pub deaths: Vec<Death>,
    pub fault: Option<Fault>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
    deadlines: Vec<Duration>,
    /// Times until which members are paused. A paused member handles its packets after the pause, as from a socket's buffer.
    paused_until: BTreeMap<usize, Duration>,
    max_packet_len: usize,
}

pub fn address(member: usize) -> SocketAddr {
    let offset = u32::try_from(member).expect("few members");
    SocketAddr::new(IpAddr::V4(Ipv4Addr::from(FIRST_ADDRESS + offset)), 7000)
}

fn member_at(address: SocketAddr) -> Option<usize> {
    match address.ip() {
        IpAddr::V4(ip) => u32::from(ip).checked_sub(FIRST_ADDRESS).map(|offset| offset as usize),
        IpAddr::V6(_) => None,
    }
}

impl Cluster {
    /// Creates a cluster of `members` members in three zones, none of which is running.
    pub fn new(members: usize, seed: u64) -> Cluster {
        Cluster {
            now: Duration::ZERO,
            members: (0..members).map(|_| None).collect(),
            zones: (0..members).map(|member| member % ZONES).collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            network: Network { lost_per_mille: 0, duplicated_per_mille: 0, max_delay_ms: 2 },
            additional_delays: BTreeMap::new(),
            blocked: BTreeSet::new(),
            is_partitioned: false,
            counts_traffic: false,
            traffic: vec![Traffic::default(); members],
            deaths: Vec::new(),
            fault: None,
            queue: BinaryHeap::new(),
            scheduled: 0,
            deadlines: vec![Duration::MAX; members],
            paused_until: BTreeMap::new(),
            max_packet_len: 0,
        }
    }

    pub fn all_started(members: usize, seed: u64) -> Cluster {
        let mut cluster = Cluster::new(members, seed);
        (0..members).for_each(|member| cluster.start(member));
        cluster
    }

    pub fn start(&mut self, member: usize) {
        let zone = Zone::try_from(format!("zone-{}", self.zones[member])).expect("a valid zone");
        let info = MemberInfo { address: address(member), zone, kind: MemberKind::Front };
        let id = MemberId(self.rng.random());
        let seeds = (0..SEEDS.min(self.members.len())).map(address).collect();
        let swim = Swim::new(id, info, seeds, self.rng.random(), self.now);
        #[cfg(feature = "planted")]
        let swim = {
            let mut swim = swim;
            if let Some(fault) = self.fault {
                swim.inject_fault(fault);
            }
            swim
        };
        self.members[member] = Some(swim);
        self.schedule_deadline(member);
    }

    /// Makes all running members known to each other.
    #[cfg(feature = "planted")]
    pub fn preload_members(&mut self) {
        let alive = |member: &Swim| {
            let own = member.members().get(member.id()).expect("the member knows itself");
            Update::Alive { id: member.id(), incarnation: own.incarnation, info: own.info.clone() }
        };
        let updates: Vec<Update> = self.running().map(alive).collect();
        self.members.iter_mut().flatten().for_each(|member| member.preload(&updates));
    }

    pub fn kill(&mut self, member: usize) -> MemberId {
        self.members[member].take().expect("the member runs").id()
    }

    pub fn leave(&mut self, member: usize) -> MemberId {
        self.handle(member, Input::Leave);
        self.kill(member)
    }

    pub fn pause(&mut self, member: usize, span: Duration) {
        self.paused_until.insert(member, self.now + span);
    }

    /// Blocks all packets between two members.
    pub fn block_both_ways(&mut self, one: usize, other: usize) {
        self.blocked.extend([(one, other), (other, one)]);
    }

    pub fn id(&self, member: usize) -> MemberId {
        self.members[member].as_ref().expect("the member runs").id()
    }

    pub fn running(&self) -> impl Iterator<Item = &Swim> {
        self.members.iter().flatten()
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.scheduled += 1;
        self.queue.push(Reverse(Scheduled { at, sequence: self.scheduled, event }));
    }

    fn schedule_deadline(&mut self, member: usize) {
        let Some(deadline) = self.members[member].as_ref().map(Swim::next_deadline) else { return };
        let deadline = deadline.max(self.now);
        // An event that is scheduled earlier leads to another call of this function.
        if deadline < self.deadlines[member] || self.deadlines[member] < self.now {
            self.deadlines[member] = deadline;
            self.schedule(deadline, Event::Deadline(member));
        }
    }

    fn handle(&mut self, member: usize, input: Input) {
        let Some(swim) = &mut self.members[member] else { return };
        for output in swim.handle(self.now, input) {
            match output {
                Output::Send(to, packet) => self.send(member, to, packet),
                Output::StateChanged(id, MemberState::Dead) => {
                    self.deaths.push(Death { at: self.now, declared_by: member, member: id });
                }
                Output::StateChanged(..) => {}
            }
        }
        self.schedule_deadline(member);
    }

    fn record_sent_packet(&mut self, from: usize, packet: &Packet) {
        let length = postcard::to_allocvec(packet).expect("the value is encoded").len();
        self.max_packet_len = self.max_packet_len.max(length);
        assert!(length <= 1_400, "a packet of {length} bytes");
        self.traffic[from].bytes += length as u64 + HEADER_BYTES;
        self.traffic[from].packets += 1;
    }

    fn send(&mut self, from: usize, address: SocketAddr, packet: Packet) {
        if self.counts_traffic {
            self.record_sent_packet(from, &packet);
        }
        let Some(to) = member_at(address).filter(|to| *to < self.members.len()) else { return };
        let is_cut_off = self.is_partitioned && self.zones[from] != self.zones[to];
        if is_cut_off
            || self.blocked.contains(&(from, to))
            || self.rng.random_range(0..1000) < self.network.lost_per_mille
        {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_range(0..1000) < self.network.duplicated_per_mille);
        for _ in 0..copies {
            let additional_delay =
                [from, to].iter().filter_map(|member| self.additional_delays.get(member)).sum::<Duration>();
            let micros = self.rng.random_range(100..=100 + self.network.max_delay_ms * 1000);
            let arrival = self.now + Duration::from_micros(micros) + additional_delay;
            self.schedule(arrival, Event::Packet { to, from, packet: packet.clone() });
        }
    }

    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.queue.peek().is_some_and(|next| next.0.at <= end) {
            let Some(Reverse(Scheduled { at, event, .. })) = self.queue.pop() else { break };
            self.now = self.now.max(at);
            if let Some(resumed_at) = self.paused_until.get(&event.member()).copied() {
                if self.now < resumed_at {
                    self.schedule(resumed_at, event);
                    continue;
                }
                self.paused_until.remove(&event.member());
            }
            self.run_event(event);
        }
        self.now = end;
    }

    fn run_event(&mut self, event: Event) {
        match event {
            Event::Deadline(member) => {
                self.deadlines[member] = Duration::MAX;
                self.handle(member, Input::Tick);
            }
            Event::Packet { to, from, packet } => self.handle(to, Input::Received(address(from), packet)),
        }
    }

    /// Returns whether each running member believes exactly the running members to be active.
    pub fn has_converged(&self) -> bool {
        let expected: BTreeSet<MemberId> = self.running().map(Swim::id).collect();
        let Some(first) = self.running().next().map(Swim::members) else { return true };
        // The first member is compared with the running members, and all others with the first one.
        let is_correct = |(id, member): (MemberId, &beechloft_membership::Member)| {
            member.state.is_active() == expected.contains(&id)
        };
        let is_same = |member: &Swim| {
            let members = member.members();
            members.active_count() == expected.len() && members.digest() == first.digest()
        };
        first.iter().all(is_correct) && self.running().all(is_same)
    }

    /// Runs until the fleet has converged. Returns the time that it took, or `None` if it took longer than `within`.
    pub fn run_until_converged(&mut self, within: Duration) -> Option<Duration> {
        self.run_until(within, Cluster::has_converged)
    }

    /// Runs until a condition holds. Returns the time that it took, or `None` if it took longer than `within`.
    pub fn run_until(&mut self, within: Duration, condition: impl Fn(&Cluster) -> bool) -> Option<Duration> {
        let start = self.now;
        while self.now - start <= within {
            if condition(self) {
                return Some(self.now - start);
            }
            self.run_for(POLL_INTERVAL);
        }
        None
    }

    /// Returns the number of running members that believe a member to be active.
    pub fn count_believing_active(&self, id: MemberId) -> usize {
        let is_active = |member: &beechloft_membership::Member| member.state.is_active();
        self.running().filter(|member| member.members().get(id).is_some_and(is_active)).count()
    }

    /// Returns the deaths of members other than `id`.
    pub fn deaths_of_others(&self, id: MemberId) -> Vec<Death> {
        self.deaths.iter().filter(|death| death.member != id).copied().collect()
    }

    pub fn max_packet_len(&self) -> usize {
        self.max_packet_len
    }
}
