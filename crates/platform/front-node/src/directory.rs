//! Directory of known media servers and of their incarnations.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use beechloft::api::{self, Micros, ServerId};
use beechloft_protocol::CallId;
use beechloft_protocol::bus::{Endpoint, Status};
use beechloft_settings::Names;

use crate::io::ServerIncarnation;

/// Maximum number of known media servers. Further endpoints of a list are ignored.
const MAX_SERVERS: usize = 4096;

/// Initial value of the 32-bit FNV-1a hash (Fowler, Noll and Vo).
const FNV_OFFSET_BASIS: u32 = 0x811c_9dc5;
/// Prime of the 32-bit FNV-1a hash.
const FNV_PRIME: u32 = 0x0100_0193;

/// State of an incarnation, with the sessions that belong to it.
#[derive(Debug)]
pub(crate) struct IncarnationState {
    /// Media server that the incarnation is a run of.
    pub server: ServerId,
    /// Address that the incarnation listens on.
    pub address: SocketAddr,
    /// Whether the incarnation was removed from the endpoint list.
    pub removed: bool,
    /// Sessions that are established at the incarnation.
    pub established: BTreeSet<CallId>,
    /// Sessions with an attempt in flight to the incarnation.
    pub in_flight: BTreeSet<CallId>,
}

impl IncarnationState {
    fn new(server: ServerId, address: SocketAddr) -> Self {
        IncarnationState {
            server,
            address,
            removed: false,
            established: BTreeSet::new(),
            in_flight: BTreeSet::new(),
        }
    }

    fn is_idle(&self) -> bool {
        self.established.is_empty() && self.in_flight.is_empty()
    }
}

/// A known media server with its latest incarnation.
#[derive(Debug)]
struct Server {
    name: String,
    address: SocketAddr,
    started_ms: u64,
    incarnation: ServerIncarnation,
}

/// An incarnation that an endpoint of a list introduced.
#[derive(Debug)]
pub(crate) struct NewIncarnation {
    /// Identifier of the incarnation.
    pub incarnation: ServerIncarnation,
    /// Address that the incarnation listens on.
    pub address: SocketAddr,
}

/// Result of applying an endpoint of a list: the endpoint as the policy sees it, and the incarnations that it changed.
#[derive(Debug)]
pub(crate) struct AppliedEndpoint {
    /// Endpoint in the form that the policy takes.
    pub endpoint: api::Endpoint,
    /// Incarnation that started.
    pub added: Option<NewIncarnation>,
    /// Previous incarnation of the media server, whose process has ended.
    pub replaced: Option<ServerIncarnation>,
    /// Incarnation that was removed from the endpoint list.
    pub removed: Option<ServerIncarnation>,
}

/// All known media servers, and all incarnations that are listed or have sessions or attempts.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    ids: BTreeMap<String, ServerId>,
    servers: BTreeMap<ServerId, Server>,
    /// State of each incarnation.
    pub incarnations: BTreeMap<ServerIncarnation, IncarnationState>,
    last_incarnation: u32,
}

impl Directory {
    /// Applies an endpoint of a list.
    ///
    /// Returns `None` if the endpoint can't be used: its address is not valid, it removes an unknown media server, or
    /// there are [`MAX_SERVERS`] already.
    pub fn apply(&mut self, endpoint: &Endpoint, names: &Names) -> Option<AppliedEndpoint> {
        let address: SocketAddr = endpoint.address.parse().ok()?;
        let is_removed = endpoint.status == Status::Gone;
        if is_removed && !self.ids.contains_key(&endpoint.name) {
            return None;
        }
        let server = self.id_or_insert(&endpoint.name)?;
        let mut applied = AppliedEndpoint {
            endpoint: policy_endpoint(server, endpoint, names),
            added: None,
            replaced: None,
            removed: None,
        };
        let known = self.servers.get(&server);
        let previous = known.map(|known| known.incarnation);
        if is_removed {
            applied.removed = previous;
        } else if known.is_none_or(|known| is_new_start(known, endpoint, address)) {
            applied.replaced = previous;
            applied.added = Some(self.start_incarnation(server, endpoint, address));
        }
        self.set_removed(server, is_removed);
        Some(applied)
    }

    /// Returns the policy's identifier of a media server, and assigns one if the name is unknown.
    ///
    /// The identifier is a hash of the name alone, so that every front node uses the same one. If two names have the
    /// same hash, the later one gets the next free identifier. Returns `None` if there are [`MAX_SERVERS`] already.
    fn id_or_insert(&mut self, name: &str) -> Option<ServerId> {
        if let Some(id) = self.ids.get(name) {
            return Some(*id);
        }
        if self.ids.len() >= MAX_SERVERS {
            return None;
        }
        let mut id = ServerId(fnv1a(name.as_bytes()));
        while self.servers.contains_key(&id) {
            id = ServerId(id.0.wrapping_add(1));
        }
        self.ids.insert(name.to_owned(), id);
        Some(id)
    }

