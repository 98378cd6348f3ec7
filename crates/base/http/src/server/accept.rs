//! Acceptance of connections.

use std::collections::VecDeque;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, bounded};
use http::Method;

use super::{Counted, Shared, connection};
use crate::wait;

/// How long a thread without connection waits for one.
const IDLE_THREAD_TIME: Duration = Duration::from_secs(5);
/// Maximum number of connections that are accepted from the backlog at a stop.
const MAX_BACKLOG: usize = 4096;
/// Interval at which the acceptor checks whether the server stops.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);
/// How long a refused connection is kept for its peer to read the response.
const LINGER_TIME: Duration = Duration::from_millis(200);
/// Maximum number of refused connections that are kept.
const MAX_LINGERING: usize = 256;
/// Maximum time to write a refusal.
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
            // Out of descriptors or a connection that broke at once: go on, but do not spin.
            Err(_) => thread::sleep(ACCEPT_RETRY_DELAY),
        }
    }
    // Connections in the backlog came before the stop: the system would reset them.
    for _ in 0..MAX_BACKLOG {
        let Ok((stream, peer)) = listener.accept() else { break };
        acceptor.admit(Accepted { stream, peer });
    }
}

/// A connection that no thread serves yet.
struct Accepted {
    stream: TcpStream,
    peer: SocketAddr,
}

/// A refused connection whose peer may not have read the response yet.
struct Lingering {
    since: Instant,
    /// Closed when it is dropped.
    _stream: TcpStream,
}

struct Acceptor<'a> {
    shared: &'a Arc<Shared>,
    sender: Sender<Accepted>,
    receiver: Receiver<Accepted>,
    lingering: VecDeque<Lingering>,
}

impl Acceptor<'_> {
    fn new(shared: &Arc<Shared>) -> Acceptor<'_> {
        let (sender, receiver) = bounded(0);
        Acceptor { shared, sender, receiver, lingering: VecDeque::new() }
    }

    fn close_lingering(&mut self) {
        while self.lingering.front().is_some_and(|refused| refused.since.elapsed() > LINGER_TIME) {
            self.lingering.pop_front();
        }
    }

    /// Serves or refuses a connection.
    fn admit(&mut self, accepted: Accepted) {
        // Accepted sockets do not inherit the listener's mode on every system.
        let configured =
            accepted.stream.set_nonblocking(false).and_then(|()| accepted.stream.set_nodelay(true));
        if configured.is_err() {
            return;
        }
        if let Some(refused) = self.hand_over(accepted) {
            self.refuse(refused.stream);
        }
    }

    /// Hands a connection to an idle thread or a new one; returns it if the bound is reached.
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
            let _counted = Counted(&shared.threads);
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

    fn refuse(&mut self, stream: TcpStream) {
        let mut response = self.shared.handler.refuse();
        response.keep_alive = false;
        let _ = stream.set_write_timeout(Some(REFUSAL_WRITE_TIME));
        if (&stream).write_all(&response.encode(&Method::GET)).is_err() {
            return;
        }
        let _ = stream.shutdown(Shutdown::Write);
        // If it were closed with its request unread, the connection would be reset and the response lost.
        if self.lingering.len() >= MAX_LINGERING {
            self.lingering.pop_front();
        }
        self.lingering.push_back(Lingering { since: Instant::now(), _stream: stream });
    }
}
