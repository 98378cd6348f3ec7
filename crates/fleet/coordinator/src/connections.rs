//! Connections that others opened: a thread that accepts, and for each connection one that reads and one that writes, with a
//! bounded queue between the server and the writer. A peer that does not read loses its own messages and holds up nobody.
//!
//! The threads are detached: a reader ends with its connection, a writer with its queue, the acceptor with the process.

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

/// Connections at most.
const MAX_CONNECTIONS: usize = 1024;
/// Messages that wait for a connection or a peer, at most.
pub(crate) const QUEUE_CAPACITY: usize = 512;
/// Stack of a connection's threads, bytes.
pub(crate) const STACK_BYTES: usize = 128 << 10;
/// A connection on which nothing comes for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// A connection that does not take a write within this is closed.
pub(crate) const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A connection that another process opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionId(pub u64);

/// What comes from connections.
pub(crate) enum Inbound {
    Message(ConnectionId, Message),
    Closed(ConnectionId),
}

/// A connection's outbound side.
struct Outbound {
    queue: Sender<Vec<u8>>,
    stream: TcpStream,
}

/// All connections that others opened. Copies share them.
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

    /// Connections closed because of messages that could not be read.
    pub fn rejected_messages(&self) -> u64 {
        self.rejected_messages.load(Ordering::Relaxed)
    }

    /// Queues a message; a connection whose queue is full is closed.
    pub fn send(&self, to: ConnectionId, bytes: Vec<u8>) {
        let mut open = self.open();
        if let Some(outbound) = open.get(&to)
            && let Err(TrySendError::Full(_)) = outbound.queue.try_send(bytes)
        {
            let _ = outbound.stream.shutdown(Shutdown::Both);
            open.remove(&to);
        }
    }

    /// Whether fewer messages than this wait for an open connection.
    pub fn has_capacity(&self, connection: ConnectionId, messages: usize) -> bool {
        self.open().get(&connection).is_some_and(|outbound| outbound.queue.len() < messages)
    }

    /// Closes a connection once what is queued for it has been written, or the write timeout is over.
    pub fn close(&self, connection: ConnectionId) {
        if let Some(outbound) = self.open().remove(&connection) {
            // The reader ends; the writer goes on until the queue, whose sender is gone, is empty.
            let _ = outbound.stream.shutdown(Shutdown::Read);
        }
    }

    /// Accepts connections until the process ends.
    ///
    /// # Errors
    /// There is no thread.
    pub fn accept(&self, listener: TcpListener, fleet: u64, inbound: Sender<Inbound>) -> io::Result<()> {
        let connections = self.clone();
        thread::Builder::new().name("accept".into()).stack_size(STACK_BYTES).spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else {
                    // Out of descriptors, most likely: retry, but not at full speed.
                    thread::sleep(ACCEPT_RETRY_DELAY);
                    continue;
                };
                if connections.open().len() < MAX_CONNECTIONS
                    && let Err(error) = connections.serve(stream, fleet, inbound.clone())
                {
                    warn!("a connection is not served: {error}");
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

    /// Reads messages until the connection ends or one can't be read.
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
                        warn!("{error}; its connection is closed");
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

/// Writes messages until their senders are gone or a write fails.
fn write_messages(messages: &Receiver<Vec<u8>>, mut stream: TcpStream) {
    for bytes in messages {
        if stream.write_all(&bytes).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}
