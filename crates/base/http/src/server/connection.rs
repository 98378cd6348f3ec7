//! Service of one connection.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use http::{Method, StatusCode};

use super::request_reader::{NoRequest, RequestReader};
use super::{Counted, Link, Reply, Shared};
use crate::message::Response;
use crate::wait;

/// How long a connection is read after its last response, so that the peer receives that.
const LINGER_TIME: Duration = Duration::from_millis(200);

/// What becomes of a connection after a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    KeepOpen,
    Close,
}

/// A response that was written, or not.
struct Written {
    complete: bool,
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

fn register(stream: &Arc<TcpStream>, shared: &Shared) {
    let mut open = shared.open();
    // Swept whenever its capacity is used up, so that the amortized cost of a connection is constant.
    if open.len() == open.capacity() {
        open.retain(|entry| entry.strong_count() > 0);
    }
    open.push(Arc::downgrade(stream));
}

/// Counts a request that a stop waits for.
fn count_busy(shared: &Shared) -> Counted<'_> {
    shared.busy.fetch_add(1, Ordering::SeqCst);
    Counted(&shared.busy)
}

fn serve_requests(stream: &TcpStream, peer: SocketAddr, shared: &Shared) {
    let limits = &shared.sizes.limits;
    let mut reader = RequestReader::new(stream, shared);
    let _ = stream.set_write_timeout(Some(limits.write_time));
    for number in 0..limits.messages {
        // A stop waits for the first request of a connection, as a client connects in order to send one.
        let awaits_first = (number == 0).then(|| count_busy(shared));
        let request = match reader.read(number == 0) {
            Ok(request) => request,
            Err(NoRequest::Closed | NoRequest::Idle) => return,
            Err(NoRequest::TimedOut) => {
                let late = Response::text(StatusCode::REQUEST_TIMEOUT, "the request took too long to arrive");
                return close(stream, late);
            }
            Err(NoRequest::Invalid(error)) => return close(stream, shared.handler.bad(&error)),
        };
        let _busy = count_busy(shared);
        drop(awaits_first);
        let method = request.method.clone();
        let may_keep = request.keep_alive && number + 1 < limits.messages;
        let reply = shared.handler.handle(request, &Link { socket: stream, peer });
        let keep_alive = may_keep && !shared.stop.load(Ordering::SeqCst);
        if send(stream, reply, &method, keep_alive) == Next::Close {
            return;
        }
    }
}

fn send(mut stream: &TcpStream, reply: Reply, method: &Method, keep_alive: bool) -> Next {
    match reply {
        Reply::Complete(response) => write_response(stream, response, method, keep_alive).next(),
        Reply::CompleteThen(response, callback) => {
            let written = write_response(stream, response, method, keep_alive);
            callback(written.complete);
            written.next()
        }
        Reply::Stream(response, write_body) => {
            if stream.write_all(&response.encode_open()).is_ok() {
                write_body(stream);
            }
            Next::Close
        }
        Reply::Disconnect => Next::Close,
    }
}

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

/// Sends a last response and closes the connection, so that the response is received even if more requests were sent.
fn close(mut stream: &TcpStream, mut response: Response) {
    response.keep_alive = false;
    if stream.write_all(&response.encode(&Method::GET)).is_err() {
        return;
    }
    let _ = stream.shutdown(Shutdown::Write);
    let until = Instant::now() + LINGER_TIME;
    let mut discarded = [0; 4096];
    while let Ok([true]) = wait::readable([Some(stream)], until) {
        if !matches!(stream.read(&mut discarded), Ok(len) if len > 0) {
            break;
        }
    }
}
