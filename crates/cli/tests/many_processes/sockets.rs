//! The media servers' ends of the front nodes' connections: how many bytes have reached each of them, read or unread.
//!
//! Threads of the fakes may run late on a busy machine, so the time at which a line is read doesn't show when it was written. On
//! the loopback device, bytes are in the receiving socket before a later write of the same process is visible anywhere.
//! Therefore, a snapshot of all sockets shows what was written before.

use std::collections::BTreeMap;
use std::io::{self, Read};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, Weak};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::ioctl_fionread;

use crate::recorder::lock;

/// Connection that a media server has accepted. It is closed when the last reference is dropped.
pub struct Connection {
    /// Unique, increasing number.
    pub number: u64,
    pub stream: TcpStream,
    /// Front node at the other end, known once a set-up was received.
    node: OnceLock<usize>,
    /// Number of bytes that were read from the socket.
    bytes_read: Mutex<u64>,
}

impl Connection {
    /// Waits for bytes and reads them.
    pub fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        // Waiting without the lock lets other threads compare the count with the socket meanwhile.
        self.stream.peek(buffer)?;
        let mut bytes_read = lock(&self.bytes_read);
        let count = (&self.stream).read(buffer)?;
        *bytes_read += count as u64;
        Ok(count)
    }

    /// Records the front node that opened the connection.
    pub fn set_node(&self, node: usize) {
        self.node.get_or_init(|| node);
    }

    /// Returns the number of bytes that have reached the connection.
    fn bytes_arrived(&self) -> u64 {
        let bytes_read = lock(&self.bytes_read);
        // The call takes the socket's lock in the kernel, so that segments that waited for that lock are counted too.
        *bytes_read + ioctl_fionread(&self.stream).unwrap_or(0)
    }

    /// Whether either end has closed the connection.
    fn has_ended(&self) -> bool {
        let mut state = [PollFd::new(&self.stream, PollFlags::RDHUP)];
        let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
        let polled = poll(&mut state, Some(&at_once));
        let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        polled.is_err() || state[0].revents().intersects(ended)
    }

    /// Whether the front node may have opened the connection.
    fn may_be_of(&self, node: usize) -> bool {
        self.node.get().is_none_or(|known| *known == node)
    }
}

/// State of a connection at the receiving end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrived {
    /// Number of bytes that have arrived since the connection was opened.
    pub bytes: u64,
    /// Whether either end has closed the connection.
    pub ended: bool,
}

/// State of the connections of one front node at one time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Position in the order of all snapshots and marks.
    pub order: u64,
    /// Number of the next connection. Connections from this number on did not exist yet.
    pub next_connection: u64,
    /// Connections that existed. A missing connection with a lower number than `next_connection` had ended.
    pub connections: BTreeMap<u64, Arrived>,
}

impl Snapshot {
    /// Whether the byte at this position had reached the connection.
    pub fn has(&self, connection: u64, position: u64) -> bool {
        self.connections.get(&connection).is_some_and(|arrived| arrived.bytes >= position)
    }

    /// Whether the connection had existed and had ended.
    pub fn has_ended(&self, connection: u64) -> bool {
        match self.connections.get(&connection) {
            Some(arrived) => arrived.ended,
            None => connection < self.next_connection,
        }
    }
}

type Serve = Box<dyn Fn(Arc<Connection>) + Send>;

struct Listener {
    socket: TcpListener,
    /// Starts to serve a connection. The function must not accept connections or take snapshots itself.
    serve: Serve,
}

/// Open connections of all media servers.
#[derive(Default)]
struct Connections {
    by_number: BTreeMap<u64, Weak<Connection>>,
    next_number: u64,
}

impl Connections {
    fn add(&mut self, stream: TcpStream) -> Arc<Connection> {
        let number = self.next_number;
        self.next_number += 1;
        let connection =
            Arc::new(Connection { number, stream, node: OnceLock::new(), bytes_read: Mutex::default() });
        self.by_number.retain(|_, other| other.strong_count() > 0);
        self.by_number.insert(number, Arc::downgrade(&connection));
        connection
    }

    fn get(&self, number: u64) -> Option<Arc<Connection>> {
        self.by_number.get(&number)?.upgrade()
    }
}

/// Sockets of all media servers.
#[derive(Default)]
pub struct Sockets {
    listeners: Mutex<BTreeMap<usize, Listener>>,
    connections: Mutex<Connections>,
    order: AtomicU64,
}

impl Sockets {
    /// Accepts the connections of a media server from now on.
    pub fn listen(
        &self,
        server: usize,
        socket: TcpListener,
        serve: impl Fn(Arc<Connection>) + Send + 'static,
    ) -> io::Result<()> {
        socket.set_nonblocking(true)?;
        lock(&self.listeners).insert(server, Listener { socket, serve: Box::new(serve) });
        Ok(())
    }

    /// Accepts all waiting connections. Returns whether this media server still listens.
    pub fn accept(&self, server: usize) -> bool {
        let listeners = lock(&self.listeners);
        self.accept_all(&listeners);
        listeners.contains_key(&server)
    }

    fn accept_all(&self, listeners: &BTreeMap<usize, Listener>) {
        for listener in listeners.values() {
            while let Ok((stream, _)) = listener.socket.accept() {
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let connection = lock(&self.connections).add(stream);
                (listener.serve)(connection);
            }
        }
    }

    /// Stops listening and wakes the thread that waits for connections.
    pub fn stop_listening(&self, server: usize) {
        if let Some(listener) = lock(&self.listeners).remove(&server) {
            let _ = rustix::net::shutdown(&listener.socket, rustix::net::Shutdown::Both);
        }
    }

    /// Returns the next position in the order of snapshots.
    pub fn mark(&self) -> u64 {
        self.order.fetch_add(1, Ordering::SeqCst)
    }

    /// Takes a snapshot of the connections of a front node. The connections in `first` are observed before all others, so that they
    /// are observed as early as possible.
    pub fn snapshot(&self, node: usize, first: &[u64]) -> Snapshot {
        let order = self.mark();
        let first_connections = {
            let connections = lock(&self.connections);
            first.iter().filter_map(|number| connections.get(*number)).collect()
        };
        let mut seen = BTreeMap::new();
        observe(first_connections, &mut seen);
        // A connection that no thread has accepted yet may already carry a set-up and its abandonment.
        self.accept_all(&lock(&self.listeners));
        let (next_connection, others) = {
            let connections = lock(&self.connections);
            let others = connections.by_number.iter().filter(|(number, _)| !first.contains(number));
            let others: Vec<_> = others.filter_map(|(_, connection)| connection.upgrade()).collect();
            (connections.next_number, others)
        };
        observe(others.into_iter().filter(|connection| connection.may_be_of(node)).collect(), &mut seen);
        Snapshot { order, next_connection, connections: seen }
    }
}

/// Adds the states of these connections. All byte counts are taken before the first check for an end.
fn observe(connections: Vec<Arc<Connection>>, seen: &mut BTreeMap<u64, Arrived>) {
    let counts: Vec<u64> = connections.iter().map(|connection| connection.bytes_arrived()).collect();
    for (connection, bytes) in connections.iter().zip(counts) {
        seen.insert(connection.number, Arrived { bytes, ended: connection.has_ended() });
    }
}
