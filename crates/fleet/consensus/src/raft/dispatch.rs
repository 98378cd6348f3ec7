//! Dispatch of received messages, after a check of their terms.

use super::Raft;
use super::follower::{ReceivedEntries, SnapshotPart};
use crate::ids::{NodeId, Term};
use crate::message::{AppendResult, Message, MessageBody};
use crate::output::PendingOutputs;

impl Raft {
    pub(super) fn handle_message(&mut self, message: Message, out: &mut PendingOutputs) {
        if message.to != self.id || message.from == self.id {
            return;
        }
        let Message { from, term, body, .. } = message;
        if term > self.hard_state.term && !self.observe_later_term(from, term, &body, out) {
            return;
        }
        if term < self.hard_state.term {
            return self.answer_earlier_term(from, &body, out);
        }
        match body {
            MessageBody::PreVoteRequest { last_entry } => {
                self.handle_pre_vote_request(from, term, last_entry, out);
            }
            MessageBody::PreVoteResponse(granted) => {
                self.handle_pre_vote_response(from, term, granted, out);
            }
            MessageBody::VoteRequest { last_entry, .. } => self.handle_vote_request(from, last_entry, out),
            MessageBody::VoteResponse(granted) => self.handle_vote_response(from, granted, out),
            MessageBody::AppendEntries { prev, entries, commit, round } => {
                let received = ReceivedEntries { prev, entries, leader_commit: commit };
                self.handle_append_entries(from, received, round, out);
            }
            MessageBody::InstallSnapshot { last_included, membership, offset, data, is_last, round } => {
                let part = SnapshotPart { last_included, membership, offset, data: &data, is_last };
                self.handle_install_snapshot(from, part, round, out);
            }
            MessageBody::AppendEntriesResponse { result, round } => {
                self.handle_append_response(from, result, round, out);
            }
            MessageBody::InstallSnapshotResponse { last_included, offset, round } => {
                self.handle_install_response(from, last_included, offset, round, out);
            }
            MessageBody::TimeoutNow => self.handle_timeout_now(from, out),
        }
    }

    /// Handles a message term that is later than the node's. Returns whether the message itself should be handled.
    fn observe_later_term(
        &mut self,
        from: NodeId,
        term: Term,
        body: &MessageBody,
        out: &mut PendingOutputs,
    ) -> bool {
        match body {
            // These carry the term of a proposed election, which has not begun.
            MessageBody::PreVoteRequest { .. } | MessageBody::PreVoteResponse(true) => true,
            // The candidate was partitioned from the live leader or was removed. It must not disrupt that leader (section 4.2.3).
            MessageBody::VoteRequest { leadership_transfer: false, .. } if self.has_recent_leader() => false,
            _ => {
                let from_leader =
                    matches!(body, MessageBody::AppendEntries { .. } | MessageBody::InstallSnapshot { .. });
                self.become_follower(term, from_leader.then_some(from), out);
                true
            }
        }
    }

    /// Answers a request of an earlier term, so that its sender learns the current one.
    fn answer_earlier_term(&mut self, from: NodeId, body: &MessageBody, out: &mut PendingOutputs) {
        match body {
            MessageBody::AppendEntries { round, .. } | MessageBody::InstallSnapshot { round, .. } => {
                let result = AppendResult::Conflict(self.log.last().index);
                let response = MessageBody::AppendEntriesResponse { result, round: *round };
                self.send_message(from, response, out);
            }
            MessageBody::PreVoteRequest { .. } => {
                self.send_message(from, MessageBody::PreVoteResponse(false), out);
            }
            MessageBody::VoteRequest { .. } => {
                self.send_message(from, MessageBody::VoteResponse(false), out);
            }
            _ => {}
        }
    }
}
