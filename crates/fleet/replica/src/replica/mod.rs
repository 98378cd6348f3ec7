//! A replica: a consensus node, the replicated state, and the clients that wait for it.

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

/// A snapshot is taken when the log after the last one is as large as that snapshot (dissertation, section 5.1.2): each byte is
/// written about twice, and a start reads about twice the state. These bounds, in bytes, limit the rule: a small state is not
/// written every few entries, and a start never replays more of the log than this.
const SNAPSHOT_LOG_BYTES: RangeInclusive<usize> = 256 << 10..=16 << 20;
/// A snapshot is also taken after this many entries, because a start applies each of them, however short it is.
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
    /// Requests that were rejected without asking the consensus node, to be answered with the next outputs.
    rejected: Vec<PendingRequest>,
    /// The term in which this replica is the leader.
    leader_term: Option<Term>,
    now: Duration,
    fault: Option<Fault>,
}

/// Everything that determines the replica's next outputs, except for its random numbers.
impl Hash for Replica {
    fn hash<H: Hasher>(&self, into: &mut H) {
        (&self.raft, &self.state, self.applied_index, self.leader_term, self.now, &self.pending).hash(into);
    }
}

impl Replica {
    /// A replica that starts with this persistent state. `now` is any monotonic clock, with any origin.
    ///
    /// # Errors
    /// The snapshot can not be read.
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

    /// Injects a fault.
    #[cfg(feature = "fault_injection")]
    pub fn inject_fault(&mut self, fault: impl Into<Fault>) {
        let fault = fault.into();
        self.fault = Some(fault);
        self.state.inject_fault(fault);
    }

    /// The status of the consensus node.
    pub fn status(&self) -> Status {
        self.raft.status()
    }

    /// The consensus node.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// The leases as of the last applied entry.
    pub fn leases(&self) -> &Table {
        self.state.leases.table()
    }

    /// The topics as of the last applied entry.
    pub fn topics(&self) -> &Topics {
        self.state.topics.topics()
    }

    /// The quota ledger as of the last applied entry.
    pub fn quotas(&self) -> &beechloft_quotas::Ledger {
        self.state.quotas.ledger()
    }

    /// The placement as of the last applied entry.
    pub fn placements(&self) -> &beechloft_placement::Placements {
        self.state.placement.placements()
    }

    /// The index of the last applied entry.
    pub fn applied_index(&self) -> Index {
        self.applied_index
    }

    /// The maximum age of the state: the time since this replica last had everything that was committed.
    pub fn staleness(&self) -> Duration {
        self.raft.staleness()
    }

    /// Runs the topics' log cleaners for a bounded step. Returns whether there is more to clean. Each replica cleans
    /// independently of the log: the content of topics does not change.
    pub fn clean_topics(&mut self) -> bool {
        self.state.topics.clean()
    }

    /// Whether this replica is the leader and a grant expires by then.
    pub fn expires_by(&self, now: Duration) -> bool {
        self.leader_term.is_some() && self.state.leases.expires_by(now)
    }

    /// When [`ReplicaInput::Tick`](crate::ReplicaInput::Tick) is due next.
    pub fn next_due(&self) -> Duration {
        let of_components = self.state.next_due().filter(|_| self.leader_term.is_some());
        self.raft.next_due().min(of_components.unwrap_or(Duration::MAX))
    }

    fn context(&self) -> ApplyContext {
        ApplyContext { now: self.now, drift: self.drift, is_leader: self.leader_term.is_some() }
    }

    /// Detects whether this replica became the leader, or is no longer the leader.
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

    /// Takes a snapshot if the log has grown enough since the last one.
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

    /// Handles outputs whose preconditions are durable: applies committed entries and answers clients.
    ///
    /// # Errors
    /// A snapshot of the leader can not be read. The replica must stop.
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
