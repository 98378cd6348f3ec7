//! This process as a member of the fleet: one UDP socket and one thread around the machine.

mod gossip;

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use beechloft_membership::{
    Input, Member, MemberId, MemberInfo, MemberKind, MemberState, Output, Packet, Swim,
};
use crossbeam_channel::bounded;
use tracing::{debug, info};

pub use self::gossip::GossipRow;
use self::gossip::GossipTable;
use crate::connections::{Connections, Inbound};
use crate::settings::FleetSettings;
use crate::wire::{self, MemberView, Message};

/// The longest that the thread waits for a packet before it looks whether it is over.
const LOOK: Duration = Duration::from_millis(100);
/// Bytes of a datagram's heads: UDP's and IP's.
const HEADS: u64 = 28;
/// Words that wait for an answer, at most.
const QUEUE: usize = 256;

struct Shared {
    swim: Mutex<Swim>,
    /// GossipTable that fronts spread, if anything asks for them.
    rows: Option<GossipTable>,
    socket: UdpSocket,
    set: FleetSettings,
    clock: Box<dyn Fn() -> Duration + Send + Sync>,
    end: AtomicBool,
    refused: AtomicU64,
    /// Datagrams, and their bytes with heads.
    sent: (AtomicU64, AtomicU64),
    fronts: AtomicU32,
}

/// A member that runs until it is dropped.
pub struct MembershipService {
    shared: Arc<Shared>,
}

impl MembershipService {
    /// Listens on the fleet's address, and looks for others.
    ///
    /// # Errors
    /// `fleet.listen` is missing or can't be listened on, or there is no thread.
    pub fn start(set: &FleetSettings, kind: MemberKind) -> io::Result<MembershipService> {
        let missing = || io::Error::new(io::ErrorKind::InvalidInput, "fleet.listen: missing");
        let address = set.listen.ok_or_else(missing)?;
        let socket = UdpSocket::bind(address)?;
        let clock = Box::new(set.clock());
        let info = MemberInfo { address, zone: set.zone.clone(), kind };
        let id = MemberId(rand::random());
        let rows = set.spread.filter(|_| kind == MemberKind::Front);
        let rows = rows.map(|spread| GossipTable::new(id, set.zone.to_string(), spread, clock()));
        let swim = Mutex::new(Swim::new(id, info, set.seeds.clone(), rand::random(), clock()));
        info!(%id, %address, zone = %set.zone, "member is up");
        let (end, refused, sent) = (AtomicBool::new(false), AtomicU64::new(0), Default::default());
        let fronts = AtomicU32::new(u32::from(kind == MemberKind::Front));
        let shared =
            Arc::new(Shared { swim, rows, socket, set: set.clone(), clock, end, refused, sent, fronts });
        let its = Arc::clone(&shared);
        thread::Builder::new().name("members".into()).stack_size(256 << 10).spawn(move || its.run())?;
        Ok(MembershipService { shared })
    }

    /// Answers those who ask whom it sees, for a process that is no keeper: a keeper's connections do so.
    ///
    /// # Errors
    /// The address can't be listened on, or there is no thread.
    pub fn answer(&self) -> io::Result<()> {
        let shared = Arc::clone(&self.shared);
        let missing = || io::Error::new(io::ErrorKind::InvalidInput, "fleet.listen: missing");
        let listener = TcpListener::bind(shared.set.listen.ok_or_else(missing)?)?;
        let (conns, number) = (Connections::default(), shared.set.number());
        let (queue, came) = bounded(QUEUE);
        conns.accept(listener, number, queue)?;
        thread::Builder::new().name("answers".into()).stack_size(256 << 10).spawn(move || {
            for came in came {
                if let Inbound::Message(conn, Message::GetMembers) = came
                    && let Some(bytes) = wire::encode(number, &Message::Members(Some(shared.seen())))
                {
                    conns.say(conn, bytes);
                }
            }
        })?;
        Ok(())
    }

    /// Whom it sees.
    pub fn seen(&self) -> Vec<MemberView> {
        self.shared.seen()
    }

    /// Fronts that are there, by what it sees, itself included if it is one. It takes no time.
    pub fn fronts(&self) -> u32 {
        self.shared.fronts.load(Ordering::Relaxed)
    }

    /// The life of this process.
    pub fn id(&self) -> MemberId {
        self.shared.swim().id()
    }

    /// The time that rows and members go by.
    pub fn now(&self) -> Duration {
        (self.shared.clock)()
    }

    /// Writes a section of this front's row, which others know within [`beechloft_gossip::Settings::staleness`].
    ///
    /// # Errors
    /// The row would be too long; it stays as it was.
    pub fn write_row(
        &self,
        kind: beechloft_gossip::SectionKind,
        bytes: Vec<u8>,
    ) -> Result<(), beechloft_gossip::RowTooLong> {
        self.shared.rows.as_ref().map_or(Ok(()), |r| r.write((self.shared.clock)(), kind, bytes))
    }

    /// This front's number, for its row.
    pub fn number_row(&self, number: Option<u16>) {
        if let Some(rows) = &self.shared.rows {
            rows.number((self.shared.clock)(), number);
        }
    }

    /// What all rows that are known say of a matter, this front's own among them.
    pub fn rows(&self, kind: beechloft_gossip::SectionKind) -> Vec<GossipRow> {
        self.shared.rows.as_ref().map(|r| r.seen((self.shared.clock)(), kind)).unwrap_or_default()
    }

