//! Viewers' connections: accepted within a budget, read in fair turns, closed when they are of no use.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::ErrorKind;

use beechloft::api::Micros;
use beechloft_front_node::{ConnectionUse, Input, ViewerConnection};
use beechloft_protocol::CallId;
use beechloft_protocol::viewer::{FromViewer, ToViewer};
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};

use crate::bounds::Bounds;
use crate::stream::Stream;

mod conn;
mod lingering;

use conn::{Conn, Pulled};
use lingering::Lingering;

/// Says of a connection what it is of use for.
pub(crate) type UseOf<'a> = &'a dyn Fn(ViewerConnection) -> ConnectionUse;

/// What the loop lends.
pub(crate) struct Desk<'a> {
    pub now: Micros,
    pub registry: &'a Registry,
    pub inputs: &'a mut VecDeque<Input>,
}

/// All viewers' connections.
pub(crate) struct Viewers {
    conns: BTreeMap<usize, Conn>,
    lingering: Lingering,
    /// One that was accepted while there was no room; it gets the next.
    parked: Option<TcpStream>,
    bounds: Bounds,
    scratch: Vec<u8>,
    /// Connections about which there is something to be done without their sockets telling of it.
    pending: BTreeSet<usize>,
    /// Accepting is to go on.
    pub accepting: bool,
    /// Somebody may wait to be accepted who finds no descriptor or no room: the next sweep looks again, as a listener tells
    /// of those who come, not of those who wait.
    held_up: bool,
}

impl Viewers {
    pub fn new(bounds: Bounds) -> Self {
        Viewers {
            conns: BTreeMap::new(),
            lingering: Lingering::default(),
            parked: None,
            bounds,
            scratch: vec![0; 16 * 1024],
            pending: BTreeSet::new(),
            accepting: false,
            held_up: false,
        }
    }

    pub fn len(&self) -> usize {
        self.conns.len()
    }

    pub fn has(&self, token: usize) -> bool {
        self.conns.contains_key(&token) || self.lingering.has(token)
    }

    /// Accepts some of what waits; past the budget the one that is least of use makes room. Guards against clients
    /// that open hundreds of connections and say nothing, and against an `accept` that spins without descriptors.
    /// Without a listener, only whoever has been accepted and waits for room.
    pub fn accept(
        &mut self,
        listener: Option<&TcpListener>,
        next: &mut usize,
        use_of: UseOf<'_>,
        desk: &mut Desk<'_>,
    ) {
        const A_TURN: usize = 64;
        for _ in 0..A_TURN {
            let accepted = match (self.parked.take(), listener) {
                (Some(socket), _) => Ok(socket),
                (None, Some(listener)) => listener.accept().map(|(socket, _)| socket),
                (None, None) => Err(ErrorKind::WouldBlock.into()),
            };
            let mut socket = match accepted {
                Ok(socket) => socket,
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {
                    continue;
                }
                Err(e) => {
                    // Out of descriptors, most likely: one is freed, and the next turn goes on.
                    let short = e.kind() != ErrorKind::WouldBlock;
                    self.accepting = short && self.make_room(use_of, desk);
                    self.held_up = short && !self.accepting;
                    return;
                }
            };
            // Only now, as there may be no further one: the newest has proved nothing and would be the one to go.
            let full = self.conns.len() + self.lingering.len() >= self.bounds.viewers;
            if full && !self.make_room(use_of, desk) {
                // All others wait for an answer, which they are owed. This one may have asked already: it waits until one of
                // them has got his, at the next sweep.
                self.parked = Some(socket);
                (self.accepting, self.held_up) = (false, true);
                return;
            }
            let _ = socket.set_nodelay(true);
            let token = *next;
            *next += 1;
            if desk
                .registry
                .register(&mut socket, Token(token), Interest::READABLE | Interest::WRITABLE)
                .is_err()
            {
                continue;
            }
            let stream = Stream::new(socket, self.bounds.viewer_out);
            self.conns.insert(token, Conn::new(stream, desk.now));
        }
    }

