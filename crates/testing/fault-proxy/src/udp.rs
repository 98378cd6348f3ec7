//! The same for datagrams: cut, late, lost, doubled, out of order, by a seed.

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

use crate::STACK;

/// Datagrams that wait, at most; what comes beyond is lost, as in any queue.
const QUEUE: usize = 4_096;
/// Senders that are kept apart, at most.
const MOST_SENDERS: usize = 256;
const LOOK: Duration = Duration::from_millis(100);

/// What happens to the datagrams of one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Mood {
    /// Of a thousand, so many are lost; all: nothing passes.
    pub lost: u32,
    /// Of a thousand, so many come twice.
    pub doubled: u32,
    /// Each is late by up to this, so that they overtake each other.
    pub late: Duration,
}

impl Mood {
    /// Nothing passes.
    pub fn cut() -> Mood {
        Mood { lost: 1_000, ..Mood::default() }
    }
}

/// Both directions, as whoever sends to the relay sees them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Way {
    /// To the process behind the relay.
    pub there: Mood,
    /// Back.
    pub back: Mood,
}

impl Way {
    /// Both directions alike.
    pub fn both(mood: Mood) -> Way {
        Way { there: mood, back: mood }
    }
}

/// How many datagrams did what.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Passed {
    /// Came to the relay.
    pub came: u64,
    /// Left it, copies counted.
    pub left: u64,
}

/// A datagram on its way out, by when it leaves: the earliest first.
struct Late {
    at: Instant,
    order: u64,
    from: Arc<UdpSocket>,
    to: SocketAddr,
    bytes: Vec<u8>,
}

impl PartialEq for Late {
    fn eq(&self, other: &Late) -> bool {
        self.order == other.order
    }
}

impl Eq for Late {}

