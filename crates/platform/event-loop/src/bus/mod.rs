//! The event bus: server-sent events, asked for from the last number on.
//!
//! Whatever comes, the watch goes on: what can't be read costs itself alone, and the next try comes later the less was
//! learnt from those before.

mod numbers;
mod watch;

use std::collections::VecDeque;
use std::net::SocketAddr;

use beechloft::api::Micros;
use beechloft_front_node::{ExponentialBackoff, Input};
use beechloft_http::message::Request;
use http::{HeaderName, Method};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use tracing::{info, warn};

use crate::bounds::Bounds;
use crate::stream::{Got, Stream};
use numbers::{Numbers, Worth};
use watch::{Bad, Watch};

/// An answer's head, and each event, is whole this long after it began, or the connection is given up: a byte now and then
/// is no life. Half a megabyte over a slow line takes less.
const WHOLE_WITHIN: Micros = Micros(5_000_000);

/// Waits between answers that tell nothing new grow up to this, past those for a bus that refuses (`bus_again_most`): a bus
/// that answers has had its say. Less than the 2 s after which what a broken watch would have told counts as told.
const FRUITLESS_MOST: Micros = Micros(1_500_000);

/// From the first doubt about a watch that goes on to its being asked anew, at first; half of it is left to chance, as all
/// front nodes meet the same dead server. What a silent bus would have told counts as told after 4 s: not asked before.
const DOUBT_FIRST: Micros = Micros(8_000_000);

/// ... and up to this while nothing new is learnt by asking: a server that is listed and refuses is then the server's own
/// trouble, and each call is one of hundreds of front nodes.
const DOUBT_MOST: Micros = Micros(60_000_000);

struct Conn {
    token: usize,
    stream: Stream,
    asked: bool,
    /// The bus has said something on it.
    spoke: bool,
    watch: Watch,
    since: Micros,
    heard: Micros,
}

/// The watch on the event bus.
pub struct Bus {
    addr: SocketAddr,
    numbers: Numbers,
    conn: Option<Conn>,
    again_at: Micros,
    /// Waits after connections that came to nothing.
    refused: ExponentialBackoff,
    /// Waits after answers that told nothing new.
    fruitless: ExponentialBackoff,
    /// Waits from a doubt to the next call.
    doubts: ExponentialBackoff,
    /// There is a doubt: when the list is asked for anew if nothing new comes.
    doubted_until: Option<Micros>,
    bounds: Bounds,
}

impl Bus {
    /// A watch that knows all up to a number; it connects when [`Bus::sweep`] is called.
    pub fn new(addr: SocketAddr, last: u64, bounds: Bounds, seed: u64) -> Self {
        let backoff = |first, most, of: u64| ExponentialBackoff::new(first, most, seed.wrapping_add(of));
        Bus {
            addr,
            numbers: Numbers::from(last),
            conn: None,
            again_at: Micros(0),
            refused: backoff(bounds.bus_again, bounds.bus_again_most, 0),
            fruitless: backoff(bounds.bus_again, FRUITLESS_MOST.max(bounds.bus_again_most), 1),
            doubts: backoff(DOUBT_FIRST, DOUBT_MOST, 2),
            doubted_until: None,
            bounds,
        }
    }

    /// Whether a token is its connection's.
    pub fn has(&self, token: usize) -> bool {
        self.conn.as_ref().is_some_and(|c| c.token == token)
    }

    /// Another address; the numbering goes on. What is unread on the old connection comes again on the new one, as it is
    /// asked for from the last number that counts.
    pub fn move_to(&mut self, addr: SocketAddr, now: Micros, registry: &Registry) {
        if addr != self.addr {
            info!(%addr, last = self.numbers.last(), "event bus moves");
            self.addr = addr;
            self.drop_conn(registry);
            self.again_at = now;
            self.learnt();
        }
    }

    /// Something contradicts the list, as a media server that it calls ready and that refuses connections does: if nothing
    /// new is told for some seconds, the list is asked for anew from the last number on. Guards against a watch that goes on
    /// with comments and tells nothing, which time alone can't tell from a list that does not change.
    pub fn doubt(&mut self, now: Micros) {
        if self.doubted_until.is_none() {
            self.doubted_until = Some(now + self.doubts.next_delay());
        }
    }

    /// Something new was told: what was tried before has worked.
    fn learnt(&mut self) {
        self.refused.reset();
        self.fruitless.reset();
        self.doubts.reset();
        self.doubted_until = None;
    }

    fn drop_conn(&mut self, registry: &Registry) -> Option<Conn> {
        let mut conn = self.conn.take()?;
        let _ = registry.deregister(&mut conn.stream.socket);
        Some(conn)
    }

