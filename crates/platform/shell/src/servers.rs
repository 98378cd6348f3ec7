//! Connections to media servers, by lane.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use beechloft::interface::Micros;
use beechloft_node::{Broken, Input, Lane};
use beechloft_proto::CallId;
use beechloft_proto::lines::Decoder;
use beechloft_proto::server::Line;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};

use crate::bounds::Bounds;
use crate::stream::{Got, Stream};

struct Conn {
    lane: Lane,
    stream: Stream,
    decoder: Decoder,
    /// When it is to be up; none: it is up.
    up_by: Option<Micros>,
    /// Set-ups and other lines that wait for it to be up.
    queue: Vec<(CallId, bool, Vec<u8>)>,
    /// Set-ups that are open on it.
    open: Vec<CallId>,
    /// A set-up was not answered in time and nothing has come since: it takes no further one.
    silent: bool,
    /// When something last came or went.
    used: Micros,
}

struct LaneState {
    addr: SocketAddr,
    hold: bool,
    /// The list has it no more: the first failure to reach it settles that it is lost.
    doubtful: bool,
    /// When something last came from it, or a connection came up.
    heard: Micros,
    /// Since when it can't be reached.
    unreachable: Option<Micros>,
    /// No look at it before this.
    look_at: Micros,
}

/// Where sessions that stand had their set-ups, bounded.
const MOST_HOMES: usize = 8192;

/// All connections to media servers.
pub(crate) struct Servers {
    conns: BTreeMap<usize, Conn>,
    lanes: BTreeMap<Lane, LaneState>,
    /// The connection of a session's set-up.
    homes: BTreeMap<CallId, usize>,
    bounds: Bounds,
}

/// What the loop lends.
pub(crate) struct Turn<'a> {
    pub now: Micros,
    pub registry: &'a Registry,
    pub next: &'a mut usize,
    pub inputs: &'a mut VecDeque<Input>,
}

impl Servers {
    pub fn new(bounds: Bounds) -> Self {
        Servers { conns: BTreeMap::new(), lanes: BTreeMap::new(), homes: BTreeMap::new(), bounds }
    }

    pub fn len(&self) -> usize {
        self.conns.len()
    }

    pub fn lane(&mut self, lane: Lane, addr: SocketAddr, now: Micros) {
        let state =
            LaneState { addr, hold: false, doubtful: false, heard: now, unreachable: None, look_at: now };
        self.lanes.insert(lane, state);
    }

    pub fn forget(&mut self, lane: Lane, t: &mut Turn<'_>) {
        self.lanes.remove(&lane);
        let all: Vec<usize> = self.conns.iter().filter(|(_, c)| c.lane == lane).map(|(t, _)| *t).collect();
        for token in all {
            self.close(token, Broken::Reset, t);
        }
    }

    pub fn hold(&mut self, lane: Lane, hold: bool, t: &mut Turn<'_>) {
        if let Some(l) = self.lanes.get_mut(&lane) {
            l.hold = hold;
            if hold && !self.conns.values().any(|c| c.lane == lane) {
                self.open(lane, t);
            }
        }
    }

    /// The list has it no more.
    pub fn check(&mut self, lane: Lane, t: &mut Turn<'_>) {
        if let Some(l) = self.lanes.get_mut(&lane) {
            l.doubtful = true;
            if l.hold {
                self.open(lane, t);
            }
        }
    }

    /// Begins a connection.
    fn open(&mut self, lane: Lane, t: &mut Turn<'_>) -> Option<usize> {
        if self.conns.len() >= self.bounds.servers && !self.make_room(t) {
            return None;
        }
        let addr = self.lanes.get(&lane)?.addr;
        let mut socket = match TcpStream::connect(addr) {
            Ok(socket) => socket,
            Err(e) => {
                self.failed(lane, e.kind() == std::io::ErrorKind::ConnectionRefused, t);
                return None;
            }
        };
        let _ = socket.set_nodelay(true);
        let token = *t.next;
        *t.next += 1;
        t.registry.register(&mut socket, Token(token), Interest::READABLE | Interest::WRITABLE).ok()?;
        let conn = Conn {
            lane,
            stream: Stream::new(socket, self.bounds.server_out),
            decoder: Decoder::default(),
            up_by: Some(t.now + self.bounds.connect_within),
            queue: Vec::new(),
            open: Vec::new(),
            silent: false,
            used: t.now,
        };
        self.conns.insert(token, conn);
        Some(token)
    }

