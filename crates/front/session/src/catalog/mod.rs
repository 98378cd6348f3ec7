//! The front's copy of the endpoint list: the media servers, and which of them hold each title.
//!
//! Three rules limit the harm that a faulty list service can do:
//!
//! - A failed call or a lost stream does not change the list.
//! - An empty snapshot counts as a failure while media servers are known, as a service that lost its data would send
//!   the same.
//! - If one update lists a media server twice, the least ready state of the two applies and the contradiction is
//!   reported.

mod entries;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use beechloft::api::{ClassId, EndpointState, Event, Micros, ServerId, TenantId, TitleId, UpdateKind};

pub use entries::{EndpointUpdate, MediaServerEntry, Protocol, TitleEntry};

/// Maximum number of media servers in one update. A larger update is rejected.
pub const MAX_MEDIA_SERVERS: usize = 20_000;
/// Maximum number of titles, both in one update and in the list as a whole.
pub const MAX_TITLES: usize = 200_000;

/// A title that can be requested.
#[derive(Debug, Clone)]
pub struct Title {
    /// Id of the title, valid only within this front.
    pub id: TitleId,
    /// Class of the title's sessions.
    pub class: ClassId,
    /// The tenant that owns the title.
    pub tenant: TenantId,
    /// The media servers that hold the title.
    pub holders: Arc<BTreeSet<ServerId>>,
    /// Approximate duration of a session of the title.
    pub length: Option<Micros>,
}

/// The effects of an update.
#[derive(Debug, Default)]
pub struct UpdateEffects {
    /// Event to be passed to the policy.
    pub event: Option<Event>,
    /// Media servers that are new or have a new address.
    pub readdressed: Vec<ServerId>,
    /// Media servers that were removed from the list.
    pub removed: Vec<ServerId>,
    /// Descriptions of the faults in the update.
    pub faults: Vec<String>,
}

impl UpdateEffects {
    /// Returns the effects of a failed update: the list is unchanged and the policy is notified of the failure.
    fn failed(faults: Vec<String>) -> Self {
        let event = Some(Event::EndpointsUpdated { kind: UpdateKind::Failed, endpoints: Vec::new() });
        UpdateEffects { event, faults, ..UpdateEffects::default() }
    }

    /// Returns the effects of a rejected update: it is ignored and its fault is reported.
    fn rejected(fault: String) -> Self {
        UpdateEffects { faults: vec![fault], ..UpdateEffects::default() }
    }
}

/// The current endpoint list.
#[derive(Debug, Default)]
pub struct Catalog {
    servers: BTreeMap<ServerId, MediaServerEntry>,
    titles: BTreeMap<Arc<str>, Title>,
    last_title_id: u64,
    known: bool,
}

/// Ranks states by readiness. A media server of a lower rank may be sent less.
fn readiness(state: EndpointState) -> u8 {
    match state {
        EndpointState::Removed => 0,
        EndpointState::Draining => 1,
        EndpointState::Ready => 2,
    }
}

impl Catalog {
    /// Applies an update and returns its effects.
    pub fn apply(&mut self, update: EndpointUpdate) -> UpdateEffects {
        let (kind, servers, titles, removed_titles) = match update {
            EndpointUpdate::Failed => return UpdateEffects::failed(Vec::new()),
            EndpointUpdate::Snapshot { servers, .. } if servers.is_empty() && !self.servers.is_empty() => {
                let fault = "an empty snapshot was treated as a failure; the known media servers are kept";
                return UpdateEffects::failed(vec![fault.into()]);
            }
            EndpointUpdate::Snapshot { cached, servers, titles } => {
                let kind = if cached { UpdateKind::Cached } else { UpdateKind::Full };
                (kind, servers, titles, Vec::new())
            }
            EndpointUpdate::Change { servers, titles, removed } => {
                (UpdateKind::Delta, servers, titles, removed)
            }
        };
        let (server_count, title_count) = (servers.len(), titles.len());
        if server_count > MAX_MEDIA_SERVERS || title_count > MAX_TITLES {
            let fault = format!(
                "an update of {server_count} media servers and {title_count} titles was rejected as too large"
            );
            return UpdateEffects::rejected(fault);
        }
        self.known = true;
        let mut effects = UpdateEffects::default();
        self.apply_servers(kind, servers, &mut effects);
        let is_complete = kind != UpdateKind::Delta;
        self.apply_titles(is_complete, titles, &removed_titles, &mut effects.faults);
        effects
    }

