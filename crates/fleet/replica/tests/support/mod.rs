//! Simulation of replicas and of candidates for a lease in one process, with faults.
//!
//! Each process has a clock of its own rate. The network loses, delays and duplicates messages, and links are cut. Processes
//! crash and pause. The simulation knows true time, so it detects two valid permits at the same time.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::time::Duration;

use beechloft_consensus::{
    Input, Membership, MembershipChange, Message, NodeId, PendingOutputs, PersistentState, RequestId,
    Settings, StateUpdate, Storage,
};
use beechloft_leases::{
    Answer, DriftBound, Fault, HandoffOffer, Holder, HolderId, HolderInput, HolderOutput, LeaderLocator,
    LeaseSpec, Name, Op, Request, Response, Token,
};
use beechloft_replica::{ClientId, Replica, ReplicaInput, ReplicaOutput};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A storage in memory, which survives restarts of the replica.
#[derive(Debug, Clone, Default)]
pub struct MemoryStorage(pub PersistentState);

impl Storage for MemoryStorage {
    type Error = Infallible;

    fn save(&mut self, update: &StateUpdate) -> Result<(), Infallible> {
        self.0.apply(update);
        Ok(())
    }
}

struct ReplicaProcess {
    replica: Replica,
    storage: MemoryStorage,
    rate: f64,
    running: bool,
    incarnation: u32,
    /// True time until which the process is paused. Events for it are delayed until then.
    paused_until: Duration,
}

/// A process that wants the lease.
pub struct Candidate {
    pub holder: Holder,
    pub id: HolderId,
    rate: f64,
    paused_until: Duration,
    locator: LeaderLocator,
    incarnation: u32,
    /// Id and true time of the scheduled event with the next tick. Earlier scheduled ticks have no effect.
    next_tick: (u64, Duration),
    wants_lease: bool,
    last_token: Option<Token>,
}

enum ScheduledEvent {
    Peer(Message),
    LeaseRequest(NodeId, usize, Request),
    LeaseResponse(usize, u32, Response),
    ReplicaTick(NodeId, u32),
    CandidateTick(usize, u64),
    Restart(NodeId),
}

/// A grant or renewal whose response the holder received.
#[derive(Debug, Clone, Copy)]
struct AnsweredRequest {
    token: Token,
    /// True time at which the holder sent the request.
    requested_at: Duration,
}

/// A simulation of replicas and candidates under true time.
pub struct SimulatedFleet {
    replicas: BTreeMap<NodeId, ReplicaProcess>,
    pub candidates: Vec<Candidate>,
    pub now: Duration,
    /// Probabilities of a message's loss, duplication and long delay, and of a replica's crash per input, in thousandths.
    pub loss_per_mille: u32,
    pub duplicate_per_mille: u32,
    pub delay_per_mille: u32,
    pub crash_per_mille: u32,
    /// Senders and receivers between which consensus messages are lost.
    pub cut_links: BTreeSet<(NodeId, NodeId)>,
    /// Candidates and replicas between which requests and responses are lost.
    pub cut_client_links: BTreeSet<(usize, NodeId)>,
    pub rng: ChaCha8Rng,
    drift: DriftBound,
    max_rate_deviation: f64,
    slots: u16,
    ttl_ms: u32,
    settings: Settings,
    fault: Option<Fault>,
    scheduled: BTreeMap<(Duration, u64), ScheduledEvent>,
    last_event_id: u64,
    /// True times at which requests were first sent.
    request_times: BTreeMap<(HolderId, u64), Duration>,
    /// First violation of an invariant.
    pub violation: Option<String>,
    highest_token: Token,
    /// True times at which the response with a grant was first received.
    grant_received_at: BTreeMap<Token, Duration>,
    pub granted: usize,
    pub renewed: usize,
    pub responses_checked: usize,
    /// True time since which no candidate has had a permit.
    unheld_since: Option<Duration>,
    /// Longest time without a permit since the last reset.
    pub max_unheld_time: Duration,
    pub messages_sent: u64,
    /// Candidate that sent a renewal of a lease that it had lost.
    stale_renewer: Option<usize>,
    /// Candidates that had a permit after their last input. All others have none, because only an input creates a permit.
    possible_holders: BTreeSet<usize>,
    /// Whether candidates request leases as instances. Each pair of candidates has the same instance name.
    pub use_instances: bool,
    /// Replica that was lost with its storage, and the new replica that replaces it.
    replacement: Option<(NodeId, NodeId)>,
    next_node_id: u64,
    pub replaced_count: usize,
}

