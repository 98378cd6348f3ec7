//! Events of the event bus: the list of media servers and its changes.

use serde::Deserialize;

/// A media server's state on the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub enum Status {
    /// It takes sessions.
    Ready,
    /// It finishes what it has.
    Terminating,
    /// It is gone.
    Gone,
}

/// A media server on the list.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Endpoint {
    /// Its id.
    pub name: String,
    /// Where it listens.
    pub address: String,
    /// Its zone's name.
    #[serde(default)]
    pub zone: String,
    /// Its kind's name.
    #[serde(default, rename = "type")]
    pub kind: String,
    /// Its cell.
    #[serde(default)]
    pub group: u16,
    /// Its state.
    pub status: Status,
    /// Its size.
    #[serde(default)]
    pub weight: f64,
    /// The Unix millisecond of a late start, or 0.
    #[serde(default)]
    pub since_ms: u64,
}

/// The list, or what has changed of it.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Topology {
    /// It is the whole list.
    #[serde(default)]
    pub snapshot: bool,
    /// Its lines.
    pub endpoints: Vec<Endpoint>,
}

/// An event; those of other kinds have no `topology`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Event {
    /// Its number.
    #[serde(default)]
    pub offset: u64,
    /// The list, or what has changed.
    pub topology: Option<Topology>,
}

/// The events of the start.
#[derive(Debug, Clone, PartialEq, Default, Deserialize)]
pub struct Known {
    /// The number of the last.
    #[serde(default)]
    pub offset: u64,
    /// The events.
    #[serde(default)]
    pub batch: Vec<Event>,
}
