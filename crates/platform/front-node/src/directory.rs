//! Media servers by name, and their lanes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use beechloft::api::{self as api, Micros, ServerId};
use beechloft_protocol::CallId;
use beechloft_protocol::bus::{Endpoint, Status};
use beechloft_settings::Names;

use crate::io::ServerIncarnation;

/// Servers that are kept in mind; lines of a list past this are skipped.
const MOST_SERVERS: usize = 4096;

/// One start of one media server.
#[derive(Debug)]
pub(crate) struct LaneState {
    pub server: ServerId,
    pub addr: SocketAddr,
    /// The list has it no more.
    pub gone: bool,
    /// Sessions that stand there.
    pub standing: BTreeSet<CallId>,
    /// Attempts that are out there.
    pub out: BTreeSet<CallId>,
}

#[derive(Debug)]
struct Known {
    name: String,
    addr: SocketAddr,
    started_ms: u64,
    lane: ServerIncarnation,
}

/// What a line of the list brings about.
#[derive(Debug, Default)]
pub(crate) struct Change {
    /// A lane that begins.
    pub begins: Option<(ServerIncarnation, SocketAddr)>,
    /// The lane of an earlier start, whose process is gone.
    pub replaced: Option<ServerIncarnation>,
    /// A lane that has left the list.
    pub gone: Option<ServerIncarnation>,
}

/// All media servers that are known, and lanes that sessions still belong to.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    names: BTreeMap<String, ServerId>,
    known: BTreeMap<ServerId, Known>,
    pub lanes: BTreeMap<ServerIncarnation, LaneState>,
    made: u32,
}

impl Directory {
    /// The module's name for a media server: the same at every front node, as it comes from the name alone
    /// (FNV-1a); two names that fall together are told apart by trying the next number.
    fn id(&mut self, name: &str) -> Option<ServerId> {
        if let Some(id) = self.names.get(name) {
            return Some(*id);
        }
        if self.names.len() >= MOST_SERVERS {
            return None;
        }
        let hash = |h: u32, b: u8| (h ^ u32::from(b)).wrapping_mul(0x0100_0193);
        let mut id = ServerId(name.bytes().fold(0x811c_9dc5, hash));
        while self.known.contains_key(&id) {
            id = ServerId(id.0.wrapping_add(1));
        }
        self.names.insert(name.to_owned(), id);
        Some(id)
    }

    /// Takes a line of the list: the module's form of it, and what it brings about here.
    pub fn take(&mut self, e: &Endpoint, names: &Names) -> Option<(api::Endpoint, Change)> {
        let addr: SocketAddr = e.address.parse().ok()?;
        let at = |list: &[String], name: &str| list.iter().position(|n| n == name).unwrap_or(0);
        let gone = e.status == Status::Gone;
        if gone && !self.names.contains_key(&e.name) {
            return None;
        }
        let server = self.id(&e.name)?;
        let entry = api::Endpoint {
            server,
            state: match e.status {
                Status::Ready => api::EndpointState::Ready,
                Status::Terminating => api::EndpointState::Draining,
                Status::Gone => api::EndpointState::Removed,
            },
            cell: api::CellId(e.cell),
            zone: api::ZoneId(at(&names.zones, &e.zone) as u16),
            server_type: api::ServerType(at(&names.server_types, &e.kind) as u8),
            started_at: Micros(e.started_ms.saturating_mul(1000)),
            weight: if e.weight.is_finite() { e.weight } else { 0.0 },
        };
        let mut change = Change::default();
        let old = self.known.get(&server).map(|k| (k.lane, k.addr, k.started_ms));
        if gone {
            change.gone = old.map(|o| o.0);
        } else if old.is_none_or(|(_, a, since)| a != addr || e.started_ms > since) {
            // A new start, or the first that is heard of it: nothing of an earlier one is left.
            change.replaced = old.map(|o| o.0);
            self.made += 1;
            let lane = ServerIncarnation(self.made);
            let known = Known { name: e.name.clone(), addr, started_ms: e.started_ms, lane };
            self.known.insert(server, known);
            let state =
                LaneState { server, addr, gone: false, standing: BTreeSet::new(), out: BTreeSet::new() };
            self.lanes.insert(lane, state);
            change.begins = Some((lane, addr));
        }
        if let Some(lane) = change.gone.and_then(|l| self.lanes.get_mut(&l)) {
            lane.gone = true;
        } else if let Some(k) = self.known.get(&server)
            && !gone
        {
            self.lanes.entry(k.lane).and_modify(|l| l.gone = false);
        }
        Some((entry, change))
    }

    /// The media server's name with the module, if it is known.
    pub fn server(&self, name: &str) -> Option<ServerId> {
        self.names.get(name).copied()
    }

    /// Its lane.
    pub fn lane(&self, server: ServerId) -> Option<ServerIncarnation> {
        self.known.get(&server).map(|k| k.lane)
    }

    /// The lanes that have an address, on the list or not.
    pub fn at(&self, addr: SocketAddr) -> impl Iterator<Item = ServerIncarnation> {
        self.lanes.iter().filter(move |(_, l)| l.addr == addr).map(|(id, _)| *id)
    }

    /// All servers that are on the list.
    pub fn listed(&self) -> Vec<ServerId> {
        let listed = |k: &Known| self.lanes.get(&k.lane).is_some_and(|l| !l.gone);
        self.known.iter().filter(|(_, k)| listed(k)).map(|(id, _)| *id).collect()
    }

    /// Lets go of a lane that has nothing left; its server too, if this was its last and the list has it no more.
    pub fn forget(&mut self, lane: ServerIncarnation) -> bool {
        let Some(state) = self.lanes.get(&lane) else { return false };
        if !state.standing.is_empty() || !state.out.is_empty() {
            return false;
        }
        let server = state.server;
        let current = self.known.get(&server).is_some_and(|k| k.lane == lane);
        if current && !state.gone {
            return false;
        }
        self.lanes.remove(&lane);
        if current && let Some(k) = self.known.remove(&server) {
            self.names.remove(&k.name);
        }
        true
    }
}
