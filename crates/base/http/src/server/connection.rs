//! Serving of a single connection.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use http::{Method, StatusCode};

use super::request_reader::{ReadError, RequestReader};
use super::{CounterGuard, Link, Reply, Shared};
use crate::message::Response;
use crate::wait;

/// Maximum time for which a connection is read after its last response, so that the peer can read the response.
const LINGER_TIME: Duration = Duration::from_millis(200);
/// Size of a read of bytes that are discarded.
const DISCARD_CHUNK_BYTES: usize = 4096;

/// Treatment of a connection after a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    KeepOpen,
    Close,
}

/// Result of writing a response.
struct Written {
    /// Whether the whole response was written.
    complete: bool,
    /// Whether the response allows another request on the connection.
    keep_alive: bool,
}

impl Written {
    fn next(&self) -> Next {
        if self.complete && self.keep_alive { Next::KeepOpen } else { Next::Close }
    }
}

/// Registers a connection as open and serves its requests.
pub(super) fn serve(stream: TcpStream, peer: SocketAddr, shared: &Shared) {
    let stream = Arc::new(stream);
    register(&stream, shared);
    serve_requests(&stream, peer, shared);
}

/// Adds a connection to the list of open connections.
fn register(stream: &Arc<TcpStream>, shared: &Shared) {
    let mut open = shared.open();
    // Entries of closed connections are removed when the capacity is used up, so that the amortized cost is constant.
    if open.len() == open.capacity() {
        open.retain(|entry| entry.strong_count() > 0);
    }
    open.push(Arc::downgrade(stream));
}

/// Counts a request for which [`Server::stop`](super::Server::stop) waits, until the guard is dropped.
fn count_busy(shared: &Shared) -> CounterGuard<'_> {
    shared.busy.fetch_add(1, Ordering::SeqCst);
    CounterGuard(&shared.busy)
}

/// Serves the requests of a connection until the connection ends.
fn serve_requests(stream: &TcpStream, peer: SocketAddr, shared: &Shared) {
    let limits = &shared.sizes.limits;
    let mut reader = RequestReader::new(stream, shared);
    let _ = stream.set_write_timeout(Some(limits.write_time));
    for number in 0..limits.messages {
        // The server waits for the first request of a connection before it stops, because a client connects to send one.
        let first_request_guard = (number == 0).then(|| count_busy(shared));
        let request = match reader.read(number == 0) {
            Ok(request) => request,
            Err(ReadError::Closed | ReadError::Idle) => return,
            Err(ReadError::TimedOut) => {
                let response =
                    Response::text(StatusCode::REQUEST_TIMEOUT, "the request took too long to arrive");
                return close(stream, response);
            }
            Err(ReadError::Invalid(error)) => return close(stream, shared.handler.invalid_request(&error)),
        };
        let _busy_guard = count_busy(shared);
        drop(first_request_guard);
        let method = request.method.clone();
        let may_keep_alive = request.keep_alive && number + 1 < limits.messages;
        let reply = shared.handler.handle(request, &Link { socket: stream, peer });
        let keep_alive = may_keep_alive && !shared.stop.load(Ordering::SeqCst);
        if send(stream, reply, &method, keep_alive) == Next::Close {
            return;
        }
    }
}

/// Sends a reply and returns whether the connection may be used further.
fn send(mut stream: &TcpStream, reply: Reply, method: &Method, keep_alive: bool) -> Next {
    match reply {
        Reply::Complete(response) => write_response(stream, response, method, keep_alive).next(),
        Reply::CompleteThen(response, callback) => {
            let written = write_response(stream, response, method, keep_alive);
            callback(written.complete);
            written.next()
        }
        Reply::Stream(response, write_body) => {
            if stream.write_all(&response.encode_close_delimited_head()).is_ok() {
                write_body(stream);
            }
            Next::Close
        }
        Reply::Disconnect => Next::Close,
    }
}

/// Writes a response unless the peer has closed the connection.
fn write_response(
    mut stream: &TcpStream,
    mut response: Response,
    method: &Method,
    keep_alive: bool,
) -> Written {
    response.keep_alive &= keep_alive;
    let complete = !wait::hung_up(stream) && stream.write_all(&response.encode(method)).is_ok();
    Written { complete, keep_alive: response.keep_alive }
}

/// Sends a last response and closes the connection. Bytes that the peer sent are read first, because closing a connection with
/// unread bytes resets it, and the peer would lose the response.
fn close(mut stream: &TcpStream, mut response: Response) {
    response.keep_alive = false;
    if stream.write_all(&response.encode(&Method::GET)).is_err() {
        return;
    }
    let _ = stream.shutdown(Shutdown::Write);
    let deadline = Instant::now() + LINGER_TIME;
    let mut discarded = [0; DISCARD_CHUNK_BYTES];
    while let Ok([true]) = wait::readable([Some(stream)], deadline) {
        if !matches!(stream.read(&mut discarded), Ok(len) if len > 0) {
            break;
        }
    }
}
