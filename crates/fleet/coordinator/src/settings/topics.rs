//! Settings of topics, read from the key `topics` of the section `fleet`.

use beechloft_config_reader::Section;
use beechloft_leases::Name;
use beechloft_topic::{TopicConfig, Writers};

use super::integer_u32;

const MAX_TOPICS: usize = 64;
/// Maximum size of the keys and latest values of all topics. A snapshot and the log after it must fit into one file of a
/// replica's store.
const MAX_BYTES: u64 = 96 << 20;
const DEFAULT_BYTES: u64 = 8 << 20;
const MIN_RETENTION_MS: u32 = 1_000;
const MAX_RETENTION_MS: u32 = 30 * MILLIS_PER_DAY;
const MILLIS_PER_DAY: u32 = 86_400_000;
const MAX_KEYS: u32 = 1 << 20;

/// A topic to be declared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TopicSpec {
    /// The topic's name.
    pub name: Name,
    /// The topic's writers, retention and maximum size.
    pub config: TopicConfig,
}

/// Reads `topics`. Topics with an error may be left out of the result, as the file is not used then.
pub(super) fn read(section: &Section<'_>) -> Vec<TopicSpec> {
    let mut all: Vec<TopicSpec> = Vec::new();
    let sections = section.sections("topics");
    if sections.len() > MAX_TOPICS {
        section.report("topics", format!("at most {MAX_TOPICS} are allowed"));
    }
    for topic in &sections {
        let config = read_config(topic);
        match Name::try_from(topic.required_text("name")) {
            Ok(name) if all.iter().any(|other| other.name == name) => {
                topic.report("name", format!("{name} is listed twice"));
                all.push(TopicSpec { name, config });
            }
            Ok(name) => all.push(TopicSpec { name, config }),
            Err(error) => topic.report("name", error.to_string()),
        }
    }
    let bytes: u64 = all.iter().map(|topic| topic.config.bytes).sum();
    if bytes > MAX_BYTES {
        section.report("topics", format!("{bytes} bytes in total exceed the maximum of {MAX_BYTES}"));
    }
    all
}

fn read_config(topic: &Section<'_>) -> TopicConfig {
    let default = TopicConfig::default();
    let writers = topic.choice("writers", &[("one", Writers::One), ("many", Writers::Many)]);
    TopicConfig {
        writers: writers.unwrap_or(default.writers),
        retention_ms: integer_u32(topic, "retention_ms", MIN_RETENTION_MS..=MAX_RETENTION_MS)
            .unwrap_or(default.retention_ms),
        keys: integer_u32(topic, "keys", 1..=MAX_KEYS).unwrap_or(default.keys),
        bytes: topic.integer("bytes", 1..=MAX_BYTES).unwrap_or(DEFAULT_BYTES),
    }
}
