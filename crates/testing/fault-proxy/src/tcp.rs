//! A TCP proxy that injects faults into each direction.
//!
//! Blocked bytes are queued, not lost: TCP would retransmit them and deliver them once the path is restored, unless one side
//! has given up by then. A connection that is opened while the path is blocked is accepted and stays silent, because in a
//! partition the sender's system receives no error either. Each direction has a reader, a bounded queue and a writer, so that
//! a slow receiver delays its own direction alone.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};

use crate::STACK_BYTES;

/// Maximum number of queued chunks of a direction.
const QUEUED_CHUNKS: usize = 256;
const CHUNK_BYTES: usize = 4096;
/// Interval at which the writer checks whether a blocked chunk may pass.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which an idle writer checks whether the proxy has been dropped.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between two pieces of a throttled direction.
const THROTTLE_INTERVAL: Duration = Duration::from_millis(20);
const THROTTLE_PIECES_PER_SECOND: usize = 50;

/// The faults of one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DirectionFault {
    /// Whether the direction is blocked. Bytes are queued until it is unblocked.
    pub blocked: bool,
    /// Delay of each chunk.
    pub delay: Duration,
    /// Limit on the rate. `None` if the rate is unlimited.
    pub bytes_per_second: Option<u32>,
}

/// The faults of both directions, as seen by the client that opens the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LinkFault {
    /// Faults of the direction from the client.
    pub forward: DirectionFault,
    /// Faults of the direction to the client.
    pub reverse: DirectionFault,
}

impl LinkFault {
    /// Returns faults that block both directions.
    pub fn partition() -> LinkFault {
        let blocked = DirectionFault { blocked: true, ..DirectionFault::default() };
        LinkFault { forward: blocked, reverse: blocked }
    }

    /// Returns faults that delay both directions.
    pub fn delayed(delay: Duration) -> LinkFault {
        let delayed = DirectionFault { delay, ..DirectionFault::default() };
        LinkFault { forward: delayed, reverse: delayed }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Forward,
    Reverse,
}

/// Bytes of one read, and the time of the read.
struct Chunk {
    read_at: Instant,
    bytes: Vec<u8>,
}

/// State that the threads of a proxy share.
struct ProxyState {
    fault: Mutex<LinkFault>,
    connections: Mutex<Vec<TcpStream>>,
    stopped: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ProxyState {
    fn fault(&self, direction: Direction) -> DirectionFault {
        let fault = *lock(&self.fault);
        match direction {
            Direction::Forward => fault.forward,
            Direction::Reverse => fault.reverse,
        }
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }
}

/// A proxy to one address. Dropping it stops it and closes its connections.
pub struct TcpProxy {
    address: SocketAddr,
    state: Arc<ProxyState>,
}

impl TcpProxy {
    /// Starts a proxy without faults on a free port of loopback.
    ///
    /// # Errors
    /// Returns an error if no port can be bound or no thread started.
    pub fn start(target: SocketAddr) -> io::Result<TcpProxy> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new(ProxyState {
            fault: Mutex::default(),
            connections: Mutex::default(),
            stopped: AtomicBool::new(false),
        });
        let accepting = Arc::clone(&state);
        thread::Builder::new()
            .stack_size(STACK_BYTES)
            .spawn(move || accept_connections(&accepting, &listener, target))?;
        Ok(TcpProxy { address, state })
    }

    /// Returns the address of the proxy.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the faults, also of open connections.
    pub fn set_fault(&self, fault: LinkFault) {
        *lock(&self.state.fault) = fault;
    }

    /// Closes all connections.
    pub fn close_connections(&self) {
        for connection in lock(&self.state.connections).drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for TcpProxy {
    fn drop(&mut self) {
        self.state.stopped.store(true, Ordering::Relaxed);
        self.close_connections();
        // Wakes the thread that accepts.
        let _ = TcpStream::connect(self.address);
    }
}

fn accept_connections(state: &Arc<ProxyState>, listener: &TcpListener, target: SocketAddr) {
    for client in listener.incoming().flatten() {
        if state.is_stopped() {
            return;
        }
        // The target refused the connection. Dropping the connection of the client is the closest equivalent.
        let Ok(server) = TcpStream::connect_timeout(&target, CONNECT_TIMEOUT) else { continue };
        let _ = forward_connection(state, client, server);
    }
}

fn forward_connection(state: &Arc<ProxyState>, client: TcpStream, server: TcpStream) -> io::Result<()> {
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    {
        let mut connections = lock(&state.connections);
        connections.retain(|connection| connection.peer_addr().is_ok());
        connections.extend([client.try_clone()?, server.try_clone()?]);
    }
    forward_direction(state, Direction::Forward, client.try_clone()?, server.try_clone()?)?;
    forward_direction(state, Direction::Reverse, server, client)
}

fn forward_direction(
    state: &Arc<ProxyState>,
    direction: Direction,
    from: TcpStream,
    to: TcpStream,
) -> io::Result<()> {
    let (queue, chunks) = bounded(QUEUED_CHUNKS);
    thread::Builder::new().stack_size(STACK_BYTES).spawn(move || read_chunks(from, &queue))?;
    let state = Arc::clone(state);
    thread::Builder::new()
        .stack_size(STACK_BYTES)
        .spawn(move || write_chunks(&state, direction, &chunks, to))?;
    Ok(())
}

fn read_chunks(mut from: TcpStream, queue: &Sender<Chunk>) {
    let mut buffer = [0; CHUNK_BYTES];
    while let Ok(count) = from.read(&mut buffer) {
        let chunk = Chunk { read_at: Instant::now(), bytes: buffer[..count].to_vec() };
        // The sender of the queue is dropped at the end, and the writer still sends the queued chunks.
        if count == 0 || queue.send(chunk).is_err() {
            return;
        }
    }
}

fn write_chunks(state: &ProxyState, direction: Direction, chunks: &Receiver<Chunk>, mut to: TcpStream) {
    loop {
        let chunk = match chunks.recv_timeout(IDLE_INTERVAL) {
            Ok(chunk) => chunk,
            Err(RecvTimeoutError::Timeout) if state.is_stopped() => return,
            Err(RecvTimeoutError::Timeout) => continue,
            Err(RecvTimeoutError::Disconnected) => break,
        };
        hold(state, direction, chunk.read_at);
        if write_throttled(state, direction, &chunk.bytes, &mut to).is_err() {
            let _ = to.shutdown(Shutdown::Both);
            return;
        }
    }
    // A blocked direction hides the end of the connection as well.
    while !state.is_stopped() && state.fault(direction).blocked {
        thread::sleep(POLL_INTERVAL);
    }
    let _ = to.shutdown(Shutdown::Both);
}

/// Waits until a chunk may pass, or the proxy is stopped.
fn hold(state: &ProxyState, direction: Direction, read_at: Instant) {
    while !state.is_stopped() {
        let fault = state.fault(direction);
        if !fault.blocked && read_at.elapsed() >= fault.delay {
            return;
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn write_throttled(
    state: &ProxyState,
    direction: Direction,
    bytes: &[u8],
    to: &mut TcpStream,
) -> io::Result<()> {
    let limit = state.fault(direction).bytes_per_second;
    let piece_bytes = limit.map_or(CHUNK_BYTES, |limit| (limit as usize / THROTTLE_PIECES_PER_SECOND).max(1));
    for piece in bytes.chunks(piece_bytes) {
        if state.is_stopped() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        to.write_all(piece)?;
        if limit.is_some() {
            thread::sleep(THROTTLE_INTERVAL);
        }
    }
    Ok(())
}
