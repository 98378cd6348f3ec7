//! Calls to other servers: a pool of connections, and exchanges that can be waited for beside other sockets.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use http::Method;
use thiserror::Error;

use crate::body::{Decoder, Framing};
use crate::limits::Limits;
use crate::message::{HeadError, Request, Response, response_head};
use crate::wait;

/// How a call failed, and with it whether it can have been carried out.
#[derive(Debug, Error)]
pub enum CallError {
    /// Nobody listens there: the process is not running.
    #[error("connection refused")]
    Refused,
    /// No connection: nothing was sent.
    #[error("no connection: {0}")]
    Connect(io::Error),
    /// No whole response in time.
    #[error("no response in time")]
    TimedOut,
    /// The connection broke before a whole response had come.
    #[error("the connection broke: {0}")]
    Broken(io::Error),
    /// The response is not HTTP, or past a bound.
    #[error("a response that can't be used: {0}")]
    Bad(#[from] HeadError),
}

/// A connection to a server.
#[derive(Debug)]
pub struct Conn {
    stream: TcpStream,
    peer: SocketAddr,
    buf: Vec<u8>,
}

impl Conn {
    /// Opens one.
    pub fn open(peer: SocketAddr, until: Instant) -> Result<Conn, CallError> {
        let stream = TcpStream::connect_timeout(&peer, wait::left(until)).map_err(|e| match e.kind() {
            io::ErrorKind::ConnectionRefused => CallError::Refused,
            _ => CallError::Connect(e),
        })?;
        stream.set_nodelay(true).map_err(CallError::Connect)?;
        Ok(Conn { stream, peer, buf: Vec::new() })
    }

    /// Reads what comes by `until`; false: nothing came. The end of the connection is an error.
    fn fill(&mut self, until: Instant) -> Result<bool, CallError> {
        let [ready] = wait::readable([Some(&self.stream)], until).map_err(CallError::Broken)?;
        if !ready {
            return Ok(false);
        }
        let mut chunk = [0; 4096];
        match self.stream.read(&mut chunk) {
            Ok(0) => return Err(CallError::Broken(io::ErrorKind::UnexpectedEof.into())),
            Ok(n) => self.buf.extend_from_slice(&chunk[..n]),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(CallError::Broken(e)),
        }
        Ok(true)
    }

    /// All that still comes, until the server closes or the time is up.
    pub fn rest(mut self, until: Instant) -> Vec<u8> {
        let mut chunk = [0; 4096];
        while let Ok([true]) = wait::readable([Some(&self.stream)], until) {
            match self.stream.read(&mut chunk) {
                Ok(n) if n > 0 => self.buf.extend_from_slice(&chunk[..n]),
                _ => break,
            }
        }
        self.buf
    }

    /// Sends a request; its response is to be waited for.
    pub fn send(mut self, request: &Request, until: Instant) -> Result<Exchange, CallError> {
        let bytes = request.encode(&self.peer.to_string());
        self.stream.set_write_timeout(Some(wait::left(until))).map_err(CallError::Broken)?;
        self.stream.write_all(&bytes).map_err(|e| match e.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => CallError::TimedOut,
            _ => CallError::Broken(e),
        })?;
        Ok(Exchange { conn: self, method: request.method.clone(), head: None, limits: Limits::default() })
    }
}

/// A request that is out.
#[derive(Debug)]
pub struct Exchange {
    conn: Conn,
    method: Method,
    head: Option<(Response, Decoder, bool)>,
    limits: Limits,
}

impl Exchange {
    /// The socket, to wait on.
    pub fn socket(&self) -> &TcpStream {
        &self.conn.stream
    }

