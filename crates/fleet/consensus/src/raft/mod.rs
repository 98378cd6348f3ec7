//! A node: its state, its inputs, and the timer that starts elections.

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

/// An input of a node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message of another node arrived.
    Message(Message),
    /// A client proposes a command.
    Propose(RequestId, Arc<[u8]>),
    /// An operator changes the membership.
    ChangeMembership(RequestId, MembershipChange),
    /// A client reads the replicated state, and must see everything that was committed before.
    Read(RequestId),
    /// Leadership is to be transferred to this node.
    TransferLeadership(NodeId),
    /// A snapshot of the replicated state as of an applied entry. [`Raft::can_compact`] says whether one is useful now.
    Compact(Index, SnapshotData),
}

/// A node of a Raft cluster.
#[derive(Debug, Clone)]
pub struct Raft {
    id: NodeId,
    settings: Settings,
    hard_state: HardState,
    log: Log,
    commit_index: Index,
    role: RoleState,
    /// When an election starts, unless a leader is heard before.
    election_due: Duration,
    /// When a leader was last heard.
    last_leader_contact: Option<Duration>,
    /// When the node last had everything that a leader had committed.
    up_to_date_at: Option<Duration>,
    now: Duration,
    rng: ChaCha8Rng,
    fault: Option<Fault>,
}

/// Everything that determines the node's next outputs, except for its random numbers.
impl Hash for Raft {
    fn hash<H: Hasher>(&self, into: &mut H) {
        (self.id, self.hard_state, &self.log, self.commit_index, &self.role).hash(into);
        (self.election_due, self.last_leader_contact, self.now).hash(into);
    }
}

impl Raft {
    /// A node that starts with this persistent state. `now` is any monotonic clock, with any origin.
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
            // As if a leader had been heard: before the restart the node may have promised a live leader to grant no votes.
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

    /// The newest snapshot: the replicated state that a new process starts from.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.log.snapshot.as_ref()
    }

    /// Whether the node is the leader, as far as it knows.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, RoleState::Leader(_))
    }

    /// A log entry.
    pub fn entry(&self, index: Index) -> Option<&Entry> {
        self.log.get(index)
    }

    /// The index of the first entry that is still in the log.
    pub fn first_index(&self) -> Index {
        self.log.first_index()
    }

    /// When [`Input::Tick`] is due next.
    pub fn next_due(&self) -> Duration {
        match &self.role {
            RoleState::Leader(state) => state.heartbeat_due,
            _ => self.election_due,
        }
    }

    /// Handles an input. A time before that of an earlier input counts as that earlier time.
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

    /// Draws the next election timeout at random, so that elections rarely coincide (section 3.4).
    fn reset_election_timer(&mut self) {
        let min_us = u64::try_from(self.settings.election_timeout.as_micros()).unwrap_or(u64::MAX);
        let random_us = self.rng.random_range(0..min_us.max(1));
        self.election_due = self.now + Duration::from_micros(min_us + random_us);
    }

    /// Whether a leader was heard so recently that no other one is needed. A leader counts as heard by itself.
    fn has_recent_leader(&self) -> bool {
        let election_timeout = self.settings.election_timeout;
        self.is_leader() || self.last_leader_contact.is_some_and(|at| self.now < at + election_timeout)
    }

    /// Becomes a follower, in a later term perhaps.
    fn become_follower(&mut self, term: Term, leader: Option<NodeId>, out: &mut PendingOutputs) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            out.save.hard_state = Some(self.hard_state);
        }
        let follower = RoleState::Follower { leader, incoming_snapshot: None };
        let previous = std::mem::replace(&mut self.role, follower);
        if let RoleState::Leader(state) = previous {
            self.up_to_date_at = Some(self.now);
            // Nobody may answer reads of the old term any more.
            let lost = |read: role::PendingRead| (read.request, Err(RequestError::LeadershipLost));
            out.ready.reads.extend(state.reads.into_iter().map(lost));
        }
        self.reset_election_timer();
    }

    /// Sends a message in the current term.
    fn send_message(&self, to: NodeId, body: MessageBody, out: &mut PendingOutputs) {
        let message = Message { from: self.id, to, term: self.hard_state.term, body };
        let early = match &message.body {
            MessageBody::VoteResponse(true) => self.has_fault(Fault::VoteUnsaved),
            MessageBody::AppendEntriesResponse { .. } => self.has_fault(Fault::EntriesUnsaved),
            _ => false,
        };
        if early {
            out.early.push(message);
        } else {
            out.ready.messages.push(message);
        }
    }

    /// Appends an entry of the current term to the log.
    fn append_entry(&mut self, payload: Payload, out: &mut PendingOutputs) -> LogPosition {
        let at = LogPosition { term: self.hard_state.term, index: self.log.last().index.next() };
        let entry = Entry { at, payload };
        out.save.entries.push(entry.clone());
        self.log.push(entry);
        at
    }

    /// Advances the commit index, as far as the log goes.
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
