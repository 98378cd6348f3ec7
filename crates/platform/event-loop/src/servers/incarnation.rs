//! State of an incarnation: its address, its reachability, and lines that could not be sent to it yet.

use std::collections::VecDeque;
use std::net::SocketAddr;

use beechloft::api::Micros;

use super::connection::PendingLine;

/// Maximum time for which a line is retained until a connection is established.
///
/// The media server ends a session by itself after at most 8 s if the session cannot be released, so later lines have no
/// effect.
const MAX_RETENTION: Micros = Micros(10_000_000);

/// Maximum number of lines that are retained for one incarnation. The oldest is dropped first.
const MAX_RETAINED: usize = 256;

/// State of an incarnation.
pub(super) struct IncarnationState {
    pub addr: SocketAddr,
    /// Whether the incarnation has established sessions, and thus needs a connection at all times.
    pub keep_connected: bool,
    /// Whether the endpoint list does not contain the incarnation any more. One failed connect is then enough to report
    /// it as lost.
    pub suspected: bool,
    /// Time at which data was last received or a connection was last established.
    pub last_contact_at: Micros,
    /// Start of the current period of failed connects, if any.
    pub unreachable_since: Option<Micros>,
    /// Earliest time at which the sweep connects again.
    pub reconnect_at: Micros,
    /// Lines whose connection was not established, which are sent on the next one. If they were dropped, a session whose
    /// release is among them would remain at the media server.
    unsent: VecDeque<PendingLine>,
    /// Time limit for closing the connections of a removed incarnation. They are closed earlier if all lines are sent.
    /// `None` unless the incarnation is removed.
    pub close_by: Option<Micros>,
}

impl IncarnationState {
    pub fn new(addr: SocketAddr, now: Micros) -> IncarnationState {
        IncarnationState {
            addr,
            keep_connected: false,
            suspected: false,
            last_contact_at: now,
            unreachable_since: None,
            reconnect_at: now,
            unsent: VecDeque::new(),
            close_by: None,
        }
    }

    /// Retains a line until the next connection is established.
    pub fn retain(&mut self, line: PendingLine) {
        if self.unsent.len() >= MAX_RETAINED {
            self.unsent.pop_front();
        }
        self.unsent.push_back(line);
    }

    /// Removes and returns the retained lines.
    pub fn take_unsent(&mut self) -> VecDeque<PendingLine> {
        std::mem::take(&mut self.unsent)
    }

    /// Drops expired lines, and returns whether other retained lines are left.
    pub fn has_current_unsent(&mut self, now: Micros) -> bool {
        while self.unsent.front().is_some_and(|line| now - line.since > MAX_RETENTION) {
            self.unsent.pop_front();
        }
        self.has_unsent()
    }

    /// Returns whether lines are retained.
    pub fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Drops the retained lines, as the process has ended with all its sessions.
    pub fn discard_unsent(&mut self) {
        self.unsent.clear();
    }
}