    /// Closes the longest idle connection that nothing needs; whether there was one.
    fn make_room(&mut self, t: &mut Turn<'_>) -> bool {
        let count = |lane: Lane| self.conns.values().filter(|c| c.lane == lane).count();
        let spare = |c: &Conn| {
            let held = self.lanes.get(&c.lane).is_some_and(|l| l.hold);
            c.open.is_empty() && c.queue.is_empty() && (!held || count(c.lane) > 1)
        };
        let idle = self.conns.iter().filter(|(_, c)| spare(c)).min_by_key(|(_, c)| c.used).map(|(t, _)| *t);
        match idle {
            Some(token) => {
                self.close(token, Broken::Reset, t);
                true
            }
            None => false,
        }
    }

    /// Closes a connection; set-ups open on it have broken, those that still waited never left.
    fn close(&mut self, token: usize, how: Broken, t: &mut Turn<'_>) {
        let Some(mut conn) = self.conns.remove(&token) else { return };
        let _ = t.registry.deregister(&mut conn.stream.socket);
        for id in conn.open {
            t.inputs.push_back(Input::Broken(conn.lane, id, how));
        }
        for (id, setup, line) in conn.queue {
            if setup {
                let how = if how == Broken::Reset { Broken::Unsent } else { how };
                t.inputs.push_back(Input::Broken(conn.lane, id, how));
            } else if how == Broken::Reset {
                self.send(conn.lane, id, line, t);
            }
        }
    }

    /// A connection did not come up.
    fn failed(&mut self, lane: Lane, refused: bool, t: &mut Turn<'_>) {
        let Some(l) = self.lanes.get_mut(&lane) else { return };
        l.look_at = t.now + self.bounds.look_again;
        // A refusal proves that the process is gone; time-outs do only over a while, unless the list says so too.
        // Guards against machines that vanish, which say nothing; it hurts when a cut lasts that long and heals.
        let since = *l.unreachable.get_or_insert(t.now);
        if refused || l.doubtful || t.now - since >= self.bounds.lost_after {
            t.inputs.push_back(Input::Lost(lane));
        }
    }

    /// Writes a set-up on a connection that carries no other, if descriptors allow: what spoils one answer costs
    /// every set-up that is open on its connection.
    pub fn set_up(&mut self, lane: Lane, id: CallId, line: Vec<u8>, t: &mut Turn<'_>) {
        let fresh = self.bounds.server_idle - Micros(self.bounds.server_idle.0 / 10);
        let free = |c: &Conn| c.open.is_empty() && c.queue.is_empty();
        let fit = |c: &Conn| c.lane == lane && !c.silent && c.up_by.is_none() && free(c);
        let up = self.conns.iter().filter(|(_, c)| fit(c) && t.now - c.used < fresh);
        if let Some(token) = up.max_by_key(|(_, c)| c.used).map(|(t, _)| *t) {
            return self.write_set_up(token, id, &line, t);
        }
        let count = self.conns.values().filter(|c| c.lane == lane).count();
        let waiting = self.conns.iter().find(|(_, c)| c.lane == lane && c.up_by.is_some() && free(c));
        let token = match waiting.map(|(t, _)| *t) {
            Some(token) => Some(token),
            None if count < self.bounds.per_server => self.open(lane, t),
            None => None,
        };
        if let Some(conn) = token.and_then(|token| self.conns.get_mut(&token)) {
            conn.queue.push((id, true, line));
            return;
        }
        // No room for one of its own: it shares the one with the fewest.
        let shared = self.conns.iter_mut().filter(|(_, c)| c.lane == lane && !c.silent);
        match shared.min_by_key(|(_, c)| c.open.len() + c.queue.len()) {
            Some((_, conn)) if conn.up_by.is_some() => conn.queue.push((id, true, line)),
            Some((&token, _)) => self.write_set_up(token, id, &line, t),
            // `open` has told the lane of a refusal, but not this set-up of it.
            None => t.inputs.push_back(Input::Broken(lane, id, Broken::NoConnection)),
        }
    }

