//! Trouble on the way between two processes: a relay on loopback for TCP that is told at any time what to do to the bytes of
//! each direction.
//!
//! What is cut is held, not lost: TCP would send it again and again, and deliver it once the way is whole, if neither side has
//! given up by then. A connection that comes up while the way is cut is accepted and silent, as after a cut the sender's own
//! system learns nothing either. Each direction has a reader, a bounded queue and a writer, so that a slow side holds up its own
//! direction alone.
//!
//! [`udp`] does the like for datagrams, which may also be lost, come twice and overtake each other. [`ports`] keeps ports for
//! processes that are to listen there.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]
#![forbid(unsafe_code)]

pub mod ports;
pub mod udp;

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};

/// Parts of a direction that wait, at most.
const QUEUE: usize = 256;
/// Bytes of a part.
const PART: usize = 4096;
const STACK: usize = 128 << 10;
/// How often what is held looks whether the way is whole again.
const LOOK: Duration = Duration::from_millis(5);

/// What happens to the bytes of one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Mood {
    /// Nothing passes.
    pub cut: bool,
    /// Each part is so late.
    pub late: Duration,
    /// At most so many bytes a second pass; none: as many as come.
    pub trickle: Option<u32>,
}

/// Both directions, as the one who opens the connection sees them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Way {
    /// From who opens it.
    pub there: Mood,
    /// Back.
    pub back: Mood,
}

impl Way {
    /// Nothing passes in either direction.
    pub fn cut() -> Way {
        let cut = Mood { cut: true, ..Mood::default() };
        Way { there: cut, back: cut }
    }

    /// Both directions are late.
    pub fn late(by: Duration) -> Way {
        let late = Mood { late: by, ..Mood::default() };
        Way { there: late, back: late }
    }
}

struct Shared {
    way: Mutex<Way>,
    conns: Mutex<Vec<TcpStream>>,
    end: AtomicBool,
}

impl Shared {
    fn mood(&self, there: bool) -> Mood {
        let way = *self.way.lock().unwrap_or_else(PoisonError::into_inner);
        if there { way.there } else { way.back }
    }

    fn over(&self) -> bool {
        self.end.load(Ordering::Relaxed)
    }
}

/// A relay to one address. It ends when it is dropped, and its connections with it.
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Relay {
    /// Begins to listen on a free port of loopback.
    ///
    /// # Errors
    /// No port or no thread.
    pub fn start(to: SocketAddr) -> io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared =
            Arc::new(Shared { way: Mutex::default(), conns: Mutex::default(), end: AtomicBool::new(false) });
        let all = Arc::clone(&shared);
        thread::Builder::new().stack_size(STACK).spawn(move || {
            for near in listener.incoming().flatten() {
                if all.over() {
                    return;
                }
                // Whoever listens there is down: its connection is refused, and so is this one, as far as can be.
                let Ok(far) = TcpStream::connect_timeout(&to, Duration::from_millis(500)) else { continue };
                let _ = carry(&all, near, far);
            }
        })?;
        Ok(Relay { address, shared })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// From now on, also for connections that are up.
    pub fn set(&self, way: Way) {
        *self.shared.way.lock().unwrap_or_else(PoisonError::into_inner) = way;
    }

    /// Closes all connections.
    pub fn reset(&self) {
        for conn in self.shared.conns.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
            let _ = conn.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.end.store(true, Ordering::Relaxed);
        self.reset();
        // Wakes the one that accepts.
        let _ = TcpStream::connect(self.address);
    }
}

fn carry(shared: &Arc<Shared>, near: TcpStream, far: TcpStream) -> io::Result<()> {
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    {
        let mut conns = shared.conns.lock().unwrap_or_else(PoisonError::into_inner);
        conns.retain(|c| c.peer_addr().is_ok());
        conns.extend([near.try_clone()?, far.try_clone()?]);
    }
    direction(shared, true, near.try_clone()?, far.try_clone()?)?;
    direction(shared, false, far, near)
}

fn direction(shared: &Arc<Shared>, there: bool, from: TcpStream, to: TcpStream) -> io::Result<()> {
    let (queue, parts) = bounded(QUEUE);
    thread::Builder::new().stack_size(STACK).spawn(move || take(from, &queue))?;
    let shared = Arc::clone(shared);
    thread::Builder::new().stack_size(STACK).spawn(move || give(&shared, there, &parts, to))?;
    Ok(())
}

