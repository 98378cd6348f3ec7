//! Health checks of media servers that wait for their result.

use std::collections::BTreeMap;

use beechloft::api::ServerId;
use beechloft_protocol::CallId;

/// The increment of identifiers: odd, so that they repeat after 2^64 only (the golden ratio of SplitMix64).
const ID_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Health checks that wait for their result.
#[derive(Debug)]
pub(crate) struct HealthChecks {
    pending: BTreeMap<CallId, ServerId>,
    last_id: u64,
}

impl HealthChecks {
    pub fn new(seed: u64) -> Self {
        HealthChecks { pending: BTreeMap::new(), last_id: seed }
    }

    /// An identifier for the next check.
    pub fn next_id(&mut self) -> CallId {
        self.last_id = self.last_id.wrapping_add(ID_INCREMENT);
        CallId(self.last_id)
    }

    pub fn insert(&mut self, id: CallId, server: ServerId) {
        self.pending.insert(id, server);
    }

    /// Ends a check; none if it is not pending.
    pub fn remove(&mut self, id: CallId) -> Option<ServerId> {
        self.pending.remove(&id)
    }
}
