//! A client with a connection pool. Pending exchanges can be polled together with other sockets.

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

/// Size of a read from a socket, bytes.
const READ_CHUNK_BYTES: usize = 4096;
/// Default maximum number of idle connections to one server.
const DEFAULT_MAX_IDLE_PER_SERVER: usize = 64;
/// Default maximum time for which a connection stays idle in the pool.
const DEFAULT_MAX_IDLE_TIME: Duration = Duration::from_secs(10);

/// Error of a call. The variants distinguish whether the server may have processed the request.
#[derive(Debug, Error)]
pub enum CallError {
    /// No process listens at the address, so nothing was sent.
    #[error("connection refused")]
    Refused,
    /// The connection could not be established, so nothing was sent.
    #[error("failed to connect: {0}")]
    Connect(io::Error),
    /// The deadline passed before the request was sent or the response was complete.
    #[error("call timed out")]
    TimedOut,
    /// The connection broke before the response was complete.
    #[error("connection lost: {0}")]
    Broken(io::Error),
    /// The response is not HTTP or exceeds a limit.
    #[error("invalid response: {0}")]
    InvalidResponse(#[from] HeadError),
}

/// A connection to a server.
#[derive(Debug)]
pub struct Conn {
    stream: TcpStream,
    peer: SocketAddr,
    /// Bytes that were read but not parsed.
    buf: Vec<u8>,
}

impl Conn {
    /// Opens a connection.
    ///
    /// # Errors
    /// Returns an error if the connection could not be established before the deadline.
    pub fn open(peer: SocketAddr, deadline: Instant) -> Result<Conn, CallError> {
        let stream =
            TcpStream::connect_timeout(&peer, wait::socket_timeout(deadline)).map_err(|e| {
                match e.kind() {
                    io::ErrorKind::ConnectionRefused => CallError::Refused,
                    _ => CallError::Connect(e),
                }
            })?;
        stream.set_nodelay(true).map_err(CallError::Connect)?;
        Ok(Conn { stream, peer, buf: Vec::new() })
    }

    /// Waits for bytes and reads them once. Returns `false` if the deadline passed without any.
    ///
    /// # Errors
    /// Returns an error if the connection ended or broke.
    fn fill(&mut self, deadline: Instant) -> Result<bool, CallError> {
        let [ready] = wait::readable([Some(&self.stream)], deadline).map_err(CallError::Broken)?;
        if !ready {
            return Ok(false);
        }
        let mut chunk = [0; READ_CHUNK_BYTES];
        match self.stream.read(&mut chunk) {
            Ok(0) => return Err(CallError::Broken(io::ErrorKind::UnexpectedEof.into())),
            Ok(n) => self.buf.extend_from_slice(&chunk[..n]),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(CallError::Broken(e)),
        }
        Ok(true)
    }

    /// Returns the unparsed bytes and all that arrive until the server closes the connection or the deadline passes.
    pub fn read_to_end(mut self, deadline: Instant) -> Vec<u8> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        while let Ok([true]) = wait::readable([Some(&self.stream)], deadline) {
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
    /// Returns an error if the connection broke or the request could not be written before the deadline.
    pub fn send(mut self, request: &Request, deadline: Instant) -> Result<Exchange, CallError> {
        let bytes = request.encode(&self.peer.to_string());
        self.stream.set_write_timeout(Some(wait::socket_timeout(deadline))).map_err(CallError::Broken)?;
        self.stream.write_all(&bytes).map_err(|e| match e.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => CallError::TimedOut,
            _ => CallError::Broken(e),
        })?;
        Ok(Exchange { conn: self, method: request.method.clone(), pending: None, limits: Limits::default() })
    }
}

/// A response with a parsed head and an incomplete body.
#[derive(Debug)]
struct PendingBody {
    response: Response,
    decoder: Decoder,
}

/// A sent request with a pending response.
#[derive(Debug)]
pub struct Exchange {
    conn: Conn,
    method: Method,
    /// The response if its head was parsed.
    pending: Option<PendingBody>,
    limits: Limits,
}

impl Exchange {
    /// Returns the socket, for polling.
    pub fn socket(&self) -> &TcpStream {
        &self.conn.stream
    }

