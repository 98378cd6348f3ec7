//! A keeper: a member of the group, with the replicated state and all who wait for it.

use std::time::Duration;

use beechloft_consensus::{
    Index, Input, NodeId, Payload, PendingOutputs, PersistentState, Raft, Ready, RequestError, Settings,
    Status, Term,
};
use beechloft_leases::{DriftBound, Table};
use beechloft_topic::{TopicCommand, Topics};

use crate::asked::{ReplicaInput, ReplicaOutput};
use crate::command::Command;
use crate::parts::{LeasesWait, LimitsWait, Moment, PlacementWait, State, TopicsWait, Waits};
use crate::planted::Fault;
use crate::snapshot::StateError;
use crate::waiting::Waiting;

/// A snapshot is taken when the log past the last one is as long as the state was then (dissertation, section 5.1.2): so the disk
/// is written at most about twice for each byte, and a start reads at most about twice the state. Between these bounds, bytes: a
/// small state is not written for every few entries, and a start never goes through more log than this.
const LOG_BYTES: std::ops::RangeInclusive<usize> = 256 << 10..=16 << 20;
/// ... and after so many entries: those that say little are short, and a start goes through each of them.
const LOG_ENTRIES: u64 = 16_384;

/// A keeper.
#[derive(Debug, Clone)]
pub struct Replica {
    raft: Raft,
    state: State,
    drift: DriftBound,
    applied: Index,
    snapshot_at: Index,
    waiting: Waiting,
    /// What was turned away before the log was asked, to be told with the next outputs.
    turned_away: Vec<Waits>,
    /// The term that it leads in.
    leads_in: Option<Term>,
    now: Duration,
    fault: Option<Fault>,
}

/// All that decides what it does next, but for what is drawn by chance.
impl std::hash::Hash for Replica {
    fn hash<H: std::hash::Hasher>(&self, into: &mut H) {
        (&self.raft, &self.state, self.applied, self.leads_in, self.now, &self.waiting).hash(into);
    }
}

impl Replica {
    /// A keeper as its disk has it.
    ///
    /// # Errors
    /// The snapshot can't be read.
    pub fn new(
        id: NodeId,
        settings: Settings,
        stored: PersistentState,
        drift: DriftBound,
        seed: u64,
        now: Duration,
    ) -> Result<Replica, StateError> {
        let raft = Raft::new(id, settings, stored, seed, now);
        let at = raft.snapshot().map(|s| s.at.index).unwrap_or_default();
        let state = raft.snapshot().map_or(Ok(State::default()), |s| State::read(&s.state))?;
        Ok(Replica {
            raft,
            state,
            drift,
            applied: at,
            snapshot_at: at,
            waiting: Waiting::new(),
            turned_away: Vec::new(),
            leads_in: None,
            now,
            fault: None,
        })
    }

    /// Plants a fault.
    #[cfg(feature = "planted")]
    pub fn inject_fault(&mut self, fault: impl Into<Fault>) {
        let fault = fault.into();
        self.fault = Some(fault);
        self.state.plant(fault);
    }

    /// How its log's machine stands.
    pub fn status(&self) -> Status {
        self.raft.status()
    }

    /// The machine of its log, for checks.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// Its table of leases, which may be behind.
    pub fn leases(&self) -> &Table {
        self.state.leases.table()
    }

    /// Its topics, which may be behind.
    pub fn topics(&self) -> &Topics {
        self.state.topics.topics()
    }

    /// Its ledger of limits, which may be behind.
    pub fn quotas(&self) -> &beechloft_quotas::Ledger {
        self.state.limits.ledger()
    }

    /// Its placement, which may be behind.
    pub fn placements(&self) -> &beechloft_placement::Placements {
        self.state.pinned.placements()
    }

    /// The last entry that is in its state.
    pub fn applied_index(&self) -> Index {
        self.applied
    }

    /// For how long it may not have had all that was committed.
    pub fn staleness(&self) -> Duration {
        self.raft.staleness()
    }

    /// Has the topics' cleaners work, in a bounded step; whether there is more to do. Not for the log: each keeper cleans for
    /// itself, and what it promises stays the same.
    pub fn clean_topics(&mut self) -> bool {
        self.state.topics.clean()
    }

    /// Whether a grant runs out by then, as it has counted.
    pub fn expires_by(&self, now: Duration) -> bool {
        self.leads_in.is_some() && self.state.leases.runs_out_by(now)
    }

    /// When it wants to hear of the time next.
    pub fn next_due(&self) -> Duration {
        let of_parts = self.state.next_due().filter(|_| self.leads_in.is_some());
        self.raft.next_due().min(of_parts.unwrap_or(Duration::MAX))
    }

    fn moment(&self) -> Moment {
        Moment { now: self.now, drift: self.drift, leads: self.leads_in.is_some() }
    }

