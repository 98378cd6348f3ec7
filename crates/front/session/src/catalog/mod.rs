//! The endpoint list as a front knows it: media servers, and which of them hold each title.
//!
//! Three rules keep a faulty list service from doing harm. A failed call or a lost stream changes nothing. An empty
//! snapshot is taken for a failure while media servers are known: a service that lost its own data sends the same. A
//! media server named twice in one message counts in its least ready state, and the contradiction is reported.

mod entries;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use beechloft::api::{ClassId, EndpointState, Event, Micros, ServerId, TenantId, TitleId, UpdateKind};

pub use entries::{EndpointUpdate, MediaServerEntry, Protocol, TitleEntry};

/// Media servers in one message at most; a longer one is rejected.
pub const MAX_MEDIA_SERVERS: usize = 20_000;
/// Titles at most, over all messages.
pub const MAX_TITLES: usize = 200_000;

/// A title that can be requested.
#[derive(Debug, Clone)]
pub struct Title {
    /// Its id inside this front.
    pub id: TitleId,
    /// Class of those who watch it.
    pub class: ClassId,
    /// The tenant that pays for it.
    pub tenant: TenantId,
    /// The media servers that hold it.
    pub holders: Arc<BTreeSet<ServerId>>,
    /// How long a session of it lasts, roughly.
    pub length: Option<Micros>,
}

/// What follows from a message.
#[derive(Debug, Default)]
pub struct UpdateEffects {
    /// For the policy.
    pub event: Option<Event>,
    /// Media servers whose address is new.
    pub readdressed: Vec<ServerId>,
    /// Media servers that were removed from the list.
    pub removed: Vec<ServerId>,
    /// What was wrong with the message.
    pub faults: Vec<String>,
}

impl UpdateEffects {
    /// The list stays as it is, and the policy is told that a call failed.
    fn failed(faults: Vec<String>) -> Self {
        let event = Some(Event::EndpointsUpdated { kind: UpdateKind::Failed, endpoints: Vec::new() });
        UpdateEffects { event, faults, ..UpdateEffects::default() }
    }

    /// The message is ignored.
    fn rejected(fault: String) -> Self {
        UpdateEffects { faults: vec![fault], ..UpdateEffects::default() }
    }
}

/// The endpoint list as known now.
#[derive(Debug, Default)]
pub struct Catalog {
    servers: BTreeMap<ServerId, MediaServerEntry>,
    titles: BTreeMap<Arc<str>, Title>,
    last_title_id: u64,
    known: bool,
}

/// A rank of states: the lower, the less may be sent there.
fn readiness(state: EndpointState) -> u8 {
    match state {
        EndpointState::Removed => 0,
        EndpointState::Draining => 1,
        EndpointState::Ready => 2,
    }
}

impl Catalog {
    /// Applies a message.
    pub fn apply(&mut self, update: EndpointUpdate) -> UpdateEffects {
        let (form, servers, titles, removed_titles) = match update {
            EndpointUpdate::Failed => return UpdateEffects::failed(Vec::new()),
            EndpointUpdate::Snapshot { servers, .. } if servers.is_empty() && !self.servers.is_empty() => {
                let fault = "an empty list is taken for a failure; the known media servers stay";
                return UpdateEffects::failed(vec![fault.into()]);
            }
            EndpointUpdate::Snapshot { cached, servers, titles } => {
                let form = if cached { UpdateKind::Cached } else { UpdateKind::Full };
                (form, servers, titles, Vec::new())
            }
            EndpointUpdate::Change { servers, titles, removed } => {
                (UpdateKind::Delta, servers, titles, removed)
            }
        };
        let (server_count, title_count) = (servers.len(), titles.len());
        if server_count > MAX_MEDIA_SERVERS || title_count > MAX_TITLES {
            let fault =
                format!("a list of {server_count} media servers and {title_count} titles is rejected");
            return UpdateEffects::rejected(fault);
        }
        self.known = true;
        let mut effects = UpdateEffects::default();
        self.apply_servers(form, servers, &mut effects);
        let is_complete = form != UpdateKind::Delta;
        self.apply_titles(is_complete, titles, &removed_titles, &mut effects.faults);
        effects
    }

    fn apply_servers(
        &mut self,
        form: UpdateKind,
        entries: Vec<MediaServerEntry>,
        effects: &mut UpdateEffects,
    ) {
        let servers = merge_duplicates(entries, &mut effects.faults);
        if form != UpdateKind::Delta {
            effects.removed.extend(self.servers.keys().filter(|id| !servers.contains_key(id)));
        }
        let removed = servers.values().filter(|entry| entry.state == EndpointState::Removed);
        effects.removed.extend(removed.map(|entry| entry.id));
        let readdressed = servers.values().filter(|entry| self.is_new_address(entry));
        effects.readdressed.extend(readdressed.map(|entry| entry.id));
        let for_policy = servers.values().map(MediaServerEntry::for_policy).collect();
        effects.event = Some(Event::EndpointsUpdated { kind: form, endpoints: for_policy });
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
            // Ids stay with names, so that seats are counted on.
            let known = self.titles.get(&entry.name).map(|title| title.id);
            let known = known.or_else(|| before.remove(&entry.name).map(|title| title.id));
            if known.is_none() && self.titles.len() >= MAX_TITLES {
                faults.push(format!("title {} is left out: {MAX_TITLES} are known", entry.name));
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

    /// Whether any list has been received.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// A title by name.
    pub fn title(&self, name: &str) -> Option<&Title> {
        self.titles.get(name)
    }

    /// A title's name as it is stored here.
    pub(crate) fn shared_name(&self, name: &str) -> Option<Arc<str>> {
        self.titles.get_key_value(name).map(|(name, _)| name.clone())
    }

    /// A media server by id.
    pub fn server(&self, id: ServerId) -> Option<&MediaServerEntry> {
        self.servers.get(&id)
    }

    /// Those of a title's holders that speak a protocol.
    pub fn holders(&self, title: &Title, protocol: Protocol) -> Arc<BTreeSet<ServerId>> {
        if protocol != Protocol::Sip {
            return title.holders.clone(); // every media server speaks WHEP and WHIP
        }
        let speaks_it =
            |id: &&ServerId| self.server(**id).is_some_and(|entry| entry.address(protocol).is_some());
        Arc::new(title.holders.iter().filter(speaks_it).copied().collect())
    }

    /// All media servers known.
    pub fn servers(&self) -> impl Iterator<Item = &MediaServerEntry> {
        self.servers.values()
    }

    /// Names of all titles known.
    pub fn titles(&self) -> impl Iterator<Item = &Arc<str>> {
        self.titles.keys()
    }
}

/// The entries by id; one that is named twice counts in its least ready state and with its latest start.
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
            faults.push(format!("media server {id} ({name}) is named twice; its least ready state holds"));
        }
        if readiness(entry.state) < readiness(known.state) {
            known.state = entry.state;
        }
        known.started = known.started.max(entry.started);
    }
    merged
}