    /// What happened to rows so far.
    pub fn row_counts(&self) -> Option<beechloft_gossip::Counters> {
        self.shared.rows.as_ref().map(GossipTable::counts)
    }

    /// Tells some others that this process ends.
    pub fn leave(&self) {
        self.shared.handle(Input::Leave);
    }
}

impl Drop for MembershipService {
    fn drop(&mut self) {
        self.shared.end.store(true, Ordering::Relaxed);
    }
}

impl Shared {
    fn swim(&self) -> MutexGuard<'_, Swim> {
        self.swim.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(&self) {
        let mut buffer = [0; 2 * wire::MAX_DATAGRAM_BYTES];
        while !self.end.load(Ordering::Relaxed) {
            let due = self
                .rows
                .as_ref()
                .map_or(Duration::MAX, GossipTable::next_due)
                .min(self.swim().next_deadline());
            let due = due.saturating_sub((self.clock)());
            // A time-out of nought would mean none at all.
            let wait = due.clamp(Duration::from_millis(1), LOOK);
            let _ = self.socket.set_read_timeout(Some(wait));
            match self.socket.recv_from(&mut buffer) {
                Ok((bytes, from)) => self.take(&buffer[..bytes], from),
                // Nothing came, or an earlier packet found nobody.
                Err(_) => self.handle(Input::Tick),
            }
            self.spread();
        }
    }

    /// A round of the rows, if one is due.
    fn spread(&self) {
        let Some(rows) = &self.rows else { return };
        let now = (self.clock)();
        if now >= rows.next_due() {
            let out = rows.handle(now, beechloft_gossip::Input::Tick);
            self.send_rows(out);
        }
    }

    fn send_rows(&self, out: Vec<(SocketAddr, beechloft_gossip::Packet)>) {
        for (to, packet) in out {
            if let Some(bytes) = gossip::datagram(self.set.number(), &packet) {
                let _ = self.socket.send_to(&bytes, self.set.reach_member(to));
            }
        }
    }

    fn take(&self, bytes: &[u8], from: SocketAddr) {
        if let Some(rows) = self.rows.as_ref().filter(|_| bytes.starts_with(&gossip::MAGIC)) {
            match gossip::read_datagram(self.set.number(), bytes) {
                Ok(packet) => {
                    let heard = beechloft_gossip::Input::Received(self.set.behind(from), packet);
                    self.send_rows(rows.handle((self.clock)(), heard));
                }
                Err(why) => {
                    self.refused.fetch_add(1, Ordering::Relaxed);
                    debug!(%from, "{why}; it is dropped");
                }
            }
            return;
        }
        match wire::decode_datagram(self.set.number(), bytes) {
            Ok(packet) => self.handle(Input::Received(self.set.behind(from), packet)),
            Err(why) => {
                self.refused.fetch_add(1, Ordering::Relaxed);
                debug!(%from, "{why}; it is dropped");
            }
        }
    }

    fn handle(&self, input: Input) {
        // What is sent goes out after the lock is let go: a socket may take its time.
        let mut for_rows = Vec::new();
        let outputs = {
            let mut swim = self.swim();
            let outputs = swim.handle((self.clock)(), input);
            if outputs.iter().any(|o| matches!(o, Output::StateChanged(..))) {
                let fronts = |m: &&Member| m.state.is_active() && m.info.kind == MemberKind::Front;
                let count = swim.members().iter().map(|m| m.1).filter(fronts).count();
                self.fronts.store(count as u32, Ordering::Relaxed);
                if let Some(rows) = &self.rows {
                    for_rows = rows.peers((self.clock)(), swim.members());
                }
            }
            outputs
        };
        self.send_rows(for_rows);
        for output in outputs {
            match output {
                Output::Send(to, packet) => self.send(to, &packet),
                Output::StateChanged(id, life) => info!(%id, ?life, "member"),
            }
        }
    }

    fn send(&self, to: SocketAddr, packet: &Packet) {
        if let Some(bytes) = wire::encode_datagram(self.set.number(), packet) {
            self.sent.0.fetch_add(1, Ordering::Relaxed);
            self.sent.1.fetch_add(bytes.len() as u64 + HEADS, Ordering::Relaxed);
            // What can't be sent is lost, as on any network.
            let _ = self.socket.send_to(&bytes, self.set.reach_member(to));
        }
    }

    fn seen(&self) -> Vec<MemberView> {
        let (swim, now) = (self.swim(), (self.clock)());
        let millis = |since: Duration| now.saturating_sub(since).as_millis() as u64;
        let line = |(id, m): (MemberId, &Member)| MemberView {
            id: id.to_string(),
            address: m.info.address.to_string(),
            zone: m.info.zone.to_string(),
            kind: match m.info.kind {
                MemberKind::Front => "front".into(),
                MemberKind::Replica => "keeper".into(),
            },
            state: match m.state {
                MemberState::Alive => "alive".into(),
                MemberState::Suspect => "suspected".into(),
                MemberState::Dead => "gone".into(),
                MemberState::Left => "left".into(),
            },
            since_ms: millis(m.state_since),
            known_ms: millis(m.first_seen),
            incarnation: m.incarnation.0,
            is_reporter: id == swim.id(),
            sent: if id == swim.id() { self.sent.0.load(Ordering::Relaxed) } else { 0 },
            sent_bytes: if id == swim.id() { self.sent.1.load(Ordering::Relaxed) } else { 0 },
        };
        swim.members().iter().map(line).collect()
    }
}
