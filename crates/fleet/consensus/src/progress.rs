//! What a leader knows of another member, and how much it has on its way there.

use std::collections::VecDeque;
use std::time::Duration;

use crate::types::{Index, LogPosition};

/// How entries go to a member. Guards against a slow member, which gets a bounded window and holds up nobody.
#[derive(Debug, Clone, Hash, PartialEq, Eq)]
pub(crate) enum Flow {
    /// Where its log parts from the leader's is being looked for: one message at a time.
    Probe {
        /// One is on its way.
        waiting: bool,
    },
    /// Entries go one message after another; the last place of each that is on its way.
    Stream(VecDeque<Index>),
    /// It gets a snapshot, a part at a time.
    Snapshot {
        /// Which.
        at: LogPosition,
        /// How much of it is there.
        offset: u64,
        /// When the part was sent that is on its way.
        sent: Option<Duration>,
    },
}

/// What is known of a member.
#[derive(Debug, Clone, Hash)]
pub(crate) struct Progress {
    /// Its log is the leader's up to here, and lasts.
    pub matched: Index,
    /// The place that goes to it next.
    pub next: Index,
    pub flow: Flow,
    /// When it last said something.
    pub heard: Duration,
    /// The last round of the leader's that it has heard.
    pub round: u64,
}

impl Progress {
    pub fn new(next: Index, now: Duration) -> Progress {
        Progress { matched: Index(0), next, flow: Flow::Probe { waiting: false }, heard: now, round: 0 }
    }

    /// Whether it may get entries now.
    pub fn may_send(&self, window: usize) -> bool {
        match &self.flow {
            Flow::Probe { waiting } => !waiting,
            Flow::Snapshot { sent, .. } => sent.is_none(),
            Flow::Stream(on_way) => on_way.len() < window,
        }
    }

    /// Its log matches up to a place.
    pub fn matches(&mut self, index: Index) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(index.next());
        match &mut self.flow {
            Flow::Stream(on_way) => on_way.retain(|i| *i > index),
            Flow::Probe { .. } => self.stream(),
            Flow::Snapshot { at, .. } if self.matched >= at.index => self.stream(),
            Flow::Snapshot { .. } => {}
        }
    }

    fn stream(&mut self) {
        self.next = self.matched.next();
        self.flow = Flow::Stream(VecDeque::new());
    }

    /// Its log differs before the place that was tried.
    pub fn differs(&mut self, hint: Index) {
        if matches!(self.flow, Flow::Snapshot { .. }) {
            return;
        }
        self.next = hint.min(self.next.before()).max(self.matched).next();
        self.flow = Flow::Probe { waiting: false };
    }
}
