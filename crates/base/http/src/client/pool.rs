//! A pool of idle connections.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::{CallError, Conn, Exchange};
use crate::message::{Request, Response};
use crate::wait;

/// Default maximum number of idle connections to one server.
const DEFAULT_MAX_IDLE_PER_SERVER: usize = 64;
/// Default maximum time for which a connection stays idle in the pool.
const DEFAULT_MAX_IDLE_TIME: Duration = Duration::from_secs(10);

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
        let conn = exchange.into_conn();
        if !response.keep_alive || !conn.buf.is_empty() {
            return;
        }
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
