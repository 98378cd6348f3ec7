//! A member: its state, its inputs, and what it does with time and messages.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fault_injection::Fault;
use crate::log::{Log, PersistentState};
use crate::membership::{Membership, MembershipChange};
use crate::message::{Message, MessageBody};
use crate::outputs::{HardState, PendingOutputs};
use crate::progress::{Flow, Progress};
use crate::rope::SnapshotData;
use crate::types::{
    Entry, Index, LogPosition, NodeId, Payload, RequestError, RequestId, Settings, Snapshot, Term,
};

/// What a member hears.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Input {
    /// Only time has passed.
    Tick,
    /// A word of another member.
    Message(Message),
    /// A command for the log.
    Propose(RequestId, std::sync::Arc<[u8]>),
    /// A change of members.
    ChangeMembership(RequestId, MembershipChange),
    /// A read of the replicated state that must see all that was committed before it.
    Read(RequestId),
    /// The lead is to go to this member.
    TransferLeadership(NodeId),
    /// The replicated state up to a place that was applied. Whether one is wanted is said by [`Raft::can_compact`].
    Compact(Index, SnapshotData),
}

/// A read that waits for a quorum to hear of a round.
#[derive(Debug, Clone, Hash)]
pub(crate) struct WaitingRead {
    pub ticket: RequestId,
    pub round: u64,
    /// What must be applied before it is answered; none: the leader has committed nothing in its term yet.
    pub index: Option<Index>,
}

/// What a leader holds.
#[derive(Debug, Clone, Hash)]
pub(crate) struct Leading {
    pub others: BTreeMap<NodeId, Progress>,
    pub round: u64,
    pub beat_at: Duration,
    pub since: Duration,
    pub reads: VecDeque<WaitingRead>,
    /// To whom the lead goes, and until when that is tried.
    pub heir: Option<(NodeId, Duration)>,
}

/// A snapshot that comes in parts.
#[derive(Debug, Clone, Hash)]
pub(crate) struct Incoming {
    pub at: LogPosition,
    pub state: Vec<u8>,
}

/// What a member is to its term.
#[derive(Debug, Clone, Hash)]
pub(crate) enum RoleState {
    /// It follows, and knows whom or not.
    Follower { leader: Option<NodeId>, incoming: Option<Incoming> },
    /// It asks who would vote for it.
    PreCandidate { yes: BTreeSet<NodeId> },
    /// It asks for votes.
    Candidate { yes: BTreeSet<NodeId> },
    /// It leads.
    Leader(Leading),
}

/// A role's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Follows.
    Follower,
    /// Asks who would vote for it.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// How a member stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Its id.
    pub id: NodeId,
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// Whom it follows.
    pub leader: Option<NodeId>,
    /// Its last entry.
    pub last: LogPosition,
    /// Committed, as far as it knows.
    pub commit: Index,
    /// The members, the newest in its log.
    pub members: Membership,
    /// For a leader: how far each other member's log matches, and when it was last heard.
    pub others: Vec<(NodeId, Index, Duration)>,
}

/// A member.
#[derive(Debug, Clone)]
pub struct Raft {
    pub(crate) id: NodeId,
    pub(crate) settings: Settings,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) commit: Index,
    pub(crate) role: RoleState,
    /// When it asks for votes, if it hears no leader before.
    pub(crate) asks_at: Duration,
    /// When it last heard a leader.
    pub(crate) heard_leader: Option<Duration>,
    /// When it last had all that a leader told it was committed.
    pub(crate) current: Option<Duration>,
    pub(crate) now: Duration,
    rng: ChaCha8Rng,
    fault: Option<Fault>,
}

/// All that decides what it does next, but for what is drawn by chance: two members that are alike here do the same.
impl std::hash::Hash for Raft {
    fn hash<H: std::hash::Hasher>(&self, into: &mut H) {
        (self.id, self.hard_state, &self.log, self.commit, &self.role).hash(into);
        (self.asks_at, self.heard_leader, self.now).hash(into);
    }
}

impl Raft {
    /// A member as its disk has it. `now` is any clock that never goes back; it may begin anywhere.
    pub fn new(id: NodeId, settings: Settings, stored: PersistentState, seed: u64, now: Duration) -> Raft {
        let hard_state = stored.hard_state;
        let log = Log::restore(stored);
        let commit = log.snapshot.as_ref().map(|s| s.at.index).unwrap_or_default();
        let mut raft = Raft {
            id,
            settings,
            hard_state,
            log,
            commit,
            role: RoleState::Follower { leader: None, incoming: None },
            asks_at: now,
            // A vote it cannot remember refusing would be given twice to leaders that live: it waits as if it had heard one.
            heard_leader: Some(now),
            current: None,
            now,
            rng: ChaCha8Rng::seed_from_u64(seed ^ id.0),
            fault: None,
        };
        raft.wait_anew();
        raft
    }

