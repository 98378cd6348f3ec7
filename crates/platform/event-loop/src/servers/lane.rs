//! What is known of a lane: where it listens, whether it is reached, and what could not be said to it yet.

use std::collections::VecDeque;
use std::net::SocketAddr;

use beechloft::api::Micros;
use beechloft_protocol::CallId;

/// A line that found no connection is kept for so long: past it, the media server has ended what it was about by itself, as a
/// session that can't be released stands for 8 s at most.
const KEPT_FOR: Micros = Micros(10_000_000);
/// So many are kept for one lane; the oldest goes first.
const MOST_KEPT: usize = 256;

pub(super) struct LaneState {
    pub addr: SocketAddr,
    pub hold: bool,
    /// The list has it no more: the first failure to reach it settles that it is lost.
    pub doubtful: bool,
    /// When something last came from it, or a connection came up.
    pub heard: Micros,
    /// Since when it can't be reached.
    pub unreachable: Option<Micros>,
    /// No look at it before this.
    pub look_at: Micros,
    /// Lines whose connection did not come up. Guards against a session that stands for ever at a media server because the
    /// one connection that its end waited for never came up.
    unsent: VecDeque<(Micros, CallId, Vec<u8>)>,
    /// Nothing belongs to it any more: it is let go once what is to be said there has left, or by then.
    pub forgotten: Option<Micros>,
}

impl LaneState {
    pub fn new(addr: SocketAddr, now: Micros) -> LaneState {
        LaneState {
            addr,
            hold: false,
            doubtful: false,
            heard: now,
            unreachable: None,
            look_at: now,
            unsent: VecDeque::new(),
            forgotten: None,
        }
    }

    /// Keeps a line for the next connection.
    pub fn keep(&mut self, since: Micros, id: CallId, line: Vec<u8>) {
        if self.unsent.len() >= MOST_KEPT {
            self.unsent.pop_front();
        }
        self.unsent.push_back((since, id, line));
    }

    /// The lines that wait for a connection.
    pub fn kept(&mut self) -> VecDeque<(Micros, CallId, Vec<u8>)> {
        std::mem::take(&mut self.unsent)
    }

    /// Whether lines wait for a connection; those that have waited too long are dropped.
    pub fn waits(&mut self, now: Micros) -> bool {
        while self.unsent.front().is_some_and(|(since, ..)| now - *since > KEPT_FOR) {
            self.unsent.pop_front();
        }
        !self.unsent.is_empty()
    }

    /// Its process is gone, and all that it had with it.
    pub fn died(&mut self) {
        self.unsent.clear();
    }

    pub fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }
}
