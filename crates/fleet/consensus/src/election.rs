//! Pre-votes, votes, and the lead handed over.

use crate::message::Body;
use crate::outputs::{Hard, Outputs};
use crate::planted::Fault;
use crate::raft::{Raft, Role};
use crate::types::{LogPos, MemberId, Term};

impl Raft {
    fn ask_all(&self, body: &Body, term: Term, out: &mut Outputs) {
        for to in self.log.members().1.voters().filter(|id| *id != self.id) {
            let message = crate::message::Message { from: self.id, to, term, body: body.clone() };
            out.released.messages.push(message);
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
    pub(crate) fn pre_vote(&mut self, out: &mut Outputs) {
        self.role = Role::PreCandidate { yes: [self.id].into() };
        let last = self.log.last();
        self.ask_all(&Body::PreVote { last }, Term(self.hard.term.0 + 1), out);
        self.count_pre_votes(out);
    }

    /// Whether a log is as up to date as this one.
    fn up_to_date(&self, last: LogPos) -> bool {
        last >= self.log.last() || self.planted(Fault::VotesForBehind)
    }

    pub(crate) fn pre_voted_for(&mut self, from: MemberId, term: Term, last: LogPos, out: &mut Outputs) {
        let yes = term > self.hard.term && self.up_to_date(last) && !self.hears_a_leader();
        let term = if yes { term } else { self.hard.term };
        let message = crate::message::Message { from: self.id, to: from, term, body: Body::PreVoted(yes) };
        out.released.messages.push(message);
    }

    pub(crate) fn pre_vote_came(&mut self, from: MemberId, term: Term, yes: bool, out: &mut Outputs) {
        let next = Term(self.hard.term.0 + 1);
        if let Role::PreCandidate { yes: all } = &mut self.role
            && yes
            && term == next
        {
            all.insert(from);
            self.count_pre_votes(out);
        }
    }

    fn count_pre_votes(&mut self, out: &mut Outputs) {
        if let Role::PreCandidate { yes } = &self.role
            && self.log.members().1.has_quorum(|id| yes.contains(&id))
        {
            self.stand(false, out);
        }
    }

    /// Asks for votes in a term of its own.
    fn stand(&mut self, handed_over: bool, out: &mut Outputs) {
        self.hard = Hard { term: Term(self.hard.term.0 + 1), vote: Some(self.id) };
        out.save.hard = Some(self.hard);
        self.role = Role::Candidate { yes: [self.id].into() };
        self.wait_anew();
        let last = self.log.last();
        self.ask_all(&Body::Vote { last, handed_over }, self.hard.term, out);
        self.count_votes(out);
    }

    pub(crate) fn voted_for(&mut self, from: MemberId, last: LogPos, out: &mut Outputs) {
        let free = self.hard.vote.is_none_or(|v| v == from);
        let follows = matches!(self.role, Role::Follower { leader: None, .. } | Role::PreCandidate { .. });
        let yes = free && self.up_to_date(last) && (follows || self.hard.vote == Some(from));
        if yes {
            if self.hard.vote.is_none() {
                self.hard.vote = Some(from);
                if !self.planted(Fault::VoteUnsaved) {
                    out.save.hard = Some(self.hard);
                }
            }
            // Whoever it voted for gets the time to win.
            self.wait_anew();
        }
        self.say(from, Body::Voted(yes), out);
    }

    pub(crate) fn vote_came(&mut self, from: MemberId, yes: bool, out: &mut Outputs) {
        if let Role::Candidate { yes: all } = &mut self.role
            && yes
        {
            all.insert(from);
            self.count_votes(out);
        }
    }

    fn count_votes(&mut self, out: &mut Outputs) {
        if let Role::Candidate { yes } = &self.role
            && self.log.members().1.has_quorum(|id| yes.contains(&id))
        {
            self.lead(out);
        }
    }

    /// The leader hands over: asks for votes at once.
    pub(crate) fn take_over(&mut self, from: MemberId, out: &mut Outputs) {
        let followed = matches!(&self.role, Role::Follower { leader, .. } if *leader == Some(from));
        if followed && self.may_stand() {
            self.stand(true, out);
        }
    }
}
