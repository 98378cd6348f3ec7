//! A coordinator's server: one thread that has the replica and the store.
//!
//! Each round takes the messages that have come in, up to a bound, lets the replica handle all of them, writes once to the store
//! (group commit) and sends what the replica has for others.

mod bootstrap;
mod dispatch;
mod error;
mod reports;
mod subscriptions;

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use beechloft_consensus::{NodeId, PendingOutputs, RequestId, Settings};
use beechloft_membership::MemberKind;
use beechloft_replica::{Replica, ReplicaInput};
#[cfg(feature = "planted")]
use beechloft_topic::Fault;
use crossbeam_channel::{Receiver, RecvTimeoutError, bounded};
use tracing::info;

use self::bootstrap::has_formed;
pub use self::error::ServerError;
use self::subscriptions::Subscriptions;
use crate::connections::{ConnectionId, Connections, Inbound};
use crate::membership::MembershipService;
use crate::peer_link::PeerLink;
use crate::settings::FleetSettings;
use crate::store::LogStore;
use crate::wire::{self, Message};

/// Messages that wait for the server's thread, at most.
const INBOUND_CAPACITY: usize = 4096;
/// Further messages that go into the same write, at most.
const MAX_BATCHED_MESSAGES: usize = 256;
/// Interval of checks of the group's membership.
const MEMBERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of steps of the topics' log cleaners while nothing comes in.
const CLEANING_INTERVAL: Duration = Duration::from_millis(2);
/// The thread waits no longer than this before it checks whether it must stop.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// What another replica said of itself.
#[derive(Debug, Clone, Copy)]
struct Introduction {
    id: NodeId,
    /// Whether it has been a member of a group.
    formed: bool,
}

/// A running coordinator.
pub struct CoordinatorServer {
    settings: FleetSettings,
    address: SocketAddr,
    id: NodeId,
    replica: Replica,
    store: LogStore,
    connections: Connections,
    peer_links: BTreeMap<SocketAddr, PeerLink>,
    inbound: Receiver<Inbound>,
    stop: Arc<AtomicBool>,
    /// Whether it has been a member of a group; shared with the peer links, which introduce it.
    formed: Arc<Mutex<bool>>,
    introductions: BTreeMap<SocketAddr, Introduction>,
    next_membership_check: Duration,
    last_request_id: u64,
    /// Connections that asked for a membership change which is not in the log yet.
    pending_changes: BTreeMap<RequestId, ConnectionId>,
    clock: Box<dyn Fn() -> Duration + Send>,
    /// This process as a member, if its settings name seeds.
    membership: Option<Arc<MembershipService>>,
    subscriptions: Subscriptions,
    /// Whether the topics' log cleaners have work left.
    cleaning_pending: bool,
    #[cfg(feature = "planted")]
    fault: Option<Fault>,
}

impl CoordinatorServer {
    /// Opens the store and starts to listen. `stop` ends [`CoordinatorServer::run`].
    ///
    /// # Errors
    /// As [`ServerError`] says; nothing was changed then.
    pub fn start(settings: FleetSettings, stop: Arc<AtomicBool>) -> Result<CoordinatorServer, ServerError> {
        CoordinatorServer::start_as(MemberKind::Replica, settings, stop)
    }

    /// Starts a coordinator within a process that is a member of another kind, such as a front.
    ///
    /// # Errors
    /// As [`ServerError`] says; nothing was changed then.
    pub fn start_as(
        kind: MemberKind,
        settings: FleetSettings,
        stop: Arc<AtomicBool>,
    ) -> Result<CoordinatorServer, ServerError> {
        let address = settings.listen.ok_or(ServerError::MissingSetting("listen"))?;
        let folder = settings.store.clone().ok_or(ServerError::MissingSetting("store"))?;
        if !settings.replicas.contains(&address) {
            return Err(ServerError::NotAReplica(address));
        }
        let (store, id, stored) = LogStore::open(&folder, &settings.name)
            .map_err(|source| ServerError::Open { folder: folder.clone(), source })?;
        let listener =
            TcpListener::bind(address).map_err(ServerError::io("the address can't be listened on"))?;
        let formed = Arc::new(Mutex::new(has_formed(&stored)));
        let clock = Box::new(settings.clock());
        let replica =
            Replica::new(id, Settings::default(), stored, settings.drift_bound, rand::random(), clock())?;
        let (sender, inbound) = bounded(INBOUND_CAPACITY);
        let connections = Connections::default();
        connections.accept(listener, settings.fleet_id(), sender).map_err(ServerError::io("no threads"))?;
        let peer_links = link_peers(&settings, address, id, &formed, &stop)?;
        let membership = if settings.seeds.is_empty() {
            None
        } else {
            let service = MembershipService::start(&settings, kind).map_err(ServerError::io("no member"))?;
            Some(Arc::new(service))
        };
        info!(id = %id, %address, fleet = settings.name, "coordinator is up");
        Ok(CoordinatorServer {
            next_membership_check: clock(),
            settings,
            address,
            id,
            replica,
            store,
            connections,
            peer_links,
            inbound,
            stop,
            formed,
            introductions: BTreeMap::new(),
            last_request_id: 0,
            pending_changes: BTreeMap::new(),
            clock,
            membership,
            subscriptions: Subscriptions::default(),
            cleaning_pending: false,
            #[cfg(feature = "planted")]
            fault: None,
        })
    }