    /// Asks again soon; an event cut off in the middle was not applied, and comes again.
    fn broke(&mut self, now: Micros, registry: &Registry) {
        let conn = self.drop_conn(registry);
        let spoke = conn.as_ref().is_some_and(|c| c.spoke);
        if conn.is_some_and(|c| c.watch.answered() && c.heard - c.since > self.bounds.bus_silence) {
            // It held for longer than a dead one would have: an everyday break.
            self.refused.reset();
            self.fruitless.reset();
        }
        let backoff = if spoke { &mut self.fruitless } else { &mut self.refused };
        self.again_at = now + backoff.next_delay();
    }

    /// Connects if it is time, and takes silence for a break.
    pub fn sweep(&mut self, now: Micros, registry: &Registry, next: &mut usize) {
        if let Some(conn) = &self.conn {
            let silent = now - conn.heard > self.bounds.bus_silence;
            let slow = conn.watch.unfinished(now) > WHOLE_WITHIN;
            if silent || slow {
                warn!(silent, slow, last = self.numbers.last(), "event bus tells nothing");
                self.broke(now, registry);
            }
        }
        if self.doubted_until.is_some_and(|due| now >= due) {
            self.doubted_until = None;
            if self.drop_conn(registry).is_some() {
                info!(
                    last = self.numbers.last(),
                    "what the list says is not what is met; it is asked for anew"
                );
                self.again_at = now;
            }
        }
        if self.conn.is_some() || now < self.again_at {
            return;
        }
        let Ok(mut socket) = TcpStream::connect(self.addr) else { return self.broke(now, registry) };
        let token = *next;
        *next += 1;
        if registry.register(&mut socket, Token(token), Interest::READABLE | Interest::WRITABLE).is_err() {
            return self.broke(now, registry);
        }
        let stream = Stream::new(socket, 4096);
        let watch = Watch::new(now, self.bounds.event_bytes);
        self.conn = Some(Conn { token, stream, asked: false, spoke: false, watch, since: now, heard: now });
    }

    /// Its socket is ready: whether there may be more.
    pub fn ready(
        &mut self,
        now: Micros,
        scratch: &mut [u8],
        registry: &Registry,
        inputs: &mut VecDeque<Input>,
    ) -> bool {
        match self.advance(now, scratch, inputs) {
            Ok(more) => more,
            Err(why) => {
                warn!(why, last = self.numbers.last(), "event bus broke off");
                self.broke(now, registry);
                false
            }
        }
    }

    fn advance(
        &mut self,
        now: Micros,
        scratch: &mut [u8],
        inputs: &mut VecDeque<Input>,
    ) -> Result<bool, &'static str> {
        let Some(conn) = &mut self.conn else { return Ok(false) };
        if !conn.asked {
            match conn.stream.connected() {
                None => return Ok(false),
                Some(Err(_)) => return Err("no connection"),
                Some(Ok(())) => {}
            }
            let request = Request::new(Method::GET, "/bus/read")
                .with(HeaderName::from_static("last-event-id"), self.numbers.last().to_string())
                .with(http::header::ACCEPT, "text/event-stream");
            conn.stream.send(&request.encode(&self.addr.to_string())).map_err(|_| "not written")?;
            conn.asked = true;
            // Asked anew after the doubt, whatever for.
            self.doubted_until = None;
        }
        conn.stream.flush().map_err(|_| "not written")?;
        let mut bytes = 0;
        while bytes < self.bounds.bytes_a_turn {
            let Some(conn) = &mut self.conn else { return Ok(false) };
            let n = match conn.stream.read(scratch) {
                Got::Some(n) => n,
                Got::Nothing => return Ok(false),
                Got::End => return Err("ended"),
            };
            bytes += n;
            (conn.heard, conn.spoke) = (now, true);
            let mut events = Vec::new();
            let numbers = &mut self.numbers;
            // Whole events before a fault count: they would be hidden if it came with them each time.
            let took = conn.watch.take(now, &scratch[..n], &mut events, &mut || !numbers.ask_again());
            for event in events {
                match self.numbers.hear(&event) {
                    Worth::New(topology) => {
                        self.learnt();
                        inputs.extend(topology.map(Input::Topology));
                    }
                    Worth::Unnumbered(topology) => inputs.extend(topology.map(Input::Topology)),
                    Worth::AskAgain => return Err("an event that can't be read"),
                    Worth::Nothing => {}
                }
            }
            match took {
                Ok(()) => {}
                Err(Bad::Endless) => return Err("an endless event"),
                Err(Bad::Broken(why)) => return Err(why),
            }
        }
        Ok(true)
    }
}
