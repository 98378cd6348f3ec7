//! Messages of the endpoint list: JSON in server-sent events, `snapshot` (the complete list) and `change` (what changed).
//!
//! An entry that can't be used is left out and reported, and the rest of its message holds: one operator's slip must not
//! cost a front its list.
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

/// Event name of a whole list.
pub const SNAPSHOT: &str = "snapshot";
/// Event name of a change.
pub const CHANGE: &str = "change";
/// Path of the stream at a list service.
pub const PATH: &str = "/list";
/// Longest message, bytes.
pub const MAX_MESSAGE_BYTES: usize = 32 * 1024 * 1024;

/// A media server in a message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MediaServerJson {
    /// Its number.
    pub id: u32,
    /// Its name.
    pub name: String,
    /// Where it listens, `host:port`.
    pub address: String,
    /// Where it takes SIP calls, `host:port`, if it does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sip: Option<String>,
    /// `ready`, `draining` or `gone`.
    pub state: String,
    /// Its rack.
    #[serde(default)]
    pub rack: u16,
    /// Name of its zone.
    pub zone: String,
    /// Name of its kind.
    pub kind: String,
    /// Latest start of its process, microseconds since 1970; 0: unknown.
    #[serde(default)]
    pub started_us: u64,
    /// Its size.
    #[serde(default = "one")]
    pub size: f64,
}

fn one() -> f64 {
    1.0
}

/// A title in a message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TitleJson {
    /// Its name.
    pub name: String,
    /// Name of its class.
    pub class: String,
    /// Name of its tenant, if there are any.
    #[serde(default)]
    pub tenant: String,
    /// Numbers of the media servers that hold it.
    pub holders: BTreeSet<u32>,
    /// How long a session lasts, roughly.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub length_s: Option<f64>,
}

/// A message, its lines not yet looked at.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Message {
    /// Lines of media servers.
    #[serde(default)]
    pub boxes: Vec<Value>,
    /// Lines of titles.
    #[serde(default)]
    pub titles: Vec<Value>,
    /// Names of titles that are gone.
    #[serde(default)]
    pub gone: Vec<String>,
}

/// A message read.
#[derive(Debug, Clone, PartialEq)]
pub struct ReadMessage {
    /// For the session controller.
    pub update: EndpointUpdate,
    /// Lines left out, and why.
    pub faults: Vec<String>,
}

/// Which kind of message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// All there is; perhaps from the copy on disk.
    Snapshot {
        /// From the copy.
        cached: bool,
    },
    /// What changed.
    Change,
}

/// Reads the lines of a message, with the names of a deployment.
pub fn read(form: Form, message: &Message, service: &Service) -> ReadMessage {
    let mut faults = Vec::new();
    let servers = message
        .boxes
        .iter()
        .filter_map(|value| keep_valid(media_server(value, service), "box", value, &mut faults));
    let servers = servers.collect();
    let titles = message
        .titles
        .iter()
        .filter_map(|value| keep_valid(title(value, service), "title", value, &mut faults));
    let titles = titles.collect();
    let update = match form {
        Form::Snapshot { cached } => EndpointUpdate::Snapshot { cached, servers, titles },
        Form::Change => EndpointUpdate::Change {
            servers,
            titles,
            removed: message.gone.iter().map(|name| name.as_str().into()).collect(),
        },
    };
    ReadMessage { update, faults }
}

/// Why an entry can't be used.
#[derive(Debug, Error)]
enum EntryError {
    /// It is not the stated JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A name that the deployment does not have.
    #[error("no {what} is called '{name}'")]
    UnknownName { what: &'static str, name: String },
    /// A title without a name.
    #[error("it needs a name")]
    NoName,
    /// Not an address.
    #[error("'{0}' is no address with a port")]
    Address(String),
    /// A rack that the deployment does not have.
    #[error("rack {rack} of {racks}")]
    Rack { rack: u16, racks: u32 },
    /// Not a size.
    #[error("size {0}")]
    Size(f64),
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
            faults.push(format!("{what} {name} is left out: {error}"));
            None
        }
    }
}

/// The index of a name among those of the deployment.
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
        address.parse::<SocketAddr>().map_err(|_| EntryError::Address(address.clone()))?;
    }
    if u32::from(json.rack) >= service.settings.racks {
        return Err(EntryError::Rack { rack: json.rack, racks: service.settings.racks });
    }
    if !json.size.is_finite() || json.size < 0.0 {
        return Err(EntryError::Size(json.size));
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
        return Err(EntryError::NoName);
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
