//! The acceptor: accepts connections and hands them to threads.

use std::collections::VecDeque;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, bounded};
use http::Method;

use super::{CounterGuard, Shared, connection};
use crate::wait;

/// Maximum time for which an idle thread waits for a connection before it ends.
const IDLE_THREAD_TIME: Duration = Duration::from_secs(5);
/// Maximum number of connections that are accepted from the listener's backlog when the server stops.
const MAX_BACKLOG_AT_STOP: usize = 4096;
/// Interval at which the acceptor checks whether the server is stopping.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Time for which a refused connection stays open, so that the peer can read the response.
const LINGER_TIME: Duration = Duration::from_millis(200);
/// Maximum number of refused connections that stay open.
const MAX_LINGERING: usize = 256;
/// Maximum time to write the response to a refused connection.
const REFUSAL_WRITE_TIME: Duration = Duration::from_millis(5);

/// Accepts connections until the server stops.
pub(super) fn run(listener: &TcpListener, shared: &Arc<Shared>) {
    let mut acceptor = Acceptor::new(shared);
    while !shared.stop.load(Ordering::SeqCst) {
        acceptor.close_lingering();
        match listener.accept() {
            Ok((stream, peer)) => acceptor.admit(Accepted { stream, peer }),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                wait::acceptable(listener, STOP_CHECK_INTERVAL);
            }
            // The process has no free file descriptor, or the connection broke before it was accepted. The delay prevents a spin.
            Err(_) => thread::sleep(ACCEPT_RETRY_DELAY),
        }
    }
    // Connections in the backlog were established before the stop. The operating system would reset them when the listener is
    // closed.
    for _ in 0..MAX_BACKLOG_AT_STOP {
        let Ok((stream, peer)) = listener.accept() else { break };
        acceptor.admit(Accepted { stream, peer });
    }
}

/// An accepted connection that has no thread yet.
struct Accepted {
    stream: TcpStream,
    peer: SocketAddr,
}

/// A refused connection whose peer may not have read the response yet.
struct Lingering {
    refused_at: Instant,
    /// Held open until the entry is dropped.
    _stream: TcpStream,
}

/// State of the acceptor's thread.
struct Acceptor<'a> {
    shared: &'a Arc<Shared>,
    /// Hands connections to idle threads.
    sender: Sender<Accepted>,
    /// Cloned for each connection thread.
    receiver: Receiver<Accepted>,
    /// Refused connections in the order of their refusals.
    lingering: VecDeque<Lingering>,
}

impl Acceptor<'_> {
    fn new(shared: &Arc<Shared>) -> Acceptor<'_> {
        let (sender, receiver) = bounded(0);
        Acceptor { shared, sender, receiver, lingering: VecDeque::new() }
    }

    /// Closes the refused connections whose linger time has passed.
    fn close_lingering(&mut self) {
        while self.lingering.front().is_some_and(|refused| refused.refused_at.elapsed() > LINGER_TIME) {
            self.lingering.pop_front();
        }
    }

    /// Serves or refuses a connection.
    fn admit(&mut self, accepted: Accepted) {
        // Whether accepted sockets inherit the listener's non-blocking mode depends on the operating system.
        let configured =
            accepted.stream.set_nonblocking(false).and_then(|()| accepted.stream.set_nodelay(true));
        if configured.is_err() {
            return;
        }
        if let Some(refused) = self.hand_over(accepted) {
            self.refuse(refused.stream);
        }
    }

    /// Hands a connection to an idle thread or a new one. Returns the connection if the maximum number of threads is reached.
    fn hand_over(&self, accepted: Accepted) -> Option<Accepted> {
        let accepted = match self.sender.try_send(accepted) {
            Ok(()) => return None,
            Err(error) => error.into_inner(),
        };
        if self.shared.threads.load(Ordering::SeqCst) >= self.shared.sizes.connections {
            return Some(accepted);
        }
        self.shared.threads.fetch_add(1, Ordering::SeqCst);
        let (shared, receiver) = (self.shared.clone(), self.receiver.clone());
        let thread = thread::Builder::new().name("connection".into()).stack_size(shared.sizes.stack);
        let spawned = thread.spawn(move || {
            let _thread_guard = CounterGuard(&shared.threads);
            connection::serve(accepted.stream, accepted.peer, &shared);
            while let Ok(next) = receiver.recv_timeout(IDLE_THREAD_TIME) {
                connection::serve(next.stream, next.peer, &shared);
            }
        });
        if spawned.is_err() {
            self.shared.threads.fetch_sub(1, Ordering::SeqCst);
        }
        None
    }

    /// Answers a connection with the handler's refusal and closes it after the linger time.
    fn refuse(&mut self, stream: TcpStream) {
        let mut response = self.shared.handler.connection_refusal();
        response.keep_alive = false;
        let _ = stream.set_write_timeout(Some(REFUSAL_WRITE_TIME));
        if (&stream).write_all(&response.encode(&Method::GET)).is_err() {
            return;
        }
        let _ = stream.shutdown(Shutdown::Write);
        // Closing a connection with unread bytes resets it, and the peer would lose the response.
        if self.lingering.len() >= MAX_LINGERING {
            self.lingering.pop_front();
        }
        self.lingering.push_back(Lingering { refused_at: Instant::now(), _stream: stream });
    }
}