    /// Closes the connection that is least of use, the longest idle one first. Guards against bad clients that crowd
    /// out those on which releases are owed. None on which a set-up is open or has just come: that would lose it. Whether
    /// there was one.
    fn make_room(&mut self, use_of: UseOf<'_>, desk: &mut Desk<'_>) -> bool {
        if self.lingering.make_room(desk.registry) {
            return true;
        }
        let of_use = |(t, c): (&usize, &Conn)| (use_of(ViewerConnection(*t as u64)), c.proved, c.since, *t);
        let mut free: Vec<_> =
            self.conns.iter().map(of_use).filter(|c| c.0 != ConnectionUse::Pending).collect();
        free.sort();
        for (_, _, _, token) in free {
            self.pull(token, desk);
            match self.conns.get(&token) {
                // It has just gone by itself.
                None => return true,
                Some(conn) if conn.waits() => {}
                Some(_) => {
                    self.drop_conn(token, desk);
                    return true;
                }
            }
        }
        false
    }

    /// Ends a connection: its last bytes go out, and what still comes is dropped for a while. Answers that wait in it still
    /// count as said: they go out first, or can't.
    pub fn close(&mut self, token: usize, desk: &mut Desk<'_>) {
        let Some(conn) = self.forget(token, desk) else { return };
        // There is no descriptor to spare for hundreds of these: past a part of them the oldest goes.
        if self.lingering.len() >= (self.bounds.viewers / 4).max(1) {
            self.lingering.make_room(desk.registry);
        }
        self.lingering.take(token, conn.stream, desk.now + self.bounds.linger);
        self.lingering.advance(token, self.bounds.linger_bytes, &mut self.scratch, desk.registry);
    }

    /// Closes a connection at once: it is broken, or its client has gone, or nothing of it is unread and nothing unsaid.
    fn drop_conn(&mut self, token: usize, desk: &mut Desk<'_>) {
        if let Some(mut conn) = self.forget(token, desk) {
            let _ = desk.registry.deregister(&mut conn.stream.socket);
        }
    }

    fn forget(&mut self, token: usize, desk: &mut Desk<'_>) -> Option<Conn> {
        let conn = self.conns.remove(&token)?;
        self.pending.remove(&token);
        if !conn.left {
            desk.inputs.push_back(Input::ViewerConnectionClosed(ViewerConnection(token as u64)));
        }
        desk.inputs.extend(conn.unsaid().map(Input::AnswerUndelivered));
        Some(conn)
    }

    /// Its socket is ready. `left`: its client has shut it or reset it, which is known before all that it said is read.
    pub fn ready(&mut self, token: usize, left: bool, desk: &mut Desk<'_>) {
        if self.lingering.has(token) {
            return self.lingering.advance(token, self.bounds.linger_bytes, &mut self.scratch, desk.registry);
        }
        let Some(conn) = self.conns.get_mut(&token) else { return };
        if !conn.flush() {
            return self.drop_conn(token, desk);
        }
        if left {
            self.leave(token, desk);
        }
        self.pull(token, desk);
    }

    /// A client has gone: nobody waits for the answers of its set-ups. Guards against attempts for clients whose end lies
    /// unread behind all that they said.
    fn leave(&mut self, token: usize, desk: &mut Desk<'_>) {
        if let Some(conn) = self.conns.get_mut(&token).filter(|c| !c.left) {
            conn.leave();
            desk.inputs.push_back(Input::ViewerConnectionClosed(ViewerConnection(token as u64)));
        }
    }

    /// Reads ahead on a connection, as far as its share of memory goes.
    fn pull(&mut self, token: usize, desk: &mut Desk<'_>) {
        let Some(conn) = self.conns.get_mut(&token) else { return };
        let mut at_once = Vec::new();
        let pulled = conn.pull(desk.now, self.bounds.viewer_ahead, &mut self.scratch, &mut at_once);
        let from = ViewerConnection(token as u64);
        desk.inputs.extend(at_once.into_iter().map(|m| Input::ViewerMessage(from, m)));
        if pulled == Pulled::Gone {
            self.leave(token, desk);
            self.drop_conn(token, desk);
        } else if conn.pending() {
            self.pending.insert(token);
        }
    }

    /// Connections on which messages wait for their turn, or that may have more to read.
    pub fn pending(&self) -> Vec<usize> {
        self.pending.iter().copied().collect()
    }