    fn apply_servers(
        &mut self,
        kind: UpdateKind,
        entries: Vec<MediaServerEntry>,
        effects: &mut UpdateEffects,
    ) {
        let servers = merge_duplicates(entries, &mut effects.faults);
        if kind != UpdateKind::Delta {
            effects.removed.extend(self.servers.keys().filter(|id| !servers.contains_key(id)));
        }
        let removed = servers.values().filter(|entry| entry.state == EndpointState::Removed);
        effects.removed.extend(removed.map(|entry| entry.id));
        let readdressed = servers.values().filter(|entry| self.is_new_address(entry));
        effects.readdressed.extend(readdressed.map(|entry| entry.id));
        let for_policy = servers.values().map(MediaServerEntry::for_policy).collect();
        effects.event = Some(Event::EndpointsUpdated { kind, endpoints: for_policy });
        self.servers.extend(servers);
        for id in &effects.removed {
            self.servers.remove(id);
        }
    }

    fn is_new_address(&self, entry: &MediaServerEntry) -> bool {
        let known = self.servers.get(&entry.id);
        entry.state != EndpointState::Removed && known.is_none_or(|known| known.url != entry.url)
    }

    fn apply_titles(
        &mut self,
        is_complete: bool,
        entries: Vec<TitleEntry>,
        removed: &[Arc<str>],
        faults: &mut Vec<String>,
    ) {
        let mut before = if is_complete { std::mem::take(&mut self.titles) } else { BTreeMap::new() };
        for name in removed {
            self.titles.remove(name);
        }
        for entry in entries {
            // A title keeps its id across snapshots, so that the policy's count of its sessions stays correct.
            let known = self.titles.get(&entry.name).map(|title| title.id);
            let known = known.or_else(|| before.remove(&entry.name).map(|title| title.id));
            if known.is_none() && self.titles.len() >= MAX_TITLES {
                faults.push(format!(
                    "title {} was ignored: the limit of {MAX_TITLES} titles is reached",
                    entry.name
                ));
                continue;
            }
            let id = known.unwrap_or_else(|| self.new_title_id());
            let TitleEntry { name, class, tenant, holders, length } = entry;
            self.titles.insert(name, Title { id, class, tenant, holders: Arc::new(holders), length });
        }
    }

    fn new_title_id(&mut self) -> TitleId {
        self.last_title_id += 1;
        TitleId(self.last_title_id)
    }

    /// Returns whether a list has been received.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Returns the title of this name, or `None` if it is not on the list.
    pub fn title(&self, name: &str) -> Option<&Title> {
        self.titles.get(name)
    }

    /// Returns the catalog's own copy of a title's name, or `None` if the title is not on the list.
    pub(crate) fn shared_name(&self, name: &str) -> Option<Arc<str>> {
        self.titles.get_key_value(name).map(|(name, _)| name.clone())
    }

    /// Returns the media server of this id, or `None` if it is not on the list.
    pub fn server(&self, id: ServerId) -> Option<&MediaServerEntry> {
        self.servers.get(&id)
    }

    /// Returns the holders of a title that support a protocol.
    pub fn holders(&self, title: &Title, protocol: Protocol) -> Arc<BTreeSet<ServerId>> {
        if protocol != Protocol::Sip {
            return title.holders.clone(); // every media server supports WHEP and WHIP
        }
        let supports_protocol =
            |id: &&ServerId| self.server(**id).is_some_and(|entry| entry.address(protocol).is_some());
        Arc::new(title.holders.iter().filter(supports_protocol).copied().collect())
    }

    /// Returns all media servers on the list.
    pub fn servers(&self) -> impl Iterator<Item = &MediaServerEntry> {
        self.servers.values()
    }

    /// Returns the names of all titles on the list.
    pub fn titles(&self) -> impl Iterator<Item = &Arc<str>> {
        self.titles.keys()
    }
}

/// Indexes entries by id. Entries of the same id are merged into the least ready state and the latest start.
fn merge_duplicates(
    entries: Vec<MediaServerEntry>,
    faults: &mut Vec<String>,
) -> BTreeMap<ServerId, MediaServerEntry> {
    let mut merged: BTreeMap<ServerId, MediaServerEntry> = BTreeMap::new();
    for entry in entries {
        let Some(known) = merged.get_mut(&entry.id) else {
            merged.insert(entry.id, entry);
            continue;
        };
        if *known != entry {
            let (id, name) = (entry.id.0, &entry.name);
            faults.push(format!("media server {id} ({name}) is listed twice; its least ready state applies"));
        }
        if readiness(entry.state) < readiness(known.state) {
            known.state = entry.state;
        }
        known.started = known.started.max(entry.started);
    }
    merged
}
