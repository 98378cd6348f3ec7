//! A server: one thread for each connection, from a pool with a bound; past it, an answer at once.

use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, bounded};
use http::{Method, StatusCode, header};

use crate::body::Decoder;
use crate::limits::Limits;
use crate::message::{HeadError, Request, Response, request_head};
use crate::wait;

/// What a handler answers.
pub enum Reply {
    /// A whole response.
    Whole(Response),
    /// A whole response; the handler is told whether it could be written.
    Told(Response, Box<dyn FnOnce(bool) + Send>),
    /// A head, and then whatever the handler writes until it returns. The connection closes after.
    Open(Response, Box<dyn FnOnce(&TcpStream) + Send>),
    /// Nothing: the connection is closed as it is.
    HangUp,
}

/// The connection that a request came on.
#[derive(Debug)]
pub struct Link<'a> {
    /// Its socket; to be waited on, not read.
    pub socket: &'a TcpStream,
    /// The other side.
    pub peer: SocketAddr,
}

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request. It runs on the connection's thread and may wait.
    fn handle(&self, request: Request, link: &Link<'_>) -> Reply;

    /// What a connection past the bound is told.
    fn refuse(&self) -> Response {
        Response::text(StatusCode::SERVICE_UNAVAILABLE, "too many connections").with(header::RETRY_AFTER, "1")
    }

    /// Shapes the answer to a request that can't be read.
    fn bad(&self, error: &HeadError) -> Response {
        Response::text(error.status(), error)
    }
}

/// Sizes of a server.
#[derive(Debug, Clone)]
pub struct Sizes {
    /// Connections at once.
    pub connections: usize,
    /// Stack of a connection's thread, bytes.
    pub stack: usize,
    /// Bounds of each connection.
    pub limits: Limits,
}

impl Default for Sizes {
    fn default() -> Self {
        Sizes { connections: 4096, stack: 256 * 1024, limits: Limits::default() }
    }
}

/// How long a thread without a connection waits for one.
const SPARE: Duration = Duration::from_secs(5);
/// Connections that are taken yet when the door closes, at most.
const MOST_WAITING: usize = 4096;
/// What a connection that has said nothing yet is waited for when the door closes: its request may be on the way.
const LAST_WORD: Duration = Duration::from_millis(100);
/// How often the listener looks whether it is to stop.
const LOOK: Duration = Duration::from_millis(50);
/// How long a connection that was refused may take to read why, and how many may at once.
const LINGER: (Duration, usize) = (Duration::from_millis(200), 256);

struct Shared {
    handler: Arc<dyn Handler>,
    sizes: Sizes,
    stop: AtomicBool,
    threads: AtomicUsize,
    busy: AtomicUsize,
    /// Connections that are open, to be broken by [`Server::kill`].
    open: Mutex<Vec<Weak<TcpStream>>>,
}

