//! Clients of the coordinator: single calls, watches of leases, and a connection that follows the leader.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::ops::Range;
use std::thread;
use std::time::{Duration, Instant};

use beechloft_consensus::NodeId;
use beechloft_leases::{HolderInput, LeaderLocator, Name, Request, Response};
use crossbeam_channel::{Receiver, Sender, bounded};
use thiserror::Error;

use crate::history::HistoryLog;
use crate::settings::FleetSettings;
use crate::wire::{self, LeaseChange, LeaseInfo, MemberView, Message, ReplicaStatus};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
const WRITE_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of each call while searching for the leader.
const LEADER_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay between two calls while searching for the leader.
const LEADER_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time without a message after which a watch is reopened. A replica that is partitioned from the leader without knowing it
/// sends no changes, which looks the same as there being none.
const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Range of the random delay before a watch is reopened, milliseconds.
const WATCH_RETRY_DELAY_MS: Range<u64> = 50..150;
/// Maximum number of received messages that are queued for the caller.
const RECEIVED_CAPACITY: usize = 64;
const STACK_BYTES: usize = 128 << 10;

/// Reason why a replica was not replaced.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ReplaceError {
    /// No replica responded as the leader before the timeout.
    #[error("no keeper responded as the leader")]
    NoLeader,
    /// The leader rejected the replacement, with its reason.
    #[error("{0}")]
    Rejected(String),
}

/// Requests the state of a replica. Returns `None` if the replica does not respond before the timeout.
pub fn status(settings: &FleetSettings, replica: SocketAddr, timeout: Duration) -> Option<ReplicaStatus> {
    match call(settings, replica, &Message::GetStatus, timeout)? {
        Message::Status(status) => Some(status),
        _ => None,
    }
}

/// Requests the member list of a process of the fleet. Returns `None` if the process does not respond before the timeout or is
/// not a member.
pub fn members(settings: &FleetSettings, process: SocketAddr, timeout: Duration) -> Option<Vec<MemberView>> {
    match call(settings, process, &Message::GetMembers, timeout)? {
        Message::Members(members) => members,
        _ => None,
    }
}

/// Sends a request to a replica and returns the first message that it sends back, or `None` if the connection fails or times
/// out.
pub fn call(
    settings: &FleetSettings,
    replica: SocketAddr,
    request: &Message,
    timeout: Duration,
) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&settings.dial_address(replica), timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    stream.write_all(&wire::encode(settings.fleet_id(), request)?).ok()?;
    wire::read(settings.fleet_id(), &mut stream).ok()
}

/// Requests all lease grants from the leader. Returns `None` if no replica responds as the leader before the timeout.
pub fn list(settings: &FleetSettings, timeout: Duration) -> Option<Vec<LeaseInfo>> {
    match call_leader(settings, &Message::ListLeases, timeout)? {
        Message::Leases(leases) => Some(leases),
        _ => None,
    }
}

/// Has the leader replace a replica that was lost with its store by the new one that has started at its address.
///
/// # Errors
/// Returns an error if there is no leader or if it rejects the replacement.
pub fn replace(
    settings: &FleetSettings,
    old: NodeId,
    new: NodeId,
    timeout: Duration,
) -> Result<(), ReplaceError> {
    match call_leader(settings, &Message::ReplaceReplica { old, new }, timeout) {
        Some(Message::ReplaceResult(result)) => result.map_err(ReplaceError::Rejected),
        _ => Err(ReplaceError::NoLeader),
    }
}

/// Sends a request to one replica after another until one responds as the leader.
fn call_leader(settings: &FleetSettings, request: &Message, timeout: Duration) -> Option<Message> {
    let deadline = Instant::now() + timeout;
    let mut locator = LeaderLocator::new(settings.replicas.len(), 0);
    while Instant::now() < deadline {
        let replica = settings.replicas[locator.next_target()];
        match call(settings, replica, request, LEADER_CALL_TIMEOUT) {
            Some(Message::NotLeader(leader)) => {
                locator.on_not_leader(replica_index(settings, leader.as_deref()));
            }
            None | Some(Message::LeaseResponse(_)) => {}
            Some(response) => return Some(response),
        }
        thread::sleep(LEADER_RETRY_DELAY);
    }
    None
}

/// Returns the index in the settings of the replica with this address.
fn replica_index(settings: &FleetSettings, leader: Option<&str>) -> Option<usize> {
    let address: SocketAddr = leader?.parse().ok()?;
    settings.replicas.iter().position(|replica| *replica == address)
}

/// An event of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchEvent {
    /// All grants. Sent at the start and after each reconnection, as changes may have been missed.
    Snapshot(Vec<LeaseInfo>),
    /// A grant was made or has ended.
    Changed(LeaseChange),
}

/// Watches the grants of one task, or of all tasks if `name` is `None`, at the leader. Returns when `handle` returns `false`.
pub fn watch(settings: &FleetSettings, name: Option<&Name>, mut handle: impl FnMut(WatchEvent) -> bool) {
    let mut locator = LeaderLocator::new(settings.replicas.len(), 0);
    loop {
        let replica = settings.replicas[locator.next_target()];
        if let Some(stream) = open_watch(settings, replica, name)
            && !read_watch(settings, name, stream, &mut locator, &mut handle)
        {
            return;
        }
        thread::sleep(Duration::from_millis(rand::random_range(WATCH_RETRY_DELAY_MS)));
    }
}

