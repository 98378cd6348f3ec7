//! The event bus: server-sent events, asked for from the last number on.

use std::net::SocketAddr;

use beechloft::interface::Micros;
use beechloft_http::body::Decoder;
use beechloft_http::limits::Limits;
use beechloft_http::message::{self, Request};
use beechloft_http::sse::Parser;
use beechloft_node::{Backoff, Input};
use beechloft_proto::bus::Event;
use http::{HeaderName, Method, StatusCode};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use tracing::{info, warn};

use crate::bounds::Bounds;
use crate::stream::{Got, Stream};

enum Body {
    /// The response's head is not whole yet.
    Head(Vec<u8>),
    /// Events come.
    Events { raw: Vec<u8>, decoder: Decoder, parser: Parser },
}

struct Conn {
    token: usize,
    stream: Stream,
    asked: bool,
    body: Body,
    heard: Micros,
}

pub(crate) struct Bus {
    addr: SocketAddr,
    last: u64,
    conn: Option<Conn>,
    again_at: Micros,
    backoff: Backoff,
    bounds: Bounds,
}

impl Bus {
    pub fn new(addr: SocketAddr, last: u64, bounds: Bounds, seed: u64) -> Self {
        let backoff = Backoff::new(bounds.bus_again, bounds.bus_again_most, seed);
        Bus { addr, last, conn: None, again_at: Micros(0), backoff, bounds }
    }

    pub fn has(&self, token: usize) -> bool {
        self.conn.as_ref().is_some_and(|c| c.token == token)
    }

    /// Another address; the numbering goes on.
    pub fn move_to(&mut self, addr: SocketAddr, now: Micros, registry: &Registry) {
        if addr != self.addr {
            info!(%addr, last = self.last, "event bus moves");
            self.addr = addr;
            self.drop_conn(registry);
            self.again_at = now;
            self.backoff.reset();
        }
    }

    fn drop_conn(&mut self, registry: &Registry) {
        if let Some(mut conn) = self.conn.take() {
            let _ = registry.deregister(&mut conn.stream.socket);
        }
    }

    /// Asks again soon; an event cut off in the middle was not applied, and comes again.
    fn broke(&mut self, now: Micros, registry: &Registry) {
        self.drop_conn(registry);
        self.again_at = now + self.backoff.failed();
    }

    /// Connects if it is time, and takes silence for a break.
    pub fn sweep(&mut self, now: Micros, registry: &Registry, next: &mut usize) {
        if self.conn.as_ref().is_some_and(|c| now - c.heard > self.bounds.bus_silence) {
            warn!("event bus silent");
            self.broke(now, registry);
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
        self.conn = Some(Conn { token, stream, asked: false, body: Body::Head(Vec::new()), heard: now });
    }

    /// Its socket is ready: whether there may be more.
    pub fn ready(
        &mut self,
        now: Micros,
        scratch: &mut [u8],
        registry: &Registry,
        inputs: &mut std::collections::VecDeque<Input>,
    ) -> bool {
        match self.advance(now, scratch, inputs) {
            Ok(more) => more,
            Err(why) => {
                warn!(why, last = self.last, "event bus broke off");
                self.broke(now, registry);
                false
            }
        }
    }

    fn advance(
        &mut self,
        now: Micros,
        scratch: &mut [u8],
        inputs: &mut std::collections::VecDeque<Input>,
    ) -> Result<bool, &'static str> {
        let Some(conn) = &mut self.conn else { return Ok(false) };
        if !conn.asked {
            match conn.stream.connected() {
                None => return Ok(false),
                Some(Err(_)) => return Err("no connection"),
                Some(Ok(())) => {}
            }
            let request = Request::new(Method::GET, "/bus/read")
                .with(HeaderName::from_static("last-event-id"), self.last.to_string())
                .with(http::header::ACCEPT, "text/event-stream");
            conn.stream.send(&request.encode(&self.addr.to_string())).map_err(|_| "not written")?;
            conn.asked = true;
        }
        conn.stream.flush().map_err(|_| "not written")?;
        let mut bytes = 0;
        while bytes < self.bounds.bytes_a_turn {
            let n = match conn.stream.read(scratch) {
                Got::Some(n) => n,
                Got::Nothing => return Ok(false),
                Got::End => return Err("ended"),
            };
            bytes += n;
            conn.heard = now;
            if let Body::Head(head) = &mut conn.body {
                head.extend_from_slice(&scratch[..n]);
                let got = message::response_head(head, &Method::GET, &Limits::default());
                let Some((response, framing)) = got.map_err(|_| "a head that can't be read")? else {
                    continue;
                };
                if response.status != StatusCode::OK {
                    return Err("not the events asked for");
                }
                let raw = std::mem::take(head);
                let parser = Parser::new(self.bounds.event_bytes);
                conn.body = Body::Events { raw, decoder: Decoder::endless(framing), parser };
            } else if let Body::Events { raw, .. } = &mut conn.body {
                raw.extend_from_slice(&scratch[..n]);
            }
            let Body::Events { raw, decoder, parser } = &mut conn.body else { continue };
            let (mut text, mut events) = (Vec::new(), Vec::new());
            decoder.take(raw, &mut text).map_err(|_| "a body that can't be read")?;
            parser.push(&text, &mut events).map_err(|_| "an endless event")?;
            for event in events {
                let told: Event =
                    serde_json::from_str(&event.data).map_err(|_| "an event that can't be read")?;
                let number = event.id.parse().unwrap_or(told.offset);
                // Events may be written twice; each counts once.
                if number > self.last {
                    self.last = number;
                    self.backoff.reset();
                    inputs.extend(told.topology.map(Input::Bus));
                }
            }
            if decoder.done() {
                return Err("ended");
            }
        }
        Ok(true)
    }
}
