//! The connection to another replica, which is reopened after each failure with exponential backoff.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use tracing::debug;

use crate::connections::{QUEUE_CAPACITY, STACK_BYTES, WRITE_TIMEOUT};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Backoff after the first failure.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);
/// Maximum number of times that the backoff is doubled.
const MAX_DOUBLINGS: u32 = 5;
/// Time without an outbound message after which a `Hello` is sent.
const HELLO_INTERVAL: Duration = Duration::from_millis(500);

/// A link to another replica. Messages are sent in order. They are dropped while the peer can't be reached or does not read.
pub(crate) struct PeerLink {
    queue: Sender<Vec<u8>>,
}

impl PeerLink {
    /// Starts the link's thread, which ends when `stop` is set. `hello` encodes the introduction, which is sent on each new
    /// connection and while there is nothing else to send.
    ///
    /// # Errors
    /// Returns an error if the thread can't be started.
    pub fn start(
        address: SocketAddr,
        hello: impl Fn() -> Option<Vec<u8>> + Send + 'static,
        stop: Arc<AtomicBool>,
    ) -> io::Result<PeerLink> {
        let (queue, messages) = bounded(QUEUE_CAPACITY);
        let worker = LinkWorker { address, messages, hello, stop, stream: None, failures: 0 };
        thread::Builder::new().name("peer".into()).stack_size(STACK_BYTES).spawn(move || worker.run())?;
        Ok(PeerLink { queue })
    }

    /// Queues an encoded message. If the queue is full, the message is dropped, and the protocol sends it again.
    pub fn send(&self, bytes: Vec<u8>) {
        let _ = self.queue.try_send(bytes);
    }
}

/// The state of the link's thread.
struct LinkWorker<Hello> {
    address: SocketAddr,
    messages: Receiver<Vec<u8>>,
    hello: Hello,
    stop: Arc<AtomicBool>,
    stream: Option<TcpStream>,
    /// Number of failed attempts to connect since the last success.
    failures: u32,
}

impl<Hello: Fn() -> Option<Vec<u8>>> LinkWorker<Hello> {
    fn run(mut self) {
        while !self.stop.load(Ordering::Relaxed) {
            let message = match self.messages.recv_timeout(HELLO_INTERVAL) {
                Ok(bytes) => Some(bytes),
                Err(RecvTimeoutError::Timeout) => (self.hello)(),
                Err(RecvTimeoutError::Disconnected) => return,
            };
            if self.stream.is_none() {
                self.connect();
            }
            if let (Some(stream), Some(bytes)) = (&mut self.stream, message)
                && stream.write_all(&bytes).is_err()
            {
                self.stream = None;
            }
        }
    }

    fn connect(&mut self) {
        match TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT) {
            Ok(mut stream) => {
                let _ = stream.set_nodelay(true);
                let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
                self.failures = 0;
                let introduced = (self.hello)().is_none_or(|bytes| stream.write_all(&bytes).is_ok());
                self.stream = introduced.then_some(stream);
            }
            Err(error) => {
                debug!(address = %self.address, %error, "could not connect to a peer");
                self.back_off();
            }
        }
    }

    /// Waits before the next attempt, then drops the queued messages, which are out of date by then.
    fn back_off(&mut self) {
        let doubled = MIN_BACKOFF * 2u32.pow(self.failures.min(MAX_DOUBLINGS));
        let limit = u64::try_from(doubled.min(MAX_BACKOFF).as_millis()).unwrap_or(u64::MAX);
        self.failures = self.failures.saturating_add(1);
        // Jitter between half the backoff and all of it, so that replicas that lose a peer at once do not reconnect at once.
        thread::sleep(Duration::from_millis(rand::random_range(limit / 2..=limit)));
        while self.messages.try_recv().is_ok() {}
    }
}