    /// Writes a set-up on a connection that is up.
    fn write_set_up(&mut self, token: usize, id: CallId, line: &[u8], t: &mut Turn<'_>) {
        let Some(conn) = self.conns.get_mut(&token) else { return };
        conn.open.push(id);
        conn.used = t.now;
        let sent = conn.stream.send(line);
        self.home(id, token);
        if sent.is_err() {
            self.close(token, Broken::Reset, t);
        }
    }

    fn home(&mut self, id: CallId, token: usize) {
        if self.homes.len() >= MOST_HOMES {
            self.homes.pop_first();
        }
        self.homes.insert(id, token);
    }

    /// Stops waiting for a set-up: its giving-up goes out before anything else does, or its connection is closed.
    pub fn give_up(&mut self, lane: Lane, id: CallId, line: &[u8], silent: bool, t: &mut Turn<'_>) {
        let token = self.conns.iter_mut().filter(|(_, c)| c.lane == lane).find_map(|(token, c)| {
            let waiting = c.queue.iter().position(|q| q.0 == id && q.1);
            if let Some(at) = waiting {
                c.queue.remove(at);
                return Some((*token, false));
            }
            let at = c.open.iter().position(|o| *o == id)?;
            c.open.remove(at);
            Some((*token, true))
        });
        self.homes.remove(&id);
        let Some((token, true)) = token else { return };
        let Some(conn) = self.conns.get_mut(&token) else { return };
        conn.silent |= silent;
        conn.used = t.now;
        if conn.stream.send(line).is_err() || conn.stream.waiting() > 0 {
            self.close(token, Broken::Reset, t);
        }
    }

    /// Writes a line on the connection of the session's set-up, else on any, else on a new one.
    pub fn send(&mut self, lane: Lane, id: CallId, line: Vec<u8>, t: &mut Turn<'_>) {
        let fit = |c: &Conn| c.lane == lane && c.up_by.is_none();
        let home = self.homes.get(&id).copied().filter(|t| self.conns.get(t).is_some_and(fit));
        let newest = || self.conns.iter().filter(|(_, c)| fit(c)).max_by_key(|(_, c)| (!c.silent, c.used));
        let token = home.or_else(|| newest().map(|(t, _)| *t));
        if let Some(token) = token
            && let Some(conn) = self.conns.get_mut(&token)
        {
            conn.used = t.now;
            if conn.stream.send(&line).is_err() {
                self.close(token, Broken::Reset, t);
            }
            return;
        }
        let waiting = self.conns.iter().find(|(_, c)| c.lane == lane).map(|(t, _)| *t);
        let token = waiting.or_else(|| self.open(lane, t));
        if let Some(conn) = token.and_then(|token| self.conns.get_mut(&token)) {
            conn.queue.push((id, false, line));
        }
    }

    /// A socket is ready: whether there may be more to read.
    pub fn ready(&mut self, token: usize, scratch: &mut [u8], t: &mut Turn<'_>) -> bool {
        let Some(conn) = self.conns.get_mut(&token) else { return false };
        let lane = conn.lane;
        if conn.up_by.is_some() {
            match conn.stream.connected() {
                None => return false,
                Some(Err(e)) => {
                    self.close(token, Broken::NoConnection, t);
                    self.failed(lane, e.kind() == std::io::ErrorKind::ConnectionRefused, t);
                    return false;
                }
                Some(Ok(())) => self.up(token, t),
            }
        }
        let Some(conn) = self.conns.get_mut(&token) else { return false };
        if conn.stream.flush().is_err() {
            self.close(token, Broken::Reset, t);
            return false;
        }
        self.read(token, scratch, t)
    }

