//! Connections: those that come in, and one to each peer.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};
use tracing::{debug, warn};

use crate::wire::{self, Message};

/// Connections that come in, at most.
const MOST_CONNS: usize = 1024;
/// Words that wait for a connection, at most.
const QUEUE: usize = 512;
const STACK: usize = 128 << 10;
/// A connection on which nothing comes for so long is closed.
const IDLE: Duration = Duration::from_secs(60);
/// What can't be written within this costs the connection.
const WRITE: Duration = Duration::from_secs(2);
const CONNECT: Duration = Duration::from_millis(300);
/// From one try at a peer to the next, at first and at most.
const AGAIN: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(1_000));
/// A peer is told who this is at least so often.
const HELLO: Duration = Duration::from_millis(500);

/// A connection that came in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionId(pub u64);

/// What comes from the sockets.
pub(crate) enum Inbound {
    Message(ConnectionId, Message),
    Closed(ConnectionId),
}

/// Of each connection, what waits to be written, and its socket.
type Queues = BTreeMap<u64, (Sender<Vec<u8>>, TcpStream)>;

/// All connections that came in.
#[derive(Clone, Default)]
pub(crate) struct Connections {
    queues: Arc<Mutex<Queues>>,
    made: Arc<AtomicU64>,
    pub refused: Arc<AtomicU64>,
}

impl Connections {
    fn queues(&self) -> std::sync::MutexGuard<'_, Queues> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a word; a reader that does not read loses its connection.
    pub fn say(&self, to: ConnectionId, bytes: Vec<u8>) {
        let mut queues = self.queues();
        if let Some((queue, stream)) = queues.get(&to.0)
            && let Err(TrySendError::Full(_)) = queue.try_send(bytes)
        {
            let _ = stream.shutdown(Shutdown::Both);
            queues.remove(&to.0);
        }
    }

    /// Whether fewer words than this wait for a connection.
    pub fn has_room(&self, conn: ConnectionId, words: usize) -> bool {
        self.queues().get(&conn.0).is_some_and(|(queue, _)| queue.len() < words)
    }

    /// Closes a connection once what is queued for it has gone out, or its time to be written is over.
    pub fn close(&self, conn: ConnectionId) {
        if let Some((_, stream)) = self.queues().remove(&conn.0) {
            // Its reader ends; its writer goes on until the queue, whose other end is gone, is empty.
            let _ = stream.shutdown(Shutdown::Read);
        }
    }

    /// Takes connections until the process ends.
    pub fn accept(&self, listener: TcpListener, fleet: u64, came: Sender<Inbound>) -> std::io::Result<()> {
        let this = self.clone();
        thread::Builder::new().name("accept".into()).stack_size(STACK).spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else {
                    // Out of descriptors, most likely: not at full speed.
                    thread::sleep(Duration::from_millis(20));
                    continue;
                };
                if this.queues().len() < MOST_CONNS
                    && let Err(e) = this.take(stream, fleet, came.clone())
                {
                    warn!("a connection is not served: {e}");
                }
            }
        })?;
        Ok(())
    }

    fn take(&self, stream: TcpStream, fleet: u64, came: Sender<Inbound>) -> std::io::Result<()> {
        let _ = stream.set_nodelay(true);
        stream.set_read_timeout(Some(IDLE))?;
        stream.set_write_timeout(Some(WRITE))?;
        let id = self.made.fetch_add(1, Ordering::SeqCst);
        let (queue, words) = bounded::<Vec<u8>>(QUEUE);
        let (mut reads, mut writes) = (stream.try_clone()?, stream.try_clone()?);
        self.queues().insert(id, (queue, stream));
        let this = self.clone();
        thread::Builder::new().name("reads".into()).stack_size(STACK).spawn(move || {
            loop {
                match wire::read(fleet, &mut reads) {
                    Ok(word) => {
                        if came.send(Inbound::Message(ConnectionId(id), word)).is_err() {
                            break;
                        }
                    }
                    Err(why) => {
                        if why.is_rejection() {
                            this.refused.fetch_add(1, Ordering::Relaxed);
                            warn!("{why}; its connection is dropped");
                        }
                        break;
                    }
                }
            }
            let _ = reads.shutdown(Shutdown::Both);
            this.queues().remove(&id);
            let _ = came.send(Inbound::Closed(ConnectionId(id)));
        })?;
        thread::Builder::new().name("writes".into()).stack_size(STACK).spawn(move || {
            for bytes in words {
                if writes.write_all(&bytes).is_err() {
                    break;
                }
            }
            let _ = writes.shutdown(Shutdown::Both);
        })?;
        Ok(())
    }
}

/// The way to a peer: what is said goes out in order, or is dropped where the peer does not take it.
pub(crate) struct Peer {
    queue: Sender<Vec<u8>>,
}

impl Peer {
    /// Begins to look for a peer. `hello` says who this is, each time a connection comes up and now and then.
    pub fn start(
        address: SocketAddr,
        hello: impl Fn() -> Option<Vec<u8>> + Send + 'static,
        end: Arc<AtomicBool>,
    ) -> std::io::Result<Peer> {
        let (queue, words) = bounded(QUEUE);
        thread::Builder::new()
            .name("peer".into())
            .stack_size(STACK)
            .spawn(move || run(address, &words, &hello, &end))?;
        Ok(Peer { queue })
    }

    pub fn say(&self, bytes: Vec<u8>) {
        // A full queue: the peer is slow or away, and the machine says it again.
        let _ = self.queue.try_send(bytes);
    }
}

fn run(
    address: SocketAddr,
    words: &Receiver<Vec<u8>>,
    hello: &dyn Fn() -> Option<Vec<u8>>,
    end: &AtomicBool,
) {
    let (mut stream, mut failures): (Option<TcpStream>, u32) = (None, 0);
    while !end.load(Ordering::Relaxed) {
        let word = match words.recv_timeout(HELLO) {
            Ok(bytes) => Some(bytes),
            Err(RecvTimeoutError::Timeout) => hello(),
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if stream.is_none() {
            match TcpStream::connect_timeout(&address, CONNECT) {
                Ok(mut up) => {
                    let _ = up.set_nodelay(true);
                    let _ = up.set_write_timeout(Some(WRITE));
                    failures = 0;
                    let said = hello().is_none_or(|bytes| up.write_all(&bytes).is_ok());
                    stream = said.then_some(up);
                }
                Err(e) => {
                    debug!(%address, %e, "a peer is not reached");
                    let most = (AGAIN.0 * 2u32.pow(failures.min(5))).min(AGAIN.1).as_millis() as u64;
                    failures = failures.saturating_add(1);
                    // Between half and all of it, so that those who lose a peer together do not come together.
                    thread::sleep(Duration::from_millis(rand::random_range(most / 2..=most)));
                    // What waited is out of date.
                    while words.try_recv().is_ok() {}
                }
            }
        }
        if let (Some(up), Some(bytes)) = (&mut stream, word)
            && up.write_all(&bytes).is_err()
        {
            stream = None;
        }
    }
}
