//! Viewers' connections: accepted within a budget, read in fair turns, closed when they are of no use.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, ErrorKind};

use beechloft::interface::Micros;
use beechloft_node::{Input, Use, ViewerConn};
use beechloft_proto::CallId;
use beechloft_proto::binary::Decoder;
use beechloft_proto::viewer::{FromViewer, ToViewer};
use mio::net::TcpListener;
use mio::{Interest, Registry, Token};

use crate::bounds::Bounds;
use crate::stream::{Got, Stream};

struct Conn {
    stream: Stream,
    decoder: Decoder,
    /// It has carried a set-up that could be read, or a test.
    proved: bool,
    /// When it was opened, or the last whole message came.
    since: Micros,
    /// Since when a part of a message waits for its rest.
    part_since: Option<Micros>,
    /// Bytes said so far, and where each answer that has not wholly left ends among them.
    said: u64,
    unsaid: VecDeque<(u64, CallId)>,
}

impl Conn {
    /// Forgets answers that have left.
    fn left(&mut self) {
        let gone = self.said - self.stream.waiting() as u64;
        while self.unsaid.front().is_some_and(|(end, _)| *end <= gone) {
            self.unsaid.pop_front();
        }
    }
}

/// Says of a connection what it is of use for.
pub(crate) type UseOf<'a> = &'a dyn Fn(ViewerConn) -> Use;

/// All viewers' connections.
pub(crate) struct Viewers {
    conns: BTreeMap<usize, Conn>,
    bounds: Bounds,
    /// Accepting is to go on.
    pub accepting: bool,
}

impl Viewers {
    pub fn new(bounds: Bounds) -> Self {
        Viewers { conns: BTreeMap::new(), bounds, accepting: false }
    }

    pub fn len(&self) -> usize {
        self.conns.len()
    }

    pub fn has(&self, token: usize) -> bool {
        self.conns.contains_key(&token)
    }

    /// Accepts some of what waits; past the budget the one that is least of use makes room. Guards against clients
    /// that open hundreds of connections and say nothing, and against an `accept` that spins without descriptors.
    pub fn accept(
        &mut self,
        listener: &TcpListener,
        registry: &Registry,
        now: Micros,
        next: &mut usize,
        use_of: UseOf<'_>,
        inputs: &mut VecDeque<Input>,
    ) -> io::Result<()> {
        const A_TURN: usize = 64;
        for _ in 0..A_TURN {
            let mut socket = match listener.accept() {
                Ok((socket, _)) => socket,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.accepting = false;
                    return Ok(());
                }
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {
                    continue;
                }
                // Out of descriptors, most likely: one is freed, and the next turn goes on.
                Err(_) => {
                    self.make_room(use_of, registry, inputs);
                    return Ok(());
                }
            };
            // Only now, as there may be no further one: the newest has proved nothing and would be the one to go.
            let full = self.conns.len() >= self.bounds.viewers;
            if full && !self.make_room(use_of, registry, inputs) {
                // All others wait for an answer, which they are owed; this one has asked for nothing yet.
                continue;
            }
            let _ = socket.set_nodelay(true);
            let token = *next;
            *next += 1;
            if registry.register(&mut socket, Token(token), Interest::READABLE | Interest::WRITABLE).is_err()
            {
                continue;
            }
            let stream = Stream::new(socket, self.bounds.viewer_out);
            let decoder = Decoder::default();
            let (said, unsaid) = (0, VecDeque::new());
            let conn = Conn { stream, decoder, proved: false, since: now, part_since: None, said, unsaid };
            self.conns.insert(token, conn);
        }
        Ok(())
    }

    /// Closes the connection that is least of use, the longest idle one first. Guards against bad clients that crowd
    /// out those on which releases are owed. None on which a set-up is open: that would lose it. Whether there was one.
    fn make_room(&mut self, use_of: UseOf<'_>, registry: &Registry, inputs: &mut VecDeque<Input>) -> bool {
        let of_use = |(t, c): (&usize, &Conn)| (use_of(ViewerConn(*t as u64)), c.proved, c.since, *t);
        let free = self.conns.iter().map(of_use).filter(|c| c.0 != Use::Open);
        let least = free.min().map(|c| c.3);
        if let Some(token) = least {
            self.close(token, registry, inputs);
        }
        least.is_some()
    }

    pub fn close(&mut self, token: usize, registry: &Registry, inputs: &mut VecDeque<Input>) {
        if let Some(mut conn) = self.conns.remove(&token) {
            let _ = registry.deregister(&mut conn.stream.socket);
            inputs.push_back(Input::ViewerClosed(ViewerConn(token as u64)));
            inputs.extend(conn.unsaid.into_iter().map(|(_, id)| Input::Unsaid(id)));
        }
    }

    /// Reads from a connection as far as a turn goes; whether there may be more.
    pub fn read(
        &mut self,
        token: usize,
        now: Micros,
        scratch: &mut [u8],
        registry: &Registry,
        inputs: &mut VecDeque<Input>,
    ) -> bool {
        let Some(conn) = self.conns.get_mut(&token) else { return false };
        let mut messages = 0;
        let mut bytes = 0;
        loop {
            // What was read earlier comes first, so that the buffer stays within a message and a read.
            loop {
                if messages >= self.bounds.messages_a_turn {
                    return true;
                }
                let message = match conn.decoder.next_frame() {
                    Ok(None) => {
                        // Also a part behind whole messages of the same read waits from now on.
                        let part = conn.decoder.pending() > 0;
                        conn.part_since = part.then(|| conn.part_since.unwrap_or(now));
                        break;
                    }
                    Ok(Some(frame)) => FromViewer::read(&frame),
                    Err(e) => Err(e),
                };
                let Ok(message) = message else {
                    // What can't be read costs the connection, at once.
                    self.close(token, registry, inputs);
                    return false;
                };
                messages += 1;
                conn.since = now;
                conn.part_since = None;
                match &message {
                    FromViewer::SetUp(_, Ok(_)) | FromViewer::Test(_) => conn.proved = true,
                    _ => {}
                }
                inputs.push_back(Input::Viewer(ViewerConn(token as u64), message));
            }
            if bytes >= self.bounds.bytes_a_turn {
                return true;
            }
            match conn.stream.read(scratch) {
                Got::Some(n) => {
                    bytes += n;
                    conn.decoder.push(&scratch[..n]);
                }
                Got::Nothing => return false,
                Got::End => {
                    self.close(token, registry, inputs);
                    return false;
                }
            }
        }
    }

    pub fn say(
        &mut self,
        token: usize,
        message: &ToViewer,
        registry: &Registry,
        inputs: &mut VecDeque<Input>,
    ) {
        let answer = match message {
            ToViewer::Answer(id, _) => Some(*id),
            _ => None,
        };
        let Some(conn) = self.conns.get_mut(&token) else {
            inputs.extend(answer.map(Input::Unsaid));
            return;
        };
        let bytes = message.encode();
        conn.said += bytes.as_ref().map_or(0, Vec::len) as u64;
        conn.unsaid.extend(answer.map(|id| (conn.said, id)));
        if bytes.map(|b| conn.stream.send(&b)) == Some(Ok(())) {
            conn.left();
        } else {
            self.close(token, registry, inputs);
        }
    }

    pub fn flush(&mut self, token: usize, registry: &Registry, inputs: &mut VecDeque<Input>) {
        let Some(conn) = self.conns.get_mut(&token) else { return };
        match conn.stream.flush() {
            Ok(()) => conn.left(),
            Err(_) => {
                conn.left();
                self.close(token, registry, inputs);
            }
        }
    }

    /// Closes what has had its time; those in `reading` have bytes that wait for their turn.
    pub fn sweep(
        &mut self,
        now: Micros,
        reading: &BTreeSet<usize>,
        use_of: UseOf<'_>,
        registry: &Registry,
        inputs: &mut VecDeque<Input>,
    ) {
        let b = &self.bounds;
        let over = |(token, c): (&usize, &Conn)| {
            let part = c.part_since.is_some_and(|t| now - t > b.unproved) && !reading.contains(token);
            let of_use = use_of(ViewerConn(*token as u64));
            let most = match of_use {
                Use::None if !c.proved => b.unproved,
                Use::None => b.viewer_useless,
                _ => b.viewer_idle,
            };
            let idle = now - c.since > most && !reading.contains(token);
            ((part || idle) && of_use != Use::Open).then_some(*token)
        };
        let all: Vec<usize> = self.conns.iter().filter_map(over).collect();
        for token in all {
            self.close(token, registry, inputs);
        }
    }

    /// Bytes that wait to be written.
    pub fn waiting(&self) -> usize {
        self.conns.values().map(|c| c.stream.waiting()).sum()
    }
}

