//! Pre-votes, votes, and the lead handed over.

use crate::fault_injection::Fault;
use crate::message::MessageBody;
use crate::outputs::{HardState, PendingOutputs};
use crate::raft::{Raft, RoleState};
use crate::types::{LogPosition, NodeId, Term};

impl Raft {
    fn ask_all(&self, body: &MessageBody, term: Term, out: &mut PendingOutputs) {
        for to in self.log.members().1.voters().filter(|id| *id != self.id) {
            let message = crate::message::Message { from: self.id, to, term, body: body.clone() };
            out.ready.messages.push(message);
        }
    }

    /// Whether it asks for votes: it votes by its newest members, or by those before a change that may not be committed (a
    /// process that started again does not know what is).
    /// Guards against a leader that removed itself and lost the lead with the change in its log alone: the others need its vote
    /// and it has the longest log, so that nobody but it can win (section 4.2.2). It counts no vote of its own then.
    pub(crate) fn may_stand(&self) -> bool {
        let (place, newest) = self.log.members();
        newest.votes(self.id) || (place > self.commit && self.log.members_at(place.before()).votes(self.id))
    }

    /// Asks who would vote for it. Guards against a member that was cut off and comes back with a higher term for nothing
    /// (section 9.6).
    pub(crate) fn pre_vote(&mut self, out: &mut PendingOutputs) {
        self.role = RoleState::PreCandidate { yes: [self.id].into() };
        let last = self.log.last();
        self.ask_all(&MessageBody::PreVoteRequest { last }, Term(self.hard_state.term.0 + 1), out);
        self.count_pre_votes(out);
    }

    /// Whether a log is as up to date as this one.
    fn up_to_date(&self, last: LogPosition) -> bool {
        last >= self.log.last() || self.has_fault(Fault::VotesForBehind)
    }

    pub(crate) fn pre_voted_for(
        &mut self,
        from: NodeId,
        term: Term,
        last: LogPosition,
        out: &mut PendingOutputs,
    ) {
        let yes = term > self.hard_state.term && self.up_to_date(last) && !self.hears_a_leader();
        let term = if yes { term } else { self.hard_state.term };
        let message = crate::message::Message {
            from: self.id,
            to: from,
            term,
            body: MessageBody::PreVoteResponse(yes),
        };
        out.ready.messages.push(message);
    }

    pub(crate) fn pre_vote_came(&mut self, from: NodeId, term: Term, yes: bool, out: &mut PendingOutputs) {
        let next = Term(self.hard_state.term.0 + 1);
        if let RoleState::PreCandidate { yes: all } = &mut self.role
            && yes
            && term == next
        {
            all.insert(from);
            self.count_pre_votes(out);
        }
    }

    fn count_pre_votes(&mut self, out: &mut PendingOutputs) {
        if let RoleState::PreCandidate { yes } = &self.role
            && self.log.members().1.has_quorum(|id| yes.contains(&id))
        {
            self.stand(false, out);
        }
    }

    /// Asks for votes in a term of its own.
    fn stand(&mut self, leadership_transfer: bool, out: &mut PendingOutputs) {
        self.hard_state = HardState { term: Term(self.hard_state.term.0 + 1), vote: Some(self.id) };
        out.save.hard_state = Some(self.hard_state);
        self.role = RoleState::Candidate { yes: [self.id].into() };
        self.wait_anew();
        let last = self.log.last();
        self.ask_all(&MessageBody::VoteRequest { last, leadership_transfer }, self.hard_state.term, out);
        self.count_votes(out);
    }

    pub(crate) fn voted_for(&mut self, from: NodeId, last: LogPosition, out: &mut PendingOutputs) {
        let free = self.hard_state.vote.is_none_or(|v| v == from);
        let follows =
            matches!(self.role, RoleState::Follower { leader: None, .. } | RoleState::PreCandidate { .. });
        let yes = free && self.up_to_date(last) && (follows || self.hard_state.vote == Some(from));
        if yes {
            if self.hard_state.vote.is_none() {
                self.hard_state.vote = Some(from);
                if !self.has_fault(Fault::VoteUnsaved) {
                    out.save.hard_state = Some(self.hard_state);
                }
            }
            // Whoever it voted for gets the time to win.
            self.wait_anew();
        }
        self.say(from, MessageBody::VoteResponse(yes), out);
    }

    pub(crate) fn vote_came(&mut self, from: NodeId, yes: bool, out: &mut PendingOutputs) {
        if let RoleState::Candidate { yes: all } = &mut self.role
            && yes
        {
            all.insert(from);
            self.count_votes(out);
        }
    }

    fn count_votes(&mut self, out: &mut PendingOutputs) {
        if let RoleState::Candidate { yes } = &self.role
            && self.log.members().1.has_quorum(|id| yes.contains(&id))
        {
            self.lead(out);
        }
    }

    /// The leader hands over: asks for votes at once.
    pub(crate) fn take_over(&mut self, from: NodeId, out: &mut PendingOutputs) {
        let followed = matches!(&self.role, RoleState::Follower { leader, .. } if *leader == Some(from));
        if followed && self.may_stand() {
            self.stand(true, out);
        }
    }
}
