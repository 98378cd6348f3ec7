//! The media server list as it travels: JSON in server-sent events, `snapshot` (all there is) and `change` (what changed).
//!
//! A line that can't be used is left out and said, and the rest of its message holds: one operator's slip must not
//! cost a front its list.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::missing_errors_doc, clippy::wildcard_imports)]
#![forbid(unsafe_code)]

pub mod cache;
pub mod mirror;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use beechloft_config::Service;
use beechloft_session::api::*;
use beechloft_session::catalog::{EndpointUpdate, MediaServerEntry, TitleEntry};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Event name of a whole list.
pub const SNAPSHOT: &str = "snapshot";
/// Event name of a change.
pub const CHANGE: &str = "change";
/// Path of the stream at a list service.
pub const PATH: &str = "/list";
/// Longest message, bytes.
pub const BYTES: usize = 32 * 1024 * 1024;

/// A media server in a message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BoxText {
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
pub struct TitleText {
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
pub struct Read {
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
pub fn read(form: Form, message: &Message, service: &Service) -> Read {
    let mut faults = Vec::new();
    let servers =
        message.boxes.iter().filter_map(|v| kept(box_line(v, service), "box", v, &mut faults)).collect();
    let titles =
        message.titles.iter().filter_map(|v| kept(title_line(v, service), "title", v, &mut faults)).collect();
    let update = match form {
        Form::Snapshot { cached } => EndpointUpdate::Snapshot { cached, servers, titles },
        Form::Change => EndpointUpdate::Change {
            servers,
            titles,
            removed: message.gone.iter().map(|g| g.as_str().into()).collect(),
        },
    };
    Read { update, faults }
}

fn kept<T>(line: Result<T, String>, what: &str, value: &Value, faults: &mut Vec<String>) -> Option<T> {
    let fault = match line {
        Ok(line) => return Some(line),
        Err(fault) => fault,
    };
    let name = value.get("name").and_then(Value::as_str).unwrap_or("without a name");
    faults.push(format!("{what} {name} is left out: {fault}"));
    None
}

fn position(names: &[String], name: &str, what: &str) -> Result<usize, String> {
    names.iter().position(|n| n == name).ok_or_else(|| format!("no {what} is called '{name}'"))
}

fn box_line(value: &Value, service: &Service) -> Result<MediaServerEntry, String> {
    let b = BoxText::deserialize(value).map_err(|e| e.to_string())?;
    let state = match b.state.as_str() {
        "ready" => EndpointState::Ready,
        "draining" => EndpointState::Draining,
        "gone" => EndpointState::Removed,
        other => return Err(format!("no state is called '{other}'")),
    };
    for address in [Some(&b.address), b.sip.as_ref()].into_iter().flatten() {
        address.parse::<SocketAddr>().map_err(|_| format!("'{address}' is no address with a port"))?;
    }
    if u32::from(b.rack) >= service.settings.racks {
        return Err(format!("rack {} of {}", b.rack, service.settings.racks));
    }
    if !b.size.is_finite() || b.size < 0.0 {
        return Err(format!("size {}", b.size));
    }
    Ok(MediaServerEntry {
        id: ServerId(b.id),
        name: b.name.into(),
        url: b.address.into(),
        sip: b.sip.map(Into::into),
        state,
        rack: b.rack,
        zone: ZoneId(position(&service.zones, &b.zone, "zone")? as u16),
        kind: ServerType(position(&service.kinds, &b.kind, "kind")? as u8),
        started: Micros(b.started_us),
        size: b.size,
    })
}

fn title_line(value: &Value, service: &Service) -> Result<TitleEntry, String> {
    let t = TitleText::deserialize(value).map_err(|e| e.to_string())?;
    if t.name.is_empty() {
        return Err("it needs a name".into());
    }
    let tenant = if t.tenant.is_empty() { 0 } else { position(&service.tenants, &t.tenant, "tenant")? };
    Ok(TitleEntry {
        name: t.name.into(),
        class: ClassId(position(&service.classes, &t.class, "class")? as u16),
        tenant: TenantId(tenant as u16),
        holders: t.holders.into_iter().map(ServerId).collect(),
        length: t.length_s.filter(|s| s.is_finite()).map(Micros::from_secs),
    })
}

#[cfg(test)]
mod tests;
