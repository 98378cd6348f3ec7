//! What a script says of keepers and candidates.

use beechloft_config_reader::Section;

use super::TopicSpec;

/// What a script says of them.
#[derive(Debug, Clone, PartialEq)]
pub struct KeepersSpec {
    /// Keepers.
    pub count: u64,
    /// Candidates for a lease, who act while they hold it.
    pub candidates: u64,
    /// The lease's time, milliseconds.
    pub ttl_ms: u64,
    /// From one act to the next, milliseconds.
    pub act_ms: u64,
    /// The drift that is allowed for, parts of a million.
    pub drift_ppm: u64,
    /// How far clocks are apart: each process's is fast or slow by up to half of it, parts of a million.
    pub clocks_apart_ppm: u64,
    /// Fronts have their numbers by lease, of this time in milliseconds; none: as written.
    pub number_ttl_ms: Option<u64>,
    /// Fronts have seats: a front takes over the number that it had before it was told to restart.
    pub seats: bool,
    /// Fronts restart in turn: so many at once, each back within so many milliseconds.
    pub restart: Option<(u64, u64)>,
    /// A topic that is written and followed.
    pub topic: Option<TopicSpec>,
}

impl KeepersSpec {
    /// Reads the section.
    pub fn of(s: &Section<'_>) -> KeepersSpec {
        let drift_ppm = s.integer("drift_ppm", 0..=99_999).unwrap_or(20_000);
        let clocks_apart_ppm = s.integer("clocks_apart_ppm", 0..=99_999).unwrap_or(10_000);
        if clocks_apart_ppm > 2 * drift_ppm {
            s.report("clocks_apart_ppm", "that is more than the drift allows for");
        }
        let count = s.integer("count", 1..=9).unwrap_or(3);
        if count.is_multiple_of(2) {
            s.report("count", "an odd number is needed");
        }
        let restart = s.has("restart").then(|| {
            let r = s.section("restart");
            (r.required_integer("at_most", 1..=64), r.integer("back_ms", 500..=60_000).unwrap_or(3_000))
        });
        KeepersSpec {
            count,
            candidates: s.integer("candidates", 0..=256).unwrap_or(4),
            ttl_ms: s.integer("ttl_ms", 500..=60_000).unwrap_or(1_500),
            act_ms: s.integer("act_ms", 1..=10_000).unwrap_or(20),
            drift_ppm,
            clocks_apart_ppm,
            number_ttl_ms: s.integer("number_ttl_ms", 500..=60_000),
            seats: s.flag("seats", false),
            restart,
            topic: s.has("topic").then(|| TopicSpec::of(&s.section("topic"))),
        }
    }
}