    fn up(&mut self, token: usize, t: &mut Turn<'_>) {
        let Some(conn) = self.conns.get_mut(&token) else { return };
        (conn.up_by, conn.used) = (None, t.now);
        if let Some(l) = self.lanes.get_mut(&conn.lane) {
            (l.unreachable, l.heard) = (None, t.now);
        }
        let mut sent = Ok(());
        let mut homes = Vec::new();
        for (id, setup, line) in std::mem::take(&mut conn.queue) {
            if setup {
                conn.open.push(id);
                homes.push(id);
            }
            sent = sent.and(conn.stream.send(&line));
        }
        for id in homes {
            self.home(id, token);
        }
        if sent.is_err() {
            self.close(token, Broken::Reset, t);
        }
    }

    fn read(&mut self, token: usize, scratch: &mut [u8], t: &mut Turn<'_>) -> bool {
        let Some(conn) = self.conns.get_mut(&token) else { return false };
        let mut bytes = 0;
        while bytes < self.bounds.bytes_a_turn {
            match conn.stream.read(scratch) {
                Got::Some(n) => {
                    bytes += n;
                    (conn.silent, conn.used) = (false, t.now);
                    if let Some(l) = self.lanes.get_mut(&conn.lane) {
                        l.heard = t.now;
                    }
                    conn.decoder.push(&scratch[..n]);
                    loop {
                        let line = match conn.decoder.next_line() {
                            Ok(None) => break,
                            Ok(Some(line)) => Line::read(&line).ok(),
                            Err(_) => None,
                        };
                        let Some(line) = line else {
                            // What can't be read costs this connection and each set-up on it, nothing more.
                            self.close(token, Broken::Reset, t);
                            return false;
                        };
                        conn.open.retain(|id| !ends(&line, *id));
                        t.inputs.push_back(Input::Server(conn.lane, line));
                    }
                }
                Got::Nothing => return false,
                Got::End => {
                    self.close(token, Broken::Reset, t);
                    return false;
                }
            }
        }
        true
    }

    /// Looks at what has had its time.
    pub fn sweep(&mut self, t: &mut Turn<'_>) {
        let late: Vec<usize> = self
            .conns
            .iter()
            .filter(|(_, c)| c.up_by.is_some_and(|at| t.now >= at))
            .map(|(t, _)| *t)
            .collect();
        for token in late {
            let Some(lane) = self.conns.get(&token).map(|c| c.lane) else { continue };
            self.close(token, Broken::NoConnection, t);
            self.failed(lane, false, t);
        }
        let idle = self.bounds.server_idle - Micros(self.bounds.server_idle.0 / 20);
        let old: Vec<usize> = self
            .conns
            .iter()
            .filter(|(_, c)| c.open.is_empty() && c.queue.is_empty() && t.now - c.used > idle)
            .map(|(t, _)| *t)
            .collect();
        for token in old {
            self.close(token, Broken::Reset, t);
        }
        let look: Vec<Lane> = self
            .lanes
            .iter()
            .filter(|(id, l)| {
                let mut own = self.conns.values().filter(|c| c.lane == **id);
                let none = own.clone().next().is_none();
                let unheard = t.now - l.heard > self.bounds.silence && !own.any(|c| c.up_by.is_some());
                l.hold && t.now >= l.look_at && (none || unheard)
            })
            .map(|(id, _)| *id)
            .collect();
        for lane in look {
            if let Some(l) = self.lanes.get_mut(&lane) {
                l.look_at = t.now + self.bounds.look_again;
            }
            self.open(lane, t);
        }
        let (homes, conns) = (&mut self.homes, &self.conns);
        homes.retain(|_, token| conns.contains_key(token));
    }
}

/// Whether a line ends the wait for a set-up.
fn ends(line: &Line, id: CallId) -> bool {
    use beechloft_proto::server::FromServer;
    matches!(&line.message, FromServer::Accept(i, _) | FromServer::End(i, _) if *i == id)
}
