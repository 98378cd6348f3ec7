//! The protocol's state machine. Its caller passes in packets and the time, and sends the packets that come out.

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

/// SWIM's protocol period: from one probe to the next, of a healthy member.
const PERIOD: Duration = Duration::from_secs(1);
/// Maximum local health multiplier: nine times as slow (Lifeguard's S).
const MAX_LOCAL_HEALTH: u32 = 8;
/// A process that handles a deadline later than this was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);
/// How often the deadlines of suspicions are checked.
const SUSPICION_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Periods between two removals of members that are dead for long.
const PERIODS_PER_EXPIRY: u64 = 64;

/// An input of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Only time has passed.
    Tick,
    /// A packet came from this address.
    Received(SocketAddr, Packet),
    /// This process ends soon.
    Leave,
}

/// An output of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// The packet is to be sent to this address. It may be lost.
    Send(SocketAddr, Packet),
    /// A member is in another state than before.
    StateChanged(MemberId, MemberState),
}

/// Counters since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counters {
    /// Probes sent.
    pub probes: u64,
    /// Probes that were not answered, directly or indirectly.
    pub failed_probes: u64,
    /// Statements about this member that it refuted.
    pub refutations: u64,
    /// Digest exchanges that this member started.
    pub digest_exchanges: u64,
    /// Digest exchanges that it did not answer, as there were too many.
    pub throttled_exchanges: u64,
    /// Received updates that are invalid.
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
    /// Lifeguard's local health multiplier: 0 if this member is healthy.
    local_health: u32,
    last_seq: u64,
    probe_order: ProbeOrder,
    periods: u64,
    probe: Option<Probe>,
    next_period_at: Duration,
    next_suspicion_check_at: Duration,
    /// Probes on behalf of others, by their own numbers.
    relayed_probes: BTreeMap<u64, RelayedProbe>,
    join: JoinSchedule,
    exchange: DigestExchange,
    /// It has not known all that another member knows yet.
    is_newcomer: bool,
    /// Whether updates that are applied are disseminated.
    disseminates: bool,
    has_left: bool,
    counters: Counters,
    fault: Option<Fault>,
}

impl Swim {
    /// A member that knows itself and the addresses of some others, the seeds. `id` is drawn anew by each process. `now` belongs
    /// to the clock of all later inputs.
    pub fn new(id: MemberId, info: MemberInfo, seeds: Vec<SocketAddr>, seed: u64, now: Duration) -> Swim {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ id.0);
        let info = Arc::new(info);
        let mut members = MemberList::default();
        let incarnation = Incarnation::default();
        members.apply(now, &Update::Alive { id, incarnation, info: Arc::clone(&info) });
        let seeds = seeds.into_iter().filter(|address| *address != info.address).collect();
        // The members of a fleet that is started at once do not all probe in the same moment.
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

    /// Injects a fault.
    #[cfg(feature = "planted")]
    pub fn inject_fault(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn has_fault(&self, fault: Fault) -> bool {
        cfg!(feature = "planted") && self.fault == Some(fault)
    }

    /// Applies updates without disseminating them, as if this member had known them for long. For simulations of large fleets that
    /// are not about their start.
    #[cfg(feature = "planted")]
    pub fn preload(&mut self, updates: &[Update]) {
        let now = self.now;
        for update in updates.iter().filter(|update| update.member() != self.id) {
            self.members.apply(now, update);
        }
        self.is_newcomer = false;
    }

    /// This member's id.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// The members that it knows.
    pub fn members(&self) -> &MemberList {
        &self.members
    }

    /// Counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Number of updates that are still to be disseminated.
    pub fn queued_updates(&self) -> usize {
        self.broadcasts.len()
    }

    /// When [`Swim::handle`] is to be called next, if no packet comes before.
    pub fn next_deadline(&self) -> Duration {
        let indirect_probe = self.probe.as_ref().and_then(|probe| probe.indirect_at);
        let nack = self.relayed_probes.values().map(RelayedProbe::next_deadline).min();
        let suspicion = (!self.suspicions.is_empty()).then_some(self.next_suspicion_check_at);
        let exchange = self.exchange.repeats_at();
        let deadlines = [indirect_probe, nack, suspicion, exchange, Some(self.join.next_at)];
        deadlines.into_iter().flatten().fold(self.next_period_at, Duration::min)
    }

    /// Handles an input and whatever is due at `now`.
    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let late = now.saturating_sub(self.next_deadline().max(self.now));
        self.now = self.now.max(now);
        let mut out = Vec::new();
        if self.has_left {
            return out;
        }
        if late > PAUSE_THRESHOLD && !self.has_fault(Fault::NoPauseDetection) {
            self.recover_from_pause(late);
        }
        match input {
            Input::Tick => {}
            Input::Received(from, packet) => self.receive(from, packet, &mut out),
            Input::Leave => return self.leave(),
        }
        self.run_due(&mut out);
        out
    }

    /// A process that was paused, or did not get a core, must not count its pause against others: its probes are void, and
    /// suspicions are postponed.
    fn recover_from_pause(&mut self, pause: Duration) {
        self.probe = None;
        self.relayed_probes.clear();
        self.suspicions.values_mut().for_each(|suspicion| suspicion.postpone(pause));
        self.degrade_local_health(1);
    }

    fn degrade_local_health(&mut self, by: u32) {
        self.local_health = (self.local_health + by).min(MAX_LOCAL_HEALTH);
    }

    /// A timeout, multiplied while this member is slow itself.
    fn scaled_by_health(&self, timeout: Duration) -> Duration {
        timeout * (self.local_health + 1)
    }

    /// A random span between half of `span` and all of it.
    fn jittered(&mut self, span: Duration) -> Duration {
        let max = micros(span);
        Duration::from_micros(self.rng.random_range(max / 2..=max))
    }

    /// Sends a packet with `first` and further queued updates.
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
