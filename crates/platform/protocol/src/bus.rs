//! Events of the event bus: the list of media servers and its changes.

use std::fmt;

use serde::Deserialize;
use serde::de::{Deserializer, SeqAccess, Visitor};
use serde_json::Value;

/// What is said of a line that can't be read is cut here, as it may repeat the line.
const MOST_SAID: usize = 200;

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
#[derive(Debug, Clone, PartialEq)]
pub struct Topology {
    /// It is the whole list.
    pub snapshot: bool,
    /// Its lines.
    pub endpoints: Vec<Endpoint>,
}

/// An event; those of other kinds have no `topology`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(from = "Form")]
pub struct Event {
    /// Its number; 0: it has none.
    pub offset: u64,
    /// The list, or what has changed.
    pub topology: Option<Topology>,
    /// Lines that can't be read and are left out.
    pub skipped: SkippedEndpoints,
}

/// Lines of a list that can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SkippedEndpoints {
    /// So many.
    pub count: usize,
    /// What is wrong with the first.
    pub first_error: String,
}

/// An event as it is written.
#[derive(Deserialize)]
struct Form {
    #[serde(default)]
    offset: u64,
    topology: Option<Lines>,
}

#[derive(Deserialize)]
struct Lines {
    #[serde(default)]
    snapshot: bool,
    endpoints: OneByOne,
}

impl From<Form> for Event {
    fn from(form: Form) -> Event {
        let mut skipped = SkippedEndpoints::default();
        let topology = form.topology.map(|lines| {
            skipped = lines.endpoints.skipped;
            // A whole list some of whose lines can't be read is not whole: who stands on those would be taken for gone.
            let snapshot = lines.snapshot && skipped.count == 0;
            Topology { snapshot, endpoints: lines.endpoints.endpoints }
        });
        Event { offset: form.offset, topology, skipped }
    }
}

/// Endpoints of which each is read for itself. Guards against one of a state, or with a figure, that this version does not
/// know, and which would cost all others of its event; only one that can't be read is held at a time.
#[derive(Default)]
struct OneByOne {
    endpoints: Vec<Endpoint>,
    skipped: SkippedEndpoints,
}

impl<'de> Deserialize<'de> for OneByOne {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_seq(Each)
    }
}

struct Each;

impl<'de> Visitor<'de> for Each {
    type Value = OneByOne;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of endpoints")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut lines: A) -> Result<OneByOne, A::Error> {
        let mut read = OneByOne::default();
        while let Some(line) = lines.next_element::<Value>()? {
            match Endpoint::deserialize(&line) {
                Ok(endpoint) => read.endpoints.push(endpoint),
                Err(e) => {
                    if read.skipped.count == 0 {
                        read.skipped.first_error = e.to_string().chars().take(MOST_SAID).collect();
                    }
                    read.skipped.count += 1;
                }
            }
        }
        Ok(read)
    }
}

/// The events of the start.
#[derive(Debug, Clone, PartialEq, Default, Deserialize)]
pub struct InitialEvents {
    /// The number of the last.
    #[serde(default)]
    pub offset: u64,
    /// The events.
    #[serde(default)]
    pub batch: Vec<Event>,
}
