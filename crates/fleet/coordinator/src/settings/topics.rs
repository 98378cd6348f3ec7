//! The key `topics` of the section `fleet`.

use beechloft_config_reader::Section;
use beechloft_leases::Name;
use beechloft_topic::{Terms, Writers};

use super::integer_u32;

/// Topics at most.
const MAX_TOPICS: usize = 64;
/// Bytes of keys and latest values of all topics at most: a snapshot and the log beside it must fit into one file of a replica.
const MAX_BYTES: u64 = 96 << 20;

/// A topic to be declared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TopicSpec {
    /// Its name.
    pub name: Name,
    /// Its terms.
    pub terms: Terms,
}

/// Reads `topics`. Those with an error may be left out, as the file is not used then.
pub(super) fn read(s: &Section<'_>) -> Vec<TopicSpec> {
    let mut all: Vec<TopicSpec> = Vec::new();
    let sections = s.sections("topics");
    if sections.len() > MAX_TOPICS {
        s.report("topics", format!("{MAX_TOPICS} at most"));
    }
    for t in &sections {
        let terms = terms(t);
        match Name::try_from(t.required_text("name")) {
            Ok(name) if all.iter().any(|other| other.name == name) => {
                t.report("name", format!("{name} is there twice"));
                all.push(TopicSpec { name, terms });
            }
            Ok(name) => all.push(TopicSpec { name, terms }),
            Err(error) => t.report("name", error.to_string()),
        }
    }
    let bytes: u64 = all.iter().map(|t| t.terms.bytes).sum();
    if bytes > MAX_BYTES {
        s.report("topics", format!("{bytes} bytes together are more than {MAX_BYTES}"));
    }
    all
}

fn terms(t: &Section<'_>) -> Terms {
    let default = Terms::default();
    let writers = t.choice("writers", &[("one", Writers::One), ("many", Writers::Many)]);
    Terms {
        writers: writers.unwrap_or(default.writers),
        retention_ms: integer_u32(t, "retention_ms", 1_000..=30 * 86_400_000).unwrap_or(default.retention_ms),
        keys: integer_u32(t, "keys", 1..=1 << 20).unwrap_or(default.keys),
        bytes: t.integer("bytes", 1..=MAX_BYTES).unwrap_or(8 << 20),
    }
}
