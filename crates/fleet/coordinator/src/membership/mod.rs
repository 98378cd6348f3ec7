//! The fleet membership of this process: a thread and a UDP socket that run `beechloft_membership::Swim` and, on a front, the
//! gossip of rows.

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
use self::gossip::{Datagram, GossipTable};
use crate::connections::{Connections, Inbound};
use crate::settings::FleetSettings;
use crate::wire::{self, MemberView, Message, WireError};

/// Maximum wait for a packet before the thread checks whether it must stop.
const MAX_WAIT: Duration = Duration::from_millis(100);
/// Minimum wait for a packet, as a socket does not accept a timeout of zero.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// Size of a datagram's UDP and IPv4 headers.
const UDP_IP_HEADER_BYTES: u64 = 28;
/// Maximum number of requests that are queued for a response.
const REQUEST_CAPACITY: usize = 256;
const STACK_BYTES: usize = 256 << 10;

/// Counters of the membership datagrams that were sent.
#[derive(Default)]
struct SentCounters {
    datagrams: AtomicU64,
    /// The size of the datagrams including UDP and IP headers.
    bytes: AtomicU64,
}

struct Shared {
    swim: Mutex<Swim>,
    /// The gossip of fronts, if a feature in the settings requires it.
    gossip: Option<GossipTable>,
    socket: UdpSocket,
    settings: FleetSettings,
    clock: Box<dyn Fn() -> Duration + Send + Sync>,
    stop: AtomicBool,
    rejected_datagrams: AtomicU64,
    sent: SentCounters,
    active_fronts: AtomicU32,
}

/// The fleet membership of this process. Its thread ends soon after it is dropped, and the drop does not wait for it.
pub struct MembershipService {
    shared: Arc<Shared>,
}

fn missing_listen() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidInput, "fleet.listen: missing")
}

impl MembershipService {
    /// Binds `fleet.listen` and joins the fleet through the seeds.
    ///
    /// # Errors
    /// Returns an error if `fleet.listen` is missing or can't be bound, or if the thread can't be started.
    pub fn start(settings: &FleetSettings, kind: MemberKind) -> io::Result<MembershipService> {
        let address = settings.listen.ok_or_else(missing_listen)?;
        let socket = UdpSocket::bind(address)?;
        let clock = Box::new(settings.clock());
        let info = MemberInfo { address, zone: settings.zone.clone(), kind };
        let id = MemberId(rand::random());
        let gossip = settings.gossip.filter(|_| kind == MemberKind::Front);
        let gossip = gossip.map(|gossip| GossipTable::new(id, settings.zone.to_string(), gossip, clock()));
        let swim = Swim::new(id, info, settings.seeds.clone(), rand::random(), clock());
        info!(%id, %address, zone = %settings.zone, "fleet membership started");
        let shared = Arc::new(Shared {
            swim: Mutex::new(swim),
            gossip,
            socket,
            settings: settings.clone(),
            clock,
            stop: AtomicBool::new(false),
            rejected_datagrams: AtomicU64::new(0),
            sent: SentCounters::default(),
            active_fronts: AtomicU32::new(u32::from(kind == MemberKind::Front)),
        });
        let worker = Arc::clone(&shared);
        thread::Builder::new().name("members".into()).stack_size(STACK_BYTES).spawn(move || worker.run())?;
        Ok(MembershipService { shared })
    }

    /// Serves the member list over TCP for the command `fleet members`. This is for a process without a [`CoordinatorServer`],
    /// which serves the list itself. The thread runs until the process ends.
    ///
    /// # Errors
    /// Returns an error if the process can't listen on the address or the thread can't be started.
    ///
    /// [`CoordinatorServer`]: crate::CoordinatorServer
    pub fn serve_members(&self) -> io::Result<()> {
        let shared = Arc::clone(&self.shared);
        let listener = TcpListener::bind(shared.settings.listen.ok_or_else(missing_listen)?)?;
        let (connections, fleet) = (Connections::default(), shared.settings.fleet_id());
        let (sender, inbound) = bounded(REQUEST_CAPACITY);
        connections.accept(listener, fleet, sender)?;
        let serve = move || {
            for request in inbound {
                if let Inbound::Message(connection, Message::GetMembers, _) = request
                    && let Some(bytes) = wire::encode(fleet, &Message::Members(Some(shared.members())))
                {
                    connections.send(connection, bytes);
                }
            }
        };
        thread::Builder::new().name("answers".into()).stack_size(STACK_BYTES).spawn(serve)?;
        Ok(())
    }

