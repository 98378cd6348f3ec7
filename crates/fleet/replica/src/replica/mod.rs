//! A replica, which consists of a consensus node, the replicated state, and the client requests that wait for them.

mod requests;
#[cfg(test)]
mod tests;

use std::hash::{Hash, Hasher};
use std::ops::RangeInclusive;
use std::time::Duration;

use beechloft_consensus::{
    Entry, Index, Input, NodeId, Payload, PendingOutputs, PersistentState, Raft, Ready, RequestError,
    Settings, Snapshot, Status, Term,
};
use beechloft_leases::{DriftBound, Table};
use beechloft_topic::Topics;

use crate::command::Command;
use crate::components::{ApplyContext, PendingRequest, ReplicatedState};
use crate::fault_injection::Fault;
use crate::output::ReplicaOutput;
use crate::pending_requests::PendingRequests;
use crate::snapshot::StateError;

/// Bounds, in bytes, of the log size at which a snapshot is taken.
///
/// Within them, a snapshot is taken when the log since the last snapshot is as large as that snapshot (Ongaro's dissertation,
/// section 5.1.2). Each byte is then written about twice, and a restart reads about twice the size of the state. The lower bound
/// avoids a snapshot every few entries while the state is small. The upper bound limits how much of the log a restart replays.
const SNAPSHOT_LOG_BYTES: RangeInclusive<usize> = 256 << 10..=16 << 20;
/// Number of log entries after which a snapshot is taken whatever their size, because a restart applies each of them.
const SNAPSHOT_LOG_ENTRIES: u64 = 16_384;

/// A replica of the coordinator.
#[derive(Debug, Clone)]
pub struct Replica {
    raft: Raft,
    state: ReplicatedState,
    drift: DriftBound,
    applied_index: Index,
    snapshot_index: Index,
    pending: PendingRequests,
    /// Requests that were rejected before they reached the consensus node. They are answered with the next outputs.
    rejected: Vec<PendingRequest>,
    /// Term in which this replica is the leader, or `None` if it is not the leader.
    leader_term: Option<Term>,
    now: Duration,
    fault: Option<Fault>,
}

/// Hashes everything that determines the replica's next outputs, except for its random numbers.
impl Hash for Replica {
    fn hash<H: Hasher>(&self, into: &mut H) {
        (&self.raft, &self.state, self.applied_index, self.leader_term, self.now, &self.pending).hash(into);
    }
}

impl Replica {
    /// Starts a replica from its persistent state. `now` is the time of a monotonic clock of any origin.
    ///
    /// # Errors
    /// Returns an error if the snapshot cannot be read.
    pub fn new(
        id: NodeId,
        settings: Settings,
        stored: PersistentState,
        drift: DriftBound,
        seed: u64,
        now: Duration,
    ) -> Result<Replica, StateError> {
        let raft = Raft::new(id, settings, stored, seed, now);
        let (snapshot_index, state) = match raft.snapshot() {
            Some(snapshot) => (snapshot.at.index, ReplicatedState::read(&snapshot.state)?),
            None => (Index::default(), ReplicatedState::default()),
        };
        Ok(Replica {
            raft,
            state,
            drift,
            applied_index: snapshot_index,
            snapshot_index,
            pending: PendingRequests::new(),
            rejected: Vec::new(),
            leader_term: None,
            now,
            fault: None,
        })
    }

    /// Injects a fault, in place of an earlier one.
    #[cfg(feature = "fault_injection")]
    pub fn inject_fault(&mut self, fault: impl Into<Fault>) {
        let fault = fault.into();
        self.fault = Some(fault);
        self.state.inject_fault(fault);
    }

    /// Returns the status of the consensus node.
    pub fn status(&self) -> Status {
        self.raft.status()
    }

    /// Returns the consensus node.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// Returns the leases as of the last applied entry.
    pub fn leases(&self) -> &Table {
        self.state.leases.table()
    }

    /// Returns the topics as of the last applied entry.
    pub fn topics(&self) -> &Topics {
        self.state.topics.topics()
    }

    /// Returns the quota ledger as of the last applied entry.
    pub fn quotas(&self) -> &beechloft_quotas::Ledger {
        self.state.quotas.ledger()
    }

    /// Returns the placement as of the last applied entry.
    pub fn placements(&self) -> &beechloft_placement::Placements {
        self.state.placement.placements()
    }

    /// Returns the index of the last applied entry.
    pub fn applied_index(&self) -> Index {
        self.applied_index
    }

    /// Returns the time since this replica last had everything that was committed, which is the maximum age of its state.
    pub fn staleness(&self) -> Duration {
        self.raft.staleness()
    }

