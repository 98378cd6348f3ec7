//! A UDP proxy that drops, duplicates, delays and reorders datagrams with seeded randomness.

use std::collections::{BTreeMap, BinaryHeap};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::STACK_BYTES;

/// Probability of a certain event, in parts per thousand.
const PER_MILLE: u32 = 1_000;
/// Maximum number of queued datagrams. Excess datagrams are lost.
const MAX_QUEUED: usize = 4_096;
/// Maximum number of senders. Datagrams of excess senders are lost.
const MAX_SENDERS: usize = 256;
const MAX_REQUEST_BYTES: usize = 65_536;
const MAX_RESPONSE_BYTES: usize = 8_192;
/// Interval at which threads check whether the proxy has been dropped.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The faults of one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DatagramFault {
    /// Probability of loss, per thousand.
    pub loss_per_mille: u32,
    /// Probability of duplication, per thousand.
    pub duplicate_per_mille: u32,
    /// Maximum of the random delay of each datagram, which reorders datagrams.
    pub max_delay: Duration,
}

impl DatagramFault {
    /// Returns faults that drop every datagram.
    pub fn drop_all() -> DatagramFault {
        DatagramFault { loss_per_mille: PER_MILLE, ..DatagramFault::default() }
    }
}

/// The faults of both directions, as seen by a client that sends to the proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DatagramLinkFault {
    /// Faults of the direction to the target.
    pub forward: DatagramFault,
    /// Faults of the direction from the target.
    pub reverse: DatagramFault,
}

impl DatagramLinkFault {
    /// Returns the same faults for both directions.
    pub fn symmetric(fault: DatagramFault) -> DatagramLinkFault {
        DatagramLinkFault { forward: fault, reverse: fault }
    }
}

/// Numbers of datagrams that the proxy has handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DatagramCounts {
    /// Number of datagrams received from both sides.
    pub received: u64,
    /// Number of datagrams sent, including duplicates.
    pub forwarded: u64,
}

/// A queued datagram. The ordering is reversed, so that the greatest datagram is due first.
struct QueuedDatagram {
    due_at: Instant,
    order: u64,
    from: Arc<UdpSocket>,
    to: SocketAddr,
    bytes: Vec<u8>,
}

impl PartialEq for QueuedDatagram {
    fn eq(&self, other: &QueuedDatagram) -> bool {
        self.order == other.order
    }
}

impl Eq for QueuedDatagram {}

impl PartialOrd for QueuedDatagram {
    fn partial_cmp(&self, other: &QueuedDatagram) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedDatagram {
    fn cmp(&self, other: &QueuedDatagram) -> std::cmp::Ordering {
        (other.due_at, other.order).cmp(&(self.due_at, self.order))
    }
}

struct ProxyState {
    fault: Mutex<DatagramLinkFault>,
    rng: Mutex<ChaCha8Rng>,
    queue: Sender<QueuedDatagram>,
    received: AtomicU64,
    forwarded: AtomicU64,
    stopped: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ProxyState {
    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Applies random faults to a datagram, and queues its copies.
    fn enqueue(&self, fault: DatagramFault, from: &Arc<UdpSocket>, to: SocketAddr, bytes: &[u8]) {
        let order = self.received.fetch_add(1, Ordering::Relaxed);
        let mut rng = lock(&self.rng);
        if rng.random_range(0..PER_MILLE) < fault.loss_per_mille {
            return;
        }
        let is_duplicated = rng.random_range(0..PER_MILLE) < fault.duplicate_per_mille;
        let max_delay_us = u64::try_from(fault.max_delay.as_micros()).unwrap_or(u64::MAX);
        for _ in 0..1 + u32::from(is_duplicated) {
            let delay = Duration::from_micros(rng.random_range(0..=max_delay_us));
            let due_at = Instant::now() + delay;
            let datagram =
                QueuedDatagram { due_at, order, from: Arc::clone(from), to, bytes: bytes.to_vec() };
            // The datagram is lost if the queue is full.
            let _ = self.queue.try_send(datagram);
        }
    }
}

/// A proxy to one address. Dropping it stops it.
pub struct UdpProxy {
    address: SocketAddr,
    state: Arc<ProxyState>,
}

impl UdpProxy {
    /// Starts a proxy without faults on a free port of loopback. The seed determines the random faults.
    ///
    /// # Errors
    /// Returns an error if no port can be bound or no thread started.
    pub fn start(target: SocketAddr, seed: u64) -> io::Result<UdpProxy> {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0")?);
        socket.set_read_timeout(Some(POLL_INTERVAL))?;
        let address = socket.local_addr()?;
        let (queue, queued) = bounded(MAX_QUEUED);
        let state = Arc::new(ProxyState {
            fault: Mutex::default(),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            queue,
            received: AtomicU64::new(0),
            forwarded: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
        });
        let sending = Arc::clone(&state);
        thread::Builder::new().stack_size(STACK_BYTES).spawn(move || send_queued(&sending, &queued))?;
        let receiving = Arc::clone(&state);
        thread::Builder::new()
            .stack_size(STACK_BYTES)
            .spawn(move || receive_requests(&receiving, &socket, target))?;
        Ok(UdpProxy { address, state })
    }

