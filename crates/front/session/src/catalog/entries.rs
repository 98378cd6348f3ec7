//! Messages of the endpoint list, and the entries in them.

use std::collections::BTreeSet;
use std::sync::Arc;

use beechloft::api::{
    CellId, ClassId, Endpoint, EndpointState, Micros, ServerId, ServerType, TenantId, ZoneId,
};

/// The signalling protocol of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Protocol {
    /// WHEP, spoken by viewers.
    #[default]
    Whep,
    /// WHIP, spoken by publishers.
    Whip,
    /// SIP, spoken by callers.
    Sip,
}

/// A media server on the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct MediaServerEntry {
    /// Id of the media server, the same at every front.
    pub id: ServerId,
    /// Human-readable name of the media server.
    pub name: Arc<str>,
    /// The `host:port` that the media server listens on.
    pub url: Arc<str>,
    /// The `host:port` that the media server takes SIP calls on, if it supports SIP.
    pub sip: Option<Arc<str>>,
    /// State of the media server.
    pub state: EndpointState,
    /// Index of the media server's rack.
    pub rack: u16,
    /// Zone of the media server.
    pub zone: ZoneId,
    /// Type of the media server.
    pub kind: ServerType,
    /// Latest start of the media server's process. Zero stands for a start long ago or unknown.
    pub started: Micros,
    /// Weight of the media server, in the sense of [`WeightMeaning`](beechloft::api::WeightMeaning).
    pub size: f64,
}

impl MediaServerEntry {
    /// Returns the address for sessions of a protocol, or `None` if the media server does not support it.
    pub fn address(&self, protocol: Protocol) -> Option<&Arc<str>> {
        match protocol {
            Protocol::Whep | Protocol::Whip => Some(&self.url),
            Protocol::Sip => self.sip.as_ref(),
        }
    }

    /// Converts the entry to the policy's form, in which a rack is a cell.
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
    /// Name of the title, as used in URLs.
    pub name: Arc<str>,
    /// Class of the title's sessions.
    pub class: ClassId,
    /// The tenant that owns the title.
    pub tenant: TenantId,
    /// The media servers that hold the title.
    pub holders: BTreeSet<ServerId>,
    /// Approximate duration of a session of the title.
    pub length: Option<Micros>,
}

/// An update from the list service.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointUpdate {
    /// The complete list.
    Snapshot {
        /// Whether the list was read from the front's copy on disk, which may be old.
        cached: bool,
        /// All media servers.
        servers: Vec<MediaServerEntry>,
        /// All titles.
        titles: Vec<TitleEntry>,
    },
    /// A change of the list. A removed media server is sent with the state `Removed`, a removed title by its name.
    Change {
        /// Media servers that were added, changed or removed.
        servers: Vec<MediaServerEntry>,
        /// Titles that were added or changed.
        titles: Vec<TitleEntry>,
        /// Names of removed titles.
        removed: Vec<Arc<str>>,
    },
    /// The stream of updates broke, or a request for the list failed.
    Failed,
}
