//! Topics in the `fleet:` section.

use beechloft_config_reader::Section;
use beechloft_leases::Name;
use beechloft_topic::{Terms, Writers};

/// Topics at most.
const MOST_TOPICS: usize = 64;
/// Bytes of keys and latest values of all topics at most: a snapshot and the log beside it must fit into one file of a keeper's.
const MOST_BYTES: u64 = 96 << 20;

/// A topic that there is to be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TopicSpec {
    /// Its name.
    pub name: Name,
    /// What it is to be.
    pub terms: Terms,
}

/// Reads `topics`; those with a fault are left out, as the file is not used then.
pub(super) fn read(s: &Section<'_>) -> Vec<TopicSpec> {
    let mut all: Vec<TopicSpec> = Vec::new();
    let sections = s.sections("topics");
    if sections.len() > MOST_TOPICS {
        s.report("topics", format!("{MOST_TOPICS} at most"));
    }
    for t in &sections {
        let terms = terms(t);
        match Name::try_from(t.required_text("name")) {
            Ok(name) if all.iter().any(|other| other.name == name) => {
                t.report("name", format!("{name} is there twice"));
                all.push(TopicSpec { name, terms });
            }
            Ok(name) => all.push(TopicSpec { name, terms }),
            Err(why) => t.report("name", why.to_string()),
        }
    }
    let bytes: u64 = all.iter().map(|t| t.terms.bytes).sum();
    if bytes > MOST_BYTES {
        s.report("topics", format!("{bytes} bytes together are more than {MOST_BYTES}"));
    }
    all
}

fn terms(t: &Section<'_>) -> Terms {
    let normal = Terms::default();
    let writers = t.choice("writers", &[("one", Writers::One), ("many", Writers::Many)]);
    Terms {
        writers: writers.unwrap_or(normal.writers),
        retention_ms: t
            .integer("retention_ms", 1_000..=30 * 86_400_000)
            .map_or(normal.retention_ms, |ms| ms as u32),
        keys: t.integer("keys", 1..=1 << 20).map_or(normal.keys, |keys| keys as u32),
        bytes: t.integer("bytes", 1..=MOST_BYTES).unwrap_or(8 << 20),
    }
}
