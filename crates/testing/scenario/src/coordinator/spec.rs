//! Section of a script that describes the coordinator's replicas and the candidates for a lease.

use beechloft_config_reader::Section;

use super::TopicSpec;

/// Replicas of the coordinator, candidates for a lease and the settings of fronts that use them.
#[derive(Debug, Clone, PartialEq)]
pub struct CoordinatorSpec {
    /// Number of replicas.
    pub count: u64,
    /// Number of candidates for a lease, which operate on a resource while they hold it.
    pub candidates: u64,
    /// Duration of the lease in milliseconds.
    pub ttl_ms: u64,
    /// Interval between the operations of the lease holder in milliseconds.
    pub act_ms: u64,
    /// Clock drift that the leases allow for, in parts per million.
    pub drift_ppm: u64,
    /// Difference between the fastest and the slowest clock in parts per million. Each process's clock is fast or slow by up to
    /// half of it.
    pub clocks_apart_ppm: u64,
    /// Duration in milliseconds of the leases by which fronts get their numbers, or `None` if their numbers are fixed.
    pub number_ttl_ms: Option<u64>,
    /// Whether fronts have seats, by which a front takes over the number that it had before a restart.
    pub seats: bool,
    /// Maximum number of fronts that restart at once and the time in milliseconds for each to return, or `None` if restarts are
    /// not coordinated.
    pub restart: Option<(u64, u64)>,
    /// Topic with its writers and readers, or `None` if the day has no topic.
    pub topic: Option<TopicSpec>,
}

impl CoordinatorSpec {
    /// Reads the section.
    pub fn read(section: &Section<'_>) -> CoordinatorSpec {
        let drift_ppm = section.integer("drift_ppm", 0..=99_999).unwrap_or(20_000);
        let clocks_apart_ppm = section.integer("clocks_apart_ppm", 0..=99_999).unwrap_or(10_000);
        if clocks_apart_ppm > 2 * drift_ppm {
            section.report("clocks_apart_ppm", "must be at most twice 'drift_ppm'");
        }
        let count = section.integer("count", 1..=9).unwrap_or(3);
        if count.is_multiple_of(2) {
            section.report("count", "an odd number is needed");
        }
        let restart = section.has("restart").then(|| {
            let restart = section.section("restart");
            (
                restart.required_integer("at_most", 1..=64),
                restart.integer("back_ms", 500..=60_000).unwrap_or(3_000),
            )
        });
        CoordinatorSpec {
            count,
            candidates: section.integer("candidates", 0..=256).unwrap_or(4),
            ttl_ms: section.integer("ttl_ms", 500..=60_000).unwrap_or(1_500),
            act_ms: section.integer("act_ms", 1..=10_000).unwrap_or(20),
            drift_ppm,
            clocks_apart_ppm,
            number_ttl_ms: section.integer("number_ttl_ms", 500..=60_000),
            seats: section.flag("seats", false),
            restart,
            topic: section.has("topic").then(|| TopicSpec::read(&section.section("topic"))),
        }
    }
}
