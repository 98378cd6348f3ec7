//! Many members in one process on a simulated network: packets late, lost, doubled, cut off by who says them to whom; members
//! stopped and let go on, killed, started anew.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use beechloft_membership::{About, Fault, Input, Kind, Life, MemberId, Output, Packet, Rumour, Swim, Zone};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[derive(Debug, PartialEq, Eq)]
enum Event {
    Due(usize),
    Packet { to: usize, from: usize, packet: Packet },
}

#[derive(Debug)]
struct At(Duration, u64, Event);

impl PartialEq for At {
    fn eq(&self, other: &At) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for At {}

impl PartialOrd for At {
    fn partial_cmp(&self, other: &At) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for At {
    fn cmp(&self, other: &At) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// What crossed the network.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    pub packets: u64,
    pub bytes: u64,
}

pub struct World {
    pub now: Duration,
    pub members: Vec<Option<Swim>>,
    pub zones: Vec<usize>,
    pub dice: ChaCha8Rng,
    queue: BinaryHeap<Reverse<At>>,
    made: u64,
    due: Vec<Duration>,
    /// Stopped until then: neither hears nor looks at its clock; what came waits, up to a bound, as a socket's buffer does.
    stopped: BTreeMap<usize, Duration>,
    /// In a thousand.
    pub lost: u32,
    pub doubled: u32,
    /// Milliseconds, at most.
    pub late: u64,
    /// Of one member, all that it says and hears is later by this.
    pub slow: BTreeMap<usize, Duration>,
    /// From one to another nothing passes.
    pub cut: BTreeSet<(usize, usize)>,
    /// Between zones nothing passes.
    pub parted: bool,
    /// Counted if asked for, as it costs time.
    pub counts: bool,
    pub sent: Vec<Traffic>,
    /// Who was believed gone by whom, and when.
    pub gone: Vec<(Duration, usize, MemberId)>,
    pub fault: Option<Fault>,
    seeds: usize,
    longest: usize,
}

pub fn address(n: usize) -> SocketAddr {
    let ip = Ipv4Addr::from(0x0a00_0000 + n as u32);
    SocketAddr::new(IpAddr::V4(ip), 7000)
}

fn place(at: SocketAddr) -> Option<usize> {
    match at.ip() {
        IpAddr::V4(ip) => u32::from(ip).checked_sub(0x0a00_0000).map(|n| n as usize),
        IpAddr::V6(_) => None,
    }
}

impl World {
    /// So many members, not started, in three zones.
    pub fn new(members: usize, seed: u64) -> World {
        World {
            now: Duration::ZERO,
            members: (0..members).map(|_| None).collect(),
            zones: (0..members).map(|n| n % 3).collect(),
            dice: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            made: 0,
            due: vec![Duration::MAX; members],
            stopped: BTreeMap::new(),
            lost: 0,
            doubled: 0,
            late: 2,
            slow: BTreeMap::new(),
            cut: BTreeSet::new(),
            parted: false,
            counts: false,
            sent: vec![Traffic::default(); members],
            gone: Vec::new(),
            fault: None,
            seeds: 3,
            longest: 0,
        }
    }

    pub fn all(members: usize, seed: u64) -> World {
        let mut w = World::new(members, seed);
        (0..members).for_each(|n| w.start(n));
        w
    }

    pub fn start(&mut self, n: usize) {
        let zone = Zone::try_from(format!("zone-{}", self.zones[n])).expect("a zone");
        let about = About { address: address(n), zone, kind: Kind::Front };
        let id = MemberId(self.dice.random());
        let seeds = (0..self.seeds.min(self.members.len())).map(address).collect();
        let swim = Swim::new(id, about, seeds, self.dice.random(), self.now);
        #[cfg(feature = "planted")]
        let swim = {
            let mut swim = swim;
            if let Some(fault) = self.fault {
                swim.plant(fault);
            }
            swim
        };
        self.members[n] = Some(swim);
        self.wake(n);
    }

    /// All that run know each other from now on.
    #[cfg(feature = "planted")]
    pub fn all_known(&mut self) {
        let said = |m: &Swim| {
            let (id, own) = (m.id(), m.roster().get(m.id()).expect("itself"));
            Rumour::Alive { id, incarnation: own.incarnation, about: own.about.clone() }
        };
        let all: Vec<Rumour> = self.members.iter().flatten().map(said).collect();
        self.members.iter_mut().flatten().for_each(|m| m.know(&all));
    }

    pub fn kill(&mut self, n: usize) -> MemberId {
        self.members[n].take().expect("it runs").id()
    }

