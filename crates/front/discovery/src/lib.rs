//! Messages of the list service: JSON in server-sent events named `snapshot` (the complete list) and `change`.
//!
//! An invalid entry is ignored and reported, and the other entries of its message are used. A single mistake of an operator
//! must not make the list unusable for a front.
#![forbid(unsafe_code)]

pub mod cache;
pub mod mirror;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use beechloft_config::Service;
use beechloft_session::api::{ClassId, EndpointState, Micros, ServerId, ServerType, TenantId, ZoneId};
use beechloft_session::catalog::{EndpointUpdate, MediaServerEntry, TitleEntry};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

/// Event name of a complete list.
pub const SNAPSHOT: &str = "snapshot";
/// Event name of a change.
pub const CHANGE: &str = "change";
/// Path of the stream at a list service.
pub const PATH: &str = "/list";
/// Maximum size of a message.
pub const MAX_MESSAGE_BYTES: usize = 32 * 1024 * 1024;

/// A media server in a message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MediaServerJson {
    /// Id of the media server.
    pub id: u32,
    /// Name of the media server.
    pub name: String,
    /// The `host:port` that the media server listens on.
    pub address: String,
    /// The `host:port` that the media server takes SIP calls on, if it supports SIP.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sip: Option<String>,
    /// State of the media server: `ready`, `draining` or `gone`.
    pub state: String,
    /// Index of the media server's rack.
    #[serde(default)]
    pub rack: u16,
    /// Name of the media server's zone.
    pub zone: String,
    /// Name of the media server's type.
    pub kind: String,
    /// Latest start of the media server's process, in microseconds since 1970, or 0 if it is unknown.
    #[serde(default)]
    pub started_us: u64,
    /// Weight of the media server.
    #[serde(default = "default_size")]
    pub size: f64,
}

fn default_size() -> f64 {
    1.0
}

/// A title in a message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TitleJson {
    /// Name of the title.
    pub name: String,
    /// Name of the title's class.
    pub class: String,
    /// Name of the title's tenant. It is empty if the deployment has no tenants.
    #[serde(default)]
    pub tenant: String,
    /// Ids of the media servers that hold the title.
    pub holders: BTreeSet<u32>,
    /// Approximate duration of a session of the title, in seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub length_s: Option<f64>,
}

/// A message whose entries have not been validated.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Message {
    /// Entries of media servers.
    #[serde(default, rename = "boxes")]
    pub media_servers: Vec<Value>,
    /// Entries of titles.
    #[serde(default)]
    pub titles: Vec<Value>,
    /// Names of removed titles.
    #[serde(default, rename = "gone")]
    pub removed_titles: Vec<String>,
}

/// A validated message.
#[derive(Debug, Clone, PartialEq)]
pub struct ReadMessage {
    /// Update for the session controller.
    pub update: EndpointUpdate,
    /// Descriptions of the ignored entries.
    pub faults: Vec<String>,
}

/// The kind of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// The complete list.
    Snapshot {
        /// Whether the list was read from the copy on disk.
        cached: bool,
    },
    /// A change of the list.
    Change,
}

/// Validates the entries of a message, resolving names by those of the deployment.
pub fn read(kind: MessageKind, message: &Message, service: &Service) -> ReadMessage {
    let mut faults = Vec::new();
    let servers = message
        .media_servers
        .iter()
        .filter_map(|value| keep_valid(media_server(value, service), "media server", value, &mut faults));
    let servers = servers.collect();
    let titles = message
        .titles
        .iter()
        .filter_map(|value| keep_valid(title(value, service), "title", value, &mut faults));
    let titles = titles.collect();
    let update = match kind {
        MessageKind::Snapshot { cached } => EndpointUpdate::Snapshot { cached, servers, titles },
        MessageKind::Change => EndpointUpdate::Change {
            servers,
            titles,
            removed: message.removed_titles.iter().map(|name| name.as_str().into()).collect(),
        },
    };
    ReadMessage { update, faults }
}

/// The reason why an entry is invalid.
#[derive(Debug, Error)]
enum EntryError {
    /// The entry is not JSON of the expected structure.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The entry contains a name that the deployment does not define.
    #[error("unknown {what} '{name}'")]
    UnknownName { what: &'static str, name: String },
    /// The title has no name.
    #[error("the name is empty")]
    EmptyName,
    /// The address is not an IP address with a port.
    #[error("'{0}' is not an IP address with a port")]
    InvalidAddress(String),
    /// The rack is beyond the number of racks of the deployment.
    #[error("rack {rack} is out of range: the deployment has {racks} racks, counted from 0")]
    RackOutOfRange { rack: u16, racks: u32 },
    /// The size is negative or not finite.
    #[error("size {0} is not a finite number of at least 0")]
    InvalidSize(f64),
}

fn keep_valid<T>(
    entry: Result<T, EntryError>,
    what: &str,
    value: &Value,
    faults: &mut Vec<String>,
) -> Option<T> {
    match entry {
        Ok(entry) => Some(entry),
        Err(error) => {
            let name = value.get("name").and_then(Value::as_str).unwrap_or("without a name");
            faults.push(format!("{what} {name} was ignored: {error}"));
            None
        }
    }
}

/// Returns the index of a name among those of the deployment.
fn index_of<T: TryFrom<usize>>(names: &[String], name: &str, what: &'static str) -> Result<T, EntryError> {
    let index = names.iter().position(|known| known == name);
    let narrowed = index.and_then(|index| T::try_from(index).ok());
    narrowed.ok_or_else(|| EntryError::UnknownName { what, name: name.to_owned() })
}

fn media_server(value: &Value, service: &Service) -> Result<MediaServerEntry, EntryError> {
    let json = MediaServerJson::deserialize(value)?;
    let state = match json.state.as_str() {
        "ready" => EndpointState::Ready,
        "draining" => EndpointState::Draining,
        "gone" => EndpointState::Removed,
        other => return Err(EntryError::UnknownName { what: "state", name: other.to_owned() }),
    };
    for address in [Some(&json.address), json.sip.as_ref()].into_iter().flatten() {
        address.parse::<SocketAddr>().map_err(|_| EntryError::InvalidAddress(address.clone()))?;
    }
    if u32::from(json.rack) >= service.settings.racks {
        return Err(EntryError::RackOutOfRange { rack: json.rack, racks: service.settings.racks });
    }
    if !json.size.is_finite() || json.size < 0.0 {
        return Err(EntryError::InvalidSize(json.size));
    }
    Ok(MediaServerEntry {
        id: ServerId(json.id),
        name: json.name.into(),
        url: json.address.into(),
        sip: json.sip.map(Into::into),
        state,
        rack: json.rack,
        zone: ZoneId(index_of(&service.zones, &json.zone, "zone")?),
        kind: ServerType(index_of(&service.kinds, &json.kind, "kind")?),
        started: Micros(json.started_us),
        size: json.size,
    })
}

fn title(value: &Value, service: &Service) -> Result<TitleEntry, EntryError> {
    let json = TitleJson::deserialize(value)?;
    if json.name.is_empty() {
        return Err(EntryError::EmptyName);
    }
    let tenant = if json.tenant.is_empty() { 0 } else { index_of(&service.tenants, &json.tenant, "tenant")? };
    Ok(TitleEntry {
        name: json.name.into(),
        class: ClassId(index_of(&service.classes, &json.class, "class")?),
        tenant: TenantId(tenant),
        holders: json.holders.into_iter().map(ServerId).collect(),
        length: json.length_s.filter(|seconds| seconds.is_finite()).map(Micros::from_secs),
    })
}

#[cfg(test)]
mod tests;
