//! This process as a member of the fleet: one UDP socket and one thread around the machine.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use beechloft_members::{About, Input, Kind, Life, Member, MemberId, Output, Packet, Swim};
use crossbeam_channel::bounded;
use tracing::{debug, info};

use crate::links::{Came, Conns};
use crate::settings::FleetSettings;
use crate::wire::{self, SeenLine, Word};

/// The longest that the thread waits for a packet before it looks whether it is over.
const LOOK: Duration = Duration::from_millis(100);
/// Words that wait for an answer, at most.
const QUEUE: usize = 256;

struct Shared {
    swim: Mutex<Swim>,
    socket: UdpSocket,
    set: FleetSettings,
    clock: Box<dyn Fn() -> Duration + Send + Sync>,
    end: AtomicBool,
    refused: AtomicU64,
    fronts: AtomicU32,
}

/// A member that runs until it is dropped.
pub struct Peers {
    shared: Arc<Shared>,
}

impl Peers {
    /// Listens on the fleet's address, and looks for others.
    ///
    /// # Errors
    /// `fleet.listen` is missing or can't be listened on, or there is no thread.
    pub fn start(set: &FleetSettings, kind: Kind) -> io::Result<Peers> {
        let missing = || io::Error::new(io::ErrorKind::InvalidInput, "fleet.listen: missing");
        let address = set.listen.ok_or_else(missing)?;
        let socket = UdpSocket::bind(address)?;
        let clock = Box::new(set.clock());
        let about = About { address, zone: set.zone.clone(), kind };
        let id = MemberId(rand::random());
        let swim = Mutex::new(Swim::new(id, about, set.seeds.clone(), rand::random(), clock()));
        info!(%id, %address, zone = %set.zone, "member is up");
        let (end, refused) = (AtomicBool::new(false), AtomicU64::new(0));
        let fronts = AtomicU32::new(u32::from(kind == Kind::Front));
        let shared = Arc::new(Shared { swim, socket, set: set.clone(), clock, end, refused, fronts });
        let its = Arc::clone(&shared);
        thread::Builder::new().name("members".into()).stack_size(256 << 10).spawn(move || its.run())?;
        Ok(Peers { shared })
    }

    /// Answers those who ask whom it sees, for a process that is no keeper: a keeper's connections do so.
    ///
    /// # Errors
    /// The address can't be listened on, or there is no thread.
    pub fn answer(&self) -> io::Result<()> {
        let shared = Arc::clone(&self.shared);
        let missing = || io::Error::new(io::ErrorKind::InvalidInput, "fleet.listen: missing");
        let listener = TcpListener::bind(shared.set.listen.ok_or_else(missing)?)?;
        let (conns, number) = (Conns::default(), shared.set.number());
        let (queue, came) = bounded(QUEUE);
        conns.accept(listener, number, queue)?;
        thread::Builder::new().name("answers".into()).stack_size(256 << 10).spawn(move || {
            for came in came {
                if let Came::Word(conn, Word::Members) = came
                    && let Some(bytes) = wire::encode(number, &Word::MembersAre(Some(shared.seen())))
                {
                    conns.say(conn, bytes);
                }
            }
        })?;
        Ok(())
    }

    /// Whom it sees.
    pub fn seen(&self) -> Vec<SeenLine> {
        self.shared.seen()
    }

    /// Fronts that are there, by what it sees, itself included if it is one. It takes no time.
    pub fn fronts(&self) -> u32 {
        self.shared.fronts.load(Ordering::Relaxed)
    }

    /// Tells some others that this process ends.
    pub fn leave(&self) {
        self.shared.handle(Input::Leave);
    }
}

impl Drop for Peers {
    fn drop(&mut self) {
        self.shared.end.store(true, Ordering::Relaxed);
    }
}

impl Shared {
    fn swim(&self) -> MutexGuard<'_, Swim> {
        self.swim.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(&self) {
        let mut buffer = [0; 2 * wire::MOST_DATAGRAM];
        while !self.end.load(Ordering::Relaxed) {
            let due = self.swim().next_due().saturating_sub((self.clock)());
            // A time-out of nought would mean none at all.
            let wait = due.clamp(Duration::from_millis(1), LOOK);
            let _ = self.socket.set_read_timeout(Some(wait));
            match self.socket.recv_from(&mut buffer) {
                Ok((bytes, from)) => self.take(&buffer[..bytes], from),
                // Nothing came, or an earlier packet found nobody.
                Err(_) => self.handle(Input::Tick),
            }
        }
    }

    fn take(&self, bytes: &[u8], from: SocketAddr) {
        match wire::read_datagram(self.set.number(), bytes) {
            Ok(packet) => self.handle(Input::Heard(self.set.behind(from), packet)),
            Err(why) => {
                self.refused.fetch_add(1, Ordering::Relaxed);
                debug!(%from, "{why}; it is dropped");
            }
        }
    }

    fn handle(&self, input: Input) {
        // What is sent goes out after the lock is let go: a socket may take its time.
        let outputs = {
            let mut swim = self.swim();
            let outputs = swim.handle((self.clock)(), input);
            if outputs.iter().any(|o| matches!(o, Output::Changed(..))) {
                let fronts = |m: &&Member| m.life.is_there() && m.about.kind == Kind::Front;
                let count = swim.roster().iter().map(|m| m.1).filter(fronts).count();
                self.fronts.store(count as u32, Ordering::Relaxed);
            }
            outputs
        };
        for output in outputs {
            match output {
                Output::Send(to, packet) => self.send(to, &packet),
                Output::Changed(id, life) => info!(%id, ?life, "member"),
            }
        }
    }

    fn send(&self, to: SocketAddr, packet: &Packet) {
        if let Some(bytes) = wire::datagram(self.set.number(), packet) {
            // What can't be sent is lost, as on any network.
            let _ = self.socket.send_to(&bytes, self.set.reach_member(to));
        }
    }

    fn seen(&self) -> Vec<SeenLine> {
        let (swim, now) = (self.swim(), (self.clock)());
        let millis = |since: Duration| now.saturating_sub(since).as_millis() as u64;
        let line = |(id, m): (MemberId, &Member)| SeenLine {
            id: id.to_string(),
            address: m.about.address.to_string(),
            zone: m.about.zone.to_string(),
            kind: match m.about.kind {
                Kind::Front => "front".into(),
                Kind::Keeper => "keeper".into(),
            },
            life: match m.life {
                Life::Alive => "alive".into(),
                Life::Suspected => "suspected".into(),
                Life::Gone => "gone".into(),
                Life::Left => "left".into(),
            },
            since_ms: millis(m.since),
            known_ms: millis(m.known_since),
            incarnation: m.incarnation.0,
            asked: id == swim.id(),
        };
        swim.roster().iter().map(line).collect()
    }
}
