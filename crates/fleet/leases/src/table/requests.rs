//! Duplicate detection, which ensures that a retransmitted request is applied only once.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::{Applied, Table};
use crate::message::{Answer, HolderId, Rejection, Request};

/// Maximum number of holders whose last answer is stored.
pub(super) const MAX_HOLDERS: usize = 8192;

/// Last answer that was sent to a holder.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct LastAnswer {
    pub seq: u64,
    pub answer: Answer,
    /// Number of commands that the table had applied at that time, this one included.
    pub applied_at: u64,
}

impl Table {
    pub(super) fn apply_request(&mut self, request: &Request) -> Applied {
        if let Some(last) = self.last_answers.get(&request.holder) {
            if request.seq == last.seq {
                return Applied { answer: Some(last.answer), event: None };
            }
            if request.seq < last.seq {
                return Applied { answer: Some(Answer::Rejected(Rejection::Superseded)), event: None };
            }
        }
        let (answer, event) = match self.execute(request.holder, &request.op) {
            Ok(executed) => (executed.answer, Some(executed.event)),
            Err(rejection) => (Answer::Rejected(rejection), None),
        };
        self.store_answer(request, answer);
        Applied { answer: Some(answer), event }
    }

    /// Stores the last answer to a holder. At the maximum, this evicts the least recently active holder without a grant.
    fn store_answer(&mut self, request: &Request, answer: Answer) {
        if self.last_answers.len() >= MAX_HOLDERS && !self.last_answers.contains_key(&request.holder) {
            let grants = self.leases.values().flat_map(|lease| lease.grants.values());
            let active: BTreeSet<HolderId> = grants.map(|grant| grant.holder).collect();
            let idle = self.last_answers.iter().filter(|(id, _)| !active.contains(id));
            if let Some(oldest) = idle.min_by_key(|(_, last)| last.applied_at).map(|(id, _)| *id) {
                self.last_answers.remove(&oldest);
            }
        }
        let last = LastAnswer { seq: request.seq, answer, applied_at: self.commands_applied };
        self.last_answers.insert(request.holder, last);
    }
}
