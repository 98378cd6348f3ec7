//! The `rows:` and `verdicts:` sections of `fleet:`.

use std::time::Duration;

use beechloft_config_reader::Section;
use beechloft_gossip::Settings;
use beechloft_outlier_detection::DetectionSettings;

/// How verdicts are shared.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OutlierDetectionSettings {
    /// What a verdict needs, and how long it holds.
    pub rules: DetectionSettings,
    /// An attempt that took longer than this is slow.
    pub slow: Duration,
    /// The lease of trials, milliseconds.
    pub trial_ttl_ms: u32,
    /// For tests: this front says the contrary of what it has seen.
    pub test_lies: bool,
}

fn span(s: &Section<'_>, key: &'static str, default: Duration) -> Duration {
    s.millis(key, 1..=3_600_000).unwrap_or(default)
}

/// How rows are spread among so many fronts at most.
pub(super) fn gossip(s: &Section<'_>, fronts: usize, drift_ppm: u32) -> Settings {
    let default = Settings::default();
    let set = Settings {
        round_interval: span(s, "round_ms", default.round_interval),
        fanout: s.integer("peers", 1..=8).map_or(default.fanout, |n| n as usize),
        refresh_interval: span(s, "refresh_ms", default.refresh_interval),
        row_expiry: span(s, "forget_ms", default.row_expiry),
        max_bytes_per_second: s
            .integer("bytes_per_s", 4_096..=1 << 30)
            .map_or(default.max_bytes_per_second, |n| n as u32),
        max_drift_ppm: drift_ppm,
    };
    if let Err(why) = set.check(fronts) {
        s.report("round_ms", why.to_string());
    }
    set
}

/// How verdicts are shared where rows are around within `staleness`.
pub(super) fn outlier_detection(s: &Section<'_>, staleness: Duration) -> OutlierDetectionSettings {
    let default = DetectionSettings::default();
    let mut rules = default;
    rules.min_fronts = s.integer("fronts", 2..=64).map_or(default.min_fronts, |n| n as usize);
    rules.min_failures = s.integer("failures", 1..=1_000).map_or(default.min_failures, |n| n as u32);
    rules.max_ejection_per_mille =
        s.number("part", 0.01..=0.9).map_or(default.max_ejection_per_mille, |p| (p * 1_000.0) as u16);
    rules.window = span(s, "window_ms", default.window);
    rules.max_report_age = span(s, "fresh_ms", default.max_report_age);
    rules.ejection_time = span(s, "hold_ms", default.ejection_time);
    rules.probe_delay = span(s, "quiet_ms", default.probe_delay);
    rules.probe_retry_delay = span(s, "trial_gap_ms", default.probe_retry_delay);
    rules.probe_timeout = span(s, "trial_for_ms", default.probe_timeout);
    rules.probation_step = span(s, "step_ms", default.probation_step);
    if let Err(why) = rules.check(staleness) {
        s.report("window_ms", why.to_string());
    }
    OutlierDetectionSettings {
        rules,
        slow: span(s, "slow_ms", Duration::from_millis(500)),
        trial_ttl_ms: s.integer("trial_ttl_ms", 500..=3_600_000).unwrap_or(3_000) as u32,
        test_lies: s.choice("test_lies", &[("yes", true), ("no", false)]).unwrap_or(false),
    }
}
