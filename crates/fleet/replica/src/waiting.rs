//! Who waits for what became of a proposal or a read.

use std::collections::BTreeMap;

use beechloft_consensus::{Index, LogPosition, RequestId, Term};

use crate::parts::Waits;

/// Requests that wait for the log, at most.
pub(crate) const MOST_WAITING: usize = 4096;
/// Tickets of the keeper's own begin here; those of `ReplicaInput::Raft` are below.
const OWN: u64 = 1 << 62;

/// All who wait.
#[derive(Debug, Clone, Hash)]
pub(crate) struct Waiting {
    tickets: u64,
    /// By ticket, until the log has taken it or not.
    untaken: BTreeMap<RequestId, Waits>,
    /// By place, until it is committed.
    uncommitted: BTreeMap<Index, (Term, Waits)>,
}

impl Waiting {
    pub fn new() -> Waiting {
        Waiting { tickets: OWN, untaken: BTreeMap::new(), uncommitted: BTreeMap::new() }
    }

    pub fn is_full(&self) -> bool {
        self.uncommitted.len() + self.untaken.len() >= MOST_WAITING
    }

    pub fn wait(&mut self, waits: Waits) -> RequestId {
        self.tickets += 1;
        let ticket = RequestId(self.tickets);
        self.untaken.insert(ticket, waits);
        ticket
    }

    /// Who waited for a ticket.
    pub fn take(&mut self, ticket: RequestId) -> Option<Waits> {
        self.untaken.remove(&ticket)
    }

    /// The log has taken it.
    pub fn taken(&mut self, at: LogPosition, waits: Waits) {
        self.uncommitted.insert(at.index, (at.term, waits));
    }

    /// Who waited for the entry at a place, if it is the one that was proposed here.
    pub fn committed(&mut self, at: LogPosition) -> Option<Waits> {
        self.uncommitted.remove(&at.index).filter(|w| w.0 == at.term).map(|w| w.1)
    }

    /// What was proposed in another term may come or not; who asked asks again.
    pub fn forget_uncommitted(&mut self) {
        self.uncommitted.clear();
    }
}
