//! The state machine of the protocol. The caller passes received packets and the time to it, and sends the packets that it returns.

mod digest_exchange;
mod indirect_probe;
mod join;
mod probe;
mod receive;
mod updates;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::digest_exchange::DigestExchange;
use self::indirect_probe::RelayedProbe;
use self::join::JoinSchedule;
use self::probe::{Probe, ProbeOrder};
use crate::broadcast_queue::BroadcastQueue;
use crate::fault_injection::Fault;
use crate::identity::{Incarnation, MemberId, MemberInfo};
use crate::member_list::{MemberList, MemberState};
use crate::messages::{Message, Packet, Update};
use crate::suspicion::Suspicion;

/// SWIM's protocol period: the time between two probes of a healthy member.
const PERIOD: Duration = Duration::from_secs(1);
/// Maximum local health multiplier (Lifeguard's S). Timeouts are then nine times as long.
const MAX_LOCAL_HEALTH: u32 = 8;
/// Delay of a deadline's handling above which the process is considered to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);
/// Time between two checks of the deadlines of suspicions.
const SUSPICION_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Number of periods between two removals of expired members.
const PERIODS_PER_EXPIRY: u64 = 64;

/// An input of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A packet was received from this address.
    Received(SocketAddr, Packet),
    /// This process is about to exit.
    Leave,
}

/// An output of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Request to send the packet to this address. The packet may be lost.
    Send(SocketAddr, Packet),
    /// Notification that the believed state of a member has changed.
    StateChanged(MemberId, MemberState),
}

/// Counters since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counters {
    /// Number of probes sent.
    pub probes: u64,
    /// Number of probes that were answered neither directly nor indirectly.
    pub failed_probes: u64,
    /// Number of false statements about this member that it refuted.
    pub refutations: u64,
    /// Number of digest exchanges that this member started.
    pub digest_exchanges: u64,
    /// Number of digest exchanges that this member did not answer because of its rate limit.
    pub throttled_exchanges: u64,
    /// Number of invalid updates received.
    pub invalid_updates: u64,
}

/// One member of a fleet.
#[derive(Debug)]
pub struct Swim {
    id: MemberId,
    info: Arc<MemberInfo>,
    incarnation: Incarnation,
    members: MemberList,
    broadcasts: BroadcastQueue,
    suspicions: BTreeMap<MemberId, Suspicion>,
    seeds: Vec<SocketAddr>,
    rng: ChaCha8Rng,
    now: Duration,
    /// Lifeguard's local health multiplier, which is 0 if this member is healthy.
    local_health: u32,
    last_seq: u64,
    probe_order: ProbeOrder,
    periods: u64,
    probe: Option<Probe>,
    next_period_at: Duration,
    next_suspicion_check_at: Duration,
    /// Probes on behalf of others, by the sequence number that this member gave them.
    relayed_probes: BTreeMap<u64, RelayedProbe>,
    join: JoinSchedule,
    exchange: DigestExchange,
    /// Whether this member's list has never matched that of another member.
    is_newcomer: bool,
    /// Whether applied updates are disseminated.
    disseminates: bool,
    has_left: bool,
    counters: Counters,
    fault: Option<Fault>,
}

