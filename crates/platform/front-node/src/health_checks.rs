//! Health checks of media servers that are waiting for their results.

use std::collections::BTreeMap;

use beechloft::api::ServerId;
use beechloft_protocol::CallId;

/// Increment between identifiers. It is odd, so identifiers repeat only after 2^64 checks (golden ratio of SplitMix64).
const ID_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Health checks that are waiting for their results, by identifier.
#[derive(Debug)]
pub(crate) struct HealthChecks {
    pending: BTreeMap<CallId, ServerId>,
    last_id: u64,
}

impl HealthChecks {
    /// Creates an empty set, whose identifiers start from `seed`.
    pub fn new(seed: u64) -> Self {
        HealthChecks { pending: BTreeMap::new(), last_id: seed }
    }

    /// Returns the identifier for the next check.
    pub fn next_id(&mut self) -> CallId {
        self.last_id = self.last_id.wrapping_add(ID_INCREMENT);
        CallId(self.last_id)
    }

    /// Adds a check that was sent to the media server.
    pub fn insert(&mut self, id: CallId, server: ServerId) {
        self.pending.insert(id, server);
    }

    /// Removes a check and returns its media server. Returns `None` if the check is not pending.
    pub fn remove(&mut self, id: CallId) -> Option<ServerId> {
        self.pending.remove(&id)
    }
}
