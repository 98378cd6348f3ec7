//! Replication progress of a follower, as tracked by the leader.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::{Index, LogPosition};

/// Mode in which entries are sent to a follower.
///
/// The number of unacknowledged messages is bounded in each mode, so that a slow follower does not delay the others.
#[derive(Debug, Clone, Hash, PartialEq, Eq)]
pub(crate) enum Flow {
    /// The leader searches for the last matching entry, with one message at a time.
    Probe {
        /// Whether a message is unacknowledged.
        in_flight: bool,
    },
    /// Entries are pipelined (section 10.2.1). Contains the last index of each unacknowledged message.
    Pipeline(VecDeque<Index>),
    /// A snapshot is sent, one part at a time.
    Snapshot {
        /// Position of the last entry that the snapshot includes.
        at: LogPosition,
        /// Number of bytes that the follower has received.
        offset: u64,
        /// Time at which the unacknowledged part was sent. `None` if no part is unacknowledged.
        sent_at: Option<Duration>,
    },
}

/// Replication progress of a follower.
#[derive(Debug, Clone, Hash)]
pub(crate) struct Progress {
    /// Index up to which the follower's log matches the leader's and is durable.
    pub match_index: Index,
    /// Index of the next entry to send.
    pub next_index: Index,
    pub flow: Flow,
    /// Time at which the last message of the follower arrived.
    pub last_contact: Duration,
    /// Latest heartbeat round that the follower has answered.
    pub round: u64,
}

impl Progress {
    pub fn new(next_index: Index, now: Duration) -> Progress {
        Progress {
            match_index: Index(0),
            next_index,
            flow: Flow::Probe { in_flight: false },
            last_contact: now,
            round: 0,
        }
    }

    /// Returns whether another message may be sent now.
    pub fn may_send(&self, max_in_flight: usize) -> bool {
        match &self.flow {
            Flow::Probe { in_flight } => !in_flight,
            Flow::Snapshot { sent_at, .. } => sent_at.is_none(),
            Flow::Pipeline(in_flight) => in_flight.len() < max_in_flight,
        }
    }

    /// Records that the follower's log matches up to an index.
    pub fn record_match(&mut self, index: Index) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(index.next());
        match &mut self.flow {
            Flow::Pipeline(in_flight) => in_flight.retain(|last| *last > index),
            Flow::Probe { .. } => self.start_pipeline(),
            Flow::Snapshot { at, .. } if self.match_index >= at.index => self.start_pipeline(),
            Flow::Snapshot { .. } => {}
        }
    }

    fn start_pipeline(&mut self) {
        self.next_index = self.match_index.next();
        self.flow = Flow::Pipeline(VecDeque::new());
    }

    /// Switches to probing from `hint` on, because the follower's log conflicts with the sent entries or messages were lost.
    pub fn probe_from(&mut self, hint: Index) {
        if matches!(self.flow, Flow::Snapshot { .. }) {
            return;
        }
        self.next_index = hint.min(self.next_index.previous()).max(self.match_index).next();
        self.flow = Flow::Probe { in_flight: false };
    }
}
