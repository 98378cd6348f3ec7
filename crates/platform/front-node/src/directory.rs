//! Media servers by name, and their incarnations.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use beechloft::api::{self, Micros, ServerId};
use beechloft_protocol::CallId;
use beechloft_protocol::bus::{Endpoint, Status};
use beechloft_settings::Names;

use crate::io::ServerIncarnation;

/// The maximum of known servers; further endpoints of a list are ignored.
const MAX_SERVERS: usize = 4096;

/// The FNV-1a hash of 32 bits, by Fowler, Noll and Vo: its initial value and its prime.
const FNV_OFFSET_BASIS: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;

/// An incarnation, and what belongs to it.
#[derive(Debug)]
pub(crate) struct IncarnationState {
    pub server: ServerId,
    pub address: SocketAddr,
    /// It is no longer on the list.
    pub removed: bool,
    /// Established sessions.
    pub established: BTreeSet<CallId>,
    /// Sessions with an attempt in flight there.
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

/// A server with its latest incarnation.
#[derive(Debug)]
struct Server {
    name: String,
    address: SocketAddr,
    started_ms: u64,
    incarnation: ServerIncarnation,
}

/// An incarnation that an endpoint of a list has made known.
#[derive(Debug)]
pub(crate) struct NewIncarnation {
    pub incarnation: ServerIncarnation,
    pub address: SocketAddr,
}

/// An endpoint of a list in the policy's form, and the incarnations that it changes.
#[derive(Debug)]
pub(crate) struct AppliedEndpoint {
    pub endpoint: api::Endpoint,
    /// An incarnation that starts.
    pub added: Option<NewIncarnation>,
    /// The server's earlier incarnation, whose process has ended.
    pub replaced: Option<ServerIncarnation>,
    /// An incarnation that was removed from the list.
    pub removed: Option<ServerIncarnation>,
}

/// All known media servers, and all incarnations that sessions or attempts belong to.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    ids: BTreeMap<String, ServerId>,
    servers: BTreeMap<ServerId, Server>,
    pub incarnations: BTreeMap<ServerIncarnation, IncarnationState>,
    last_incarnation: u32,
}

impl Directory {
    /// Applies an endpoint of a list. None if it can't be used: its address is not valid, it removes an unknown server, or
    /// there are too many.
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
        self.mark_listed(server, is_removed);
        Some(applied)
    }

    /// The policy's identifier of a server. It is a hash of the name alone, so that it is the same at every front node;
    /// of two names with the same hash the later one gets the next free identifier.
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

    fn mark_listed(&mut self, server: ServerId, is_removed: bool) {
        let incarnation = self.incarnation(server);
        if let Some(state) = incarnation.and_then(|latest| self.incarnations.get_mut(&latest)) {
            state.removed = is_removed;
        }
    }

    /// Marks an incarnation as removed from the list.
    pub fn mark_removed(&mut self, incarnation: ServerIncarnation) {
        if let Some(state) = self.incarnations.get_mut(&incarnation) {
            state.removed = true;
        }
    }

    /// The policy's identifier of a known server.
    pub fn server(&self, name: &str) -> Option<ServerId> {
        self.ids.get(name).copied()
    }

    /// A server's latest incarnation.
    pub fn incarnation(&self, server: ServerId) -> Option<ServerIncarnation> {
        self.servers.get(&server).map(|known| known.incarnation)
    }

    /// The incarnations with an address, on the list or not.
    pub fn incarnations_at(&self, address: SocketAddr) -> impl Iterator<Item = ServerIncarnation> {
        let with_address = self.incarnations.iter().filter(move |(_, state)| state.address == address);
        with_address.map(|(incarnation, _)| *incarnation)
    }

    /// All servers that are on the list.
    pub fn listed(&self) -> Vec<ServerId> {
        let is_listed =
            |known: &Server| self.incarnations.get(&known.incarnation).is_some_and(|state| !state.removed);
        self.servers.iter().filter(|(_, known)| is_listed(known)).map(|(id, _)| *id).collect()
    }

    /// Removes an incarnation that nothing belongs to and that is not listed, and with a server's last one the server.
    /// Returns whether it was removed.
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

/// Whether an endpoint tells of a start of the server's process after the one that is known.
fn is_new_start(known: &Server, endpoint: &Endpoint, address: SocketAddr) -> bool {
    known.address != address || endpoint.started_ms > known.started_ms
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "settings name fewer zones and kinds than the types can count"
)]
fn policy_endpoint(server: ServerId, endpoint: &Endpoint, names: &Names) -> api::Endpoint {
    let zone = index_of(&names.zones, &endpoint.zone) as u16;
    let server_type = index_of(&names.server_types, &endpoint.kind) as u8;
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

/// The index of a name; an unknown one counts as the first.
fn index_of(names: &[String], name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or(0)
}

fn fnv1a(bytes: &[u8]) -> u32 {
    bytes.iter().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u32::from(*byte)).wrapping_mul(FNV_PRIME))
}