    /// Injects a fault into how it handles topics.
    #[cfg(feature = "planted")]
    pub fn inject_fault(&mut self, fault: Fault) {
        self.fault = Some(fault);
        self.replica.inject_fault(fault);
        self.subscriptions.inject_fault(fault);
    }

    /// This process as a member, if it is one.
    pub fn membership(&self) -> Option<Arc<MembershipService>> {
        self.membership.clone()
    }

    /// Serves until it is told to stop.
    ///
    /// # Errors
    /// The store failed, or a snapshot can't be read: this replica must not go on.
    pub fn run(&mut self) -> Result<(), ServerError> {
        while !self.stop.load(Ordering::Relaxed) {
            let mut outputs = PendingOutputs::default();
            match self.inbound.recv_timeout(self.wait_time()) {
                Ok(first) => self.handle_batch(first, &mut outputs),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            let now = (self.clock)();
            self.replica.handle(now, ReplicaInput::Tick, &mut outputs);
            if now >= self.next_membership_check {
                self.next_membership_check = now + MEMBERSHIP_CHECK_INTERVAL;
                self.check_membership(now, &mut outputs)?;
            }
            let ready = outputs.persist(&mut self.store)?;
            for output in self.replica.process_ready((self.clock)(), ready)? {
                self.handle_output(output);
            }
            self.cleaning_pending = self.replica.clean_topics();
            let fleet = self.settings.fleet_id();
            self.subscriptions.serve((self.clock)(), &self.replica, &self.connections, fleet);
            let formed = self.replica.status().members.iter().next().is_some();
            *self.formed.lock().unwrap_or_else(PoisonError::into_inner) |= formed;
        }
        if let Some(membership) = &self.membership {
            membership.leave();
        }
        info!("coordinator ends");
        Ok(())
    }

    /// How long the thread may wait for a message.
    fn wait_time(&self) -> Duration {
        let deadline =
            self.replica.next_due().min(self.next_membership_check).min(self.subscriptions.next_deadline());
        let wait = deadline.saturating_sub((self.clock)());
        let wait = if self.cleaning_pending { wait.min(CLEANING_INTERVAL) } else { wait };
        wait.min(MAX_WAIT)
    }

    /// Handles a message and those that have come in besides, so that they go into the same write.
    fn handle_batch(&mut self, first: Inbound, outputs: &mut PendingOutputs) {
        self.handle_inbound(first, outputs);
        for _ in 0..MAX_BATCHED_MESSAGES {
            let Ok(next) = self.inbound.try_recv() else { break };
            self.handle_inbound(next, outputs);
        }
    }
}

/// Opens a link to each other replica.
fn link_peers(
    settings: &FleetSettings,
    address: SocketAddr,
    id: NodeId,
    formed: &Arc<Mutex<bool>>,
    stop: &Arc<AtomicBool>,
) -> Result<BTreeMap<SocketAddr, PeerLink>, ServerError> {
    let mut links = BTreeMap::new();
    for peer in settings.replicas.iter().filter(|replica| **replica != address) {
        let (formed, fleet) = (Arc::clone(formed), settings.fleet_id());
        let hello = move || {
            let has_formed = *formed.lock().unwrap_or_else(PoisonError::into_inner);
            wire::encode(fleet, &Message::Hello { id, listen: address.to_string(), formed: has_formed })
        };
        let link = PeerLink::start(settings.dial_address(*peer), hello, Arc::clone(stop))
            .map_err(ServerError::io("no threads"))?;
        links.insert(*peer, link);
    }
    Ok(links)
}
