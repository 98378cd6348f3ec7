//! A server with one thread per connection, taken from a pool of limited size. Connections over the limit are refused at once.

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
    /// A complete response, and a callback that receives whether the whole response was written.
    CompleteThen(Response, Box<dyn FnOnce(bool) + Send>),
    /// The head of a response, and a function that writes the body. The connection is closed after the body.
    Stream(Response, Box<dyn FnOnce(&TcpStream) + Send>),
    /// No response. The connection is closed.
    Disconnect,
}

/// The connection on which a request was received.
#[derive(Debug)]
pub struct Link<'a> {
    /// Socket of the connection, which may be polled but not read.
    pub socket: &'a TcpStream,
    /// Address of the peer.
    pub peer: SocketAddr,
}

/// A handler of requests.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request. The method is called on the connection's thread and may block.
    fn handle(&self, request: Request, link: &Link<'_>) -> Reply;

    /// Returns the response to a connection over the limit. The method is called on the acceptor's thread and must not block.
    fn connection_refusal(&self) -> Response {
        Response::text(StatusCode::SERVICE_UNAVAILABLE, "too many connections").with(header::RETRY_AFTER, "1")
    }

    /// Returns the response to a request that can't be parsed.
    fn invalid_request(&self, error: &HeadError) -> Response {
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
const ACCEPTOR_STACK_BYTES: usize = 256 * 1024;
/// Interval at which [`Server::stop`] checks whether all requests have been answered.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// State shared by the acceptor and the connections.
struct Shared {
    handler: Arc<dyn Handler>,
    sizes: Sizes,
    stop: AtomicBool,
    /// Number of connection threads.
    threads: AtomicUsize,
    /// Number of requests for which [`Server::stop`] waits.
    busy: AtomicUsize,
    /// Open connections, which [`Server::kill`] resets.
    open: Mutex<Vec<Weak<TcpStream>>>,
}

impl Shared {
    fn open(&self) -> MutexGuard<'_, Vec<Weak<TcpStream>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A guard that decrements a counter when it is dropped.
struct CounterGuard<'a>(&'a AtomicUsize);

impl Drop for CounterGuard<'_> {
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
    /// Returns an error if the listener can't be configured or the acceptor's thread can't be started.
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
            .stack_size(ACCEPTOR_STACK_BYTES)
            .spawn(move || accept::run(&listener, &acceptor_shared))?;
        Ok(Server { shared, address, acceptor: Some(acceptor) })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits until pending requests are answered, at most for `max_wait`.
    pub fn stop(mut self, max_wait: Duration) {
        self.join_acceptor();
        let deadline = Instant::now() + max_wait;
        while self.shared.busy.load(Ordering::SeqCst) > 0 && Instant::now() < deadline {
            thread::sleep(STOP_POLL_INTERVAL);
        }
    }

    /// Closes the listener and resets every connection at once, as if the process had been killed.
    pub fn kill(mut self) {
        self.join_acceptor();
        for stream in self.shared.open().drain(..).filter_map(|stream| stream.upgrade()) {
            // A linger time of zero makes the operating system send a reset. If it can't be set, the connection is shut down.
            let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Signals the stop to all threads and waits for the acceptor, which closes the listener.
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
