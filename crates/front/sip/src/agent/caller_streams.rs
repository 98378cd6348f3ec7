//! Callers whose stream is closed: their pending calls are cancelled, and calls that are read later are not set up.

use std::collections::{BTreeMap, BTreeSet};

use beechloft_session::api::SessionId;

use super::{AGENT_ID_BIT, Agent};
use crate::caller;
use crate::message::Message;
use crate::transaction::Transport;
use crate::transaction::layer::Peer;

/// Maximum number of closed streams that are remembered. New calls wait in a queue of half as many for the agent.
const MAX_LOST_STREAMS: usize = 8_192;

/// Callers' streams, with the calls that were received on them.
#[derive(Debug, Default)]
pub(super) struct CallerStreams {
    sessions: BTreeMap<Peer, BTreeSet<SessionId>>,
    /// Connections that were closed. Numbers are given in ascending order and never reused.
    lost: BTreeSet<u64>,
}

/// Returns whether a peer is the stream of a caller.
fn is_caller_stream(peer: Peer) -> bool {
    peer.transport == Transport::Tcp && peer.conn & AGENT_ID_BIT == 0
}

impl CallerStreams {
    /// Adds a call.
    pub fn add(&mut self, peer: Peer, session: SessionId) {
        if is_caller_stream(peer) {
            self.sessions.entry(peer).or_default().insert(session);
        }
    }

    /// Removes a call that has ended.
    pub fn remove(&mut self, peer: Peer, session: SessionId) {
        if let Some(sessions) = self.sessions.get_mut(&peer) {
            sessions.remove(&session);
            if sessions.is_empty() {
                self.sessions.remove(&peer);
            }
        }
    }

    /// Records that a stream is closed, and returns its calls.
    fn lose(&mut self, peer: Peer) -> BTreeSet<SessionId> {
        if self.lost.len() >= MAX_LOST_STREAMS {
            self.lost.pop_first();
        }
        self.lost.insert(peer.conn);
        self.sessions.remove(&peer).unwrap_or_default()
    }
}

impl Agent {
    /// Returns whether a message would start a call of a caller whose stream is closed, so that it could get no answer.
    pub(super) fn is_of_lost_caller(&self, peer: Peer, message: &Message) -> bool {
        let Message::Request(request) = message else { return false };
        request.starts_call() && is_caller_stream(peer) && self.caller_streams.lost.contains(&peer.conn)
    }

    /// Cancels the calls of a caller whose stream is closed, unless they are established.
    pub(super) fn caller_lost(&mut self, peer: Peer) {
        if !is_caller_stream(peer) {
            return;
        }
        for session in self.caller_streams.lose(peer) {
            self.on_inbound(session, caller::Input::Cancel, None);
        }
    }
}