impl SimulatedFleet {
    pub fn new(
        replicas: u64,
        candidates: usize,
        slots: u16,
        seed: u64,
        fault: Option<Fault>,
    ) -> SimulatedFleet {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let ppm = 50_000;
        let members = Membership::of((1..=replicas).map(|id| (NodeId(id), format!("k{id}"))));
        let mut fleet = SimulatedFleet {
            replicas: BTreeMap::new(),
            candidates: Vec::new(),
            now: Duration::from_secs(1),
            loss_per_mille: 0,
            duplicate_per_mille: 0,
            delay_per_mille: 0,
            crash_per_mille: 0,
            cut_links: BTreeSet::new(),
            cut_client_links: BTreeSet::new(),
            drift: DriftBound::ppm(ppm).expect("within bounds"),
            max_rate_deviation: f64::from(ppm) / 1e6,
            slots,
            ttl_ms: 1_000,
            settings: Settings {
                election_timeout: Duration::from_millis(200),
                heartbeat_interval: Duration::from_millis(50),
                ..Settings::default()
            },
            fault,
            scheduled: BTreeMap::new(),
            last_event_id: 0,
            request_times: BTreeMap::new(),
            violation: None,
            highest_token: Token(0),
            grant_received_at: BTreeMap::new(),
            granted: 0,
            renewed: 0,
            responses_checked: 0,
            unheld_since: None,
            max_unheld_time: Duration::ZERO,
            messages_sent: 0,
            stale_renewer: None,
            possible_holders: BTreeSet::new(),
            use_instances: false,
            replacement: None,
            next_node_id: replicas + 1,
            replaced_count: 0,
            rng: ChaCha8Rng::seed_from_u64(rng.random()),
        };
        for id in members.voters() {
            let storage = MemoryStorage(PersistentState::first(members.clone()));
            let rate = fleet.rate();
            let replica = fleet.start_replica(id, &storage, rate);
            let process = ReplicaProcess {
                replica,
                storage,
                rate,
                running: true,
                incarnation: 0,
                paused_until: Duration::ZERO,
            };
            fleet.replicas.insert(id, process);
            fleet.schedule_replica_tick(id);
        }
        for index in 0..candidates {
            let rate = fleet.rate();
            let id = HolderId(1_000 + index as u64);
            let holder = fleet.holder(id);
            fleet.candidates.push(Candidate {
                holder,
                id,
                rate,
                paused_until: Duration::ZERO,
                locator: LeaderLocator::new(replicas as usize, index),
                incarnation: 0,
                next_tick: (0, Duration::MAX),
                wants_lease: false,
                last_token: None,
            });
        }
        fleet
    }

    /// Returns a random clock rate, which is often the slowest or the fastest that the drift bound permits.
    fn rate(&mut self) -> f64 {
        match self.rng.random_range(0..4) {
            0 => 1.0 - self.max_rate_deviation,
            1 => 1.0 + self.max_rate_deviation,
            _ => self.rng.random_range(1.0 - self.max_rate_deviation..1.0 + self.max_rate_deviation),
        }
    }

    fn start_replica(&mut self, id: NodeId, storage: &MemoryStorage, rate: f64) -> Replica {
        let (now, seed) = (self.now.mul_f64(rate), self.rng.random());
        let stored = storage.0.clone();
        #[allow(unused_mut)]
        let mut replica =
            Replica::new(id, self.settings, stored, self.drift, seed, now).expect("a readable snapshot");
        if let Some(fault) = self.fault {
            replica.inject_fault(fault);
        }
        replica
    }

    fn holder(&mut self, id: HolderId) -> Holder {
        let name = Name::try_from("task".to_owned()).expect("a name");
        let spec = LeaseSpec { name, slots: self.slots, ttl_ms: self.ttl_ms };
        #[allow(unused_mut)]
        let mut holder = Holder::new(id, spec, self.drift, self.rng.random());
        if self.use_instances {
            let instance = Name::try_from(format!("instance-{}", id.0 % 1_000 / 2)).expect("a name");
            holder = holder.with_instance(instance);
        }
        if let Some(fault) = self.fault {
            holder.inject(fault);
        }
        holder
    }

