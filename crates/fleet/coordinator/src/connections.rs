//! Inbound connections. A thread accepts them, and each connection has a reader thread and a writer thread, with a bounded queue
//! between the server and the writer. A peer that does not read loses only its own messages and delays no other peer.
//!
//! The threads are detached: a reader ends with its connection, a writer with its queue, and the acceptor with the process.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use tracing::warn;

use crate::wire::{self, Message};

/// Maximum number of open inbound connections.
const MAX_CONNECTIONS: usize = 1024;
/// Maximum number of messages that are queued for a connection or a peer.
pub(crate) const QUEUE_CAPACITY: usize = 512;
/// Stack size of a connection's threads.
pub(crate) const STACK_BYTES: usize = 128 << 10;
/// Time without an inbound message after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after which a blocked write fails and its connection is closed.
pub(crate) const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Identifies an inbound connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionId(pub u64);

/// An event of an inbound connection.
pub(crate) enum Inbound {
    Message(ConnectionId, Message),
    Closed(ConnectionId),
}

/// The sending side of an inbound connection.
struct Outbound {
    queue: Sender<Vec<u8>>,
    stream: TcpStream,
}

/// The set of inbound connections. Clones share it.
#[derive(Clone, Default)]
pub(crate) struct Connections {
    open: Arc<Mutex<BTreeMap<ConnectionId, Outbound>>>,
    next_id: Arc<AtomicU64>,
    rejected_messages: Arc<AtomicU64>,
}

impl Connections {
    fn open(&self) -> MutexGuard<'_, BTreeMap<ConnectionId, Outbound>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of connections closed because of messages that could not be read.
    pub fn rejected_messages(&self) -> u64 {
        self.rejected_messages.load(Ordering::Relaxed)
    }

    /// Queues an encoded message. A connection whose queue is full is closed.
    pub fn send(&self, to: ConnectionId, bytes: Vec<u8>) {
        let mut open = self.open();
        if let Some(outbound) = open.get(&to)
            && let Err(TrySendError::Full(_)) = outbound.queue.try_send(bytes)
        {
            let _ = outbound.stream.shutdown(Shutdown::Both);
            open.remove(&to);
        }
    }

    /// Returns whether the connection is open and has fewer than `max_queued` messages in its queue.
    pub fn has_capacity(&self, connection: ConnectionId, max_queued: usize) -> bool {
        self.open().get(&connection).is_some_and(|outbound| outbound.queue.len() < max_queued)
    }

    /// Closes a connection after its queued messages have been written or the write timeout has passed.
    pub fn close(&self, connection: ConnectionId) {
        if let Some(outbound) = self.open().remove(&connection) {
            // The reader ends. The writer continues until the queue is empty, as its sender is dropped here.
            let _ = outbound.stream.shutdown(Shutdown::Read);
        }
    }

    /// Starts a thread that accepts connections until the process ends.
    ///
    /// # Errors
    /// Returns an error if the thread can't be started.
    pub fn accept(&self, listener: TcpListener, fleet: u64, inbound: Sender<Inbound>) -> io::Result<()> {
        let connections = self.clone();
        thread::Builder::new().name("accept".into()).stack_size(STACK_BYTES).spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else {
                    // The process is probably out of file descriptors. The delay avoids a busy loop.
                    thread::sleep(ACCEPT_RETRY_DELAY);
                    continue;
                };
                if connections.open().len() < MAX_CONNECTIONS
                    && let Err(error) = connections.serve(stream, fleet, inbound.clone())
                {
                    warn!("could not serve an inbound connection: {error}");
                }
            }
        })?;
        Ok(())
    }

    /// Starts the threads of a connection.
    fn serve(&self, stream: TcpStream, fleet: u64, inbound: Sender<Inbound>) -> io::Result<()> {
        let _ = stream.set_nodelay(true);
        stream.set_read_timeout(Some(IDLE_TIMEOUT))?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        let id = ConnectionId(self.next_id.fetch_add(1, Ordering::SeqCst));
        let (queue, messages) = bounded::<Vec<u8>>(QUEUE_CAPACITY);
        let (reader, writer) = (stream.try_clone()?, stream.try_clone()?);
        self.open().insert(id, Outbound { queue, stream });
        let connections = self.clone();
        thread::Builder::new()
            .name("reads".into())
            .stack_size(STACK_BYTES)
            .spawn(move || connections.read_messages(id, reader, fleet, &inbound))?;
        thread::Builder::new()
            .name("writes".into())
            .stack_size(STACK_BYTES)
            .spawn(move || write_messages(&messages, writer))?;
        Ok(())
    }

    /// Reads messages until the connection ends or a message is rejected.
    fn read_messages(&self, id: ConnectionId, mut stream: TcpStream, fleet: u64, inbound: &Sender<Inbound>) {
        loop {
            match wire::read(fleet, &mut stream) {
                Ok(message) => {
                    if inbound.send(Inbound::Message(id, message)).is_err() {
                        break;
                    }
                }
                Err(error) => {
                    if error.is_rejection() {
                        self.rejected_messages.fetch_add(1, Ordering::Relaxed);
                        warn!("inbound message rejected, closing its connection: {error}");
                    }
                    break;
                }
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
        self.open().remove(&id);
        let _ = inbound.send(Inbound::Closed(id));
    }
}

/// Writes messages until the queue's sender is dropped or a write fails.
fn write_messages(messages: &Receiver<Vec<u8>>, mut stream: TcpStream) {
    for bytes in messages {
        if stream.write_all(&bytes).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}
