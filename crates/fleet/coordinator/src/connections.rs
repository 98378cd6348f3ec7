//! Inbound connections. A thread accepts them, and each connection has a reader thread and a writer thread, with a bounded queue
//! between the server and the writer. A peer that does not read loses only its own messages and delays no other peer.
//!
//! The threads are detached: a reader ends with its connection, a writer with its queue, and the acceptor with the process.

use std::collections::BTreeMap;
use std::io::{self, Cursor, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use tracing::warn;

use crate::inbound_budget::{InboundBudget, Reservation};
use crate::wire::{self, Message, WireError};

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
/// Time from the first byte of an inbound message to its last, after which its connection is closed.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Size up to which a message's body is read without a reservation, bytes. Heartbeats and most requests are shorter.
const MAX_UNRESERVED_BYTES: usize = 4 << 10;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Identifies an inbound connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionId(pub u64);

/// An event of an inbound connection.
pub(crate) enum Inbound {
    /// A message, with the memory that is reserved until it is handled.
    Message(ConnectionId, Message, Option<Reservation>),
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
    budget: Arc<InboundBudget>,
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

    /// Reads a message. One that is long is read once there is memory for it.
    fn read_message(
        &self,
        stream: &mut TcpStream,
        fleet: u64,
    ) -> Result<(Message, Option<Reservation>), WireError> {
        let mut first_byte = [0];
        stream.set_read_timeout(Some(IDLE_TIMEOUT))?;
        stream.read_exact(&mut first_byte)?;
        let deadline = Instant::now() + MESSAGE_TIMEOUT;
        let mut reader = Cursor::new(first_byte).chain(DeadlineReader { stream, deadline });
        let header = wire::read_message_header(fleet, &mut reader)?;
        let reservation = if header.body_bytes > MAX_UNRESERVED_BYTES {
            let reserved = self.budget.reserve(header.body_bytes, deadline);
            Some(reserved.ok_or(io::Error::from(io::ErrorKind::OutOfMemory))?)
        } else {
            None
        };
        let message = wire::read_message_body(header, &mut reader)?;
        Ok((message, reservation))
    }

    /// Reads messages until the connection ends or a message is rejected.
    fn read_messages(&self, id: ConnectionId, mut stream: TcpStream, fleet: u64, inbound: &Sender<Inbound>) {
        loop {
            match self.read_message(&mut stream, fleet) {
                Ok((message, reservation)) => {
                    if inbound.send(Inbound::Message(id, message, reservation)).is_err() {
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

/// Reads from a connection until a deadline.
struct DeadlineReader<'a> {
    stream: &'a mut TcpStream,
    deadline: Instant,
}

impl Read for DeadlineReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(remaining))?;
        self.stream.read(buffer)
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