impl PartialOrd for Late {
    fn partial_cmp(&self, other: &Late) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Late {
    fn cmp(&self, other: &Late) -> std::cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

struct Shared {
    way: Mutex<Way>,
    rng: Mutex<ChaCha8Rng>,
    queue: Sender<Late>,
    came: AtomicU64,
    left: AtomicU64,
    end: AtomicBool,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    fn over(&self) -> bool {
        self.end.load(Ordering::Relaxed)
    }

    /// Draws what becomes of a datagram, and queues its copies.
    fn pass(&self, there: bool, from: &Arc<UdpSocket>, to: SocketAddr, bytes: &[u8]) {
        let order = self.came.fetch_add(1, Ordering::Relaxed);
        let way = *lock(&self.way);
        let mood = if there { way.there } else { way.back };
        let mut rng = lock(&self.rng);
        if rng.random_range(0..1_000) < mood.lost {
            return;
        }
        let copies = 1 + u32::from(rng.random_range(0..1_000) < mood.doubled);
        for _ in 0..copies {
            let late = Duration::from_micros(rng.random_range(0..=mood.late.as_micros() as u64));
            let (at, from, bytes) = (Instant::now() + late, Arc::clone(from), bytes.to_vec());
            // A full queue: lost.
            let _ = self.queue.try_send(Late { at, order, from, to, bytes });
        }
    }
}

/// A relay to one address. It ends when it is dropped.
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Relay {
    /// Begins to listen on a free port of loopback.
    ///
    /// # Errors
    /// No port or no thread.
    pub fn start(to: SocketAddr, seed: u64) -> io::Result<Relay> {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0")?);
        socket.set_read_timeout(Some(LOOK))?;
        let address = socket.local_addr()?;
        let (queue, waiting) = bounded(QUEUE);
        let shared = Arc::new(Shared {
            way: Mutex::default(),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            queue,
            came: AtomicU64::new(0),
            left: AtomicU64::new(0),
            end: AtomicBool::new(false),
        });
        let its = Arc::clone(&shared);
        thread::Builder::new().stack_size(STACK).spawn(move || give(&its, &waiting))?;
        let its = Arc::clone(&shared);
        thread::Builder::new().stack_size(STACK).spawn(move || there(&its, &socket, to))?;
        Ok(Relay { address, shared })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// From now on.
    pub fn set(&self, way: Way) {
        *lock(&self.shared.way) = way;
    }

    /// How many did what.
    pub fn passed(&self) -> Passed {
        let (came, left) = (&self.shared.came, &self.shared.left);
        Passed { came: came.load(Ordering::Relaxed), left: left.load(Ordering::Relaxed) }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.end.store(true, Ordering::Relaxed);
    }
}

/// What is sent to the relay; each sender has a socket of its own behind it, so that answers find their way.
fn there(shared: &Arc<Shared>, socket: &Arc<UdpSocket>, to: SocketAddr) {
    let mut behind: BTreeMap<SocketAddr, Arc<UdpSocket>> = BTreeMap::new();
    let mut bytes = [0; 65_536];
    while !shared.over() {
        let Ok((n, sender)) = socket.recv_from(&mut bytes) else { continue };
        if !behind.contains_key(&sender) {
            if behind.len() >= MOST_SENDERS {
                continue;
            }
            let Ok(its) = UdpSocket::bind("127.0.0.1:0").map(Arc::new) else { continue };
            let _ = its.set_read_timeout(Some(LOOK));
            let (all, near, far) = (Arc::clone(shared), Arc::clone(socket), Arc::clone(&its));
            let answers = move || back(&all, &near, &far, sender);
            if thread::Builder::new().stack_size(STACK).spawn(answers).is_err() {
                continue;
            }
            behind.insert(sender, its);
        }
        if let Some(its) = behind.get(&sender) {
            shared.pass(true, its, to, &bytes[..n]);
        }
    }
}

fn back(shared: &Shared, near: &Arc<UdpSocket>, far: &UdpSocket, to: SocketAddr) {
    let mut bytes = [0; 8_192];
    while !shared.over() {
        if let Ok((n, _)) = far.recv_from(&mut bytes) {
            shared.pass(false, near, to, &bytes[..n]);
        }
    }
}

fn give(shared: &Shared, waiting: &Receiver<Late>) {
    let mut late: BinaryHeap<Late> = BinaryHeap::new();
    while !shared.over() {
        let due = late.peek().map_or(LOOK, |l| l.at.saturating_duration_since(Instant::now()).min(LOOK));
        match waiting.recv_timeout(due) {
            Ok(one) => late.push(one),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        while late.peek().is_some_and(|l| l.at <= Instant::now()) {
            let Some(one) = late.pop() else { break };
            if one.from.send_to(&one.bytes, one.to).is_ok() {
                shared.left.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn pair() -> (UdpSocket, UdpSocket, Relay) {
        let (a, b) = (UdpSocket::bind("127.0.0.1:0"), UdpSocket::bind("127.0.0.1:0"));
        let (a, b) = (a.expect("a port"), b.expect("a port"));
        for socket in [&a, &b] {
            socket.set_read_timeout(Some(Duration::from_millis(300))).expect("set");
        }
        let relay = Relay::start(b.local_addr().expect("an address"), 1).expect("it starts");
        (a, b, relay)
    }

    /// What comes until nothing comes any more.
    fn all(socket: &UdpSocket) -> Vec<u16> {
        let (mut got, mut bytes) = (Vec::new(), [0; 8]);
        while let Ok((2, _)) = socket.recv_from(&mut bytes) {
            got.push(u16::from_be_bytes([bytes[0], bytes[1]]));
        }
        got
    }

    fn send(a: &UdpSocket, relay: &Relay, n: std::ops::Range<u16>) {
        for n in n {
            a.send_to(&n.to_be_bytes(), relay.address()).expect("sent");
        }
    }

    #[test]
    fn datagrams_pass_both_ways_until_a_direction_is_cut() {
        let (a, b, relay) = pair();
        send(&a, &relay, 0..10);
        assert_eq!(all(&b), (0..10).collect::<Vec<_>>());
        send(&a, &relay, 10..11);
        let mut bytes = [0; 8];
        let (n, from) = b.recv_from(&mut bytes).expect("it comes");
        b.send_to(&bytes[..n], from).expect("sent");
        assert_eq!(all(&a), [10]);
        relay.set(Way { there: Mood::cut(), ..Way::default() });
        send(&a, &relay, 0..10);
        b.send_to(&[0, 9], from).expect("sent");
        assert_eq!((all(&b), all(&a)), (vec![], vec![9]));
        relay.set(Way { back: Mood::cut(), ..Way::default() });
        send(&a, &relay, 0..3);
        b.send_to(&[0, 9], from).expect("sent");
        assert_eq!((all(&b), all(&a)), (vec![0, 1, 2], vec![]));
    }

    #[test]
    fn datagrams_are_lost_doubled_and_overtake_each_other() {
        let (a, b, relay) = pair();
        let mood = Mood { lost: 300, doubled: 300, late: Duration::from_millis(30) };
        relay.set(Way::both(mood));
        for part in 0..4 {
            send(&a, &relay, part * 100..part * 100 + 100);
            thread::sleep(Duration::from_millis(20));
        }
        let got = all(&b);
        let distinct: std::collections::BTreeSet<u16> = got.iter().copied().collect();
        assert!(distinct.len() > 200 && distinct.len() < 360, "{} of 400", distinct.len());
        assert!(got.len() > distinct.len() + 20, "none came twice");
        assert!(got.windows(2).any(|w| w[1] < w[0]), "none overtook another");
    }
}
