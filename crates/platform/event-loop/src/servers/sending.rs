//! What goes to media servers: set-ups, their giving-up, and lines about sessions that stand.

use beechloft_front_node::{AttemptFailure, Input, ServerIncarnation};
use beechloft_protocol::CallId;

use super::{Conn, Servers, SetUp, Turn, Waiting};
use beechloft::api::Micros;

/// Connections of set-ups that are kept in mind; the one that came first goes first.
const MOST_HOMES: usize = 8192;

impl Servers {
    /// Writes a set-up on a connection that carries no other, if descriptors allow: what spoils one answer costs
    /// every set-up that is open on its connection.
    pub fn set_up(&mut self, lane: ServerIncarnation, set_up: SetUp, t: &mut Turn<'_>) {
        if let Some(token) = self.idle(lane, t) {
            return self.write_set_up(token, set_up, t);
        }
        let count = self.conns.values().filter(|c| c.lane == lane).count();
        let waiting = self.conns.iter().find(|(_, c)| c.lane == lane && c.up_by.is_some() && c.free());
        let token = match waiting.map(|(t, _)| *t) {
            Some(token) => Ok(token),
            None if count < self.bounds.per_server => self.open(lane, t),
            None => Err(AttemptFailure::NotSent),
        };
        let why = match token {
            Ok(token) => {
                if let Some(conn) = self.conns.get_mut(&token) {
                    conn.queue.push_back(Waiting::SetUp(set_up));
                }
                return;
            }
            Err(why) => why,
        };
        // No room for one of its own: it shares the one with the fewest.
        let shared = self.conns.iter_mut().filter(|(_, c)| c.lane == lane && !c.silent);
        match shared.min_by_key(|(_, c)| c.open.len() + c.queue.len()) {
            Some((_, conn)) if conn.up_by.is_some() => conn.queue.push_back(Waiting::SetUp(set_up)),
            Some((&token, _)) => self.write_set_up(token, set_up, t),
            // `open` has told the lane of a refusal, but not this set-up of it.
            None => t.inputs.push_back(Input::AttemptFailed(lane, set_up.id, why)),
        }
    }

    /// A connection that is up and carries no set-up, as of now: what has come on it is read first. Guards against a set-up
    /// on a connection whose end is here already, which would count as one that may have run.
    fn idle(&mut self, lane: ServerIncarnation, t: &mut Turn<'_>) -> Option<usize> {
        let fresh = self.bounds.server_idle - Micros(self.bounds.server_idle.0 / 10);
        let now = t.now;
        let fit = |c: &Conn| {
            c.lane == lane && !c.silent && c.up_by.is_none() && c.free() && c.stream.waiting() == 0
        };
        loop {
            let up = self.conns.iter().filter(|(_, c)| fit(c) && now - c.used < fresh);
            let token = up.max_by_key(|(_, c)| c.used).map(|(t, _)| *t)?;
            self.read(token, t);
            // One that has ended is closed by now, and the next is looked at.
            if self.conns.get(&token).is_some_and(fit) {
                return Some(token);
            }
        }
    }

    /// Writes a set-up on a connection that is up, if it may still leave.
    pub(super) fn write_set_up(&mut self, token: usize, set_up: SetUp, t: &mut Turn<'_>) {
        let Some(conn) = self.conns.get_mut(&token) else { return };
        let SetUp { id, ref line, .. } = set_up;
        if !t.may_leave(&set_up) {
            t.inputs.push_back(Input::AttemptFailed(conn.lane, id, AttemptFailure::NotSent));
            return;
        }
        conn.open.push(id);
        conn.used = t.now;
        let sent = conn.stream.send(line);
        self.home(id, token);
        if sent.is_err() {
            self.close(token, AttemptFailure::ConnectionReset, t);
        }
    }

    fn home(&mut self, id: CallId, token: usize) {
        // Tokens rise, so that the lowest is that of the oldest connection.
        if self.homes.len() >= MOST_HOMES
            && let Some(oldest) = self.homes.iter().min_by_key(|(_, token)| **token).map(|(id, _)| *id)
        {
            self.homes.remove(&oldest);
        }
        self.homes.insert(id, token);
    }

    /// Nobody waits for a set-up any more: one that has not left never does.
    pub fn unwanted(&mut self, lane: ServerIncarnation, id: CallId, t: &mut Turn<'_>) {
        if self.take_back(lane, id) {
            t.inputs.push_back(Input::AttemptFailed(lane, id, AttemptFailure::NotSent));
        }
    }

    /// Takes a set-up out of the queue that it waits in; whether it did.
    fn take_back(&mut self, lane: ServerIncarnation, id: CallId) -> bool {
        self.conns.values_mut().filter(|c| c.lane == lane).any(|c| {
            let at = c.queue.iter().position(|w| w.is_set_up(id));
            at.and_then(|at| c.queue.remove(at)).is_some()
        })
    }

    /// Stops waiting for a set-up: its giving-up goes out before anything else does, or its connection is closed.
    pub fn give_up(
        &mut self,
        lane: ServerIncarnation,
        id: CallId,
        line: &[u8],
        silent: bool,
        t: &mut Turn<'_>,
    ) {
        self.homes.remove(&id);
        if self.take_back(lane, id) {
            return;
        }
        let mut of_lane = self.conns.iter_mut().filter(|(_, c)| c.lane == lane);
        let Some((&token, conn)) = of_lane.find(|(_, c)| c.open.contains(&id)) else { return };
        conn.open.retain(|o| *o != id);
        conn.silent |= silent;
        conn.used = t.now;
        if conn.stream.send(line).is_err() || conn.stream.waiting() > 0 {
            self.close(token, AttemptFailure::ConnectionReset, t);
        }
    }

    /// Writes a line on the connection of the session's set-up, else on any, else on a new one.
    pub fn send(&mut self, lane: ServerIncarnation, id: CallId, line: Vec<u8>, t: &mut Turn<'_>) {
        let fit = |c: &Conn| c.lane == lane && c.up_by.is_none();
        loop {
            let home = self.homes.get(&id).copied().filter(|t| self.conns.get(t).is_some_and(fit));
            let newest =
                || self.conns.iter().filter(|(_, c)| fit(c)).max_by_key(|(_, c)| (!c.silent, c.used));
            let Some(token) = home.or_else(|| newest().map(|(t, _)| *t)) else { break };
            // One whose end is here already would swallow it.
            self.read(token, t);
            let Some(conn) = self.conns.get_mut(&token) else { continue };
            conn.used = t.now;
            if conn.stream.send(&line).is_err() {
                self.close(token, AttemptFailure::ConnectionReset, t);
            }
            return;
        }
        self.queue(lane, Waiting::Line(t.now, id, line), t);
    }

    /// Has a line wait for a connection that comes up, or for the next that is opened.
    pub(super) fn queue(&mut self, lane: ServerIncarnation, waiting: Waiting, t: &mut Turn<'_>) {
        let coming = self.conns.iter().find(|(_, c)| c.lane == lane && c.up_by.is_some()).map(|(t, _)| *t);
        let token = coming.map_or_else(|| self.open(lane, t), Ok);
        match (token.ok().and_then(|token| self.conns.get_mut(&token)), waiting) {
            (Some(conn), waiting) => conn.queue.push_back(waiting),
            (None, Waiting::Line(since, id, line)) => {
                if let Some(l) = self.lanes.get_mut(&lane) {
                    l.keep(since, id, line);
                }
            }
            (None, Waiting::SetUp(s)) => {
                t.inputs.push_back(Input::AttemptFailed(lane, s.id, AttemptFailure::NotSent))
            }
        }
    }
}
