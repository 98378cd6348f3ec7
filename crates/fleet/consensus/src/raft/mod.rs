//! Node of a Raft cluster, with its inputs and its election timer.

mod compaction;
mod dispatch;
mod election;
mod follower;
mod leader;
mod progress;
mod role;
mod status;

use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use role::Role;
pub use status::{FollowerStatus, Status};

use crate::entry::{Entry, Payload, Snapshot};
use crate::error::RequestError;
use crate::fault_injection::Fault;
use crate::ids::{Index, LogPosition, NodeId, RequestId, Term};
use crate::log::Log;
use crate::membership::MembershipChange;
use crate::message::{Message, MessageBody};
use crate::output::PendingOutputs;
use crate::settings::Settings;
use crate::snapshot_data::SnapshotData;
use crate::storage::{HardState, PersistentState};
use role::RoleState;

/// Input of a node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message of another node has arrived.
    Message(Message),
    /// A client proposes a command.
    Propose(RequestId, Arc<[u8]>),
    /// An operator changes the membership.
    ChangeMembership(RequestId, MembershipChange),
    /// A client reads the replicated state and must see everything that was committed before.
    Read(RequestId),
    /// Leadership is to be transferred to the given node.
    TransferLeadership(NodeId),
    /// A snapshot of the replicated state as of an applied entry was taken. [`Raft::can_compact`] returns whether one is useful.
    Compact(Index, SnapshotData),
}

/// Node of a Raft cluster.
#[derive(Debug, Clone)]
pub struct Raft {
    id: NodeId,
    settings: Settings,
    hard_state: HardState,
    log: Log,
    commit_index: Index,
    role: RoleState,
    /// Time at which an election starts, unless the node hears from a leader before.
    election_due: Duration,
    /// Time at which the node last heard from a leader.
    last_leader_contact: Option<Duration>,
    /// Time at which the node last had everything that a leader had committed.
    up_to_date_at: Option<Duration>,
    now: Duration,
    rng: ChaCha8Rng,
    fault: Option<Fault>,
}

/// Hashes everything that determines the next outputs, except for the random numbers.
impl Hash for Raft {
    fn hash<H: Hasher>(&self, into: &mut H) {
        (self.id, self.hard_state, &self.log, self.commit_index, &self.role).hash(into);
        (self.election_due, self.last_leader_contact, self.now).hash(into);
    }
}

impl Raft {
    /// Creates a node from its persistent state. `now` is the time of a monotonic clock with any origin.
    pub fn new(id: NodeId, settings: Settings, stored: PersistentState, seed: u64, now: Duration) -> Raft {
        let hard_state = stored.hard_state;
        let log = Log::restore(stored);
        let commit_index = log.snapshot.as_ref().map(|snapshot| snapshot.at.index).unwrap_or_default();
        let mut raft = Raft {
            id,
            settings,
            hard_state,
            log,
            commit_index,
            role: RoleState::Follower { leader: None, incoming_snapshot: None },
            election_due: now,
            // Treated as contact with a leader. Before the restart the node may have answered a live leader, which relies on it
            // to grant no votes for an election timeout.
            last_leader_contact: Some(now),
            up_to_date_at: None,
            now,
            rng: ChaCha8Rng::seed_from_u64(seed ^ id.0),
            fault: None,
        };
        raft.reset_election_timer();
        raft
    }

    /// Injects a fault.
    #[cfg(feature = "fault_injection")]
    pub fn inject_fault(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn has_fault(&self, fault: Fault) -> bool {
        cfg!(feature = "fault_injection") && self.fault == Some(fault)
    }

    /// Returns the newest snapshot, whose replicated state a new process starts from. Returns `None` if there is none.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.log.snapshot.as_ref()
    }

