//! A server with one thread per connection, taken from a bounded pool. Connections over the bound are refused at once.

mod accept;
mod connection;
mod request_reader;

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::thread;
use std::time::{Duration, Instant};

use http::{StatusCode, header};

use crate::limits::Limits;
use crate::message::{HeadError, Request, Response};

/// A handler's reply to a request.
pub enum Reply {
    /// A complete response.
    Complete(Response),
    /// A complete response, and a callback that receives whether it could be written.
    CompleteThen(Response, Box<dyn FnOnce(bool) + Send>),
    /// A head, and a function that writes the body. The connection is closed after it.
    Stream(Response, Box<dyn FnOnce(&TcpStream) + Send>),
    /// The connection is closed without a response.
    Disconnect,
}

/// The connection that a request came on.
#[derive(Debug)]
pub struct Link<'a> {
    /// Its socket, to be polled but not read.
    pub socket: &'a TcpStream,
    /// The address of the peer.
    pub peer: SocketAddr,
}

/// Handles requests.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request. It runs on the connection's thread and may block.
    fn handle(&self, request: Request, link: &Link<'_>) -> Reply;

    /// The response to a connection over the bound.
    fn refuse(&self) -> Response {
        Response::text(StatusCode::SERVICE_UNAVAILABLE, "too many connections").with(header::RETRY_AFTER, "1")
    }

    /// The response to a request that can't be parsed.
    fn bad(&self, error: &HeadError) -> Response {
        Response::text(error.status(), error)
    }
}

/// Limits of a server.
#[derive(Debug, Clone)]
pub struct Sizes {
    /// Maximum number of concurrent connections.
    pub connections: usize,
    /// Stack size of a connection's thread, bytes.
    pub stack: usize,
    /// Limits of each connection.
    pub limits: Limits,
}

impl Default for Sizes {
    fn default() -> Self {
        Sizes { connections: 4096, stack: 256 * 1024, limits: Limits::default() }
    }
}

/// Stack size of the acceptor's thread, bytes.
const ACCEPTOR_STACK: usize = 256 * 1024;
/// Interval at which [`Server::stop`] checks whether all requests have been answered.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// State shared by the acceptor and the connections.
struct Shared {
    handler: Arc<dyn Handler>,
    sizes: Sizes,
    stop: AtomicBool,
    /// Number of connection threads.
    threads: AtomicUsize,
    /// Number of requests that a stop waits for.
    busy: AtomicUsize,
    /// Open connections, to be reset by [`Server::kill`].
    open: Mutex<Vec<Weak<TcpStream>>>,
}

impl Shared {
    fn open(&self) -> MutexGuard<'_, Vec<Weak<TcpStream>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Decrements a counter when it is dropped.
struct Counted<'a>(&'a AtomicUsize);

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A server that runs until it is stopped or dropped.
pub struct Server {
    shared: Arc<Shared>,
    address: SocketAddr,
    acceptor: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Starts serving on a listener.
    ///
    /// # Errors
    /// The listener can't be configured or the acceptor's thread can't be started.
    pub fn start(listener: TcpListener, sizes: Sizes, handler: Arc<dyn Handler>) -> io::Result<Server> {
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let shared = Arc::new(Shared {
            handler,
            sizes,
            stop: AtomicBool::new(false),
            threads: AtomicUsize::new(0),
            busy: AtomicUsize::new(0),
            open: Mutex::default(),
        });
        let acceptor_shared = shared.clone();
        let acceptor = thread::Builder::new()
            .name("accept".into())
            .stack_size(ACCEPTOR_STACK)
            .spawn(move || accept::run(&listener, &acceptor_shared))?;
        Ok(Server { shared, address, acceptor: Some(acceptor) })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts no further connections and waits for pending requests to be answered, at most for `wait`.
    pub fn stop(mut self, wait: Duration) {
        self.join_acceptor();
        let until = Instant::now() + wait;
        while self.shared.busy.load(Ordering::SeqCst) > 0 && Instant::now() < until {
            thread::sleep(STOP_POLL_INTERVAL);
        }
    }

    /// Ends at once: the listener is closed and every connection is reset, as if the process had died.
    pub fn kill(mut self) {
        self.join_acceptor();
        for stream in self.shared.open().drain(..).filter_map(|stream| stream.upgrade()) {
            // A zero linger makes the system send a reset. If it can't be set, the shutdown has to suffice.
            let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn join_acceptor(&mut self) {
        self.shared.stop.store(true, Ordering::SeqCst);
        if let Some(acceptor) = self.acceptor.take() {
            let _ = acceptor.join();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.join_acceptor();
    }
}