fn open_watch(settings: &FleetSettings, replica: SocketAddr, name: Option<&Name>) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&settings.dial_address(replica), CONNECT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(WATCH_SILENCE_TIMEOUT)).ok()?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
    stream.write_all(&wire::encode(settings.fleet_id(), &Message::WatchLeases(name.cloned()))?).ok()?;
    Some(stream)
}

/// Reads events until the connection ends or `handle` returns `false`. Returns whether the watch is to be reopened.
fn read_watch(
    settings: &FleetSettings,
    name: Option<&Name>,
    mut stream: TcpStream,
    locator: &mut LeaderLocator,
    handle: &mut impl FnMut(WatchEvent) -> bool,
) -> bool {
    loop {
        let event = match wire::read(settings.fleet_id(), &mut stream) {
            Ok(Message::Leases(mut leases)) => {
                locator.on_response();
                leases.retain(|lease| name.is_none_or(|name| name.to_string() == lease.name));
                WatchEvent::Snapshot(leases)
            }
            Ok(Message::LeaseChanged(change)) => WatchEvent::Changed(change),
            Ok(Message::NotLeader(leader)) => {
                locator.on_not_leader(replica_index(settings, leader.as_deref()));
                return true;
            }
            _ => return true,
        };
        if !handle(event) {
            return false;
        }
    }
}

/// An open connection to a replica.
struct OpenConnection {
    /// The replica's index in the settings.
    target: usize,
    stream: TcpStream,
}

/// A connection that follows the leader: it is reopened to another replica when the leader changes. Each underlying connection
/// has a reader thread, which ends with it.
pub struct LeaderConnection {
    settings: FleetSettings,
    locator: LeaderLocator,
    connection: Option<OpenConnection>,
    sender: Sender<Message>,
    received: Receiver<Message>,
    history: HistoryLog,
}

impl LeaderConnection {
    /// Creates an unconnected instance. The first message that is sent connects to a random replica.
    pub fn new(settings: FleetSettings) -> LeaderConnection {
        let count = settings.replicas.len();
        let locator = LeaderLocator::new(count, rand::random_range(0..count.max(1)));
        let (sender, received) = bounded(RECEIVED_CAPACITY);
        let history = HistoryLog::open(settings.test_history.as_deref());
        LeaderConnection { settings, locator, connection: None, sender, received, history }
    }

    /// Sends a lease holder's request. A request that can't be sent is lost, as on any network.
    pub fn send_request(&mut self, request: Request) {
        self.send(&Message::LeaseRequest(request));
    }

    /// Sends a message to the presumed leader. A message that can't be sent is lost, as on any network.
    pub fn send(&mut self, message: &Message) {
        let target = self.locator.next_target();
        if self.connection.as_ref().is_none_or(|connection| connection.target != target) {
            self.connection = self.open(target);
        }
        if let Message::LeaseRequest(request) = message {
            self.history.record_request(request);
        }
        let bytes = wire::encode(self.settings.fleet_id(), message);
        if let (Some(connection), Some(bytes)) = (&mut self.connection, bytes)
            && connection.stream.write_all(&bytes).is_err()
        {
            self.connection = None;
        }
    }

    fn open(&mut self, target: usize) -> Option<OpenConnection> {
        if let Some(old) = self.connection.take() {
            let _ = old.stream.shutdown(Shutdown::Both);
        }
        let address = self.settings.dial_address(self.settings.replicas[target]);
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
        let _ = stream.set_nodelay(true);
        stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
        let mut reader = stream.try_clone().ok()?;
        let (fleet, sender) = (self.settings.fleet_id(), self.sender.clone());
        let read_messages = move || {
            while let Ok(message) = wire::read(fleet, &mut reader) {
                if sender.send(message).is_err() {
                    return;
                }
            }
        };
        thread::Builder::new().name("hears".into()).stack_size(STACK_BYTES).spawn(read_messages).ok()?;
        Some(OpenConnection { target, stream })
    }

    /// Returns the next input for a lease holder, or `None` if the timeout passes or the received message is not one.
    pub fn receive_input(&mut self, timeout: Duration) -> Option<HolderInput> {
        match self.receive(timeout)? {
            Message::LeaseResponse(response) => {
                self.history.record_response(&response);
                Some(HolderInput::Response(response))
            }
            Message::NotLeader(_) => Some(HolderInput::Response(Response::NotLeader(None))),
            _ => None,
        }
    }

    /// Returns the next message, or `None` if the timeout passes.
    pub fn receive(&mut self, timeout: Duration) -> Option<Message> {
        let message = self.received.recv_timeout(timeout).ok()?;
        match &message {
            Message::NotLeader(leader) => {
                self.locator.on_not_leader(replica_index(&self.settings, leader.as_deref()));
            }
            _ => self.locator.on_response(),
        }
        Some(message)
    }
}