    /// Takes an input. What comes of it lies in `out`, and goes to [`Replica::released`] once the disk has it.
    pub fn handle(&mut self, now: Duration, asked: ReplicaInput, out: &mut PendingOutputs) {
        self.now = self.now.max(now);
        match asked {
            ReplicaInput::Tick => self.raft.handle(now, Input::Tick, out),
            ReplicaInput::Peer(message) => self.raft.handle(now, Input::Message(message), out),
            ReplicaInput::LeaseRequest(client, request) => {
                let waits = Waits::Leases(LeasesWait::Request(client, request.holder, request.seq));
                let command = Command::Leases(beechloft_leases::Command::Request(request));
                self.propose(&command, waits, out);
            }
            ReplicaInput::ListLeases(client) => self.read(Waits::Leases(LeasesWait::List(client)), out),
            ReplicaInput::WatchLeases(client, name) => {
                let waits = Waits::Leases(LeasesWait::Watch(client));
                if self.state.leases.watch(client, name) {
                    self.read(waits, out);
                } else {
                    self.turned_away.push(waits);
                }
            }
            ReplicaInput::TopicRequest(client, request) => {
                let waits = TopicsWait::Publish(client, request.publisher, request.ask());
                let command = Command::Topics(TopicCommand::Ask(request));
                self.propose(&command, Waits::Topics(waits), out);
            }
            ReplicaInput::DeclareTopic(life, topic, terms) => {
                let command = Command::Topics(TopicCommand::Declare { topic, life, terms });
                self.propose(&command, Waits::Topics(TopicsWait::Nobody), out);
            }
            ReplicaInput::QuotaRequest(client, request) => {
                let waits = Waits::Limits(LimitsWait::Request(client, request.front, request.seq));
                let command = Command::Quotas(beechloft_quotas::Command::Request(request));
                self.propose(&command, waits, out);
            }
            ReplicaInput::PlacementCommand(client, number, command) => {
                let waits = Waits::Placement(PlacementWait::Command(client, number));
                self.propose(&Command::Placement(*command), waits, out);
            }
            ReplicaInput::ReadPlacement(client, number) => {
                self.read(Waits::Placement(PlacementWait::Read(client, number)), out);
            }
            ReplicaInput::ClientDisconnected(client) => self.state.closed(client),
            ReplicaInput::Raft(input) => self.raft.handle(now, input, out),
        }
        self.lead();
        self.due(out);
        self.compact(out);
    }

    fn read(&mut self, waits: Waits, out: &mut PendingOutputs) {
        let ticket = self.waiting.wait(waits);
        self.raft.handle(self.now, Input::Read(ticket), out);
    }

    fn propose(&mut self, command: &Command, waits: Waits, out: &mut PendingOutputs) {
        // Past the bound it is refused here, before the log is asked.
        if self.waiting.is_full() {
            return self.turned_away.push(waits);
        }
        let Some(bytes) = command.write() else { return self.turned_away.push(waits) };
        let ticket = self.waiting.wait(waits);
        self.raft.handle(self.now, Input::Propose(ticket, bytes.into()), out);
    }

    /// Sees whether it has begun to lead, or leads no more.
    fn lead(&mut self) {
        let term = self.raft.is_leader().then(|| self.raft.status().term);
        if term == self.leads_in {
            return;
        }
        self.leads_in = term;
        self.waiting.forget_uncommitted();
        self.state.lead(self.moment());
    }

    /// Has the log say what has become due.
    fn due(&mut self, out: &mut PendingOutputs) {
        if self.leads_in.is_none() {
            return;
        }
        for (command, waits) in self.state.due(self.now) {
            self.propose(&command, waits, out);
        }
    }

    fn compact(&mut self, out: &mut PendingOutputs) {
        let state = self.raft.snapshot().map_or(0, |s| s.state.size());
        let long = self.raft.log_bytes() >= state.clamp(*LOG_BYTES.start(), *LOG_BYTES.end());
        let many = self.applied.0 >= self.snapshot_at.0 + LOG_ENTRIES;
        if (long || many) && self.applied > self.snapshot_at && self.raft.can_compact() {
            self.snapshot_at = self.applied;
            let input = Input::Compact(self.applied, self.state.write());
            self.raft.handle(self.now, input, out);
        }
    }

    /// Takes what the disk has let go: applies what is committed, answers who asked.
    ///
    /// # Errors
    /// Another keeper's snapshot can't be read: this keeper must stop.
    pub fn process_ready(
        &mut self,
        now: Duration,
        released: Ready,
    ) -> Result<Vec<ReplicaOutput>, StateError> {
        self.now = self.now.max(now);
        let Ready { messages, installed_snapshot, committed_entries, proposals, reads, membership: _ } =
            released;
        let mut out: Vec<ReplicaOutput> = messages.into_iter().map(ReplicaOutput::Peer).collect();
        self.state.told(&mut out);
        for waits in std::mem::take(&mut self.turned_away) {
            self.state.refuse(waits, RequestError::Busy, &mut out);
        }
        if let Some(snapshot) = installed_snapshot {
            self.state.restore(&snapshot.state, self.fault)?;
            (self.applied, self.snapshot_at) = (snapshot.at.index, snapshot.at.index);
        }
        for (ticket, taken) in proposals {
            match (self.waiting.take(ticket), taken) {
                (Some(waits), Ok(at)) => self.waiting.taken(at, waits),
                (Some(waits), Err(why)) => self.state.refuse(waits, why, &mut out),
                (None, taken) => out.push(ReplicaOutput::Raft(ticket, taken)),
            }
        }
        for entry in committed_entries {
            if entry.at.index <= self.applied {
                continue;
            }
            self.applied = entry.at.index;
            let waits = self.waiting.committed(entry.at);
            if let Payload::Command(bytes) = &entry.payload
                && let Some(command) = Command::read(bytes)
            {
                let at = self.moment();
                self.state.apply(at, command, waits, &mut out);
            }
        }
        for (ticket, read) in reads {
            match (self.waiting.take(ticket), read) {
                (Some(waits), Ok(())) => self.state.read_for(waits, &mut out),
                (Some(waits), Err(why)) => self.state.refuse(waits, why, &mut out),
                (None, _) => {}
            }
        }
        Ok(out)
    }
}

#[cfg(test)]
mod tests;