impl Swim {
    /// Creates a member that knows itself and the addresses of some other members, the seeds.
    ///
    /// Each process draws a new random `id`. `seed` seeds the random number generator. `now` is read from the same clock as the time
    /// of all later inputs.
    pub fn new(id: MemberId, info: MemberInfo, seeds: Vec<SocketAddr>, seed: u64, now: Duration) -> Swim {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ id.0);
        let info = Arc::new(info);
        let mut members = MemberList::default();
        let incarnation = Incarnation::default();
        members.apply(now, &Update::Alive { id, incarnation, info: Arc::clone(&info) });
        let seeds = seeds.into_iter().filter(|address| *address != info.address).collect();
        // A random first period keeps the members of a fleet that starts all at once from probing simultaneously.
        let first_period = Duration::from_micros(rng.random_range(0..micros(PERIOD)));
        Swim {
            id,
            info,
            incarnation,
            members,
            broadcasts: BroadcastQueue::default(),
            suspicions: BTreeMap::new(),
            seeds,
            rng,
            now,
            local_health: 0,
            last_seq: 0,
            probe_order: ProbeOrder::default(),
            periods: 0,
            probe: None,
            next_period_at: now + first_period,
            next_suspicion_check_at: now + SUSPICION_CHECK_INTERVAL,
            relayed_probes: BTreeMap::new(),
            join: JoinSchedule::new(now + first_period / 5),
            exchange: DigestExchange::new(now),
            is_newcomer: true,
            disseminates: true,
            has_left: false,
            counters: Counters::default(),
            fault: None,
        }
    }

    /// Injects a fault for a test.
    #[cfg(feature = "planted")]
    pub fn inject_fault(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn has_fault(&self, fault: Fault) -> bool {
        cfg!(feature = "planted") && self.fault == Some(fault)
    }

    /// Applies updates without disseminating them, as if this member had already known them.
    ///
    /// Simulations of large fleets use it to skip the phase in which all members join.
    #[cfg(feature = "planted")]
    pub fn preload(&mut self, updates: &[Update]) {
        let now = self.now;
        for update in updates.iter().filter(|update| update.member() != self.id) {
            self.members.apply(now, update);
        }
        self.is_newcomer = false;
    }

    /// Returns this member's id.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Returns the known members.
    pub fn members(&self) -> &MemberList {
        &self.members
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the number of updates that are yet to be disseminated.
    pub fn queued_updates(&self) -> usize {
        self.broadcasts.len()
    }

    /// Returns the time at which [`Swim::handle`] must be called next if no packet is received before.
    pub fn next_deadline(&self) -> Duration {
        let indirect_probe = self.probe.as_ref().and_then(|probe| probe.indirect_at);
        let nack = self.relayed_probes.values().map(RelayedProbe::next_deadline).min();
        let suspicion = (!self.suspicions.is_empty()).then_some(self.next_suspicion_check_at);
        let exchange = self.exchange.repeats_at();
        let deadlines = [indirect_probe, nack, suspicion, exchange, Some(self.join.next_at)];
        deadlines.into_iter().flatten().fold(self.next_period_at, Duration::min)
    }

    /// Handles an input and all actions that are due at `now`.
    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let delay = now.saturating_sub(self.next_deadline().max(self.now));
        self.now = self.now.max(now);
        let mut out = Vec::new();
        if self.has_left {
            return out;
        }
        if delay > PAUSE_THRESHOLD && !self.has_fault(Fault::NoPauseDetection) {
            self.recover_from_pause(delay);
        }
        match input {
            Input::Tick => {}
            Input::Received(from, packet) => self.receive(from, packet, &mut out),
            Input::Leave => return self.leave(),
        }
        self.run_due(&mut out);
        out
    }

    /// Discards the current probes and postpones suspicions after a pause of this process.
    ///
    /// A process that was paused or not scheduled must not count that time against other members.
    fn recover_from_pause(&mut self, pause: Duration) {
        self.probe = None;
        self.relayed_probes.clear();
        self.suspicions.values_mut().for_each(|suspicion| suspicion.postpone(pause));
        self.degrade_local_health(1);
    }

    fn degrade_local_health(&mut self, by: u32) {
        self.local_health = (self.local_health + by).min(MAX_LOCAL_HEALTH);
    }

    /// Returns a timeout, multiplied if this member is slow itself.
    fn scaled_by_health(&self, timeout: Duration) -> Duration {
        timeout * (self.local_health + 1)
    }

    /// Returns a random duration between half of `span` and `span`.
    fn jittered(&mut self, span: Duration) -> Duration {
        let max = micros(span);
        Duration::from_micros(self.rng.random_range(max / 2..=max))
    }

    /// Sends a packet with the updates in `first` and further queued updates.
    fn send(
        &mut self,
        address: SocketAddr,
        to: Option<MemberId>,
        message: Message,
        first: Vec<Update>,
        out: &mut Vec<Output>,
    ) {
        let mut updates = first;
        let members = self.members.active_count();
        self.broadcasts.fill(&mut updates, members);
        out.push(Output::Send(address, Packet { from: self.id, to, message, updates }));
    }

    fn next_seq(&mut self) -> u64 {
        self.last_seq += 1;
        self.last_seq
    }

    fn run_due(&mut self, out: &mut Vec<Output>) {
        if self.probe.as_ref().and_then(|probe| probe.indirect_at).is_some_and(|at| self.now >= at) {
            self.request_indirect_probes(out);
        }
        self.send_due_nacks(out);
        if self.now >= self.next_suspicion_check_at {
            self.next_suspicion_check_at = self.now + SUSPICION_CHECK_INTERVAL;
            self.declare_dead_after_timeout(out);
        }
        if self.now >= self.next_period_at {
            self.run_period(out);
        }
        if self.now >= self.join.next_at {
            self.run_join(out);
        }
        self.repeat_exchange_if_due(out);
    }

    fn run_period(&mut self, out: &mut Vec<Output>) {
        if let Some(probe) = self.probe.take().filter(|probe| !probe.is_acked) {
            self.probe_failed(&probe, out);
        }
        self.next_period_at = self.now + self.scaled_by_health(PERIOD);
        self.periods += 1;
        if self.periods.is_multiple_of(PERIODS_PER_EXPIRY) {
            self.members.remove_expired(self.now);
        }
        self.probe_next_member(out);
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