    /// Plants a fault.
    #[cfg(feature = "planted")]
    pub fn inject_fault(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    pub(crate) fn has_fault(&self, fault: Fault) -> bool {
        cfg!(feature = "planted") && self.fault == Some(fault)
    }

    /// The state that a new process has to begin with: its snapshot, if there is one.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.log.snapshot.as_ref()
    }

    /// How it stands.
    pub fn status(&self) -> Status {
        let (role, leader) = match &self.role {
            RoleState::Follower { leader, .. } => (Role::Follower, *leader),
            RoleState::PreCandidate { .. } => (Role::PreCandidate, None),
            RoleState::Candidate { .. } => (Role::Candidate, None),
            RoleState::Leader(_) => (Role::Leader, Some(self.id)),
        };
        let others = match &self.role {
            RoleState::Leader(l) => l.others.iter().map(|(id, p)| (*id, p.matched, p.heard)).collect(),
            _ => Vec::new(),
        };
        Status {
            id: self.id,
            role,
            term: self.hard_state.term,
            leader,
            last: self.log.last(),
            commit: self.commit,
            members: self.log.members().1,
            others,
        }
    }

    /// Whether it leads, as far as it knows.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, RoleState::Leader(_))
    }

    /// An entry of its log, for checks.
    pub fn entry(&self, index: Index) -> Option<&Entry> {
        self.log.get(index)
    }

    /// The first place of its log that it still has.
    pub fn first(&self) -> Index {
        self.log.first()
    }

    /// When it wants to hear of the time next.
    pub fn next_due(&self) -> Duration {
        match &self.role {
            RoleState::Leader(l) => l.beat_at,
            _ => self.asks_at,
        }
    }

    /// Takes an input. `now` may stand still but never go back; one that does counts as standing still.
    pub fn handle(&mut self, now: Duration, input: Input, out: &mut PendingOutputs) {
        self.now = self.now.max(now);
        let members = self.log.members().0;
        match input {
            Input::Tick => self.tick(out),
            Input::Message(message) => self.message(message, out),
            Input::Propose(ticket, command) => {
                let taken = self.propose(command, out);
                out.ready.proposals.push((ticket, taken));
            }
            Input::ChangeMembership(ticket, change) => {
                let taken = self.change(&change, out);
                out.ready.proposals.push((ticket, taken));
            }
            Input::Read(ticket) => self.read(ticket, out),
            Input::TransferLeadership(to) => self.hand_over(to, out),
            Input::Compact(index, state) => self.compact(index, state, out),
        }
        let (place, now_members) = self.log.members();
        if place != members {
            out.ready.membership = Some(now_members);
        }
    }

    fn tick(&mut self, out: &mut PendingOutputs) {
        if self.is_leader() {
            self.lead_on(out);
        } else if self.now >= self.asks_at {
            self.wait_anew();
            if self.may_stand() {
                self.pre_vote(out);
            }
        }
    }

    /// Draws when it asks for votes next. By chance, so that few ask together.
    pub(crate) fn wait_anew(&mut self) {
        let least = self.settings.election_timeout.as_micros() as u64;
        let by_chance = self.rng.random_range(0..least.max(1));
        self.asks_at = self.now + Duration::from_micros(least + by_chance);
    }

    fn message(&mut self, message: Message, out: &mut PendingOutputs) {
        if message.to != self.id || message.from == self.id {
            return;
        }
        let Message { from, term, body, .. } = message;
        if term > self.hard_state.term && !self.newer(from, term, &body, out) {
            return;
        }
        if term < self.hard_state.term {
            return self.older(from, &body, out);
        }
        match body {
            MessageBody::PreVoteRequest { last } => self.pre_voted_for(from, term, last, out),
            MessageBody::PreVoteResponse(yes) => self.pre_vote_came(from, term, yes, out),
            MessageBody::VoteRequest { last, .. } => self.voted_for(from, last, out),
            MessageBody::VoteResponse(yes) => self.vote_came(from, yes, out),
            MessageBody::AppendEntries { prev, entries, commit, round } => {
                self.appended(from, prev, entries, commit, round, out);
            }
            MessageBody::InstallSnapshot { at, members, offset, part, last, round } => {
                self.installed(from, at, members, (offset, &part, last), round, out);
            }
            MessageBody::AppendEntriesResponse { verdict, round } => {
                self.appended_there(from, verdict, round, out)
            }
            MessageBody::InstallSnapshotResponse { at, offset, round } => {
                self.installing_there(from, at, offset, round, out)
            }
            MessageBody::TimeoutNow => self.take_over(from, out),
        }
    }

    /// A later term: whether the message is still to be looked at.
    fn newer(&mut self, from: NodeId, term: Term, body: &MessageBody, out: &mut PendingOutputs) -> bool {
        match body {
            // These speak of a term that has not begun.
            MessageBody::PreVoteRequest { .. } | MessageBody::PreVoteResponse(true) => true,
            // A leader is heard: who asks is cut off from it or was removed, and must not unseat it (section 4.2.3).
            MessageBody::VoteRequest { leadership_transfer: false, .. } if self.hears_a_leader() => false,
            _ => {
                let leads =
                    matches!(body, MessageBody::AppendEntries { .. } | MessageBody::InstallSnapshot { .. });
                self.follow(term, leads.then_some(from), out);
                true
            }
        }
    }

    /// An earlier term. Who speaks in it is told the term, lest it go on for ever.
    fn older(&mut self, from: NodeId, body: &MessageBody, out: &mut PendingOutputs) {
        match body {
            MessageBody::AppendEntries { round, .. } | MessageBody::InstallSnapshot { round, .. } => {
                let verdict = crate::message::AppendResult::Conflict(self.log.last().index);
                self.say(from, MessageBody::AppendEntriesResponse { verdict, round: *round }, out);
            }
            MessageBody::PreVoteRequest { .. } => self.say(from, MessageBody::PreVoteResponse(false), out),
            MessageBody::VoteRequest { .. } => self.say(from, MessageBody::VoteResponse(false), out),
            _ => {}
        }
    }

    /// Whether a leader was heard so lately that another can't be wanted. A leader hears itself.
    pub(crate) fn hears_a_leader(&self) -> bool {
        self.is_leader() || self.heard_leader.is_some_and(|t| self.now < t + self.settings.election_timeout)
    }

    /// Follows from now on.
    pub(crate) fn follow(&mut self, term: Term, leader: Option<NodeId>, out: &mut PendingOutputs) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            out.save.hard_state = Some(self.hard_state);
        }
        let before = std::mem::replace(&mut self.role, RoleState::Follower { leader, incoming: None });
        if let RoleState::Leader(l) = before {
            self.current = Some(self.now);
            // Nobody may answer reads in its name any more.
            out.ready
                .reads
                .extend(l.reads.into_iter().map(|r| (r.ticket, Err(RequestError::LeadershipLost))));
        }
        self.wait_anew();
    }

    pub(crate) fn say(&self, to: NodeId, body: MessageBody, out: &mut PendingOutputs) {
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

    pub(crate) fn append(&mut self, payload: Payload, out: &mut PendingOutputs) -> LogPosition {
        let at = LogPosition { term: self.hard_state.term, index: self.log.last().index.next() };
        let entry = Entry { at, payload };
        out.save.entries.push(entry.clone());
        self.log.push(entry);
        at
    }

    /// Commits up to a place, as far as the log goes.
    pub(crate) fn commit_to(&mut self, index: Index, out: &mut PendingOutputs) {
        let to = index.min(self.log.last().index);
        if to <= self.commit {
            return;
        }
        out.ready.committed_entries.extend(self.log.between(self.commit, to).cloned());
        self.commit = to;
    }

    /// Bytes of its log past its newest snapshot.
    pub fn log_bytes(&self) -> usize {
        self.log.bytes_after(self.log.snapshot.as_ref().map_or(Index(0), |s| s.at.index))
    }

    /// Whether a snapshot may be taken now. Not while a leader sends one to a member, for as long as it can put up with it: that
    /// member would have to begin anew.
    pub fn can_compact(&self) -> bool {
        let sends = match &self.role {
            RoleState::Leader(l) => l.others.values().any(|p| matches!(p.flow, Flow::Snapshot { .. })),
            _ => false,
        };
        !sends || self.log_bytes() > self.settings.max_log_bytes_during_transfer
    }

    fn compact(&mut self, index: Index, state: SnapshotData, out: &mut PendingOutputs) {
        let newer = self.log.snapshot.as_ref().is_none_or(|s| s.at.index < index);
        let (true, true, Some(term)) = (newer, index <= self.commit, self.log.term_at(index)) else { return };
        let at = LogPosition { term, index };
        let snapshot = Snapshot { at, members: self.log.members_at(index), state };
        out.save.snapshot = Some(snapshot.clone());
        out.save.compact_through = Some(self.log.compact(
            snapshot,
            self.settings.retained_entries,
            self.settings.max_retained_bytes,
        ));
    }
}
