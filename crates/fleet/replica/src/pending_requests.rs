//! Requests that wait for the outcome of a proposal or a read.

use std::collections::BTreeMap;

use beechloft_consensus::{Index, LogPosition, RequestId, Term};

use crate::components::PendingRequest;

/// Maximum number of requests that wait for the log.
pub(crate) const MAX_PENDING: usize = 4096;
/// Request ids of the replica itself start here. Those of `ReplicaInput::Raft` are below.
const FIRST_OWN_REQUEST_ID: u64 = 1 << 62;

/// All requests that wait for the log.
#[derive(Debug, Clone, Hash)]
pub(crate) struct PendingRequests {
    last_request_id: u64,
    /// Proposals and reads that the consensus node has not answered.
    unanswered: BTreeMap<RequestId, PendingRequest>,
    /// Proposals that are in the log, by index, with their terms.
    uncommitted: BTreeMap<Index, (Term, PendingRequest)>,
}

impl PendingRequests {
    pub fn new() -> PendingRequests {
        PendingRequests {
            last_request_id: FIRST_OWN_REQUEST_ID,
            unanswered: BTreeMap::new(),
            uncommitted: BTreeMap::new(),
        }
    }

    pub fn is_full(&self) -> bool {
        self.uncommitted.len() + self.unanswered.len() >= MAX_PENDING
    }

    /// Adds a request, and returns the id for the consensus node.
    pub fn add(&mut self, pending: PendingRequest) -> RequestId {
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
        self.unanswered.insert(id, pending);
        id
    }

    /// Removes the request that the consensus node has answered.
    pub fn take(&mut self, id: RequestId) -> Option<PendingRequest> {
        self.unanswered.remove(&id)
    }

    /// The proposal is in the log.
    pub fn appended(&mut self, at: LogPosition, pending: PendingRequest) {
        self.uncommitted.insert(at.index, (at.term, pending));
    }

    /// Removes the request of a committed entry, if it was proposed by this replica.
    pub fn committed(&mut self, at: LogPosition) -> Option<PendingRequest> {
        self.uncommitted.remove(&at.index).filter(|(term, _)| *term == at.term).map(|(_, pending)| pending)
    }

    /// Forgets proposals of an earlier term: they may be committed or not. Clients retry them.
    pub fn forget_uncommitted(&mut self) {
        self.uncommitted.clear();
    }
}
