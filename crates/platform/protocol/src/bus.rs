//! Events of the event bus: the endpoint list of the media servers and its updates, as JSON.

use std::fmt;

use serde::Deserialize;
use serde::de::{Deserializer, SeqAccess, Visitor};
use serde_json::Value;

/// Maximum length of an error about an endpoint, in characters. The error may quote the endpoint.
const MAX_ERROR_CHARS: usize = 200;

/// State of a media server on the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub enum Status {
    /// The media server accepts sessions.
    Ready,
    /// The media server is draining. It finishes its sessions and accepts no new ones.
    Terminating,
    /// The media server was removed from the list.
    Gone,
}

/// A media server on the endpoint list.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Endpoint {
    /// Name of the media server, which is unique on the list.
    pub name: String,
    /// IP address and port that the media server listens on.
    pub address: String,
    /// Name of the zone that the media server is in.
    #[serde(default)]
    pub zone: String,
    /// Name of the server type.
    #[serde(default, rename = "type")]
    pub server_type: String,
    /// Cell that the media server belongs to.
    #[serde(default, rename = "group")]
    pub cell: u16,
    /// State of the media server.
    pub status: Status,
    /// Capacity relative to that of the server type.
    #[serde(default)]
    pub weight: f64,
    /// Start of the media server's process as a Unix time in milliseconds, or 0 if it is not known.
    #[serde(default, rename = "since_ms")]
    pub started_ms: u64,
}

/// The complete endpoint list, or an update to it.
#[derive(Debug, Clone, PartialEq)]
pub struct Topology {
    /// Whether the list is complete.
    pub snapshot: bool,
    /// All media servers, or those that the update changes.
    pub endpoints: Vec<Endpoint>,
}

/// An event of the event bus.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(from = "RawEvent")]
pub struct Event {
    /// Offset of the event in the stream, or 0 if it has none.
    pub offset: u64,
    /// Endpoint list or update. `None` for an event of another type.
    pub topology: Option<Topology>,
    /// Endpoints that were skipped because they are not valid.
    pub skipped: SkippedEndpoints,
}

/// Summary of the endpoints of an event that were skipped because they are not valid.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SkippedEndpoints {
    /// Number of skipped endpoints.
    pub count: usize,
    /// Error of the first skipped endpoint, truncated to a maximum length.
    pub first_error: String,
}

/// Events in the configuration of a front node.
#[derive(Debug, Clone, PartialEq, Default, Deserialize)]
pub struct InitialEvents {
    /// Offset of the last event.
    #[serde(default)]
    pub offset: u64,
    /// Events in the order of the stream.
    #[serde(default)]
    pub batch: Vec<Event>,
}

/// An event as encoded in JSON.
#[derive(Deserialize)]
struct RawEvent {
    #[serde(default)]
    offset: u64,
    topology: Option<RawTopology>,
}

/// The endpoint list of an event as encoded in JSON.
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
        // A list without its invalid endpoints is not complete. Otherwise these would be treated as removed.
        let snapshot = topology.snapshot && skipped.count == 0;
        Event { offset: raw.offset, topology: Some(Topology { snapshot, endpoints }), skipped }
    }
}

/// Endpoints that are parsed one by one.
///
/// An endpoint that is not valid, for example because of a newer version, does not invalidate the event. At most one
/// unparsed endpoint is in memory at a time.
#[derive(Default)]
struct LenientEndpoints {
    endpoints: Vec<Endpoint>,
    skipped: SkippedEndpoints,
}

impl LenientEndpoints {
    /// Parses an endpoint, and adds it or counts it as skipped.
    fn add(&mut self, endpoint: &Value) {
        match Endpoint::deserialize(endpoint) {
            Ok(endpoint) => self.endpoints.push(endpoint),
            Err(error) => self.skipped.add(&error),
        }
    }
}

impl SkippedEndpoints {
    /// Counts a skipped endpoint, and keeps the error of the first one.
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

/// Visitor that parses a list of endpoints one by one.
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
