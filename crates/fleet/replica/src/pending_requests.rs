//! Client requests that wait for the outcome of a proposal or a read.

use std::collections::BTreeMap;

use beechloft_consensus::{Index, LogPosition, RequestId, Term};

use crate::components::PendingRequest;

/// Maximum number of requests that wait for the log.
pub(crate) const MAX_PENDING: usize = 4096;
/// First request id that the replica itself uses. The ids of `ReplicaInput::Raft` must be lower.
const FIRST_OWN_REQUEST_ID: u64 = 1 << 62;

/// The requests that wait for the log.
#[derive(Debug, Clone, Hash)]
pub(crate) struct PendingRequests {
    last_request_id: u64,
    /// Proposals and reads that the consensus node has not answered.
    unanswered: BTreeMap<RequestId, PendingRequest>,
    /// Proposals that are in the log but not committed, with their terms, by index.
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

    /// Returns whether [`MAX_PENDING`] requests wait.
    pub fn is_full(&self) -> bool {
        self.uncommitted.len() + self.unanswered.len() >= MAX_PENDING
    }

    /// Adds a request and returns its id for the consensus node.
    pub fn add(&mut self, pending: PendingRequest) -> RequestId {
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
        self.unanswered.insert(id, pending);
        id
    }

    /// Removes and returns the request that the consensus node has answered.
    ///
    /// Returns `None` if the id is not one of the replica's own.
    pub fn take(&mut self, id: RequestId) -> Option<PendingRequest> {
        self.unanswered.remove(&id)
    }

    /// Records the position at which a proposal was appended to the log.
    pub fn appended(&mut self, at: LogPosition, pending: PendingRequest) {
        self.uncommitted.insert(at.index, (at.term, pending));
    }

    /// Removes and returns the request of a committed entry.
    ///
    /// Returns `None` if another replica proposed the entry.
    pub fn committed(&mut self, at: LogPosition) -> Option<PendingRequest> {
        self.uncommitted.remove(&at.index).filter(|(term, _)| *term == at.term).map(|(_, pending)| pending)
    }

    /// Forgets the proposals of an earlier term, whose outcome is unknown. Clients retry them.
    pub fn forget_uncommitted(&mut self) {
        self.uncommitted.clear();
    }
}