impl Shared {
    fn open(&self) -> std::sync::MutexGuard<'_, Vec<Weak<TcpStream>>> {
        self.open.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// A server that runs until it is dropped or stopped.
pub struct Server {
    shared: Arc<Shared>,
    address: SocketAddr,
    acceptor: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Serves on a listener.
    pub fn start(listener: TcpListener, sizes: Sizes, handler: Arc<dyn Handler>) -> io::Result<Server> {
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let (stop, threads, busy) = (AtomicBool::new(false), AtomicUsize::new(0), AtomicUsize::new(0));
        let shared = Arc::new(Shared { handler, sizes, stop, threads, busy, open: Mutex::default() });
        let of_acceptor = shared.clone();
        let acceptor = thread::Builder::new()
            .name("accept".into())
            .stack_size(256 * 1024)
            .spawn(move || accept(&listener, &of_acceptor))?;
        Ok(Server { shared, address, acceptor: Some(acceptor) })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no further connection; requests under way are answered. Waits for them at most so long.
    pub fn stop(mut self, wait: Duration) {
        self.halt();
        let until = Instant::now() + wait;
        while self.shared.busy.load(Ordering::SeqCst) > 0 && Instant::now() < until {
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Ends at once: the listener closes and every connection breaks, as when the process dies.
    pub fn kill(mut self) {
        self.halt();
        for stream in self.shared.open().drain(..).filter_map(|s| s.upgrade()) {
            // A zero linger makes the system send a reset; failing that, the shutdown will have to do.
            let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn halt(&mut self) {
        self.shared.stop.store(true, Ordering::SeqCst);
        if let Some(acceptor) = self.acceptor.take() {
            let _ = acceptor.join();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.halt();
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    let (sender, receiver) = bounded::<(TcpStream, SocketAddr)>(0);
    let mut lingering: VecDeque<(Instant, TcpStream)> = VecDeque::new();
    while !shared.stop.load(Ordering::SeqCst) {
        while lingering.front().is_some_and(|l| l.0.elapsed() > LINGER.0) {
            lingering.pop_front();
        }
        match listener.accept() {
            Ok((stream, peer)) => {
                // Accepted sockets do not take over the listener's mode on every system.
                if stream.set_nonblocking(false).is_err() || stream.set_nodelay(true).is_err() {
                    continue;
                }
                if let Some(stream) = hand_over(stream, peer, &sender, &receiver, shared) {
                    refuse(stream, shared, &mut lingering);
                }
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => wait::acceptable(listener, LOOK),
            // Out of descriptors or a connection that broke at once: go on, but don't spin.
            Err(_) => thread::sleep(Duration::from_millis(5)),
        }
    }
    // Whoever had connected by now has come before the door closed: the system would reset what is left waiting.
    for _ in 0..MOST_WAITING {
        let Ok((stream, peer)) = listener.accept() else { break };
        if stream.set_nonblocking(false).is_err() || stream.set_nodelay(true).is_err() {
            continue;
        }
        if let Some(stream) = hand_over(stream, peer, &sender, &receiver, shared) {
            refuse(stream, shared, &mut lingering);
        }
    }
}

/// Gives a connection to a spare thread or a new one; gives it back if the bound is reached.
fn hand_over(
    stream: TcpStream,
    peer: SocketAddr,
    sender: &Sender<(TcpStream, SocketAddr)>,
    receiver: &Receiver<(TcpStream, SocketAddr)>,
    shared: &Arc<Shared>,
) -> Option<TcpStream> {
    let (stream, peer) = match sender.try_send((stream, peer)) {
        Ok(()) => return None,
        Err(e) => e.into_inner(),
    };
    if shared.threads.load(Ordering::SeqCst) >= shared.sizes.connections {
        return Some(stream);
    }
    shared.threads.fetch_add(1, Ordering::SeqCst);
    let (of_thread, receiver) = (shared.clone(), receiver.clone());
    let thread = thread::Builder::new().name("connection".into()).stack_size(shared.sizes.stack);
    let spawned = thread.spawn(move || {
        let _counted = Counted(&of_thread.threads);
        connection(stream, peer, &of_thread);
        while let Ok((stream, peer)) = receiver.recv_timeout(SPARE) {
            connection(stream, peer, &of_thread);
        }
    });
    if spawned.is_err() {
        shared.threads.fetch_sub(1, Ordering::SeqCst);
    }
    None
}

struct Counted<'a>(&'a AtomicUsize);

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn refuse(stream: TcpStream, shared: &Shared, lingering: &mut VecDeque<(Instant, TcpStream)>) {
    let mut response = shared.handler.refuse();
    response.keep_alive = false;
    let _ = stream.set_write_timeout(Some(Duration::from_millis(5)));
    if (&stream).write_all(&response.encode(&Method::GET)).is_ok() {
        let _ = stream.shutdown(Shutdown::Write);
        // Closed with its request unread, the connection would be reset and the answer lost with it.
        if lingering.len() >= LINGER.1 {
            lingering.pop_front();
        }
        lingering.push_back((Instant::now(), stream));
    }
}

/// Why no request was read.
enum NoRequest {
    /// The other side is done, or never said anything.
    Closed,
    /// It is too slow; whether a part of a request had come.
    Slow(bool),
    /// What it sent can't be used.
    Bad(HeadError),
}

/// Keeps a connection among the open ones while it is served.
fn connection(stream: TcpStream, peer: SocketAddr, shared: &Shared) {
    let stream = Arc::new(stream);
    {
        let mut open = shared.open();
        // Swept when it has doubled, so that each connection costs a constant time.
        if open.len() == open.capacity() {
            open.retain(|s| s.strong_count() > 0);
        }
        open.push(Arc::downgrade(&stream));
    }
    serve(&stream, peer, shared);
}

fn serve(stream: &TcpStream, peer: SocketAddr, shared: &Shared) {
    let limits = &shared.sizes.limits;
    let mut buf = Vec::new();
    let _ = stream.set_write_timeout(Some(limits.write_time));
    for n in 0..limits.messages {
        // The first request of a connection is waited for when the door closes, as who connected means to ask.
        let waited_for = (n == 0).then(|| {
            shared.busy.fetch_add(1, Ordering::SeqCst);
            Counted(&shared.busy)
        });
        let request = match read_request(stream, &mut buf, limits, shared, n == 0) {
            Ok(request) => request,
            Err(NoRequest::Closed | NoRequest::Slow(false)) => return,
            Err(NoRequest::Slow(true)) => {
                let late = Response::text(StatusCode::REQUEST_TIMEOUT, "the request took too long to arrive");
                return close(stream, late);
            }
            Err(NoRequest::Bad(e)) => return close(stream, shared.handler.bad(&e)),
        };
        let _busy = {
            shared.busy.fetch_add(1, Ordering::SeqCst);
            Counted(&shared.busy)
        };
        drop(waited_for);
        let (method, keep) = (request.method.clone(), request.keep_alive && n + 1 < limits.messages);
        let reply = shared.handler.handle(request, &Link { socket: stream, peer });
        let keep = keep && !shared.stop.load(Ordering::SeqCst);
        let whole = |mut response: Response| {
            response.keep_alive &= keep;
            let written = !wait::hung_up(stream) && (&*stream).write_all(&response.encode(&method)).is_ok();
            (written, response.keep_alive)
        };
        let goes_on = match reply {
            Reply::Whole(response) => whole(response),
            Reply::Told(response, tell) => {
                let (written, goes_on) = whole(response);
                tell(written);
                (written, goes_on)
            }
            Reply::Open(response, write) => {
                if (&*stream).write_all(&response.encode_open()).is_ok() {
                    write(stream);
                }
                (false, false)
            }
            Reply::HangUp => (false, false),
        };
        if goes_on != (true, true) {
            return;
        }
    }
}

/// Answers and closes, so that the answer is read even if more was on its way.
fn close(stream: &TcpStream, mut response: Response) {
    response.keep_alive = false;
    if (&*stream).write_all(&response.encode(&Method::GET)).is_ok() {
        let _ = stream.shutdown(Shutdown::Write);
        let until = Instant::now() + LINGER.0;
        let mut sink = [0; 4096];
        while let Ok([true]) = wait::readable([Some(stream)], until) {
            if !matches!((&*stream).read(&mut sink), Ok(n) if n > 0) {
                break;
            }
        }
    }
}

/// Reads once, by `until`.
fn fill(stream: &TcpStream, buf: &mut Vec<u8>, until: Instant) -> Result<(), NoRequest> {
    let mut chunk = [0; 4096];
    match wait::readable([Some(stream)], until) {
        Ok([true]) => {}
        Ok([false]) => return Err(NoRequest::Slow(!buf.is_empty())),
        Err(_) => return Err(NoRequest::Closed),
    }
    match (&*stream).read(&mut chunk) {
        Ok(0) => Err(NoRequest::Closed),
        Ok(n) => {
            buf.extend_from_slice(&chunk[..n]);
            Ok(())
        }
        Err(e) if e.kind() == io::ErrorKind::Interrupted => Ok(()),
        Err(_) => Err(NoRequest::Closed),
    }
}

fn read_request(
    stream: &TcpStream,
    buf: &mut Vec<u8>,
    limits: &Limits,
    shared: &Shared,
    first: bool,
) -> Result<Request, NoRequest> {
    let idle_until = Instant::now() + limits.idle_time;
    while buf.is_empty() {
        // One that was served already is idle between requests: a moment is enough for what has arrived.
        let last_word = if first { LAST_WORD } else { Duration::from_millis(1) };
        let stops = shared.stop.load(Ordering::SeqCst);
        let wait = if stops { last_word } else { Duration::from_millis(500) };
        match fill(stream, buf, idle_until.min(Instant::now() + wait)) {
            Err(NoRequest::Slow(false)) if stops => return Err(NoRequest::Closed),
            Err(NoRequest::Slow(false)) if Instant::now() < idle_until => continue,
            other => other?,
        }
    }
    let head_until = Instant::now() + limits.head_time;
    let (mut request, framing) = loop {
        match request_head(buf, limits).map_err(NoRequest::Bad)? {
            Some(head) => break head,
            None => fill(stream, buf, head_until)?,
        }
    };
    let bad = |e| NoRequest::Bad(HeadError::Body(e));
    let mut decoder = Decoder::new(framing, limits.body_bytes).map_err(bad)?;
    let waits = request
        .headers
        .get(header::EXPECT)
        .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"100-continue"));
    if waits && !decoder.done() && buf.is_empty() {
        (&*stream).write_all(b"HTTP/1.1 100 Continue\r\n\r\n").map_err(|_| NoRequest::Closed)?;
    }
    let body_until = Instant::now() + limits.body_time;
    loop {
        decoder.take(buf, &mut request.body).map_err(bad)?;
        if decoder.done() {
            buf.shrink_to(4096);
            return Ok(request);
        }
        match fill(stream, buf, body_until) {
            Err(NoRequest::Slow(_)) => return Err(NoRequest::Slow(true)),
            other => other?,
        }
    }
}
