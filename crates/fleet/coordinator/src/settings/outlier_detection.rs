//! Settings of gossip and of outlier detection, read from the sections `fleet.rows` and `fleet.verdicts`.

use std::time::Duration;

use beechloft_config_reader::Section;
use beechloft_gossip::Settings;
use beechloft_outlier_detection::DetectionSettings;

use super::integer_u32;

const DEFAULT_SLOW_THRESHOLD: Duration = Duration::from_millis(500);
const DEFAULT_PROBE_LEASE_TTL_MS: u32 = 3_000;

/// The settings of outlier detection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OutlierDetectionSettings {
    /// The conditions and durations of ejections.
    pub rules: DetectionSettings,
    /// The duration above which an attempt is slow (`slow_ms`).
    pub slow_threshold: Duration,
    /// The time to live of the probe lease, milliseconds (`trial_ttl_ms`).
    pub probe_lease_ttl_ms: u32,
    /// For tests: whether this front reports the opposite of what it has observed (`test_lies`).
    pub test_inverts_reports: bool,
}

fn millis(section: &Section<'_>, key: &'static str, default: Duration) -> Duration {
    section.millis(key, 1..=3_600_000).unwrap_or(default)
}

/// Reads the settings of gossip. `max_fronts` is the maximum number of fronts.
pub(super) fn read_gossip(section: &Section<'_>, max_fronts: usize, drift_ppm: u32) -> Settings {
    let default = Settings::default();
    let settings = Settings {
        round_interval: millis(section, "round_ms", default.round_interval),
        fanout: integer_u32(section, "peers", 1..=8).map_or(default.fanout, |n| n as usize),
        refresh_interval: millis(section, "refresh_ms", default.refresh_interval),
        row_expiry: millis(section, "forget_ms", default.row_expiry),
        max_bytes_per_second: integer_u32(section, "bytes_per_s", 4_096..=1 << 30)
            .unwrap_or(default.max_bytes_per_second),
        max_drift_ppm: drift_ppm,
    };
    if let Err(error) = settings.check(max_fronts) {
        section.report("round_ms", error.to_string());
    }
    settings
}

/// Reads the settings of outlier detection. `staleness` is the maximum time until all fronts have a new version of a row.
pub(super) fn read(section: &Section<'_>, staleness: Duration) -> OutlierDetectionSettings {
    let default = DetectionSettings::default();
    let mut rules = default;
    rules.min_fronts = integer_u32(section, "fronts", 2..=64).map_or(default.min_fronts, |n| n as usize);
    rules.min_failures = integer_u32(section, "failures", 1..=1_000).unwrap_or(default.min_failures);
    #[expect(clippy::cast_possible_truncation, reason = "the range limits it to 900")]
    let per_mille = |part: f64| (part * 1_000.0) as u16;
    rules.max_ejection_per_mille =
        section.number("part", 0.01..=0.9).map_or(default.max_ejection_per_mille, per_mille);
    rules.window = millis(section, "window_ms", default.window);
    rules.max_report_age = millis(section, "fresh_ms", default.max_report_age);
    rules.ejection_time = millis(section, "hold_ms", default.ejection_time);
    rules.probe_delay = millis(section, "quiet_ms", default.probe_delay);
    rules.probe_retry_delay = millis(section, "trial_gap_ms", default.probe_retry_delay);
    rules.probe_timeout = millis(section, "trial_for_ms", default.probe_timeout);
    rules.probation_step = millis(section, "step_ms", default.probation_step);
    if let Err(error) = rules.check(staleness) {
        section.report("window_ms", error.to_string());
    }
    OutlierDetectionSettings {
        rules,
        slow_threshold: millis(section, "slow_ms", DEFAULT_SLOW_THRESHOLD),
        probe_lease_ttl_ms: integer_u32(section, "trial_ttl_ms", 500..=3_600_000)
            .unwrap_or(DEFAULT_PROBE_LEASE_TTL_MS),
        test_inverts_reports: section.choice("test_lies", &[("yes", true), ("no", false)]).unwrap_or(false),
    }
}
