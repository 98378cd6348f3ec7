//! The one thread that has the machine and the disk.

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

use crate::connections::{ConnectionId, Connections, Inbound, Peer};
use crate::membership::MembershipService;
use crate::settings::FleetSettings;
use crate::store::LogStore;
use crate::wire::{self, Message};

mod bootstrap;
mod dispatch;
mod error;
mod reports;
mod subscriptions;

use bootstrap::has_formed;
pub use error::ServerError;
use subscriptions::Subscriptions;

/// Words taken before one commit.
const A_TURN: usize = 256;
/// From one look at who belongs to the group to the next.
const LOOK: Duration = Duration::from_millis(250);

/// From one step of the topics' cleaners to the next while nothing comes.
const CLEANS: Duration = Duration::from_millis(2);

/// What other keepers have said of themselves.
#[derive(Debug, Clone, Copy)]
struct Met {
    id: NodeId,
    formed: bool,
}

/// A keeper that runs.
pub struct CoordinatorServer {
    set: FleetSettings,
    address: SocketAddr,
    id: NodeId,
    keeper: Replica,
    disk: LogStore,
    conns: Connections,
    peers: BTreeMap<SocketAddr, Peer>,
    came: Receiver<Inbound>,
    end: Arc<AtomicBool>,
    /// Whether it has been a member of a group, for those who say hello in its name.
    formed: Arc<Mutex<bool>>,
    met: BTreeMap<SocketAddr, Met>,
    look_at: Duration,
    tickets: u64,
    /// Who asked for a change that the log has not taken yet.
    asked: BTreeMap<RequestId, ConnectionId>,
    clock: Box<dyn Fn() -> Duration + Send>,
    /// As a member, if its settings name seeds.
    members: Option<Arc<MembershipService>>,
    serving: Subscriptions,
    /// There is more for the topics' cleaners to do.
    unclean: bool,
    #[cfg(feature = "planted")]
    fault: Option<Fault>,
}

impl CoordinatorServer {
    /// Opens its folder and begins to listen.
    ///
    /// # Errors
    /// As [`ServerError`] says; nothing was changed then.
    pub fn start(set: FleetSettings, end: Arc<AtomicBool>) -> Result<CoordinatorServer, ServerError> {
        CoordinatorServer::start_as(MemberKind::Replica, set, end)
    }

    /// The same within a process that is something else besides, as a front may be.
    ///
    /// # Errors
    /// As [`ServerError`] says; nothing was changed then.
    pub fn start_as(
        kind: MemberKind,
        set: FleetSettings,
        end: Arc<AtomicBool>,
    ) -> Result<CoordinatorServer, ServerError> {
        let address = set.listen.ok_or(ServerError::Missing("listen"))?;
        let folder = set.store.clone().ok_or(ServerError::Missing("store"))?;
        if !set.keepers.contains(&address) {
            return Err(ServerError::NoKeeper(address));
        }
        let (disk, id, stored) = LogStore::open(&folder, &set.name)
            .map_err(|error| ServerError::Open { folder: folder.clone(), error })?;
        let listener =
            TcpListener::bind(address).map_err(|e| ServerError::Io("the address can't be listened on", e))?;
        let formed = Arc::new(Mutex::new(has_formed(&stored)));
        let clock = Box::new(set.clock());
        let keeper = Replica::new(id, Settings::default(), stored, set.drift, rand::random(), clock())?;
        let (queue, came) = bounded(4096);
        let conns = Connections::default();
        conns.accept(listener, set.number(), queue).map_err(|e| ServerError::Io("no threads", e))?;
        let mut peers = BTreeMap::new();
        for peer in set.keepers.iter().filter(|a| **a != address) {
            let (known, number) = (Arc::clone(&formed), set.number());
            let hello = move || {
                let formed = *known.lock().unwrap_or_else(PoisonError::into_inner);
                wire::encode(number, &Message::Hello { id, listen: address.to_string(), formed })
            };
            let link = Peer::start(set.reach(*peer), hello, Arc::clone(&end))
                .map_err(|e| ServerError::Io("no threads", e))?;
            peers.insert(*peer, link);
        }
        let members = match set.seeds.is_empty() {
            true => None,
            false => {
                let peers =
                    MembershipService::start(&set, kind).map_err(|e| ServerError::Io("no member", e))?;
                Some(Arc::new(peers))
            }
        };
        info!(id = %id, %address, fleet = set.name, "keeper is up");
        Ok(CoordinatorServer {
            look_at: clock(),
            set,
            address,
            id,
            keeper,
            disk,
            conns,
            peers,
            came,
            end,
            formed,
            met: BTreeMap::new(),
            tickets: 0,
            asked: BTreeMap::new(),
            clock,
            members,
            serving: Subscriptions::default(),
            unclean: false,
            #[cfg(feature = "planted")]
            fault: None,
        })
    }

    /// Plants a fault in what it keeps of topics.
    #[cfg(feature = "planted")]
    pub fn plant(&mut self, fault: Fault) {
        self.fault = Some(fault);
        self.keeper.inject_fault(fault);
        self.serving.plant(fault);
    }

    /// This process as a member, if it is one.
    pub fn members(&self) -> Option<Arc<MembershipService>> {
        self.members.clone()
    }

    /// Keeps until it is told to end.
    ///
    /// # Errors
    /// The disk, or a snapshot that is no table: it must not go on.
    pub fn run(&mut self) -> Result<(), ServerError> {
        while !self.end.load(Ordering::Relaxed) {
            let due = self.keeper.next_due().min(self.look_at).min(self.serving.next_due());
            let due = due.saturating_sub((self.clock)());
            // With nothing else to do the cleaners go on.
            let due = if self.unclean { due.min(CLEANS) } else { due };
            let mut out = PendingOutputs::default();
            match self.came.recv_timeout(due.min(Duration::from_millis(100))) {
                Ok(came) => {
                    self.take(came, &mut out);
                    // Whatever else has come goes into the same save.
                    for _ in 0..A_TURN {
                        let Ok(came) = self.came.try_recv() else { break };
                        self.take(came, &mut out);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            let now = (self.clock)();
            self.keeper.handle(now, ReplicaInput::Tick, &mut out);
            if now >= self.look_at {
                self.look_at = now + LOOK;
                self.look(now, &mut out)?;
            }
            let released = out.persist(&mut self.disk)?;
            for output in self.keeper.process_ready((self.clock)(), released)? {
                self.put_out(output);
            }
            self.unclean = self.keeper.clean_topics();
            self.serving.serve((self.clock)(), &self.keeper, &self.conns, self.set.number());
            let formed = self.keeper.status().members.iter().next().is_some();
            *self.formed.lock().unwrap_or_else(PoisonError::into_inner) |= formed;
        }
        if let Some(members) = &self.members {
            members.leave();
        }
        info!("keeper ends");
        Ok(())
    }
}
