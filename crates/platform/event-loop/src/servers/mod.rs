//! Connections to media servers, by lane.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

use beechloft::api::Micros;
use beechloft_front_node::{AttemptFailure, Input, ServerIncarnation};
use beechloft_protocol::CallId;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};

use crate::bounds::Bounds;
use crate::stream::Stream;
use crate::viewers::{Desk, Viewers};

mod conn;
mod lane;
mod reading;
mod sending;
mod sweeping;

pub(crate) use conn::SetUp;
use conn::{Conn, Waiting};
use lane::LaneState;

/// All connections to media servers.
pub(crate) struct Servers {
    conns: BTreeMap<usize, Conn>,
    lanes: BTreeMap<ServerIncarnation, LaneState>,
    /// The connection of a session's set-up.
    homes: BTreeMap<CallId, usize>,
    bounds: Bounds,
    scratch: Vec<u8>,
    /// A media server that the list has refused a connection.
    refused: bool,
}

/// What the loop lends.
pub(crate) struct Turn<'a> {
    pub now: Micros,
    pub registry: &'a Registry,
    pub next: &'a mut usize,
    pub inputs: &'a mut VecDeque<Input>,
    pub viewers: &'a mut Viewers,
}

impl Turn<'_> {
    /// Whether the set-up may leave as of now: its viewer is there, and it has not waited too long.
    fn may_leave(&mut self, set_up: &SetUp) -> bool {
        let mut desk = Desk { now: self.now, registry: self.registry, inputs: self.inputs };
        self.now <= set_up.send_by && self.viewers.waits_for(set_up.viewer, set_up.id, &mut desk)
    }
}

/// Whether an error of `connect` is this machine's own, as of one that is short of descriptors or ports: it says nothing about
/// the other side.
fn of_our_own(e: &io::Error) -> bool {
    use ErrorKind as K;
    let theirs = [
        K::ConnectionRefused,
        K::ConnectionReset,
        K::ConnectionAborted,
        K::HostUnreachable,
        K::NetworkUnreachable,
        K::TimedOut,
    ];
    !theirs.contains(&e.kind())
}

impl Servers {
    pub fn new(bounds: Bounds) -> Self {
        Servers {
            conns: BTreeMap::new(),
            lanes: BTreeMap::new(),
            homes: BTreeMap::new(),
            bounds,
            scratch: vec![0; 16 * 1024],
            refused: false,
        }
    }

    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// Whether a media server that the list has refused a connection since this was last asked.
    pub fn take_refused(&mut self) -> bool {
        std::mem::take(&mut self.refused)
    }

    /// Whether all that was to be said has left.
    pub fn quiet(&self) -> bool {
        self.conns.values().all(Conn::quiet) && !self.lanes.values().any(LaneState::has_unsent)
    }

    pub fn lane(&mut self, lane: ServerIncarnation, addr: SocketAddr, now: Micros) {
        self.lanes.insert(lane, LaneState::new(addr, now));
    }

    /// Nothing belongs to a lane any more. What is still to be said there, as the end of a session that nobody watches, leaves
    /// first, within a bound.
    pub fn forget(&mut self, lane: ServerIncarnation, t: &mut Turn<'_>) {
        if let Some(l) = self.lanes.get_mut(&lane) {
            l.hold = false;
            l.forgotten = Some(t.now + self.bounds.connect_within + self.bounds.linger);
        }
        self.let_go(lane, t);
    }

    /// Closes what is left of a forgotten lane, but for connections on which something is still to be said.
    fn let_go(&mut self, lane: ServerIncarnation, t: &mut Turn<'_>) {
        let Some(by) = self.lanes.get(&lane).and_then(|l| l.forgotten) else { return };
        let over = t.now >= by;
        let of_lane = |(_, c): &(&usize, &Conn)| c.lane == lane && (over || c.quiet());
        for token in self.conns.iter().filter(of_lane).map(|(t, _)| *t).collect::<Vec<_>>() {
            self.hear_and_close(token, t);
        }
        let waits = self.lanes.get_mut(&lane).is_some_and(|l| l.waits(t.now));
        if over || !(waits || self.conns.values().any(|c| c.lane == lane)) {
            self.lanes.remove(&lane);
        }
    }

    pub fn hold(&mut self, lane: ServerIncarnation, hold: bool, t: &mut Turn<'_>) {
        if let Some(l) = self.lanes.get_mut(&lane) {
            l.hold = hold;
            if hold && !self.conns.values().any(|c| c.lane == lane) {
                let _ = self.open(lane, t);
            }
        }
    }