    /// Runs the log cleaners of the topics for a bounded step, and returns whether there is more to clean.
    ///
    /// Each replica cleans at its own times, because cleaning does not change the content of topics.
    pub fn clean_topics(&mut self) -> bool {
        self.state.topics.clean()
    }

    /// Returns whether this replica is the leader and a grant expires by `now`.
    pub fn expires_by(&self, now: Duration) -> bool {
        self.leader_term.is_some() && self.state.leases.expires_by(now)
    }

    /// Returns the time at which [`ReplicaInput::Tick`](crate::ReplicaInput::Tick) is due next.
    pub fn next_due(&self) -> Duration {
        let components_due = self.state.next_due().filter(|_| self.leader_term.is_some());
        self.raft.next_due().min(components_due.unwrap_or(Duration::MAX))
    }

    fn context(&self) -> ApplyContext {
        ApplyContext { now: self.now, drift: self.drift, is_leader: self.leader_term.is_some() }
    }

    /// Detects that this replica became the leader of a new term or lost the leadership, and informs the components.
    fn observe_leadership(&mut self) {
        let term = self.raft.is_leader().then(|| self.raft.status().term);
        if term == self.leader_term {
            return;
        }
        self.leader_term = term;
        self.pending.forget_uncommitted();
        self.state.leadership_changed(self.context());
    }

    /// Proposes the commands that are due by the leader's clock.
    fn propose_due_commands(&mut self, out: &mut PendingOutputs) {
        if self.leader_term.is_none() {
            return;
        }
        for (command, pending) in self.state.due_commands(self.now) {
            self.propose(&command, pending, out);
        }
    }

    /// Takes a snapshot if the log since the last one is long or large enough.
    fn compact(&mut self, out: &mut PendingOutputs) {
        let snapshot_bytes = self.raft.snapshot().map_or(0, |snapshot| snapshot.state.size());
        let min_log_bytes = snapshot_bytes.clamp(*SNAPSHOT_LOG_BYTES.start(), *SNAPSHOT_LOG_BYTES.end());
        let is_large = self.raft.log_bytes() >= min_log_bytes;
        let is_long = self.applied_index.0 >= self.snapshot_index.0 + SNAPSHOT_LOG_ENTRIES;
        let has_progress = self.applied_index > self.snapshot_index;
        if (is_large || is_long) && has_progress && self.raft.can_compact() {
            self.snapshot_index = self.applied_index;
            let input = Input::Compact(self.applied_index, self.state.write());
            self.raft.handle(self.now, input, out);
        }
    }

    /// Handles the outputs of the consensus node once their preconditions are durable. Applies committed entries and answers
    /// clients.
    ///
    /// # Errors
    /// Returns an error if a snapshot from the leader cannot be read. The replica must stop then.
    pub fn process_ready(&mut self, now: Duration, ready: Ready) -> Result<Vec<ReplicaOutput>, StateError> {
        self.now = self.now.max(now);
        let Ready { messages, installed_snapshot, committed_entries, proposals, reads, membership: _ } =
            ready;
        let mut out: Vec<ReplicaOutput> = messages.into_iter().map(ReplicaOutput::Peer).collect();
        self.state.drain_notifications(&mut out);
        for pending in std::mem::take(&mut self.rejected) {
            self.state.reject(pending, RequestError::Busy, &mut out);
        }
        if let Some(snapshot) = installed_snapshot {
            self.restore(&snapshot)?;
        }
        for (request, result) in proposals {
            match (self.pending.take(request), result) {
                (Some(pending), Ok(at)) => self.pending.appended(at, pending),
                (Some(pending), Err(error)) => self.state.reject(pending, error, &mut out),
                (None, result) => out.push(ReplicaOutput::Raft(request, result)),
            }
        }
        for entry in committed_entries {
            self.apply(&entry, &mut out);
        }
        for (request, result) in reads {
            match (self.pending.take(request), result) {
                (Some(pending), Ok(())) => self.state.complete_read(pending, &mut out),
                (Some(pending), Err(error)) => self.state.reject(pending, error, &mut out),
                (None, _) => {}
            }
        }
        Ok(out)
    }

    fn restore(&mut self, snapshot: &Snapshot) -> Result<(), StateError> {
        self.state.restore(&snapshot.state, self.fault)?;
        self.applied_index = snapshot.at.index;
        self.snapshot_index = snapshot.at.index;
        Ok(())
    }

    fn apply(&mut self, entry: &Entry, out: &mut Vec<ReplicaOutput>) {
        if entry.at.index <= self.applied_index {
            return;
        }
        self.applied_index = entry.at.index;
        let pending = self.pending.committed(entry.at);
        if let Payload::Command(bytes) = &entry.payload
            && let Some(command) = Command::read(bytes)
        {
            self.state.apply(self.context(), command, pending, out);
        }
    }
}
