//! Timeouts and limits of a node.

use std::time::Duration;

/// Timeouts and limits of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Minimum election timeout. A follower starts an election if it hears from no leader for a random time between once and
    /// twice this timeout. A leader that has no contact with a quorum for twice this timeout steps down.
    pub election_timeout: Duration,
    /// Time between two heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Maximum bytes of entries in one message. A single larger entry is sent by itself.
    pub max_message_bytes: usize,
    /// Maximum bytes of a snapshot in one message.
    pub snapshot_chunk_bytes: usize,
    /// Maximum number of unacknowledged messages with entries to one follower.
    pub max_in_flight: usize,
    /// Maximum bytes of uncommitted entries. Above this a leader rejects proposals.
    pub max_uncommitted_bytes: usize,
    /// Maximum bytes of one proposal.
    pub max_proposal_bytes: usize,
    /// Maximum bytes of a snapshot that a node accepts. The replicated state must be kept smaller than this, because a node
    /// whose storage was lost could not be replaced otherwise.
    pub max_snapshot_bytes: usize,
    /// Number of entries retained behind a snapshot, for followers that are slightly behind.
    pub retained_entries: u64,
    /// Maximum bytes of the entries retained behind a snapshot.
    pub max_retained_bytes: usize,
    /// Maximum bytes of the log after its newest snapshot while a leader sends that snapshot to a follower. Above this limit a
    /// new snapshot is taken and the transfer starts over. The limit must be high, because a follower could otherwise never
    /// receive a complete snapshot before the next one replaces it.
    pub max_log_bytes_during_transfer: usize,
    /// Maximum number of reads that wait for a heartbeat round.
    pub max_pending_reads: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            election_timeout: Duration::from_millis(500),
            heartbeat_interval: Duration::from_millis(100),
            max_message_bytes: 64 << 10,
            snapshot_chunk_bytes: 64 << 10,
            max_in_flight: 16,
            max_uncommitted_bytes: 1 << 20,
            max_proposal_bytes: 72 << 10,
            max_snapshot_bytes: 200 << 20,
            retained_entries: 256,
            max_retained_bytes: 4 << 20,
            max_log_bytes_during_transfer: 32 << 20,
            max_pending_reads: 1024,
        }
    }
}
