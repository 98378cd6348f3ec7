//! The server of a coordinator replica: one thread that owns the replica and the store.
//!
//! Each iteration takes a bounded batch of inbound messages, has the replica handle them, writes once to the store (group
//! commit) and sends the replica's outputs.

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

/// Maximum number of messages queued for the server's thread.
const INBOUND_CAPACITY: usize = 4096;
/// Maximum number of messages after the first that share one write to the store.
const MAX_BATCHED_MESSAGES: usize = 256;
/// Interval between checks of the group's membership.
const MEMBERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between steps of the topics' log cleaners while no message arrives.
const CLEANING_INTERVAL: Duration = Duration::from_millis(2);
/// Maximum wait for a message before the thread checks whether it must stop.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// The content of another replica's [`Message::Hello`].
#[derive(Debug, Clone, Copy)]
struct Introduction {
    id: NodeId,
    /// Whether the replica has been a member of a group.
    formed: bool,
}

/// A running replica of the coordinator.
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
    /// Whether this replica has been a member of a group. Shared with the peer links, whose `Hello` messages contain it.
    formed: Arc<Mutex<bool>>,
    introductions: BTreeMap<SocketAddr, Introduction>,
    next_membership_check: Duration,
    last_request_id: u64,
    /// Connections whose requested membership change is not in the log yet.
    pending_changes: BTreeMap<RequestId, ConnectionId>,
    clock: Box<dyn Fn() -> Duration + Send>,
    /// The fleet membership of this process, if its settings name seeds.
    membership: Option<Arc<MembershipService>>,
    subscriptions: Subscriptions,
    /// Whether the topics' log cleaners have work to do.
    cleaning_pending: bool,
    #[cfg(feature = "planted")]
    fault: Option<Fault>,
}

impl CoordinatorServer {
    /// Opens the store and starts to listen. Setting `stop` ends [`CoordinatorServer::run`].
    ///
    /// # Errors
    /// Returns an error if the settings are incomplete, or if the store, a socket or a thread can't be opened. An existing
    /// store is unchanged then.
    pub fn start(settings: FleetSettings, stop: Arc<AtomicBool>) -> Result<CoordinatorServer, ServerError> {
        CoordinatorServer::start_as(MemberKind::Replica, settings, stop)
    }

    /// Starts a replica within a process that is a fleet member of the given kind, such as a front.
    ///
    /// # Errors
    /// Returns an error in the same cases as [`CoordinatorServer::start`].
    pub fn start_as(
        kind: MemberKind,
        settings: FleetSettings,
        stop: Arc<AtomicBool>,
    ) -> Result<CoordinatorServer, ServerError> {
        let address = settings.listen.ok_or(ServerError::MissingSetting("listen"))?;
        let directory = settings.store.clone().ok_or(ServerError::MissingSetting("store"))?;
        if !settings.replicas.contains(&address) {
            return Err(ServerError::NotAReplica(address));
        }
        let (store, id, stored) = LogStore::open(&directory, &settings.name)
            .map_err(|source| ServerError::Open { directory: directory.clone(), source })?;
        let listener =
            TcpListener::bind(address).map_err(ServerError::io("cannot listen on fleet.listen"))?;
        let formed = Arc::new(Mutex::new(has_formed(&stored)));
        let clock = Box::new(settings.clock());
        let replica =
            Replica::new(id, Settings::default(), stored, settings.drift_bound, rand::random(), clock())?;
        let (sender, inbound) = bounded(INBOUND_CAPACITY);
        let connections = Connections::default();
        connections
            .accept(listener, settings.fleet_id(), sender)
            .map_err(ServerError::io("cannot start a thread"))?;
        let peer_links = link_peers(&settings, address, id, &formed, &stop)?;
        let membership = if settings.seeds.is_empty() {
            None
        } else {
            let service = MembershipService::start(&settings, kind)
                .map_err(ServerError::io("cannot start the fleet membership"))?;
            Some(Arc::new(service))
        };
        info!(id = %id, %address, fleet = settings.name, "coordinator replica started");
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

    /// Injects a fault into the handling of topics.
    #[cfg(feature = "planted")]
    pub fn inject_fault(&mut self, fault: Fault) {
        self.fault = Some(fault);
        self.replica.inject_fault(fault);
        self.subscriptions.inject_fault(fault);
    }

    /// Returns the fleet membership of this process, or `None` if its settings name no seeds.
    pub fn membership(&self) -> Option<Arc<MembershipService>> {
        self.membership.clone()
    }

    /// Serves until the stop flag is set.
    ///
    /// # Errors
    /// Returns an error if the store failed or a snapshot can't be decoded. This replica must not continue then.
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
        info!("coordinator replica stopped");
        Ok(())
    }

    /// Returns how long the thread may wait for a message.
    fn wait_time(&self) -> Duration {
        let deadline =
            self.replica.next_due().min(self.next_membership_check).min(self.subscriptions.next_deadline());
        let wait = deadline.saturating_sub((self.clock)());
        let wait = if self.cleaning_pending { wait.min(CLEANING_INTERVAL) } else { wait };
        wait.min(MAX_WAIT)
    }

    /// Handles a message and those queued after it, up to a bound, so that they share one write to the store.
    fn handle_batch(&mut self, first: Inbound, outputs: &mut PendingOutputs) {
        self.handle_inbound(first, outputs);
        for _ in 0..MAX_BATCHED_MESSAGES {
            let Ok(next) = self.inbound.try_recv() else { break };
            self.handle_inbound(next, outputs);
        }
    }
}

/// Starts a link to each other replica.
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
            .map_err(ServerError::io("cannot start a thread"))?;
        links.insert(*peer, link);
    }
    Ok(links)
}
