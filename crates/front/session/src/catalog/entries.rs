//! Messages of the endpoint list, and the entries in them.

use std::collections::BTreeSet;
use std::sync::Arc;

use beechloft::api::{
    CellId, ClassId, Endpoint, EndpointState, Micros, ServerId, ServerType, TenantId, ZoneId,
};

/// What a client speaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Protocol {
    /// WHEP: it watches.
    #[default]
    Whep,
    /// WHIP: it publishes.
    Whip,
    /// SIP: it calls.
    Sip,
}

/// A media server on the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct MediaServerEntry {
    /// Its id, the same for every front.
    pub id: ServerId,
    /// Its name, for people.
    pub name: Arc<str>,
    /// Where it listens: `host:port`.
    pub url: Arc<str>,
    /// Where it takes SIP calls, if it does.
    pub sip: Option<Arc<str>>,
    /// Its state.
    pub state: EndpointState,
    /// The rack it stands in.
    pub rack: u16,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind.
    pub kind: ServerType,
    /// Latest start of its process; zero: long ago or unknown.
    pub started: Micros,
    /// Its size, as [`WeightMeaning`](beechloft::api::WeightMeaning) says.
    pub size: f64,
}

impl MediaServerEntry {
    /// Where sessions of a protocol are set up; none: not at this media server.
    pub fn address(&self, protocol: Protocol) -> Option<&Arc<str>> {
        match protocol {
            Protocol::Whep | Protocol::Whip => Some(&self.url),
            Protocol::Sip => self.sip.as_ref(),
        }
    }

    /// The entry as the policy takes it. A rack is a cell there.
    pub(super) fn for_policy(&self) -> Endpoint {
        Endpoint {
            server: self.id,
            state: self.state,
            cell: CellId(self.rack),
            zone: self.zone,
            server_type: self.kind,
            started_at: self.started,
            weight: self.size,
        }
    }
}

/// A title on the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct TitleEntry {
    /// Its name in addresses.
    pub name: Arc<str>,
    /// Class of those who watch it.
    pub class: ClassId,
    /// The tenant that pays for it.
    pub tenant: TenantId,
    /// The media servers that hold it.
    pub holders: BTreeSet<ServerId>,
    /// How long a session of it lasts, roughly.
    pub length: Option<Micros>,
}

/// A message of the endpoint list's service.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointUpdate {
    /// The complete list.
    Snapshot {
        /// Read from a copy that this front kept, perhaps long ago.
        cached: bool,
        /// All media servers.
        servers: Vec<MediaServerEntry>,
        /// All titles.
        titles: Vec<TitleEntry>,
    },
    /// What changed. A removed media server comes with that state, a removed title by name.
    Change {
        /// Media servers that changed.
        servers: Vec<MediaServerEntry>,
        /// Titles that changed.
        titles: Vec<TitleEntry>,
        /// Titles that were removed.
        removed: Vec<Arc<str>>,
    },
    /// The stream broke or a call failed.
    Failed,
}