    /// Returns the members as this one sees them.
    pub fn members(&self) -> Vec<MemberView> {
        self.shared.members()
    }

    /// Returns the number of active fronts as this member sees them, including itself if it is one. Takes no lock.
    pub fn active_fronts(&self) -> u32 {
        self.shared.active_fronts.load(Ordering::Relaxed)
    }

    /// Returns the member id of this process.
    pub fn id(&self) -> MemberId {
        self.shared.swim().id()
    }

    /// Returns the current time of the clock that membership and gossip use.
    pub fn now(&self) -> Duration {
        (self.shared.clock)()
    }

    /// Writes a section of this front's row. The other fronts receive it within [`beechloft_gossip::Settings::staleness`].
    ///
    /// # Errors
    /// Returns an error if the row would be too long. It is unchanged then.
    pub fn write_section(
        &self,
        kind: beechloft_gossip::SectionKind,
        bytes: Vec<u8>,
    ) -> Result<(), beechloft_gossip::RowTooLong> {
        self.shared.gossip.as_ref().map_or(Ok(()), |table| table.write_section(self.now(), kind, bytes))
    }

    /// Writes this front's slot into its row.
    pub fn set_front_slot(&self, slot: Option<u16>) {
        if let Some(table) = &self.shared.gossip {
            table.set_front_slot(self.now(), slot);
        }
    }

    /// Returns one section of all known rows that have it, including this front's own row.
    pub fn sections(&self, kind: beechloft_gossip::SectionKind) -> Vec<GossipRow> {
        self.shared.gossip.as_ref().map(|table| table.sections(self.now(), kind)).unwrap_or_default()
    }

    /// Returns the counters of the gossip, or `None` if this member does not take part in it.
    pub fn gossip_counters(&self) -> Option<beechloft_gossip::Counters> {
        self.shared.gossip.as_ref().map(GossipTable::counters)
    }

    /// Announces to the other members that this process leaves.
    pub fn leave(&self) {
        self.shared.handle(Input::Leave);
    }
}

impl Drop for MembershipService {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
    }
}

impl Shared {
    fn swim(&self) -> MutexGuard<'_, Swim> {
        self.swim.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(&self) {
        let mut buffer = [0; 2 * wire::MAX_DATAGRAM_BYTES];
        while !self.stop.load(Ordering::Relaxed) {
            let gossip_deadline = self.gossip.as_ref().map_or(Duration::MAX, GossipTable::next_deadline);
            let deadline = gossip_deadline.min(self.swim().next_deadline());
            let wait = deadline.saturating_sub((self.clock)()).clamp(MIN_WAIT, MAX_WAIT);
            let _ = self.socket.set_read_timeout(Some(wait));
            match self.socket.recv_from(&mut buffer) {
                Ok((length, from)) => self.receive(&buffer[..length], from),
                // A timeout, or an ICMP error for a packet that was sent earlier.
                Err(_) => self.handle(Input::Tick),
            }
            self.run_gossip_round();
        }
    }

    /// Runs a round of the gossip, if one is due.
    fn run_gossip_round(&self) {
        let Some(table) = &self.gossip else { return };
        let now = (self.clock)();
        if now >= table.next_deadline() {
            let datagrams = table.handle(now, beechloft_gossip::Input::Tick);
            self.send_gossip(datagrams);
        }
    }

    fn send_gossip(&self, datagrams: Vec<Datagram>) {
        for Datagram { to, packet } in datagrams {
            if let Some(bytes) = gossip::encode_datagram(self.settings.fleet_id(), &packet) {
                let _ = self.socket.send_to(&bytes, self.settings.dial_member(to));
            }
        }
    }