fn take(mut from: TcpStream, queue: &Sender<(Instant, Vec<u8>)>) {
    let mut part = [0; PART];
    while let Ok(n) = from.read(&mut part) {
        // Nothing more: the queue closes behind what waits in it.
        if n == 0 || queue.send((Instant::now(), part[..n].to_vec())).is_err() {
            return;
        }
    }
}

fn give(shared: &Shared, there: bool, parts: &Receiver<(Instant, Vec<u8>)>, mut to: TcpStream) {
    loop {
        let (came, bytes) = match parts.recv_timeout(Duration::from_millis(200)) {
            Ok(part) => part,
            Err(RecvTimeoutError::Timeout) if shared.over() => return,
            Err(RecvTimeoutError::Timeout) => continue,
            Err(RecvTimeoutError::Disconnected) => break,
        };
        while !shared.over() {
            let mood = shared.mood(there);
            if !mood.cut && came.elapsed() >= mood.late {
                break;
            }
            thread::sleep(LOOK);
        }
        let trickle = shared.mood(there).trickle;
        for piece in bytes.chunks(trickle.map_or(PART, |t| (t as usize / 50).max(1))) {
            if shared.over() || to.write_all(piece).is_err() {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
            if trickle.is_some() {
                thread::sleep(Duration::from_millis(20));
            }
        }
    }
    // A cut hides an end as well.
    while !shared.over() && shared.mood(there).cut {
        thread::sleep(LOOK);
    }
    let _ = to.shutdown(Shutdown::Both);
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Says back what it hears.
    fn echo() -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                thread::spawn(move || {
                    let mut to = stream.try_clone().expect("a clone");
                    io::copy(&mut &stream, &mut to)
                });
            }
        });
        address
    }

    fn asks(stream: &mut TcpStream, within: Duration) -> bool {
        stream.set_read_timeout(Some(within)).expect("set");
        stream.write_all(b"x").expect("written");
        stream.read_exact(&mut [0]).is_ok()
    }

    #[test]
    fn a_cut_in_either_direction_holds_what_is_said_until_it_is_healed() {
        let relay = Relay::start(echo()).expect("it starts");
        let mut stream = TcpStream::connect(relay.address()).expect("a connection");
        let (soon, long) = (Duration::from_millis(200), Duration::from_secs(20));
        assert!(asks(&mut stream, long));
        let cut = Mood { cut: true, ..Mood::default() };
        for way in [Way { there: cut, ..Way::default() }, Way { back: cut, ..Way::default() }, Way::cut()] {
            relay.set(way);
            assert!(!asks(&mut stream, soon), "{way:?}");
            relay.set(Way::default());
            stream.set_read_timeout(Some(long)).expect("set");
            stream.read_exact(&mut [0]).expect("what was held comes");
        }
        // One that comes up while it is cut is silent, and goes on afterwards.
        relay.set(Way::cut());
        let mut other = TcpStream::connect(relay.address()).expect("a connection");
        assert!(!asks(&mut other, soon));
        relay.set(Way::default());
        other.set_read_timeout(Some(long)).expect("set");
        other.read_exact(&mut [0]).expect("what was held comes");
    }

    #[test]
    fn what_is_late_or_trickles_comes_whole_and_a_reset_ends_it() {
        let relay = Relay::start(echo()).expect("it starts");
        let mut stream = TcpStream::connect(relay.address()).expect("a connection");
        let long = Duration::from_secs(20);
        relay.set(Way::late(Duration::from_millis(150)));
        let began = Instant::now();
        assert!(asks(&mut stream, long) && began.elapsed() >= Duration::from_millis(300));
        let slow = Mood { trickle: Some(10_000), ..Mood::default() };
        relay.set(Way { there: slow, back: Mood::default() });
        let began = Instant::now();
        let text: Vec<u8> = (0..3_000u32).map(|n| n as u8).collect();
        stream.write_all(&text).expect("written");
        let mut back = vec![0; text.len()];
        stream.read_exact(&mut back).expect("all of it");
        assert!(back == text && began.elapsed() >= Duration::from_millis(200));
        relay.set(Way::default());
        relay.reset();
        assert!(matches!(stream.read(&mut [0]), Ok(0) | Err(_)));
    }
}