#[cfg(test)]
mod tests {
    use std::net::TcpStream;
    use std::time::Duration;

    use mio::Poll;

    use super::*;

    /// A viewers' connection, and the viewer's end of it.
    fn connected(poll: &Poll) -> (Viewers, usize, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let peer = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
        let mut viewers = Viewers::new(Bounds::fit(64, Micros(0), Micros(0), Micros(0)));
        let (mut next, mut inputs) = (16, VecDeque::new());
        while viewers.len() == 0 {
            let use_of = |_| Use::None;
            viewers
                .accept(&listener, poll.registry(), Micros(1), &mut next, &use_of, &mut inputs)
                .expect("accepted");
        }
        (viewers, 16, peer)
    }

    #[test]
    fn an_answer_that_can_not_leave_is_told_and_one_that_left_is_not() {
        let poll = Poll::new().expect("a poll");
        let (mut viewers, token, peer) = connected(&poll);
        let mut inputs = VecDeque::new();
        let answer = |id| ToViewer::Answer(CallId(id), "text".into());
        viewers.say(token, &answer(1), poll.registry(), &mut inputs);
        assert!(inputs.is_empty(), "{inputs:?}");
        // The viewer's machine resets the connection.
        socket2::SockRef::from(&peer).set_linger(Some(Duration::ZERO)).expect("set");
        drop(peer);
        let mut id = 2;
        while viewers.has(token) {
            viewers.say(token, &answer(id), poll.registry(), &mut inputs);
            id += 1;
        }
        let closed = Input::ViewerClosed(ViewerConn(token as u64));
        assert_eq!(inputs, [closed, Input::Unsaid(CallId(id - 1))]);
        // Nor does one whose connection has closed in the same turn.
        viewers.say(token, &answer(99), poll.registry(), &mut inputs);
        assert_eq!(inputs.pop_back(), Some(Input::Unsaid(CallId(99))));
    }
}
