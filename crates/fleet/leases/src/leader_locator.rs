//! Selection of the replica that requests are sent to.

/// Tracks which replica is the leader.
///
/// A replica that did not respond to a request is skipped for the next one, so that an unreachable replica costs a single
/// attempt. If a replica names the leader, the next request goes to that one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderLocator {
    replica_count: usize,
    target: usize,
    /// Whether a request was sent to the target and no response has arrived since.
    awaits_response: bool,
}

impl LeaderLocator {
    /// Creates a locator that starts at the replica with index `first % replica_count`. Different holders pass different
    /// values to spread their requests.
    pub fn new(replica_count: usize, first: usize) -> LeaderLocator {
        let replica_count = replica_count.max(1);
        LeaderLocator { replica_count, target: first % replica_count, awaits_response: false }
    }

    /// Returns the index of the replica that the next request must be sent to.
    pub fn next_target(&mut self) -> usize {
        if std::mem::replace(&mut self.awaits_response, true) {
            self.advance();
        }
        self.target
    }

    /// Records that the target has responded.
    pub fn on_response(&mut self) {
        self.awaits_response = false;
    }

    /// Records that the target has responded that it is not the leader. `leader` is the index of the leader that it named, if
    /// it knows one.
    pub fn on_not_leader(&mut self, leader: Option<usize>) {
        self.awaits_response = false;
        match leader.filter(|index| *index < self.replica_count) {
            Some(index) => self.target = index,
            None => self.advance(),
        }
    }

    fn advance(&mut self) {
        self.target = (self.target + 1) % self.replica_count;
    }
}
