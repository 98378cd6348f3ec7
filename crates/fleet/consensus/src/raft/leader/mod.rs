//! Leader role: heartbeats, replication, commits, reads, membership changes and leadership transfer.

mod proposals;
mod reads;
mod replication;
mod transfer;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::Raft;
use super::progress::Progress;
use super::role::{LeaderState, RoleState};
use crate::entry::Payload;
use crate::fault_injection::Fault;
use crate::ids::{Index, NodeId};
use crate::membership::Membership;
use crate::output::PendingOutputs;

/// A leader steps down after this many election timeouts without contact to a quorum.
const QUORUM_TIMEOUT_FACTOR: u32 = 2;

impl Raft {
    /// Becomes the leader and appends an empty entry, because entries of earlier terms can only be committed together with one of
    /// the leader's own term (section 3.6.2).
    pub(super) fn become_leader(&mut self, out: &mut PendingOutputs) {
        self.role = RoleState::Leader(LeaderState {
            followers: BTreeMap::new(),
            round: 0,
            heartbeat_due: self.now,
            elected_at: self.now,
            reads: VecDeque::new(),
            transfer: None,
        });
        let next_index = self.log.last().index.next();
        self.track_members(next_index);
        self.append_entry(Payload::Noop, out);
        self.send_heartbeats(out);
        self.advance_commit_index(out);
    }

    /// Creates progress records for new members, starting at `next_index`, and removes those of nodes that are not members.
    fn track_members(&mut self, next_index: Index) {
        let membership = self.log.membership();
        let (own_id, now) = (self.id, self.now);
        let RoleState::Leader(state) = &mut self.role else { return };
        state.followers.retain(|id, _| membership.get(*id).is_some());
        for (id, _) in membership.iter().filter(|(id, _)| *id != own_id) {
            state.followers.entry(id).or_insert_with(|| Progress::new(next_index, now));
        }
    }

    /// Returns whether the node has heard from a majority of the voters, itself included, within a duration.
    fn has_contact_with_quorum(&self, state: &LeaderState, within: Duration) -> bool {
        let is_recent =
            |id| state.followers.get(&id).is_some_and(|progress| self.now < progress.last_contact + within);
        self.log.membership().has_quorum(|id| id == self.id || is_recent(id))
    }

    pub(super) fn tick_leader(&mut self, out: &mut PendingOutputs) {
        if self.is_without_quorum() {
            return self.become_follower(self.hard_state.term, None, out);
        }
        let now = self.now;
        let RoleState::Leader(state) = &mut self.role else { return };
        if state.transfer.is_some_and(|transfer| now >= transfer.deadline) {
            state.transfer = None;
        }
        if now >= state.heartbeat_due {
            self.send_heartbeats(out);
        }
    }

    /// Returns whether this leader has had no contact with a quorum for twice the election timeout. Such a leader must not
    /// continue to accept proposals that it cannot commit (section 6.2).
    fn is_without_quorum(&self) -> bool {
        let RoleState::Leader(state) = &self.role else { return false };
        let quorum_timeout = self.settings.election_timeout * QUORUM_TIMEOUT_FACTOR;
        !self.has_contact_with_quorum(state, quorum_timeout) && self.now >= state.elected_at + quorum_timeout
    }

    /// Commits all entries that a majority has, if the last of them is of this term (section 3.6.2). The leader's own log counts,
    /// because it is durable before any output is released.
    fn advance_commit_index(&mut self, out: &mut PendingOutputs) {
        let RoleState::Leader(state) = &self.role else { return };
        let membership = self.log.membership();
        let last_index = self.log.last().index;
        let match_index = |id| {
            let of_follower = || state.followers.get(&id).map_or(Index(0), |progress| progress.match_index);
            if id == self.id { last_index } else { of_follower() }
        };
        let reached = if self.has_fault(Fault::LearnerInQuorum) {
            reached_with_learners(&membership, match_index)
        } else {
            membership.reached_by_quorum(match_index)
        };
        let is_of_term = self.log.term_at(reached) == Some(self.hard_state.term);
        if reached <= self.commit_index || !(is_of_term || self.has_fault(Fault::EarlierTermCommitted)) {
            return;
        }
        self.commit_through(reached, out);
        self.assign_read_indexes();
        self.complete_reads(out);
        self.step_down_if_removed(out);
    }

    /// Steps down if the membership without this leader as a voter is committed. Until then it leads (section 4.2.2).
    fn step_down_if_removed(&mut self, out: &mut PendingOutputs) {
        let is_committed = self.log.membership_index() <= self.commit_index;
        if is_committed && !self.log.membership().is_voter(self.id) {
            self.send_heartbeats(out);
            self.become_follower(self.hard_state.term, None, out);
        }
    }

    /// Returns whether an entry of this term is committed, which means that the commit index is current.
    fn has_committed_in_term(&self) -> bool {
        self.log.term_at(self.commit_index) == Some(self.hard_state.term)
    }
}

/// Returns the index that a quorum would have reached if learners counted. Used only with an injected fault.
fn reached_with_learners(membership: &Membership, match_index: impl Fn(NodeId) -> Index) -> Index {
    let mut indexes: Vec<Index> = membership.iter().map(|(id, _)| match_index(id)).collect();
    indexes.sort_unstable_by(|a, b| b.cmp(a));
    indexes.get(membership.quorum() - 1).copied().unwrap_or_default()
}