    /// Returns whether the node is the leader, as far as it knows.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, RoleState::Leader(_))
    }

    /// Returns the log entry at an index. Returns `None` if it is not in the log.
    pub fn entry(&self, index: Index) -> Option<&Entry> {
        self.log.get(index)
    }

    /// Returns the index of the first entry that is still in the log.
    pub fn first_index(&self) -> Index {
        self.log.first_index()
    }

    /// Returns when the next [`Input::Tick`] is due.
    pub fn next_due(&self) -> Duration {
        match &self.role {
            RoleState::Leader(state) => state.heartbeat_due,
            _ => self.election_due,
        }
    }

    /// Handles an input. If `now` is before the time of an earlier input, the earlier input's time is used.
    pub fn handle(&mut self, now: Duration, input: Input, out: &mut PendingOutputs) {
        self.now = self.now.max(now);
        let membership_index = self.log.membership_index();
        match input {
            Input::Tick => self.tick(out),
            Input::Message(message) => self.handle_message(message, out),
            Input::Propose(request, command) => {
                let result = self.propose(command, out);
                out.ready.proposals.push((request, result));
            }
            Input::ChangeMembership(request, change) => {
                let result = self.change_membership(&change, out);
                out.ready.proposals.push((request, result));
            }
            Input::Read(request) => self.start_read(request, out),
            Input::TransferLeadership(target) => self.start_transfer(target, out),
            Input::Compact(index, state) => self.compact(index, state, out),
        }
        if self.log.membership_index() != membership_index {
            out.ready.membership = Some(self.log.membership());
        }
    }

    fn tick(&mut self, out: &mut PendingOutputs) {
        if self.is_leader() {
            self.tick_leader(out);
        } else if self.now >= self.election_due {
            self.reset_election_timer();
            if self.may_campaign() {
                self.start_pre_vote(out);
            }
        }
    }

    /// Restarts the election timer with a random timeout, so that elections rarely coincide (section 3.4).
    fn reset_election_timer(&mut self) {
        let min_us = u64::try_from(self.settings.election_timeout.as_micros()).unwrap_or(u64::MAX);
        let random_us = self.rng.random_range(0..min_us.max(1));
        self.election_due = self.now + Duration::from_micros(min_us + random_us);
    }

    /// Returns whether the node is the leader or has heard from one within the minimum election timeout.
    fn has_recent_leader(&self) -> bool {
        let election_timeout = self.settings.election_timeout;
        self.is_leader() || self.last_leader_contact.is_some_and(|at| self.now < at + election_timeout)
    }

    /// Becomes a follower. If `term` is later than the current term, the node adopts it.
    fn become_follower(&mut self, term: Term, leader: Option<NodeId>, out: &mut PendingOutputs) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            out.update.hard_state = Some(self.hard_state);
        }
        let follower = RoleState::Follower { leader, incoming_snapshot: None };
        let previous = std::mem::replace(&mut self.role, follower);
        if let RoleState::Leader(state) = previous {
            self.up_to_date_at = Some(self.now);
            // The node can no longer confirm that it was the leader when these reads arrived.
            let lost = |read: role::PendingRead| (read.request, Err(RequestError::LeadershipLost));
            out.ready.reads.extend(state.reads.into_iter().map(lost));
        }
        self.reset_election_timer();
    }

    /// Sends a message in the current term.
    fn send_message(&self, to: NodeId, body: MessageBody, out: &mut PendingOutputs) {
        let message = Message { from: self.id, to, term: self.hard_state.term, body };
        let is_premature = match &message.body {
            MessageBody::VoteResponse(true) => self.has_fault(Fault::VoteNotPersisted),
            MessageBody::AppendEntriesResponse { .. } => self.has_fault(Fault::EntriesNotPersisted),
            _ => false,
        };
        if is_premature {
            out.premature_messages.push(message);
        } else {
            out.ready.messages.push(message);
        }
    }

    /// Appends an entry of the current term to the log.
    fn append_entry(&mut self, payload: Payload, out: &mut PendingOutputs) -> LogPosition {
        let at = LogPosition { term: self.hard_state.term, index: self.log.last().index.next() };
        let entry = Entry { at, payload };
        out.update.entries.push(entry.clone());
        self.log.push(entry);
        at
    }

    /// Advances the commit index to `index`, or to the end of the log if it is shorter.
    fn commit_through(&mut self, index: Index, out: &mut PendingOutputs) {
        let through = index.min(self.log.last().index);
        if through <= self.commit_index {
            return;
        }
        let committed = self.log.entries_between(self.commit_index, through).cloned();
        out.ready.committed_entries.extend(committed);
        self.commit_index = through;
    }
}