    fn schedule(&mut self, after: Duration, event: ScheduledEvent) {
        self.last_event_id += 1;
        self.scheduled.insert((self.now + after, self.last_event_id), event);
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        self.rng.random_range(0..1000) < per_mille
    }

    fn network_delay(&mut self) -> Duration {
        let max_ms = if self.chance(self.delay_per_mille) { 3_000 } else { 10 };
        Duration::from_micros(self.rng.random_range(200..max_ms * 1000))
    }

    fn schedule_replica_tick(&mut self, id: NodeId) {
        let process = &self.replicas[&id];
        let due = process.replica.next_due().div_f64(process.rate).saturating_sub(self.now);
        let incarnation = process.incarnation;
        self.schedule(due + Duration::from_micros(50), ScheduledEvent::ReplicaTick(id, incarnation));
    }

    /// Schedules the next tick of a candidate unless an earlier one is scheduled.
    ///
    /// At most one tick per candidate is valid. Otherwise each tick would schedule another forever, and their number would grow
    /// with each input.
    fn schedule_candidate_tick(&mut self, index: usize) {
        let candidate = &self.candidates[index];
        let Some(due) = candidate.holder.next_due() else { return };
        let at = self.now.max(due.div_f64(candidate.rate)) + Duration::from_micros(50);
        if at < candidate.next_tick.1 {
            let after = at - self.now;
            self.schedule(after, ScheduledEvent::CandidateTick(index, self.last_event_id + 1));
            self.candidates[index].next_tick = (self.last_event_id, at);
        }
    }