    /// Handles a datagram.
    fn receive(&self, bytes: &[u8], from: SocketAddr) {
        let fleet = self.settings.fleet_id();
        let sender = self.settings.member_behind(from);
        let gossip = self.gossip.as_ref().filter(|_| bytes.starts_with(&gossip::MAGIC));
        let result = match gossip {
            Some(table) => gossip::decode_datagram(fleet, bytes).map(|packet| {
                let input = beechloft_gossip::Input::Received(sender, packet);
                self.send_gossip(table.handle((self.clock)(), input));
            }),
            None => {
                wire::decode_datagram(fleet, bytes).map(|packet| self.handle(Input::Received(sender, packet)))
            }
        };
        if let Err(error) = result {
            self.reject(from, &error);
        }
    }

    fn reject(&self, from: SocketAddr, error: &WireError) {
        self.rejected_datagrams.fetch_add(1, Ordering::Relaxed);
        debug!(%from, %error, "datagram dropped");
    }

    fn handle(&self, input: Input) {
        // Datagrams are sent after the lock is released, as sending may block.
        let mut gossip_datagrams = Vec::new();
        let outputs = {
            let mut swim = self.swim();
            let outputs = swim.handle((self.clock)(), input);
            if outputs.iter().any(|output| matches!(output, Output::StateChanged(..))) {
                self.count_fronts(&swim);
                if let Some(table) = &self.gossip {
                    gossip_datagrams = table.update_peers((self.clock)(), swim.members());
                }
            }
            outputs
        };
        self.send_gossip(gossip_datagrams);
        for output in outputs {
            match output {
                Output::Send(to, packet) => self.send(to, &packet),
                Output::StateChanged(id, state) => info!(%id, ?state, "member"),
            }
        }
    }

    fn count_fronts(&self, swim: &Swim) {
        let is_active_front =
            |member: &Member| member.state.is_active() && member.info.kind == MemberKind::Front;
        let count = swim.members().iter().filter(|(_, member)| is_active_front(member)).count();
        self.active_fronts.store(u32::try_from(count).unwrap_or(u32::MAX), Ordering::Relaxed);
    }

    fn send(&self, to: SocketAddr, packet: &Packet) {
        if let Some(bytes) = wire::encode_datagram(self.settings.fleet_id(), packet) {
            self.sent.datagrams.fetch_add(1, Ordering::Relaxed);
            self.sent.bytes.fetch_add(bytes.len() as u64 + UDP_IP_HEADER_BYTES, Ordering::Relaxed);
            // A datagram that can't be sent is lost, as on any network.
            let _ = self.socket.send_to(&bytes, self.settings.dial_member(to));
        }
    }

    fn members(&self) -> Vec<MemberView> {
        let (swim, now) = (self.swim(), (self.clock)());
        swim.members().iter().map(|(id, member)| self.view(id, member, id == swim.id(), now)).collect()
    }

    fn view(&self, id: MemberId, member: &Member, is_reporter: bool, now: Duration) -> MemberView {
        let millis_since =
            |time: Duration| u64::try_from(now.saturating_sub(time).as_millis()).unwrap_or(u64::MAX);
        let counter = |value: &AtomicU64| if is_reporter { value.load(Ordering::Relaxed) } else { 0 };
        MemberView {
            id: id.to_string(),
            address: member.info.address.to_string(),
            zone: member.info.zone.to_string(),
            kind: kind_name(member.info.kind).to_owned(),
            state: state_name(member.state).to_owned(),
            since_ms: millis_since(member.state_since),
            known_ms: millis_since(member.first_seen),
            incarnation: member.incarnation.0,
            is_reporter,
            sent: counter(&self.sent.datagrams),
            sent_bytes: counter(&self.sent.bytes),
        }
    }
}

/// Returns the name of a kind in reports.
fn kind_name(kind: MemberKind) -> &'static str {
    match kind {
        MemberKind::Front => "front",
        MemberKind::Replica => "keeper",
    }
}

/// Returns the name of a state in reports.
fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspected",
        MemberState::Dead => "gone",
        MemberState::Left => "left",
    }
}
