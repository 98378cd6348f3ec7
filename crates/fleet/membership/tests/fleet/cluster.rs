//! Many members in one process on a simulated network: packets delayed, lost, duplicated or blocked by sender and receiver;
//! members paused and resumed, killed, and started anew.

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

/// The address of the first member; those of the others follow it.
const FIRST_ADDRESS: u32 = 0x0a00_0000;
const ZONES: usize = 3;
const SEEDS: usize = 3;
/// How often a condition is checked while the simulation runs.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Bytes of a datagram's headers: the fleet's, UDP's and IP's.
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

/// An event in the queue, ordered by its time and then by when it was scheduled.
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

/// What a member sent.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    pub packets: u64,
    pub bytes: u64,
}

/// How the network treats packets.
#[derive(Debug, Clone, Copy)]
pub struct Network {
    /// Lost packets of a thousand.
    pub lost: u32,
    /// Duplicated packets of a thousand.
    pub duplicated: u32,
    /// Maximum delay in milliseconds, besides a tenth of one.
    pub delay_ms: u64,
}

/// A member that another declared dead.
#[derive(Debug, Clone, Copy)]
#[expect(dead_code, reason = "all fields are for messages of failed tests")]
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
    /// Delay of all packets from and to a member.
    pub slow: BTreeMap<usize, Duration>,
    /// No packet passes from the first to the second.
    pub blocked: BTreeSet<(usize, usize)>,
    /// No packet passes between zones.
    pub is_partitioned: bool,
    /// Whether traffic is counted, which takes time.
    pub counts_traffic: bool,
    pub traffic: Vec<Traffic>,
    pub deaths: Vec<Death>,
    pub fault: Option<Fault>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
    deadlines: Vec<Duration>,
    /// Paused until then: a paused member handles nothing. Its packets wait, as in a socket's buffer.
    paused: BTreeMap<usize, Duration>,
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
    /// So many members in three zones, none of which is started.
    pub fn new(members: usize, seed: u64) -> Cluster {
        Cluster {
            now: Duration::ZERO,
            members: (0..members).map(|_| None).collect(),
            zones: (0..members).map(|member| member % ZONES).collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            network: Network { lost: 0, duplicated: 0, delay_ms: 2 },
            slow: BTreeMap::new(),
            blocked: BTreeSet::new(),
            is_partitioned: false,
            counts_traffic: false,
            traffic: vec![Traffic::default(); members],
            deaths: Vec::new(),
            fault: None,
            queue: BinaryHeap::new(),
            scheduled: 0,
            deadlines: vec![Duration::MAX; members],
            paused: BTreeMap::new(),
            max_packet_len: 0,
        }
    }

    pub fn all_started(members: usize, seed: u64) -> Cluster {
        let mut cluster = Cluster::new(members, seed);
        (0..members).for_each(|member| cluster.start(member));
        cluster
    }

    pub fn start(&mut self, member: usize) {
        let zone = Zone::try_from(format!("zone-{}", self.zones[member])).expect("a zone");
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

    /// All running members know each other from now on.
    #[cfg(feature = "planted")]
    pub fn preload_members(&mut self) {
        let alive = |member: &Swim| {
            let own = member.members().get(member.id()).expect("itself");
            Update::Alive { id: member.id(), incarnation: own.incarnation, info: own.info.clone() }
        };
        let updates: Vec<Update> = self.running().map(alive).collect();
        self.members.iter_mut().flatten().for_each(|member| member.preload(&updates));
    }

    pub fn kill(&mut self, member: usize) -> MemberId {
        self.members[member].take().expect("it runs").id()
    }

    pub fn leave(&mut self, member: usize) -> MemberId {
        self.handle(member, Input::Leave);
        self.kill(member)
    }

    pub fn pause(&mut self, member: usize, span: Duration) {
        self.paused.insert(member, self.now + span);
    }

    /// Blocks all packets between two members.
    pub fn block_both_ways(&mut self, one: usize, other: usize) {
        self.blocked.extend([(one, other), (other, one)]);
    }

    pub fn id(&self, member: usize) -> MemberId {
        self.members[member].as_ref().expect("it runs").id()
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
        // An event that is earlier stands for this one as well.
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

    fn count(&mut self, from: usize, packet: &Packet) {
        let length = postcard::to_allocvec(packet).expect("it is encoded").len();
        self.max_packet_len = self.max_packet_len.max(length);
        assert!(length <= 1_400, "a packet of {length} bytes");
        self.traffic[from].bytes += length as u64 + HEADER_BYTES;
        self.traffic[from].packets += 1;
    }

    fn send(&mut self, from: usize, address: SocketAddr, packet: Packet) {
        if self.counts_traffic {
            self.count(from, &packet);
        }
        let Some(to) = member_at(address).filter(|to| *to < self.members.len()) else { return };
        let is_parted = self.is_partitioned && self.zones[from] != self.zones[to];
        if is_parted
            || self.blocked.contains(&(from, to))
            || self.rng.random_range(0..1000) < self.network.lost
        {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_range(0..1000) < self.network.duplicated);
        for _ in 0..copies {
            let slowness = [from, to].iter().filter_map(|member| self.slow.get(member)).sum::<Duration>();
            let micros = self.rng.random_range(100..=100 + self.network.delay_ms * 1000);
            let arrival = self.now + Duration::from_micros(micros) + slowness;
            self.schedule(arrival, Event::Packet { to, from, packet: packet.clone() });
        }
    }

    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.queue.peek().is_some_and(|next| next.0.at <= end) {
            let Some(Reverse(Scheduled { at, event, .. })) = self.queue.pop() else { break };
            self.now = self.now.max(at);
            if let Some(resumed_at) = self.paused.get(&event.member()).copied() {
                if self.now < resumed_at {
                    self.schedule(resumed_at, event);
                    continue;
                }
                self.paused.remove(&event.member());
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

    /// Whether each running member believes just the running ones to be active.
    pub fn has_converged(&self) -> bool {
        let expected: BTreeSet<MemberId> = self.running().map(Swim::id).collect();
        let Some(first) = self.running().next().map(Swim::members) else { return true };
        // One of them is compared with the truth, and all others with that one.
        let is_true = |(id, member): (MemberId, &beechloft_membership::Member)| {
            member.state.is_active() == expected.contains(&id)
        };
        let is_same = |member: &Swim| {
            let members = member.members();
            members.active_count() == expected.len() && members.digest() == first.digest()
        };
        first.iter().all(is_true) && self.running().all(is_same)
    }

    /// How long until the fleet has converged; none: not within the span.
    pub fn run_until_converged(&mut self, within: Duration) -> Option<Duration> {
        self.run_until(within, Cluster::has_converged)
    }

    /// How long until a condition holds.
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

    /// How many members believe that this one is active.
    pub fn believers(&self, id: MemberId) -> usize {
        let is_active = |member: &beechloft_membership::Member| member.state.is_active();
        self.running().filter(|member| member.members().get(id).is_some_and(is_active)).count()
    }

    /// Deaths of members other than this one.
    pub fn deaths_besides(&self, id: MemberId) -> Vec<Death> {
        self.deaths.iter().filter(|death| death.member != id).copied().collect()
    }

    pub fn max_packet_len(&self) -> usize {
        self.max_packet_len
    }
}
