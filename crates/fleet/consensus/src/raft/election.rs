//! Pre-votes, votes, and elections after a leadership transfer.

use super::Raft;
use super::role::RoleState;
use crate::fault_injection::Fault;
use crate::ids::{LogPosition, NodeId, Term};
use crate::message::{Message, MessageBody};
use crate::output::PendingOutputs;
use crate::storage::HardState;

impl Raft {
    fn send_to_voters(&self, body: &MessageBody, term: Term, out: &mut PendingOutputs) {
        for to in self.log.membership().voters().filter(|id| *id != self.id) {
            out.ready.messages.push(Message { from: self.id, to, term, body: body.clone() });
        }
    }

    /// Returns whether the node may start an election.
    ///
    /// A node may do so if it is a voter of the latest membership, or of the previous one while the change is not known to be
    /// committed. A restarted process does not know what is committed.
    ///
    /// The second case concerns a leader that removes itself and loses leadership while only its own log contains the change. No
    /// other node can win an election, because this log is the longest and the others need this node's vote (section 4.2.2). The
    /// node does not count its own vote.
    pub(super) fn may_campaign(&self) -> bool {
        let change_index = self.log.membership_index();
        let is_voter = self.log.membership().is_voter(self.id);
        let was_voter = || self.log.membership_at(change_index.previous()).is_voter(self.id);
        is_voter || (change_index > self.commit_index && was_voter())
    }

    /// Asks the voters whether they would vote for this node, so that a node that was partitioned does not return with a higher
    /// term and disrupt the leader (section 9.6).
    pub(super) fn start_pre_vote(&mut self, out: &mut PendingOutputs) {
        self.role = RoleState::PreCandidate { votes: [self.id].into() };
        let request = MessageBody::PreVoteRequest { last_entry: self.log.last() };
        self.send_to_voters(&request, self.next_term(), out);
        self.count_pre_votes(out);
    }

    fn next_term(&self) -> Term {
        Term(self.hard_state.term.0 + 1)
    }

    /// Returns whether a log that ends with this entry is at least as up-to-date as this node's (section 3.6.1).
    fn is_up_to_date(&self, last_entry: LogPosition) -> bool {
        last_entry >= self.log.last() || self.has_fault(Fault::VoteForOutdatedLog)
    }

    pub(super) fn handle_pre_vote_request(
        &mut self,
        from: NodeId,
        term: Term,
        last_entry: LogPosition,
        out: &mut PendingOutputs,
    ) {
        let granted =
            term > self.hard_state.term && self.is_up_to_date(last_entry) && !self.has_recent_leader();
        let response_term = if granted { term } else { self.hard_state.term };
        let body = MessageBody::PreVoteResponse(granted);
        out.ready.messages.push(Message { from: self.id, to: from, term: response_term, body });
    }

    pub(super) fn handle_pre_vote_response(
        &mut self,
        from: NodeId,
        term: Term,
        granted: bool,
        out: &mut PendingOutputs,
    ) {
        let expected_term = self.next_term();
        if let RoleState::PreCandidate { votes } = &mut self.role
            && granted
            && term == expected_term
        {
            votes.insert(from);
            self.count_pre_votes(out);
        }
    }

    fn count_pre_votes(&mut self, out: &mut PendingOutputs) {
        if let RoleState::PreCandidate { votes } = &self.role
            && self.log.membership().has_quorum(|id| votes.contains(&id))
        {
            self.start_election(false, out);
        }
    }

    /// Starts a new term as a candidate and requests votes.
    fn start_election(&mut self, leadership_transfer: bool, out: &mut PendingOutputs) {
        self.hard_state = HardState { term: self.next_term(), vote: Some(self.id) };
        out.update.hard_state = Some(self.hard_state);
        self.role = RoleState::Candidate { votes: [self.id].into() };
        self.reset_election_timer();
        let request = MessageBody::VoteRequest { last_entry: self.log.last(), leadership_transfer };
        self.send_to_voters(&request, self.hard_state.term, out);
        self.count_votes(out);
    }

    pub(super) fn handle_vote_request(
        &mut self,
        from: NodeId,
        last_entry: LogPosition,
        out: &mut PendingOutputs,
    ) {
        let vote = self.hard_state.vote;
        let vote_is_free = vote.is_none_or(|candidate| candidate == from);
        let has_no_leader =
            matches!(self.role, RoleState::Follower { leader: None, .. } | RoleState::PreCandidate { .. });
        let granted = vote_is_free && self.is_up_to_date(last_entry) && (has_no_leader || vote == Some(from));
        if granted {
            if vote.is_none() {
                self.hard_state.vote = Some(from);
                if !self.has_fault(Fault::VoteNotPersisted) {
                    out.update.hard_state = Some(self.hard_state);
                }
            }
            // Gives the candidate time to win the election.
            self.reset_election_timer();
        }
        self.send_message(from, MessageBody::VoteResponse(granted), out);
    }

    pub(super) fn handle_vote_response(&mut self, from: NodeId, granted: bool, out: &mut PendingOutputs) {
        if let RoleState::Candidate { votes } = &mut self.role
            && granted
        {
            votes.insert(from);
            self.count_votes(out);
        }
    }

    fn count_votes(&mut self, out: &mut PendingOutputs) {
        if let RoleState::Candidate { votes } = &self.role
            && self.log.membership().has_quorum(|id| votes.contains(&id))
        {
            self.become_leader(out);
        }
    }

    /// Handles a leadership transfer to this node by starting an election immediately.
    pub(super) fn handle_timeout_now(&mut self, from: NodeId, out: &mut PendingOutputs) {
        let is_from_leader =
            matches!(&self.role, RoleState::Follower { leader, .. } if *leader == Some(from));
        if is_from_leader && self.may_campaign() {
            self.start_election(true, out);
        }
    }
}