    /// Advances true time and handles the events that are due.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.scheduled.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            // A paused process handles the event when it resumes.
            let paused_until = match &event {
                ScheduledEvent::Peer(message) => {
                    self.replicas.get(&message.to).map(|process| process.paused_until)
                }
                ScheduledEvent::LeaseRequest(id, ..) | ScheduledEvent::ReplicaTick(id, _) => {
                    self.replicas.get(id).map(|process| process.paused_until)
                }
                ScheduledEvent::LeaseResponse(index, ..) | ScheduledEvent::CandidateTick(index, _) => {
                    Some(self.candidates[*index].paused_until)
                }
                ScheduledEvent::Restart(_) => None,
            };
            if let Some(until) = paused_until.filter(|until| *until > self.now) {
                self.schedule(until - self.now, event);
                continue;
            }
            match event {
                ScheduledEvent::Peer(message) => {
                    self.handle_at_replica(message.to, ReplicaInput::Peer(message))
                }
                ScheduledEvent::LeaseRequest(id, index, request) => {
                    self.handle_at_replica(id, ReplicaInput::LeaseRequest(ClientId(index as u64), request))
                }
                ScheduledEvent::ReplicaTick(id, incarnation) => {
                    if self
                        .replicas
                        .get(&id)
                        .is_some_and(|process| process.incarnation == incarnation && process.running)
                    {
                        self.handle_at_replica(id, ReplicaInput::Tick);
                        self.schedule_replica_tick(id);
                    }
                }
                ScheduledEvent::LeaseResponse(index, incarnation, response) => {
                    if self.candidates[index].incarnation == incarnation {
                        self.receive_response(index, response);
                    }
                }
                ScheduledEvent::CandidateTick(index, entry) => {
                    if self.candidates[index].next_tick.0 == entry {
                        self.candidates[index].next_tick.1 = Duration::MAX;
                        self.handle_at_candidate(index, HolderInput::Tick);
                    }
                }
                ScheduledEvent::Restart(id) => self.restart_replica(id),
            }
            self.track_unheld_time();
            if self.violation.is_some() {
                return;
            }
        }
        self.now = end;
    }

    fn handle_at_replica(&mut self, id: NodeId, input: ReplicaInput) {
        let crash = self.chance(self.crash_per_mille);
        let Some(process) = self.replicas.get_mut(&id).filter(|process| process.running) else { return };
        let local = self.now.mul_f64(process.rate);
        let mut out = PendingOutputs::default();
        process.replica.handle(local, input, &mut out);
        if crash {
            self.stop_replica(id);
            let after = Duration::from_millis(self.rng.random_range(1..1_500));
            return self.schedule(after, ScheduledEvent::Restart(id));
        }
        let Ok(ready) = out.persist(&mut process.storage);
        let outputs = process.replica.process_ready(local, ready).expect("a readable snapshot");
        for output in outputs {
            match output {
                ReplicaOutput::Peer(message) => {
                    self.messages_sent += 1;
                    if self.cut_links.contains(&(message.from, message.to))
                        || self.chance(self.loss_per_mille)
                    {
                        continue;
                    }
                    for _ in 0..1 + u32::from(self.chance(self.duplicate_per_mille)) {
                        let delay = self.network_delay();
                        self.schedule(delay, ScheduledEvent::Peer(message.clone()));
                    }
                }
                ReplicaOutput::LeaseResponse(client, response) => {
                    let index = client.0 as usize;
                    if self.cut_client_links.contains(&(index, id)) || self.chance(self.loss_per_mille) {
                        continue;
                    }
                    let (delay, incarnation) = (self.network_delay(), self.candidates[index].incarnation);
                    self.schedule(delay, ScheduledEvent::LeaseResponse(index, incarnation, response));
                }
                ReplicaOutput::Leases(..)
                | ReplicaOutput::LeaseEvent(_)
                | ReplicaOutput::WatchEvent(..)
                | ReplicaOutput::WatchEnded(_)
                | ReplicaOutput::TopicResponse(..)
                | ReplicaOutput::TopicRequestRejected(..)
                | ReplicaOutput::TopicEvent(_)
                | ReplicaOutput::PlacementResponse(..)
                | ReplicaOutput::PlacementRejected(..)
                | ReplicaOutput::PlacementEvent(_)
                | ReplicaOutput::QuotaResponse(..)
                | ReplicaOutput::QuotaEvent(_)
                | ReplicaOutput::Raft(..) => {}
            }
        }
    }

    pub fn stop_replica(&mut self, id: NodeId) {
        if let Some(process) = self.replicas.get_mut(&id) {
            process.running = false;
            process.incarnation += 1;
        }
    }

    pub fn restart_replica(&mut self, id: NodeId) {
        let Some(process) = self.replicas.get(&id).filter(|process| !process.running) else { return };
        let (storage, rate) = (process.storage.clone(), process.rate);
        let replica = self.start_replica(id, &storage, rate);
        let process = self.replicas.get_mut(&id).expect("the replica exists");
        (process.replica, process.running) = (replica, true);
        self.schedule_replica_tick(id);
    }

    /// Loses a replica with its storage, and starts a new one with empty storage.
    ///
    /// Has no effect during another replacement, because a second loss could leave the cluster without a quorum.
    pub fn lose_replica(&mut self, id: NodeId) {
        if self.replacement.is_some() || self.replicas.remove(&id).is_none() {
            return;
        }
        let new = NodeId(self.next_node_id);
        self.next_node_id += 1;
        let (storage, rate) = (MemoryStorage::default(), self.rate());
        let replica = self.start_replica(new, &storage, rate);
        let process = ReplicaProcess {
            replica,
            storage,
            rate,
            running: true,
            incarnation: 0,
            paused_until: Duration::ZERO,
        };
        self.replicas.insert(new, process);
        self.schedule_replica_tick(new);
        self.replacement = Some((id, new));
    }

    /// Takes the operator's next step of a replacement at the leader.
    ///
    /// The steps remove the lost replica, add the new one as a learner, and promote it to a voter.
    pub fn continue_replacement(&mut self) {
        let (Some((old, new)), Some(leader)) = (self.replacement, self.leader()) else { return };
        let Some(process) = self.replicas.get(&leader).filter(|process| process.paused_until <= self.now)
        else {
            return;
        };
        let members = process.replica.status().members;
        let change = if members.get(old).is_some() {
            MembershipChange::Remove(old)
        } else {
            match members.get(new) {
                None => MembershipChange::AddLearner(new, format!("k{}", new.0)),
                Some(member) if !member.voter => MembershipChange::Promote(new),
                Some(_) => {
                    self.replaced_count += 1;
                    self.replacement = None;
                    return;
                }
            }
        };
        self.handle_at_replica(
            leader,
            ReplicaInput::Raft(Input::ChangeMembership(RequestId(self.last_event_id), change)),
        );
    }

    /// Pauses a replica's process.
    pub fn pause_replica(&mut self, id: NodeId, span: Duration) {
        let until = self.now + span;
        self.replicas.entry(id).and_modify(|process| process.paused_until = until);
    }

    /// Pauses a candidate's process.
    pub fn pause(&mut self, index: usize, span: Duration) {
        self.candidates[index].paused_until = self.now + span;
    }

    /// Returns the time of a candidate's clock, or `None` while the candidate is paused.
    pub fn clock(&self, index: usize) -> Option<Duration> {
        let candidate = &self.candidates[index];
        (candidate.paused_until <= self.now).then(|| self.now.mul_f64(candidate.rate))
    }

    /// Kills a candidate's process and starts another in its place.
    pub fn kill(&mut self, index: usize) {
        let id = HolderId(self.candidates[index].id.0 + 1_000);
        let holder = self.holder(id);
        self.possible_holders.remove(&index);
        let candidate = &mut self.candidates[index];
        (candidate.holder, candidate.id, candidate.last_token) = (holder, id, None);
        candidate.incarnation += 1;
        if candidate.wants_lease {
            self.acquire(index);
        }
    }

    /// Sends a renewal of a lease that the candidate has lost, which a correct holder never does.
    ///
    /// Kills the previous candidate that did so.
    pub fn renew_lost_lease(&mut self, index: usize) {
        self.kill_stale_renewer();
        if self.holders().contains(&index) {
            return;
        }
        if let Some(token) = self.candidates[index].last_token.take() {
            let name = Name::try_from("task".to_owned()).expect("a name");
            let holder = self.candidates[index].id;
            self.stale_renewer = Some(index);
            self.send(index, Request { holder, seq: u64::MAX / 2, op: Op::Renew { name, token } });
        }
    }

    fn kill_stale_renewer(&mut self) {
        if let Some(index) = self.stale_renewer.take() {
            self.kill(index);
        }
    }

    pub fn acquire(&mut self, index: usize) {
        self.candidates[index].wants_lease = true;
        self.handle_at_candidate(index, HolderInput::Acquire);
    }

    /// Gives all candidates instance names. None may have sent a request yet.
    pub fn assign_instances(&mut self) {
        self.use_instances = true;
        for index in 0..self.candidates.len() {
            let holder = self.holder(self.candidates[index].id);
            self.candidates[index].holder = holder;
        }
    }

    /// Hands the slot of a candidate off to the next process of the same instance.
    pub fn hand_off(&mut self, index: usize, handoff: HandoffOffer) {
        self.candidates[index].wants_lease = false;
        self.handle_at_candidate(index, HolderInput::HandOff(handoff));
    }

    /// Kills a candidate's process and starts another that requests the lease.
    pub fn restart_candidate(&mut self, index: usize) {
        self.candidates[index].wants_lease = true;
        self.kill(index);
    }

    pub fn release(&mut self, index: usize) {
        self.candidates[index].wants_lease = false;
        self.handle_at_candidate(index, HolderInput::Release);
    }

    pub fn leader(&self) -> Option<NodeId> {
        let leads = |process: &&ReplicaProcess| process.running && process.replica.raft().is_leader();
        self.replicas
            .values()
            .filter(leads)
            .map(|process| process.replica.status())
            .max_by_key(|status| status.term)
            .map(|status| status.id)
    }

    pub fn replica_ids(&self) -> Vec<NodeId> {
        self.replicas.keys().copied().collect()
    }

    fn receive_response(&mut self, index: usize, response: Response) {
        if let Response::NotLeader(leader) = &response {
            let ids = self.replica_ids();
            let at = leader.and_then(|leader| ids.iter().position(|id| id.0 == leader.0));
            self.candidates[index].locator.on_not_leader(at);
        } else {
            self.candidates[index].locator.on_response();
        }
        if let Response::Answer { holder, seq, answer } = response {
            // Responses to requests of a process that was killed since are ignored.
            let requested_at = self.request_times.get(&(holder, seq)).copied().unwrap_or_default();
            match answer {
                _ if holder != self.candidates[index].id => {}
                Answer::Granted(token, _) => {
                    self.check_history(AnsweredRequest { token, requested_at }, true)
                }
                Answer::HeldByInstance(token, ..) => {
                    self.check_history(AnsweredRequest { token, requested_at }, false)
                }
                Answer::Renewed(token, _) => {
                    self.check_history(AnsweredRequest { token, requested_at }, false)
                }
                _ => {}
            }
        }
        self.handle_at_candidate(index, HolderInput::Response(response));
    }

    /// Checks a response against the history that holders observed, for a task with one slot.
    ///
    /// A request that was sent after a holder received a grant with a higher token must not be granted or renewed, because its
    /// lease had ended by then.
    fn check_history(&mut self, request: AnsweredRequest, granted: bool) {
        self.responses_checked += 1;
        if self.slots == 1
            && let Some((token, received_at)) = self
                .grant_received_at
                .range(Token(request.token.0 + 1)..)
                .find(|(_, received_at)| **received_at < request.requested_at)
        {
            let action = if granted { "granted" } else { "renewed" };
            let why = format!(
                "{:?} is {action} on a request of {:?}, after the grant of {token:?} was received at {received_at:?}",
                request.token, request.requested_at
            );
            self.violation.get_or_insert(why);
        }
        if granted {
            self.grant_received_at.entry(request.token).or_insert(self.now);
        }
    }

    fn handle_at_candidate(&mut self, index: usize, input: HolderInput) {
        if self.candidates[index].paused_until > self.now {
            return;
        }
        let local = self.now.mul_f64(self.candidates[index].rate);
        let outputs = self.candidates[index].holder.handle(local, input);
        if self.candidates[index].holder.permit(local).is_some() {
            self.possible_holders.insert(index);
        } else {
            self.possible_holders.remove(&index);
        }
        for output in outputs {
            match output {
                HolderOutput::Send(request) => self.send(index, request),
                HolderOutput::Acquired(token) => {
                    self.granted += 1;
                    self.candidates[index].last_token = Some(token);
                    if token <= self.highest_token && self.slots == 1 {
                        let why = format!("{token:?} is granted after {:?}", self.highest_token);
                        self.violation.get_or_insert(why);
                    }
                    self.highest_token = self.highest_token.max(token);
                    self.check_exclusivity(index);
                }
                HolderOutput::Lost(_) => {}
                HolderOutput::Rejected(why) => panic!("unexpected rejection: {why}"),
            }
        }
        self.schedule_candidate_tick(index);
    }

    fn send(&mut self, index: usize, request: Request) {
        let ids = self.replica_ids();
        let id = self.candidates[index].id;
        self.request_times.entry((id, request.seq)).or_insert(self.now);
        if matches!(request.op, Op::Renew { .. }) {
            self.renewed += 1;
        }
        let to = ids[self.candidates[index].locator.next_target()];
        if self.cut_client_links.contains(&(index, to)) || self.chance(self.loss_per_mille) {
            return;
        }
        for _ in 0..1 + u32::from(self.chance(self.duplicate_per_mille)) {
            let delay = self.network_delay();
            self.schedule(delay, ScheduledEvent::LeaseRequest(to, index, request.clone()));
        }
    }

    /// Returns the candidates with a valid permit. Includes paused candidates, because they may resume at any moment.
    pub fn holders(&self) -> Vec<usize> {
        self.possible_holders.iter().copied().filter(|index| self.has_permit(*index)).collect()
    }

    fn has_permit(&self, index: usize) -> bool {
        let candidate = &self.candidates[index];
        candidate.holder.permit(self.now.mul_f64(candidate.rate)).is_some()
    }

    /// Records a violation if more candidates than slots have a valid permit.
    fn check_exclusivity(&mut self, newest: usize) {
        let holders = self.holders();
        if holders.len() > usize::from(self.slots) {
            self.violation.get_or_insert(format!(
                "{holders:?} hold permits at once at {:?}, {newest} the newest",
                self.now
            ));
        }
    }

    fn track_unheld_time(&mut self) {
        if !self.possible_holders.iter().any(|index| self.has_permit(*index)) {
            let since = *self.unheld_since.get_or_insert(self.now);
            self.max_unheld_time = self.max_unheld_time.max(self.now - since);
        } else {
            self.unheld_since = None;
        }
    }

    pub fn reset_max_unheld_time(&mut self) {
        self.max_unheld_time = Duration::ZERO;
        self.unheld_since = None;
    }

    /// Ends all faults and restarts all replicas.
    pub fn heal(&mut self) {
        self.kill_stale_renewer();
        (self.loss_per_mille, self.duplicate_per_mille, self.delay_per_mille, self.crash_per_mille) =
            (0, 0, 0, 0);
        self.cut_links.clear();
        self.cut_client_links.clear();
        let down: Vec<NodeId> =
            self.replicas.iter().filter(|(_, process)| !process.running).map(|(id, _)| *id).collect();
        down.into_iter().for_each(|id| self.restart_replica(id));
    }
}
