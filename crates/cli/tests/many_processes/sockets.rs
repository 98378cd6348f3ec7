//! The media servers' ends of the front nodes' connections: how much has reached each of them, read or not.
//!
//! The threads of the fakes may run late on a busy machine, so the time at which a line is read does not tell when it was
//! written. On the loopback device bytes lie in the receiving socket before a later write of the same process is seen
//! anywhere, so a snapshot of all sockets tells what was written before.

use std::collections::BTreeMap;
use std::io::{self, Read};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, Weak};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::ioctl_fionread;

use crate::recorder::lock;

/// A connection that a media server has accepted. Whoever holds it keeps it from being closed.
pub struct Connection {
    /// No two connections share it, and it grows.
    pub number: u64,
    pub stream: TcpStream,
    /// The front node at its other end, once a set-up was received.
    node: OnceLock<usize>,
    /// How many bytes were taken from the socket.
    taken: Mutex<u64>,
}

impl Connection {
    /// Waits for bytes and takes them.
    pub fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        // It waits without the lock, so that the count and the socket can be compared meanwhile.
        self.stream.peek(buffer)?;
        let mut taken = lock(&self.taken);
        let count = (&self.stream).read(buffer)?;
        *taken += count as u64;
        Ok(count)
    }

    /// Records which front node has opened it.
    pub fn set_node(&self, node: usize) {
        self.node.get_or_init(|| node);
    }

    /// How many bytes have reached it by now.
    fn bytes_arrived(&self) -> u64 {
        let taken = lock(&self.taken);
        // This takes the socket's lock in the kernel, so that segments which waited for that lock are counted too.
        *taken + ioctl_fionread(&self.stream).unwrap_or(0)
    }

    /// Whether one of its ends has closed it.
    fn has_ended(&self) -> bool {
        let mut state = [PollFd::new(&self.stream, PollFlags::RDHUP)];
        let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
        let polled = poll(&mut state, Some(&at_once));
        let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        polled.is_err() || state[0].revents().intersects(ended)
    }

    /// Whether the front node may have opened it.
    fn may_be_of(&self, node: usize) -> bool {
        self.node.get().is_none_or(|known| *known == node)
    }
}

/// What has reached a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrived {
    /// So many bytes since it began.
    pub bytes: u64,
    /// One of its ends has closed it.
    pub ended: bool,
}

/// What has reached the connections of one front node at one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Its place in the order of all snapshots and marks.
    pub order: u64,
    /// Connections from this number on did not exist yet.
    pub next_connection: u64,
    /// The connections that were there. Of those with lower numbers that are missing, each had ended.
    pub connections: BTreeMap<u64, Arrived>,
}

impl Snapshot {
    /// Whether the byte at this position had reached the connection.
    pub fn has(&self, connection: u64, position: u64) -> bool {
        self.connections.get(&connection).is_some_and(|arrived| arrived.bytes >= position)
    }

    /// Whether the connection had been there and had ended.
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
    /// Starts to serve a connection; it must not accept or take snapshots itself.
    serve: Serve,
}

/// The connections of all media servers that are there.
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
            Arc::new(Connection { number, stream, node: OnceLock::new(), taken: Mutex::default() });
        self.by_number.retain(|_, other| other.strong_count() > 0);
        self.by_number.insert(number, Arc::downgrade(&connection));
        connection
    }

    fn get(&self, number: u64) -> Option<Arc<Connection>> {
        self.by_number.get(&number)?.upgrade()
    }
}

/// The sockets of all media servers.
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

    /// Accepts what waits; whether this media server still listens.
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

    /// Ends listening; whoever waits for connections there wakes.
    pub fn stop_listening(&self, server: usize) {
        if let Some(listener) = lock(&self.listeners).remove(&server) {
            let _ = rustix::net::shutdown(&listener.socket, rustix::net::Shutdown::Both);
        }
    }

    /// Marks this moment in the order of snapshots.
    pub fn mark(&self) -> u64 {
        self.order.fetch_add(1, Ordering::SeqCst)
    }

    /// What has reached the connections of a front node by now. It observes `first` before all others, so that little
    /// time passes until then.
    pub fn snapshot(&self, node: usize, first: &[u64]) -> Snapshot {
        let order = self.mark();
        let first_connections = {
            let connections = lock(&self.connections);
            first.iter().filter_map(|number| connections.get(*number)).collect()
        };
        let mut seen = BTreeMap::new();
        observe(first_connections, &mut seen);
        // A connection that no thread has accepted yet may carry a set-up and its giving-up already.
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

fn observe(connections: Vec<Arc<Connection>>, seen: &mut BTreeMap<u64, Arrived>) {
    let counts: Vec<u64> = connections.iter().map(|connection| connection.bytes_arrived()).collect();
    for (connection, bytes) in connections.iter().zip(counts) {
        seen.insert(connection.number, Arrived { bytes, ended: connection.has_ended() });
    }
}
