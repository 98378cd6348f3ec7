//! Selection of the replica that requests are sent to.

/// Tracks which replica leads. A replica that leaves a request without response is skipped at the next one, so that a dead,
/// stopped or partitioned replica costs one try; a replica that names the leader is believed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderLocator {
    replica_count: usize,
    target: usize,
    /// Something was sent to the target, and no response has come since.
    awaits_response: bool,
}

impl LeaderLocator {
    /// Starts at replica `first` (modulo the count). Different holders start at different ones to spread their requests.
    pub fn new(replica_count: usize, first: usize) -> LeaderLocator {
        let replica_count = replica_count.max(1);
        LeaderLocator { replica_count, target: first % replica_count, awaits_response: false }
    }

    /// The index of the replica that the next request is sent to.
    pub fn next_target(&mut self) -> usize {
        if std::mem::replace(&mut self.awaits_response, true) {
            self.advance();
        }
        self.target
    }

    /// The target has responded.
    pub fn on_response(&mut self) {
        self.awaits_response = false;
    }

    /// The target has responded that it does not lead, and named the leader if it knows one.
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
