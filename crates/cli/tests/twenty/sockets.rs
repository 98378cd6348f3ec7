//! The media servers' ends of the front nodes' connections: how much has reached each of them, read or not.
//!
//! The threads of the fakes may run late on a busy machine, so the time at which a line is read does not tell when it was
//! written. On the loopback device bytes lie in the receiving socket before a later write of the same process is seen
//! anywhere, so a look at all sockets tells what was written before.

use std::collections::BTreeMap;
use std::io::{self, Read};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex, OnceLock, Weak};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::ioctl_fionread;

use crate::facts::lock;

/// A connection that a media server has accepted. Whoever holds it keeps it from being closed.
pub struct Connection {
    /// No two connections share it, and it grows.
    pub number: u64,
    pub stream: TcpStream,
    /// The front node at its other end, once a set-up has told it.
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

    /// Notes which front node has opened it.
    pub fn belongs_to(&self, node: usize) {
        self.node.get_or_init(|| node);
    }

    /// What has reached it by now.
    fn arrived(&self) -> Arrived {
        let taken = lock(&self.taken);
        // This takes the socket's lock in the kernel, so that segments which waited for that lock are counted too.
        let unread = ioctl_fionread(&self.stream).unwrap_or(0);
        let bytes = *taken + unread;
        drop(taken);
        let mut state = [PollFd::new(&self.stream, PollFlags::RDHUP)];
        let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
        let polled = poll(&mut state, Some(&at_once));
        let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        Arrived { bytes, ended: polled.is_err() || state[0].revents().intersects(ended) }
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
    /// Starts to serve a connection; it must not use the sockets' lock.
    serve: Serve,
}

#[derive(Default)]
struct State {
    listeners: BTreeMap<usize, Listener>,
    connections: BTreeMap<u64, Weak<Connection>>,
    next_connection: u64,
    order: u64,
}

impl State {
    fn next_order(&mut self) -> u64 {
        self.order += 1;
        self.order
    }

    fn accept_all(&mut self) {
        for listener in self.listeners.values() {
            while let Ok((stream, _)) = listener.socket.accept() {
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let number = self.next_connection;
                self.next_connection += 1;
                let (node, taken) = (OnceLock::new(), Mutex::new(0));
                let connection = Arc::new(Connection { number, stream, node, taken });
                self.connections.insert(number, Arc::downgrade(&connection));
                (listener.serve)(connection);
            }
        }
    }
}

/// The sockets of all media servers.
#[derive(Default)]
pub struct Sockets(Mutex<State>);

impl Sockets {
    /// Accepts the connections of a media server from now on.
    pub fn listen(
        &self,
        server: usize,
        socket: TcpListener,
        serve: impl Fn(Arc<Connection>) + Send + 'static,
    ) -> io::Result<()> {
        socket.set_nonblocking(true)?;
        lock(&self.0).listeners.insert(server, Listener { socket, serve: Box::new(serve) });
        Ok(())
    }

    /// Accepts what waits; whether this media server still listens.
    pub fn accept(&self, server: usize) -> bool {
        let mut state = lock(&self.0);
        state.accept_all();
        state.listeners.contains_key(&server)
    }

    /// Ends listening; whoever waits for connections there wakes.
    pub fn stop_listening(&self, server: usize) {
        if let Some(listener) = lock(&self.0).listeners.remove(&server) {
            let _ = rustix::net::shutdown(&listener.socket, rustix::net::Shutdown::Both);
        }
    }

    /// Marks this moment in the order of snapshots.
    pub fn mark(&self) -> u64 {
        lock(&self.0).next_order()
    }

    /// What has reached the connections of a front node by now.
    pub fn snapshot(&self, node: usize) -> Snapshot {
        let mut state = lock(&self.0);
        // A connection that no thread has accepted yet may carry a set-up and its giving-up already.
        state.accept_all();
        state.connections.retain(|_, connection| connection.strong_count() > 0);
        let (order, next_connection) = (state.next_order(), state.next_connection);
        let there = state.connections.iter().filter_map(|(number, weak)| Some((*number, weak.upgrade()?)));
        let of_node = there.filter(|(_, connection)| connection.node.get().is_none_or(|n| *n == node));
        let connections = of_node.map(|(number, connection)| (number, connection.arrived())).collect();
        Snapshot { order, next_connection, connections }
    }
}
