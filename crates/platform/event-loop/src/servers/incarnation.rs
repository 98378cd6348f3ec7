//! The state of an incarnation: its address, whether it can be reached, and what could not be sent to it yet.

use std::collections::VecDeque;
use std::net::SocketAddr;

use beechloft::api::Micros;

use super::connection::PendingLine;

/// A line that found no connection is retained for this time. After it, the media server has ended the session by itself: one
/// that can't be released lasts 8 s at most.
const MAX_RETENTION: Micros = Micros(10_000_000);

/// Lines that are retained for one incarnation at most; the oldest is dropped first.
const MAX_RETAINED: usize = 256;

/// The state of one incarnation.
pub(super) struct IncarnationState {
    pub addr: SocketAddr,
    /// Sessions are established there: a connection to it is kept.
    pub keep_connected: bool,
    /// The list does not contain it any more: the first failure to reach it settles that it is lost.
    pub suspected: bool,
    /// When something last came from it, or a connection was established.
    pub last_contact_at: Micros,
    /// Since when it can't be reached.
    pub unreachable_since: Option<Micros>,
    /// No connection by the sweep before this.
    pub reconnect_at: Micros,
    /// Lines whose connection was not established. Without these, a session whose end waited for that one connection would
    /// stay at the media server for ever.
    unsent: VecDeque<PendingLine>,
    /// Nothing belongs to it any more: it is closed once what is to be sent there has left, or at this time.
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

    /// Retains a line for the next connection.
    pub fn retain(&mut self, line: PendingLine) {
        if self.unsent.len() >= MAX_RETAINED {
            self.unsent.pop_front();
        }
        self.unsent.push_back(line);
    }

    /// Takes the retained lines.
    pub fn take_unsent(&mut self) -> VecDeque<PendingLine> {
        std::mem::take(&mut self.unsent)
    }

    /// Whether lines wait for a connection; those that have waited too long are dropped.
    pub fn has_current_unsent(&mut self, now: Micros) -> bool {
        while self.unsent.front().is_some_and(|line| now - line.since > MAX_RETENTION) {
            self.unsent.pop_front();
        }
        self.has_unsent()
    }

    /// Whether lines wait for a connection.
    pub fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Drops the retained lines: the process is gone, and all its sessions.
    pub fn discard_unsent(&mut self) {
        self.unsent.clear();
    }
}
