//! What comes from media servers.

use std::io::ErrorKind;

use beechloft_front_node::{AttemptFailure, Input};
use beechloft_protocol::CallId;
use beechloft_protocol::server::{FromServer, ServerMessage};

use super::{Servers, Turn, Waiting};
use crate::stream::Got;

impl Servers {
    /// A socket is ready: whether there may be more to read.
    pub fn ready(&mut self, token: usize, t: &mut Turn<'_>) -> bool {
        let Some(conn) = self.conns.get_mut(&token) else { return false };
        let lane = conn.lane;
        if conn.up_by.is_some() {
            match conn.stream.connected() {
                None => return false,
                Some(Err(e)) => {
                    self.close(token, AttemptFailure::NoConnection, t);
                    self.failed(lane, e.kind() == ErrorKind::ConnectionRefused, t);
                    return false;
                }
                Some(Ok(())) => self.up(token, t),
            }
        }
        let Some(conn) = self.conns.get_mut(&token) else { return false };
        if conn.stream.flush().is_err() {
            self.close(token, AttemptFailure::ConnectionReset, t);
            return false;
        }
        let more = self.read(token, t);
        self.let_go(lane, t);
        more
    }

    /// A connection has come up: what waited for it leaves, but for set-ups for which nobody waits any more.
    fn up(&mut self, token: usize, t: &mut Turn<'_>) {
        let Some(conn) = self.conns.get_mut(&token) else { return };
        (conn.up_by, conn.used) = (None, t.now);
        let lane = conn.lane;
        let mut queue = std::mem::take(&mut conn.queue);
        if let Some(l) = self.lanes.get_mut(&lane) {
            (l.unreachable, l.heard) = (None, t.now);
            queue.extend(l.kept().into_iter().map(|(since, id, line)| Waiting::Line(since, id, line)));
        }
        for waiting in queue {
            match waiting {
                // Its connection may have broken under one before it.
                Waiting::SetUp(s) if !self.conns.contains_key(&token) => {
                    t.inputs.push_back(Input::AttemptFailed(lane, s.id, AttemptFailure::NotSent));
                }
                Waiting::SetUp(s) => self.write_set_up(token, s, t),
                Waiting::Line(since, id, line) => {
                    let sent = self.conns.get_mut(&token).map(|c| c.stream.send(&line).is_ok());
                    match sent {
                        Some(true) => {}
                        Some(false) => self.close(token, AttemptFailure::ConnectionReset, t),
                        None => self.queue(lane, Waiting::Line(since, id, line), t),
                    }
                }
            }
        }
    }

    pub(super) fn read(&mut self, token: usize, t: &mut Turn<'_>) -> bool {
        let Some(conn) = self.conns.get_mut(&token) else { return false };
        let mut bytes = 0;
        while bytes < self.bounds.bytes_a_turn {
            match conn.stream.read(&mut self.scratch) {
                Got::Some(n) => {
                    bytes += n;
                    (conn.silent, conn.used) = (false, t.now);
                    if let Some(l) = self.lanes.get_mut(&conn.lane) {
                        l.heard = t.now;
                    }
                    conn.decoder.push(&self.scratch[..n]);
                    loop {
                        let line = match conn.decoder.next_line() {
                            Ok(None) => break,
                            Ok(Some(line)) => ServerMessage::parse(&line).ok(),
                            Err(_) => None,
                        };
                        let Some(line) = line else {
                            // What can't be read costs this connection and each set-up on it, nothing more.
                            self.close(token, AttemptFailure::ConnectionReset, t);
                            return false;
                        };
                        conn.open.retain(|id| !ends(&line, *id));
                        t.inputs.push_back(Input::ServerMessage(conn.lane, line));
                    }
                }
                Got::Nothing => return false,
                Got::End => {
                    self.close(token, AttemptFailure::ConnectionReset, t);
                    return false;
                }
            }
        }
        true
    }

    /// Reads on all connections what has come, as this process ends.
    pub fn hear_out(&mut self, t: &mut Turn<'_>) {
        let up = self.conns.iter().filter(|(_, c)| c.up_by.is_none()).map(|(t, _)| *t);
        for token in up.collect::<Vec<_>>() {
            self.read(token, t);
        }
    }
}

/// Whether a line ends the wait for a set-up.
fn ends(line: &ServerMessage, id: CallId) -> bool {
    matches!(&line.event, FromServer::Accept(i, _) | FromServer::End(i, _) if *i == id)
}
