//! A client: a pool of connections, and exchanges that can be polled together with other sockets.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::Method;
use thiserror::Error;

use crate::body::Decoder;
use crate::limits::Limits;
use crate::message::{HeadError, Request, Response, response_head};
use crate::wait;

/// Why a call failed. It also tells whether the request may have been executed.
#[derive(Debug, Error)]
pub enum CallError {
    /// Nothing listens at the address: the process is not running.
    #[error("connection refused")]
    Refused,
    /// The connection could not be established: nothing was sent.
    #[error("no connection: {0}")]
    Connect(io::Error),
    /// No complete response in time.
    #[error("no response in time")]
    TimedOut,
    /// The connection broke before the response was complete.
    #[error("the connection broke: {0}")]
    Broken(io::Error),
    /// The response is not HTTP or exceeds a limit.
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
    /// Opens a connection.
    ///
    /// # Errors
    /// The connection could not be established until `until`.
    pub fn open(peer: SocketAddr, until: Instant) -> Result<Conn, CallError> {
        let stream = TcpStream::connect_timeout(&peer, wait::left(until)).map_err(|e| match e.kind() {
            io::ErrorKind::ConnectionRefused => CallError::Refused,
            _ => CallError::Connect(e),
        })?;
        stream.set_nodelay(true).map_err(CallError::Connect)?;
        Ok(Conn { stream, peer, buf: Vec::new() })
    }

    /// Reads what arrives until `until`; `false` if nothing did. The end of the connection is an error.
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

    /// All bytes that arrive until the server closes the connection or until `until`.
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

    /// Sends a request.
    ///
    /// # Errors
    /// The connection broke or the request could not be written until `until`.
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

/// A response whose body is not complete.
#[derive(Debug)]
struct PendingBody {
    response: Response,
    decoder: Decoder,
}

/// A request that was sent and whose response is pending.
#[derive(Debug)]
pub struct Exchange {
    conn: Conn,
    method: Method,
    head: Option<PendingBody>,
    limits: Limits,
}

impl Exchange {
    /// The socket, for polling.
    pub fn socket(&self) -> &TcpStream {
        &self.conn.stream
    }

    /// Reads once, which may block; the response, once it is complete.
    ///
    /// # Errors
    /// The connection broke, or the response is invalid.
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
            && let Some(head) = response_head(&mut self.conn.buf, &self.method, &self.limits)?
        {
            let decoder = Decoder::new(head.framing, self.limits.body_bytes).map_err(HeadError::from)?;
            self.head = Some(PendingBody { response: head.message, decoder });
        }
        let broken = || CallError::Broken(io::ErrorKind::UnexpectedEof.into());
        let Some(PendingBody { response, decoder }) = &mut self.head else {
            return if ended { Err(broken()) } else { Ok(None) };
        };
        decoder.take(&mut self.conn.buf, &mut response.body).map_err(HeadError::from)?;
        let complete = decoder.done() || (ended && decoder.ends_with_connection());
        if !complete {
            return if ended { Err(broken()) } else { Ok(None) };
        }
        Ok(self.head.take().map(|head| head.response))
    }

    /// Waits for the complete response.
    ///
    /// # Errors
    /// The connection broke, the response is invalid, or it is not complete until `until`.
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

    /// Signals the server that the request is abandoned, by closing the sending direction.
    pub fn give_up(&self) {
        let _ = self.conn.stream.shutdown(Shutdown::Write);
    }

    /// The connection, for another request.
    pub fn into_conn(self) -> Conn {
        self.conn
    }

    /// Waits for the head of a response and returns its body as a stream.
    ///
    /// # Errors
    /// The connection broke, the head is invalid, or it is not complete until `until`.
    pub fn into_stream(mut self, until: Instant) -> Result<(Response, Stream), CallError> {
        loop {
            if let Some(head) = response_head(&mut self.conn.buf, &self.method, &self.limits)? {
                let decoder = Decoder::endless(head.framing);
                return Ok((head.message, Stream { conn: self.conn, decoder }));
            }
            if !self.conn.fill(until)? {
                return Err(CallError::TimedOut);
            }
        }
    }
}

/// The body of a response that has no end.
#[derive(Debug)]
pub struct Stream {
    conn: Conn,
    decoder: Decoder,
}

impl Stream {
    /// Reads what arrives until `until`; empty if nothing does.
    ///
    /// # Errors
    /// The stream ended or broke, or its framing is invalid.
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

#[derive(Debug)]
struct IdleConn {
    since: Instant,
    conn: Conn,
}

type IdleConns = BTreeMap<SocketAddr, Vec<IdleConn>>;

/// A pool of idle connections, by server.
#[derive(Debug)]
pub struct Pool {
    idle: Mutex<IdleConns>,
    per_server: usize,
    idle_time: Duration,
}

impl Default for Pool {
    fn default() -> Self {
        Pool::new(64, Duration::from_secs(10))
    }
}

impl Pool {
    /// A pool that keeps at most `per_server` connections to one server, each at most for `idle_time`.
    pub fn new(per_server: usize, idle_time: Duration) -> Self {
        Pool { idle: Mutex::default(), per_server, idle_time }
    }

    /// An idle connection, or a new one.
    ///
    /// A connection that the server has closed in the meantime is detected here, before anything is sent on it; a request is never
    /// sent twice.
    ///
    /// # Errors
    /// A new connection could not be established.
    pub fn get(&self, peer: SocketAddr, until: Instant) -> Result<Conn, CallError> {
        while let Some(IdleConn { since, conn }) = self.lock().get_mut(&peer).and_then(Vec::pop) {
            if since.elapsed() < self.idle_time && conn.buf.is_empty() && wait::quiet(&conn.stream) {
                return Ok(conn);
            }
        }
        Conn::open(peer, until)
    }

    /// Returns the connection of an exchange whose response is complete, if it may be kept.
    pub fn put(&self, exchange: Exchange, response: &Response) {
        if !response.keep_alive || !exchange.conn.buf.is_empty() {
            return;
        }
        let conn = exchange.into_conn();
        let mut idle = self.lock();
        let kept = idle.entry(conn.peer).or_default();
        if kept.len() < self.per_server {
            kept.push(IdleConn { since: Instant::now(), conn });
        }
    }

    /// Drops the connections to a server.
    pub fn forget(&self, peer: SocketAddr) {
        self.lock().remove(&peer);
    }

    /// Sends a request and waits for its response.
    ///
    /// # Errors
    /// See [`Pool::get`], [`Conn::send`] and [`Exchange::wait`].
    pub fn call(&self, peer: SocketAddr, request: &Request, until: Instant) -> Result<Response, CallError> {
        let mut exchange = self.get(peer, until)?.send(request, until)?;
        let response = exchange.wait(until)?;
        self.put(exchange, &response);
        Ok(response)
    }

    fn lock(&self) -> MutexGuard<'_, IdleConns> {
        // A panic of a thread that held the lock leaves a valid list of connections.
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