    /// Makes a new incarnation the latest one of a media server.
    fn start_incarnation(
        &mut self,
        server: ServerId,
        endpoint: &Endpoint,
        address: SocketAddr,
    ) -> NewIncarnation {
        self.last_incarnation += 1;
        let incarnation = ServerIncarnation(self.last_incarnation);
        let (name, started_ms) = (endpoint.name.clone(), endpoint.started_ms);
        self.servers.insert(server, Server { name, address, started_ms, incarnation });
        self.incarnations.insert(incarnation, IncarnationState::new(server, address));
        NewIncarnation { incarnation, address }
    }

    /// Sets whether the latest incarnation of a media server is removed from the endpoint list.
    fn set_removed(&mut self, server: ServerId, is_removed: bool) {
        let incarnation = self.incarnation(server);
        if let Some(state) = incarnation.and_then(|latest| self.incarnations.get_mut(&latest)) {
            state.removed = is_removed;
        }
    }

    /// Marks an incarnation as removed from the endpoint list.
    pub fn mark_removed(&mut self, incarnation: ServerIncarnation) {
        if let Some(state) = self.incarnations.get_mut(&incarnation) {
            state.removed = true;
        }
    }

    /// Returns the policy's identifier of a known media server.
    pub fn server(&self, name: &str) -> Option<ServerId> {
        self.ids.get(name).copied()
    }

    /// Returns the latest incarnation of a media server.
    pub fn incarnation(&self, server: ServerId) -> Option<ServerIncarnation> {
        self.servers.get(&server).map(|known| known.incarnation)
    }

    /// Returns the incarnations with an address, whether they are listed or not.
    pub fn incarnations_at(&self, address: SocketAddr) -> impl Iterator<Item = ServerIncarnation> {
        let with_address = self.incarnations.iter().filter(move |(_, state)| state.address == address);
        with_address.map(|(incarnation, _)| *incarnation)
    }

    /// Returns all media servers that are on the endpoint list.
    pub fn listed(&self) -> Vec<ServerId> {
        let is_listed =
            |known: &Server| self.incarnations.get(&known.incarnation).is_some_and(|state| !state.removed);
        self.servers.iter().filter(|(_, known)| is_listed(known)).map(|(id, _)| *id).collect()
    }

    /// Removes an incarnation that has no sessions or attempts, if it is not the latest incarnation of a listed media
    /// server.
    ///
    /// The media server is removed with its latest incarnation. Returns whether the incarnation was removed.
    pub fn remove_unused(&mut self, incarnation: ServerIncarnation) -> bool {
        let Some(state) = self.incarnations.get(&incarnation).filter(|state| state.is_idle()) else {
            return false;
        };
        let server = state.server;
        let is_latest = self.incarnation(server) == Some(incarnation);
        if is_latest && !state.removed {
            return false;
        }
        self.incarnations.remove(&incarnation);
        if is_latest && let Some(known) = self.servers.remove(&server) {
            self.ids.remove(&known.name);
        }
        true
    }
}

/// Returns whether an endpoint describes a later start of the media server's process than the known one.
fn is_new_start(known: &Server, endpoint: &Endpoint, address: SocketAddr) -> bool {
    known.address != address || endpoint.started_ms > known.started_ms
}

/// Converts an endpoint of a list to the form that the policy takes.
#[expect(
    clippy::cast_possible_truncation,
    reason = "settings define fewer zones and server types than the integer types can count"
)]
fn policy_endpoint(server: ServerId, endpoint: &Endpoint, names: &Names) -> api::Endpoint {
    let zone = index_of(&names.zones, &endpoint.zone) as u16;
    let server_type = index_of(&names.server_types, &endpoint.server_type) as u8;
    api::Endpoint {
        server,
        state: match endpoint.status {
            Status::Ready => api::EndpointState::Ready,
            Status::Terminating => api::EndpointState::Draining,
            Status::Gone => api::EndpointState::Removed,
        },
        cell: api::CellId(endpoint.cell),
        zone: api::ZoneId(zone),
        server_type: api::ServerType(server_type),
        started_at: Micros(endpoint.started_ms.saturating_mul(1000)),
        weight: if endpoint.weight.is_finite() { endpoint.weight } else { 0.0 },
    }
}

/// Returns the index of a name. An unknown name is treated as the first one.
fn index_of(names: &[String], name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or(0)
}

fn fnv1a(bytes: &[u8]) -> u32 {
    bytes.iter().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u32::from(*byte)).wrapping_mul(FNV_PRIME))
}