    /// Returns the address of the proxy.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the faults of datagrams that arrive from now on.
    pub fn set_fault(&self, fault: DatagramLinkFault) {
        *lock(&self.state.fault) = fault;
    }

    /// Returns the numbers of datagrams handled so far.
    pub fn counts(&self) -> DatagramCounts {
        let (received, forwarded) = (&self.state.received, &self.state.forwarded);
        DatagramCounts {
            received: received.load(Ordering::Relaxed),
            forwarded: forwarded.load(Ordering::Relaxed),
        }
    }
}

impl Drop for UdpProxy {
    fn drop(&mut self) {
        self.state.stopped.store(true, Ordering::Relaxed);
    }
}

/// Receives datagrams that are sent to the proxy. Each sender has a separate socket towards the target, so that responses
/// can be returned to it.
fn receive_requests(state: &Arc<ProxyState>, socket: &Arc<UdpSocket>, target: SocketAddr) {
    let mut by_sender: BTreeMap<SocketAddr, Arc<UdpSocket>> = BTreeMap::new();
    let mut buffer = [0; MAX_REQUEST_BYTES];
    while !state.is_stopped() {
        let Ok((count, sender)) = socket.recv_from(&mut buffer) else { continue };
        if !by_sender.contains_key(&sender) {
            if by_sender.len() >= MAX_SENDERS {
                continue;
            }
            let Ok(outgoing) = open_outgoing(state, socket, sender) else { continue };
            by_sender.insert(sender, outgoing);
        }
        if let Some(outgoing) = by_sender.get(&sender) {
            let fault = lock(&state.fault).forward;
            state.enqueue(fault, outgoing, target, &buffer[..count]);
        }
    }
}

/// Opens the socket of a sender towards the target, and starts the thread that returns the responses.
fn open_outgoing(
    state: &Arc<ProxyState>,
    socket: &Arc<UdpSocket>,
    sender: SocketAddr,
) -> io::Result<Arc<UdpSocket>> {
    let outgoing = UdpSocket::bind("127.0.0.1:0").map(Arc::new)?;
    let _ = outgoing.set_read_timeout(Some(POLL_INTERVAL));
    let (shared, incoming, responding) = (Arc::clone(state), Arc::clone(socket), Arc::clone(&outgoing));
    thread::Builder::new()
        .stack_size(STACK_BYTES)
        .spawn(move || receive_responses(&shared, &incoming, &responding, sender))?;
    Ok(outgoing)
}

fn receive_responses(
    state: &ProxyState,
    incoming: &Arc<UdpSocket>,
    outgoing: &UdpSocket,
    sender: SocketAddr,
) {
    let mut buffer = [0; MAX_RESPONSE_BYTES];
    while !state.is_stopped() {
        if let Ok((count, _)) = outgoing.recv_from(&mut buffer) {
            let fault = lock(&state.fault).reverse;
            state.enqueue(fault, incoming, sender, &buffer[..count]);
        }
    }
}

/// Sends each queued datagram when it is due.
fn send_queued(state: &ProxyState, queued: &Receiver<QueuedDatagram>) {
    let mut by_due_time: BinaryHeap<QueuedDatagram> = BinaryHeap::new();
    while !state.is_stopped() {
        let until_due = by_due_time.peek().map_or(POLL_INTERVAL, |next| {
            next.due_at.saturating_duration_since(Instant::now()).min(POLL_INTERVAL)
        });
        match queued.recv_timeout(until_due) {
            Ok(datagram) => by_due_time.push(datagram),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        while by_due_time.peek().is_some_and(|next| next.due_at <= Instant::now()) {
            let Some(datagram) = by_due_time.pop() else { break };
            if datagram.from.send_to(&datagram.bytes, datagram.to).is_ok() {
                state.forwarded.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}
