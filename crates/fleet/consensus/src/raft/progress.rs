//! What a leader knows of a follower, and how it sends entries to it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::{Index, LogPosition};

/// How entries are sent to a follower. The window is bounded, so that a slow follower does not delay the others.
#[derive(Debug, Clone, Hash, PartialEq, Eq)]
pub(crate) enum Flow {
    /// The last matching entry is searched for, with one message at a time.
    Probe {
        /// A message is unacknowledged.
        in_flight: bool,
    },
    /// Entries are pipelined (section 10.2.1). Holds the last index of each unacknowledged message.
    Pipeline(VecDeque<Index>),
    /// A snapshot is sent, one part at a time.
    Snapshot {
        /// The last entry that it includes.
        at: LogPosition,
        /// The bytes that the follower has.
        offset: u64,
        /// When the unacknowledged part was sent.
        sent_at: Option<Duration>,
    },
}

/// What a leader knows of a follower.
#[derive(Debug, Clone, Hash)]
pub(crate) struct Progress {
    /// The follower's log matches up to here, and is durable.
    pub match_index: Index,
    /// The next entry to send.
    pub next_index: Index,
    pub flow: Flow,
    /// When its last message arrived.
    pub last_contact: Duration,
    /// The latest heartbeat round that it has answered.
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

    /// Whether another message may be sent now.
    pub fn may_send(&self, max_in_flight: usize) -> bool {
        match &self.flow {
            Flow::Probe { in_flight } => !in_flight,
            Flow::Snapshot { sent_at, .. } => sent_at.is_none(),
            Flow::Pipeline(in_flight) => in_flight.len() < max_in_flight,
        }
    }

    /// The follower's log matches up to an index.
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

    /// The follower's log conflicts before the entries that were sent, or messages were lost: probes from `hint` on.
    pub fn probe_from(&mut self, hint: Index) {
        if matches!(self.flow, Flow::Snapshot { .. }) {
            return;
        }
        self.next_index = hint.min(self.next_index.previous()).max(self.match_index).next();
        self.flow = Flow::Probe { in_flight: false };
    }
}
