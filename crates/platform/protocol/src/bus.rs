//! Events of the event bus: the list of media servers and its changes, as JSON.

use std::fmt;

use serde::Deserialize;
use serde::de::{Deserializer, SeqAccess, Visitor};
use serde_json::Value;

/// Characters that are kept of an error about an endpoint, as it may repeat the endpoint.
const MAX_ERROR_CHARS: usize = 200;

/// A media server's state on the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub enum Status {
    /// It accepts sessions.
    Ready,
    /// It is draining: it finishes its sessions and accepts no new ones.
    Terminating,
    /// It was removed.
    Gone,
}

/// A media server on the list.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Endpoint {
    /// Its name, unique on the list.
    pub name: String,
    /// The IP address and port that it listens on.
    pub address: String,
    /// The name of its zone.
    #[serde(default)]
    pub zone: String,
    /// The name of its kind.
    #[serde(default, rename = "type")]
    pub kind: String,
    /// Its cell.
    #[serde(default, rename = "group")]
    pub cell: u16,
    /// Its state.
    pub status: Status,
    /// Its capacity relative to its kind's.
    #[serde(default)]
    pub weight: f64,
    /// When its process started, as a Unix time in milliseconds; 0 if it is not known.
    #[serde(default, rename = "since_ms")]
    pub started_ms: u64,
}

/// The list of media servers, or a change of it.
#[derive(Debug, Clone, PartialEq)]
pub struct Topology {
    /// Whether it is the whole list.
    pub snapshot: bool,
    /// All media servers, or those that changed.
    pub endpoints: Vec<Endpoint>,
}

/// An event of the bus. An event of another kind has no topology.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(from = "RawEvent")]
pub struct Event {
    /// Its offset in the stream of events; 0 if it has none.
    pub offset: u64,
    /// The list, or its change.
    pub topology: Option<Topology>,
    /// Endpoints that were skipped because they are not valid.
    pub skipped: SkippedEndpoints,
}

/// Endpoints of an event that are not valid.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SkippedEndpoints {
    /// How many.
    pub count: usize,
    /// The error of the first, truncated.
    pub first_error: String,
}

/// The events that a configuration holds.
#[derive(Debug, Clone, PartialEq, Default, Deserialize)]
pub struct InitialEvents {
    /// The offset of the last.
    #[serde(default)]
    pub offset: u64,
    /// The events, in order.
    #[serde(default)]
    pub batch: Vec<Event>,
}

/// An event as it is written.
#[derive(Deserialize)]
struct RawEvent {
    #[serde(default)]
    offset: u64,
    topology: Option<RawTopology>,
}

#[derive(Deserialize)]
struct RawTopology {
    #[serde(default)]
    snapshot: bool,
    endpoints: LenientEndpoints,
}

impl From<RawEvent> for Event {
    fn from(raw: RawEvent) -> Event {
        let Some(topology) = raw.topology else {
            return Event { offset: raw.offset, topology: None, skipped: SkippedEndpoints::default() };
        };
        let LenientEndpoints { endpoints, skipped } = topology.endpoints;
        // A list without some of its endpoints is not whole: those would count as removed.
        let snapshot = topology.snapshot && skipped.count == 0;
        Event { offset: raw.offset, topology: Some(Topology { snapshot, endpoints }), skipped }
    }
}

/// Endpoints that are parsed one by one, so that one that is not valid, as of a newer version, does not invalidate the
/// event. Not more than one is held unparsed.
#[derive(Default)]
struct LenientEndpoints {
    endpoints: Vec<Endpoint>,
    skipped: SkippedEndpoints,
}

impl LenientEndpoints {
    fn add(&mut self, endpoint: &Value) {
        match Endpoint::deserialize(endpoint) {
            Ok(endpoint) => self.endpoints.push(endpoint),
            Err(error) => self.skipped.add(&error),
        }
    }
}

impl SkippedEndpoints {
    fn add(&mut self, error: &serde_json::Error) {
        if self.count == 0 {
            self.first_error = error.to_string().chars().take(MAX_ERROR_CHARS).collect();
        }
        self.count += 1;
    }
}

impl<'de> Deserialize<'de> for LenientEndpoints {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(EndpointsVisitor)
    }
}

struct EndpointsVisitor;

impl<'de> Visitor<'de> for EndpointsVisitor {
    type Value = LenientEndpoints;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of endpoints")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<LenientEndpoints, A::Error> {
        let mut endpoints = LenientEndpoints::default();
        while let Some(endpoint) = sequence.next_element::<Value>()? {
            endpoints.add(&endpoint);
        }
        Ok(endpoints)
    }
}