    /// Hands over messages whose turn it is.
    pub fn take(&mut self, token: usize, desk: &mut Desk<'_>) {
        self.pending.remove(&token);
        let from = ViewerConnection(token as u64);
        let before = desk.inputs.len();
        for _ in 0..self.bounds.messages_a_turn {
            let Some(message) = self.conns.get_mut(&token).and_then(Conn::next) else { break };
            desk.inputs.push_back(Input::ViewerMessage(from, message));
        }
        let heard = before == desk.inputs.len();
        // What was handed over made room for more.
        self.pull(token, desk);
        // What can't be read costs the connection, once what came before it has been heard and answered.
        if heard && self.conns.get(&token).is_some_and(|c| c.spoilt) {
            self.close(token, desk);
        }
    }

    /// Whether the client of a set-up is there as of now: neither gone nor has it taken the set-up back. Looked at before
    /// anything is done for it that it might not want any more.
    pub fn waits_for(&mut self, conn: ViewerConnection, id: CallId, desk: &mut Desk<'_>) -> bool {
        let token = conn.0 as usize;
        self.pull(token, desk);
        let released = |i: &Input| matches!(i, Input::ViewerMessage(_, FromViewer::Release(r)) if *r == id);
        self.conns.get(&token).is_some_and(|c| !c.left) && !desk.inputs.iter().any(released)
    }

    pub fn say(&mut self, token: usize, message: &ToViewer, desk: &mut Desk<'_>) {
        if let ToViewer::Answer(id, _) = message
            && !self.waits_for(ViewerConnection(token as u64), *id, desk)
        {
            desk.inputs.push_back(Input::AnswerUndelivered(*id));
            return;
        }
        let Some(conn) = self.conns.get_mut(&token).filter(|c| !c.left) else { return };
        if !conn.say(message) {
            self.drop_conn(token, desk);
        }
    }

    /// Closes what has had its time, unless something has just come on it.
    pub fn sweep(&mut self, use_of: UseOf<'_>, desk: &mut Desk<'_>) {
        let (b, now) = (self.bounds, desk.now);
        self.lingering.sweep(now, desk.registry);
        self.accepting |= std::mem::take(&mut self.held_up);
        let over = |(token, c): (&usize, &Conn)| {
            let of_use = use_of(ViewerConnection(*token as u64));
            // An honest client may be slow: one that goes on sending is let finish, if that does not take too long.
            let unproved = if c.slow(now, b.stalled) { b.slow } else { b.unproved };
            let part = c.part.is_some_and(|(since, _)| now - since > unproved);
            let most = match of_use {
                ConnectionUse::None if !c.proved => unproved,
                ConnectionUse::None => b.viewer_useless,
                _ => b.viewer_idle,
            };
            ((part || now - c.since > most) && of_use != ConnectionUse::Pending && !c.waits())
                .then_some(*token)
        };
        let all: Vec<(usize, Micros)> =
            self.conns.iter().filter_map(|c| Some((over(c)?, c.1.since))).collect();
        for (token, since) in all {
            self.pull(token, desk);
            if self.conns.get(&token).is_some_and(|c| c.since == since && !c.waits()) {
                self.close(token, desk);
            }
        }
    }

    /// Whether somebody waits to be accepted for want of a descriptor or of room.
    pub fn held_up(&self) -> bool {
        self.held_up
    }

    /// Whether there is something to be done without any socket telling of it.
    pub fn busy(&self) -> bool {
        self.accepting || !self.pending.is_empty()
    }

    /// Whether anything that came waits to be handed over, or to be looked at.
    pub fn unheard(&self) -> bool {
        self.parked.is_some() || !self.pending.is_empty()
    }

    /// Bytes that wait to be written.
    pub fn waiting(&self) -> usize {
        self.conns.values().map(|c| c.stream.waiting()).sum()
    }

    /// Ends all connections on which nothing is open and nothing has just come; whether all have come to their end.
    pub fn end(&mut self, use_of: UseOf<'_>, desk: &mut Desk<'_>) -> bool {
        for token in self.conns.keys().copied().collect::<Vec<_>>() {
            self.pull(token, desk);
            let done =
                |c: &Conn| !c.waits() && use_of(ViewerConnection(token as u64)) != ConnectionUse::Pending;
            if self.conns.get(&token).is_some_and(done) {
                self.close(token, desk);
            }
        }
        self.conns.is_empty() && self.lingering.len() == 0
    }
}