    /// Reads once, which may block. Returns the response when it is complete.
    ///
    /// # Errors
    /// Returns an error if the connection broke or the response is invalid.
    pub fn advance(&mut self) -> Result<Option<Response>, CallError> {
        let mut chunk = [0; READ_CHUNK_BYTES];
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

    /// Parses the bytes that were read. `ended` is whether the server has closed the connection.
    fn parse(&mut self, ended: bool) -> Result<Option<Response>, CallError> {
        if self.pending.is_none()
            && let Some(head) = response_head(&mut self.conn.buf, &self.method, &self.limits)?
        {
            let decoder = Decoder::new(head.framing, self.limits.body_bytes).map_err(HeadError::from)?;
            self.pending = Some(PendingBody { response: head.message, decoder });
        }
        let broken = || CallError::Broken(io::ErrorKind::UnexpectedEof.into());
        let Some(PendingBody { response, decoder }) = &mut self.pending else {
            return if ended { Err(broken()) } else { Ok(None) };
        };
        decoder.decode(&mut self.conn.buf, &mut response.body).map_err(HeadError::from)?;
        let complete = decoder.is_complete() || (ended && decoder.ends_with_connection());
        if !complete {
            return if ended { Err(broken()) } else { Ok(None) };
        }
        Ok(self.pending.take().map(|pending| pending.response))
    }

    /// Waits for the complete response.
    ///
    /// # Errors
    /// Returns an error if the connection broke, the response is invalid, or it is not complete before the deadline.
    pub fn wait(&mut self, deadline: Instant) -> Result<Response, CallError> {
        loop {
            let [ready] = wait::readable([Some(&self.conn.stream)], deadline).map_err(CallError::Broken)?;
            if !ready {
                return Err(CallError::TimedOut);
            }
            if let Some(response) = self.advance()? {
                return Ok(response);
            }
        }
    }

    /// Signals to the server that the request is abandoned, by shutting down the sending direction.
    pub fn abandon(&self) {
        let _ = self.conn.stream.shutdown(Shutdown::Write);
    }

    /// Returns the connection, for another request.
    pub fn into_conn(self) -> Conn {
        self.conn
    }

    /// Waits for the head of a response and returns its body as a stream.
    ///
    /// # Errors
    /// Returns an error if the connection broke, the head is invalid, or it is not complete before the deadline.
    pub fn into_stream(mut self, deadline: Instant) -> Result<(Response, Stream), CallError> {
        loop {
            if let Some(head) = self.parse_stream_head()? {
                return Ok((head.response, Stream { conn: self.conn, decoder: head.decoder }));
            }
            if !self.conn.fill(deadline)? {
                return Err(CallError::TimedOut);
            }
        }
    }

    /// Reads the bytes that are available. Returns the head of the response once it is complete.
    ///
    /// # Errors
    /// Returns an error if the connection broke or the head is invalid.
    pub(crate) fn poll_stream_head(&mut self) -> Result<Option<StreamHead>, CallError> {
        self.conn.fill(Instant::now())?;
        self.parse_stream_head()
    }

    fn parse_stream_head(&mut self) -> Result<Option<StreamHead>, CallError> {
        let head = response_head(&mut self.conn.buf, &self.method, &self.limits)?;
        Ok(head.map(|head| StreamHead { response: head.message, decoder: Decoder::unlimited(head.framing) }))
    }

    /// Returns the body that follows a head as a stream.
    pub(crate) fn into_body_stream(self, head: StreamHead) -> Stream {
        Stream { conn: self.conn, decoder: head.decoder }
    }
}

/// The head of a response whose body is read as a stream.
#[derive(Debug)]
pub(crate) struct StreamHead {
    pub response: Response,
    decoder: Decoder,
}

/// The body of a response of unlimited length, such as an event stream.
#[derive(Debug)]
pub struct Stream {
    conn: Conn,
    decoder: Decoder,
}

impl Stream {
    /// Waits for a part of the body and returns it. Returns an empty vector if the deadline passed without any.
    ///
    /// # Errors
    /// Returns an error if the stream ended or broke, or its framing is invalid.
    pub fn read(&mut self, deadline: Instant) -> Result<Vec<u8>, CallError> {
        let mut part = Vec::new();
        loop {
            self.decoder.decode(&mut self.conn.buf, &mut part).map_err(HeadError::from)?;
            if !part.is_empty() {
                return Ok(part);
            }
            if self.decoder.is_complete() {
                return Err(CallError::Broken(io::ErrorKind::UnexpectedEof.into()));
            }
            if !self.conn.fill(deadline)? {
                return Ok(part);
            }
        }
    }
}

/// A connection in the pool.
#[derive(Debug)]
struct IdleConn {
    since: Instant,
    conn: Conn,
}

type IdleConns = BTreeMap<SocketAddr, Vec<IdleConn>>;

/// A pool of idle connections, grouped by server.
#[derive(Debug)]
pub struct Pool {
    idle: Mutex<IdleConns>,
    max_per_server: usize,
    max_idle_time: Duration,
}

impl Default for Pool {
    fn default() -> Self {
        Pool::new(DEFAULT_MAX_IDLE_PER_SERVER, DEFAULT_MAX_IDLE_TIME)
    }
}

impl Pool {
    /// Creates a pool of at most `max_per_server` idle connections to each server, each for at most `max_idle_time`.
    pub fn new(max_per_server: usize, max_idle_time: Duration) -> Self {
        Pool { idle: Mutex::default(), max_per_server, max_idle_time }
    }