    pub fn leave(&mut self, n: usize) -> MemberId {
        self.put_in(n, Input::Leave);
        self.kill(n)
    }

    pub fn stop(&mut self, n: usize, span: Duration) {
        self.stopped.insert(n, self.now + span);
    }

    pub fn id(&self, n: usize) -> MemberId {
        self.members[n].as_ref().expect("it runs").id()
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.made += 1;
        self.queue.push(Reverse(At(at, self.made, event)));
    }

    fn wake(&mut self, n: usize) {
        let Some(due) = self.members[n].as_ref().map(Swim::next_due) else { return };
        let due = due.max(self.now);
        // An entry that is earlier stands for it as well.
        if due < self.due[n] || self.due[n] < self.now {
            self.due[n] = due;
            self.push(due, Event::Due(n));
        }
    }

    fn put_in(&mut self, n: usize, input: Input) {
        let Some(swim) = &mut self.members[n] else { return };
        for output in swim.handle(self.now, input) {
            match output {
                Output::Send(at, packet) => self.send(n, at, packet),
                Output::Changed(id, Life::Gone) => self.gone.push((self.now, n, id)),
                Output::Changed(..) => {}
            }
        }
        self.wake(n);
    }

    fn send(&mut self, from: usize, at: SocketAddr, packet: Packet) {
        if self.counts {
            let bytes = postcard::to_allocvec(&packet).expect("short").len();
            self.longest = self.longest.max(bytes);
            assert!(bytes <= 1_400, "a packet of {bytes} bytes");
            // The fleet's head, UDP's and IP's.
            self.sent[from].bytes += bytes as u64 + 22 + 28;
            self.sent[from].packets += 1;
        }
        let Some(to) = place(at).filter(|to| *to < self.members.len()) else { return };
        let parted = self.parted && self.zones[from] != self.zones[to];
        if parted || self.cut.contains(&(from, to)) || self.dice.random_range(0..1000) < self.lost {
            return;
        }
        let copies = 1 + usize::from(self.dice.random_range(0..1000) < self.doubled);
        for _ in 0..copies {
            let slow = [from, to].iter().filter_map(|n| self.slow.get(n)).sum::<Duration>();
            let late = Duration::from_micros(self.dice.random_range(100..=100 + self.late * 1000));
            self.push(self.now + late + slow, Event::Packet { to, from, packet: packet.clone() });
        }
    }

    pub fn pass(&mut self, span: Duration) {
        let until = self.now + span;
        while self.queue.peek().is_some_and(|e| e.0.0 <= until) {
            let Some(Reverse(At(at, _, event))) = self.queue.pop() else { break };
            self.now = self.now.max(at);
            let n = match &event {
                Event::Due(n) => *n,
                Event::Packet { to, .. } => *to,
            };
            if let Some(end) = self.stopped.get(&n).copied() {
                if self.now < end {
                    self.push(end, event);
                    continue;
                }
                self.stopped.remove(&n);
            }
            match event {
                Event::Due(n) => {
                    self.due[n] = Duration::MAX;
                    self.put_in(n, Input::Tick);
                }
                Event::Packet { to, from, packet } => self.put_in(to, Input::Heard(address(from), packet)),
            }
        }
        self.now = until;
    }

    /// Whether each that runs believes just those to be there that run.
    pub fn agree(&self) -> bool {
        let all = || self.members.iter().flatten();
        let there: BTreeSet<MemberId> = all().map(Swim::id).collect();
        let Some(first) = all().next().map(Swim::roster) else { return true };
        // One of them against what is so, and all others against that one.
        first.iter().all(|(id, m)| m.life.is_there() == there.contains(&id))
            && all().all(|m| m.roster().there() == there.len() && m.roster().digest() == first.digest())
    }

    /// How long until they agree; none: not within the span.
    pub fn until_agreed(&mut self, within: Duration) -> Option<Duration> {
        self.until(within, World::agree)
    }

    /// How long until something holds; looked at each quarter of a second.
    pub fn until(&mut self, within: Duration, holds: impl Fn(&World) -> bool) -> Option<Duration> {
        let began = self.now;
        while self.now - began <= within {
            if holds(self) {
                return Some(self.now - began);
            }
            self.pass(Duration::from_millis(250));
        }
        None
    }

    /// How many believe that it is there.
    pub fn believers(&self, id: MemberId) -> usize {
        let believes = |m: &&Swim| m.roster().get(id).is_some_and(|m| m.life.is_there());
        self.members.iter().flatten().filter(believes).count()
    }

    pub fn longest_packet(&self) -> usize {
        self.longest
    }
}