    /// Reads what is there, which may block if nothing is; the response, once it is whole.
    pub fn advance(&mut self) -> Result<Option<Response>, CallError> {
        let mut chunk = [0; 4096];
        let n = match self.conn.stream.read(&mut chunk) {
            Ok(n) => n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => return Ok(None),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                return Ok(None);
            }
            Err(e) => return Err(CallError::Broken(e)),
        };
        self.conn.buf.extend_from_slice(&chunk[..n]);
        self.parse(n == 0)
    }

    fn parse(&mut self, ended: bool) -> Result<Option<Response>, CallError> {
        if self.head.is_none()
            && let Some((response, framing)) = response_head(&mut self.conn.buf, &self.method, &self.limits)?
        {
            let decoder = Decoder::new(framing, self.limits.body_bytes).map_err(HeadError::from)?;
            self.head = Some((response, decoder, framing == Framing::Close));
        }
        let broken = || CallError::Broken(io::ErrorKind::UnexpectedEof.into());
        let Some((response, decoder, _)) = &mut self.head else {
            return if ended { Err(broken()) } else { Ok(None) };
        };
        decoder.take(&mut self.conn.buf, &mut response.body).map_err(HeadError::from)?;
        let whole = decoder.done() || (ended && decoder.ends_with_connection());
        if !whole {
            return if ended { Err(broken()) } else { Ok(None) };
        }
        Ok(self.head.take().map(|h| h.0))
    }

    /// Waits for the whole response.
    pub fn wait(&mut self, until: Instant) -> Result<Response, CallError> {
        loop {
            let [ready] = wait::readable([Some(&self.conn.stream)], until).map_err(CallError::Broken)?;
            if !ready {
                return Err(CallError::TimedOut);
            }
            if let Some(response) = self.advance()? {
                return Ok(response);
            }
        }
    }

    /// Tells the server that the request is given up: nothing more will be sent.
    pub fn give_up(&self) {
        let _ = self.conn.stream.shutdown(Shutdown::Write);
    }

    /// The connection, for another request.
    pub fn into_conn(self) -> Conn {
        self.conn
    }

    /// Waits for the head of a response without an end, and hands its body over as a stream.
    pub fn into_stream(mut self, until: Instant) -> Result<(Response, Stream), CallError> {
        loop {
            if let Some((response, framing)) = response_head(&mut self.conn.buf, &self.method, &self.limits)?
            {
                let decoder = Decoder::endless(framing);
                return Ok((response, Stream { conn: self.conn, decoder }));
            }
            if !self.conn.fill(until)? {
                return Err(CallError::TimedOut);
            }
        }
    }
}

/// The body of a response that goes on.
#[derive(Debug)]
pub struct Stream {
    conn: Conn,
    decoder: Decoder,
}

impl Stream {
    /// What came until `until`; an empty part: nothing did. The stream's end is an error.
    pub fn read(&mut self, until: Instant) -> Result<Vec<u8>, CallError> {
        let mut part = Vec::new();
        loop {
            self.decoder.take(&mut self.conn.buf, &mut part).map_err(HeadError::from)?;
            if !part.is_empty() {
                return Ok(part);
            }
            if self.decoder.done() {
                return Err(CallError::Broken(io::ErrorKind::UnexpectedEof.into()));
            }
            if !self.conn.fill(until)? {
                return Ok(part);
            }
        }
    }
}

/// Idle connections, by server.
#[derive(Debug)]
pub struct Pool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<(Instant, Conn)>>>,
    per_server: usize,
    idle_time: Duration,
}

impl Default for Pool {
    fn default() -> Self {
        Pool::new(64, Duration::from_secs(10))
    }
}

impl Pool {
    /// Keeps at most so many connections to one server, for at most so long.
    pub fn new(per_server: usize, idle_time: Duration) -> Self {
        Pool { idle: Mutex::default(), per_server, idle_time }
    }

    /// A connection that is up and silent, or a new one.
    ///
    /// A kept connection that the server has closed meanwhile is found out here, before anything is sent on it; a
    /// request is never sent twice.
    pub fn get(&self, peer: SocketAddr, until: Instant) -> Result<Conn, CallError> {
        while let Some((since, conn)) = self.lock().get_mut(&peer).and_then(Vec::pop) {
            if since.elapsed() < self.idle_time && conn.buf.is_empty() && wait::quiet(&conn.stream) {
                return Ok(conn);
            }
        }
        Conn::open(peer, until)
    }

    /// Keeps the connection of an exchange whose response came whole, if it may be kept.
    pub fn put(&self, exchange: Exchange, response: &Response) {
        if !response.keep_alive || !exchange.conn.buf.is_empty() {
            return;
        }
        let conn = exchange.into_conn();
        let mut idle = self.lock();
        let kept = idle.entry(conn.peer).or_default();
        if kept.len() < self.per_server {
            kept.push((Instant::now(), conn));
        }
    }

    /// Drops what is kept to a server.
    pub fn forget(&self, peer: SocketAddr) {
        self.lock().remove(&peer);
    }

    /// One call from start to end.
    pub fn call(&self, peer: SocketAddr, request: &Request, until: Instant) -> Result<Response, CallError> {
        let mut exchange = self.get(peer, until)?.send(request, until)?;
        let response = exchange.wait(until)?;
        self.put(exchange, &response);
        Ok(response)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, Vec<(Instant, Conn)>>> {
        // What a panicking holder left behind is still a list of connections.
        self.idle.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