    /// The list has it no more.
    pub fn check(&mut self, lane: ServerIncarnation, t: &mut Turn<'_>) {
        if let Some(l) = self.lanes.get_mut(&lane) {
            l.doubtful = true;
            if l.hold {
                let _ = self.open(lane, t);
            }
        }
    }

    /// Begins a connection; or why none was begun.
    fn open(&mut self, lane: ServerIncarnation, t: &mut Turn<'_>) -> Result<usize, AttemptFailure> {
        if self.conns.len() >= self.bounds.servers && !self.make_room(t) {
            return Err(AttemptFailure::NotSent);
        }
        let Some(l) = self.lanes.get_mut(&lane) else { return Err(AttemptFailure::NotSent) };
        let mut socket = match TcpStream::connect(l.addr) {
            Ok(socket) => socket,
            Err(e) if of_our_own(&e) => {
                l.look_at = t.now + self.bounds.look_again;
                return Err(AttemptFailure::NotSent);
            }
            Err(e) => {
                self.failed(lane, e.kind() == ErrorKind::ConnectionRefused, t);
                return Err(AttemptFailure::NoConnection);
            }
        };
        let _ = socket.set_nodelay(true);
        let token = *t.next;
        *t.next += 1;
        if t.registry.register(&mut socket, Token(token), Interest::READABLE | Interest::WRITABLE).is_err() {
            return Err(AttemptFailure::NotSent);
        }
        let stream = Stream::new(socket, self.bounds.server_out);
        self.conns.insert(token, Conn::new(lane, stream, t.now, t.now + self.bounds.connect_within));
        Ok(token)
    }

    /// Closes the longest idle connection that nothing needs; whether there was one.
    fn make_room(&mut self, t: &mut Turn<'_>) -> bool {
        let count = |lane: ServerIncarnation| self.conns.values().filter(|c| c.lane == lane).count();
        let spare = |c: &Conn| {
            let held = self.lanes.get(&c.lane).is_some_and(|l| l.hold);
            c.free() && c.stream.waiting() == 0 && (!held || count(c.lane) > 1)
        };
        let idle = self.conns.iter().filter(|(_, c)| spare(c)).min_by_key(|(_, c)| c.used).map(|(t, _)| *t);
        idle.into_iter().for_each(|token| self.hear_and_close(token, t));
        idle.is_some()
    }

    /// Reads what has come on a connection that nothing needs, and closes it. Guards against a close with unread bytes,
    /// which the kernel answers with RST and by dropping what was written last.
    fn hear_and_close(&mut self, token: usize, t: &mut Turn<'_>) {
        if self.conns.get(&token).is_some_and(|c| c.up_by.is_none()) {
            self.read(token, t);
        }
        self.close(token, AttemptFailure::ConnectionReset, t);
    }

    /// Closes a connection; set-ups open on it have broken, those that still waited never left.
    fn close(&mut self, token: usize, how: AttemptFailure, t: &mut Turn<'_>) {
        let Some(mut conn) = self.conns.remove(&token) else { return };
        let _ = t.registry.deregister(&mut conn.stream.socket);
        for id in conn.open {
            t.inputs.push_back(Input::AttemptFailed(conn.lane, id, how));
        }
        for waiting in conn.queue {
            match waiting {
                Waiting::SetUp(s) => {
                    let how =
                        if how == AttemptFailure::ConnectionReset { AttemptFailure::NotSent } else { how };
                    t.inputs.push_back(Input::AttemptFailed(conn.lane, s.id, how));
                }
                Waiting::Line(since, id, line) => self.keep(conn.lane, since, id, line, t),
            }
        }
    }

    /// Says a line on a connection that is up, or keeps it for the next that comes up.
    fn keep(&mut self, lane: ServerIncarnation, since: Micros, id: CallId, line: Vec<u8>, t: &mut Turn<'_>) {
        if self.conns.values().any(|c| c.lane == lane && c.up_by.is_none()) {
            self.send(lane, id, line, t);
        } else if let Some(l) = self.lanes.get_mut(&lane) {
            l.keep(since, id, line);
        }
    }

    /// A connection did not come up.
    fn failed(&mut self, lane: ServerIncarnation, refused: bool, t: &mut Turn<'_>) {
        let Some(l) = self.lanes.get_mut(&lane) else { return };
        l.look_at = t.now + self.bounds.look_again;
        if refused {
            l.died();
            self.refused |= !l.doubtful && l.forgotten.is_none();
        }
        // A refusal proves that the process is gone; time-outs do only over a while, unless the list says so too.
        // Guards against machines that vanish, which say nothing; it hurts when a cut lasts that long and heals.
        let since = *l.unreachable.get_or_insert(t.now);
        if refused || l.doubtful || t.now - since >= self.bounds.lost_after {
            t.inputs.push_back(Input::ServerDown(lane));
        }
    }
}
