//! The sections `fleet.rows` (gossip) and `fleet.verdicts` (outlier detection).

use std::time::Duration;

use beechloft_config_reader::Section;
use beechloft_gossip::Settings;
use beechloft_outlier_detection::DetectionSettings;

use super::integer_u32;

/// The settings of outlier detection.
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

fn millis(s: &Section<'_>, key: &'static str, default: Duration) -> Duration {
    s.millis(key, 1..=3_600_000).unwrap_or(default)
}

/// How rows are spread among so many fronts at most.
pub(super) fn gossip(s: &Section<'_>, fronts: usize, drift_ppm: u32) -> Settings {
    let default = Settings::default();
    let set = Settings {
        round_interval: millis(s, "round_ms", default.round_interval),
        fanout: integer_u32(s, "peers", 1..=8).map_or(default.fanout, |n| n as usize),
        refresh_interval: millis(s, "refresh_ms", default.refresh_interval),
        row_expiry: millis(s, "forget_ms", default.row_expiry),
        max_bytes_per_second: integer_u32(s, "bytes_per_s", 4_096..=1 << 30)
            .unwrap_or(default.max_bytes_per_second),
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
    rules.min_fronts = integer_u32(s, "fronts", 2..=64).map_or(default.min_fronts, |n| n as usize);
    rules.min_failures = integer_u32(s, "failures", 1..=1_000).unwrap_or(default.min_failures);
    #[expect(clippy::cast_possible_truncation, reason = "900 at most by its range")]
    let per_mille = |part: f64| (part * 1_000.0) as u16;
    rules.max_ejection_per_mille =
        s.number("part", 0.01..=0.9).map_or(default.max_ejection_per_mille, per_mille);
    rules.window = millis(s, "window_ms", default.window);
    rules.max_report_age = millis(s, "fresh_ms", default.max_report_age);
    rules.ejection_time = millis(s, "hold_ms", default.ejection_time);
    rules.probe_delay = millis(s, "quiet_ms", default.probe_delay);
    rules.probe_retry_delay = millis(s, "trial_gap_ms", default.probe_retry_delay);
    rules.probe_timeout = millis(s, "trial_for_ms", default.probe_timeout);
    rules.probation_step = millis(s, "step_ms", default.probation_step);
    if let Err(why) = rules.check(staleness) {
        s.report("window_ms", why.to_string());
    }
    OutlierDetectionSettings {
        rules,
        slow: millis(s, "slow_ms", Duration::from_millis(500)),
        trial_ttl_ms: integer_u32(s, "trial_ttl_ms", 500..=3_600_000).unwrap_or(3_000),
        test_lies: s.choice("test_lies", &[("yes", true), ("no", false)]).unwrap_or(false),
    }
}