    /// Returns an idle connection to a server, or opens a new one.
    ///
    /// An idle connection that the server has closed is detected here, before a request is sent on it. A request is never sent
    /// twice, because the server may have processed the first copy.
    ///
    /// # Errors
    /// Returns an error if a new connection could not be established.
    pub fn get(&self, peer: SocketAddr, deadline: Instant) -> Result<Conn, CallError> {
        while let Some(IdleConn { since, conn }) = self.lock().get_mut(&peer).and_then(Vec::pop) {
            if since.elapsed() < self.max_idle_time && conn.buf.is_empty() && wait::is_idle(&conn.stream) {
                return Ok(conn);
            }
        }
        Conn::open(peer, deadline)
    }

    /// Puts the connection of a completed exchange into the pool if it may be used for another request and there is capacity.
    pub fn put(&self, exchange: Exchange, response: &Response) {
        if !response.keep_alive || !exchange.conn.buf.is_empty() {
            return;
        }
        let conn = exchange.into_conn();
        let mut idle = self.lock();
        let conns = idle.entry(conn.peer).or_default();
        if conns.len() < self.max_per_server {
            conns.push(IdleConn { since: Instant::now(), conn });
        }
    }

    /// Closes the idle connections to a server.
    pub fn forget(&self, peer: SocketAddr) {
        self.lock().remove(&peer);
    }

    /// Sends a request and waits for its response.
    ///
    /// # Errors
    /// See [`Pool::get`], [`Conn::send`] and [`Exchange::wait`].
    pub fn call(
        &self,
        peer: SocketAddr,
        request: &Request,
        deadline: Instant,
    ) -> Result<Response, CallError> {
        let mut exchange = self.get(peer, deadline)?.send(request, deadline)?;
        let response = exchange.wait(deadline)?;
        self.put(exchange, &response);
        Ok(response)
    }

    fn lock(&self) -> MutexGuard<'_, IdleConns> {
        // The map is valid even if a thread panicked while it held the lock.
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
