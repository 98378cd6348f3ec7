//! Settings of outlier detection.

use std::time::Duration;

use thiserror::Error;

use crate::fault_injection::Fault;

/// Fronts that must find a server failing besides one that may lie.
const MIN_FRONTS: usize = 2;

/// What an ejection needs, and how it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DetectionSettings {
    /// Fronts, in two zones, that must find a server failing when any one front is not counted.
    pub min_fronts: usize,
    /// Failures that all those fronts together must have seen, at most three of each.
    pub min_failures: u32,
    /// Maximum part of a zone's capacity that is ejected, and of a title's ready holders, in thousandths.
    pub max_ejection_per_mille: u16,
    /// How long attempts are counted.
    pub window: Duration,
    /// Older reports are ignored.
    pub max_report_age: Duration,
    /// An ejection ends this long after the server was last detected as an outlier.
    pub ejection_time: Duration,
    /// From the last detection to the first probe: the window, and until all other fronts know that it has passed.
    pub probe_delay: Duration,
    /// From a failed probe to the next one in the fleet.
    pub probe_retry_delay: Duration,
    /// How long a probe waits for an attempt.
    pub probe_timeout: Duration,
    /// Fronts whose probes must succeed.
    pub required_probes: usize,
    /// How long each step of probation takes.
    pub probation_step: Duration,
    /// A fault that a test injected.
    pub(crate) fault: Option<Fault>,
}

impl Default for DetectionSettings {
    fn default() -> DetectionSettings {
        DetectionSettings {
            min_fronts: MIN_FRONTS,
            min_failures: 4,
            max_ejection_per_mille: 500,
            window: Duration::from_secs(10),
            max_report_age: Duration::from_secs(6),
            ejection_time: Duration::from_secs(60),
            probe_delay: Duration::from_secs(16),
            probe_retry_delay: Duration::from_secs(10),
            probe_timeout: Duration::from_secs(8),
            required_probes: 2,
            probation_step: Duration::from_secs(5),
            fault: None,
        }
    }
}

/// Settings under which outlier detection can't work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// One front alone could have a server ejected.
    #[error("fewer than {MIN_FRONTS} fronts besides one that may lie")]
    MinFronts,
    /// Reports would be too old before they reach all fronts.
    #[error("evidence is fresh for {max_report_age:?}, and comes around in {staleness:?}")]
    MaxReportAge {
        /// As set.
        max_report_age: Duration,
        /// The minimum.
        staleness: Duration,
    },
    /// Probes would be judged by attempts before them.
    #[error("probes after {probe_delay:?}, and earlier attempts count for {min:?}")]
    ProbeDelay {
        /// As set.
        probe_delay: Duration,
        /// The minimum.
        min: Duration,
    },
    /// An ejection would end before the first probe.
    #[error("ejections last {ejection_time:?}, and the first probe is after {probe_delay:?}")]
    EjectionTime {
        /// As set.
        ejection_time: Duration,
        /// The minimum, exclusive.
        probe_delay: Duration,
    },
}

impl DetectionSettings {
    /// Checks the settings for a fleet in which reports reach all fronts within `staleness`.
    ///
    /// # Errors
    /// Outlier detection can't work with them.
    pub fn check(&self, staleness: Duration) -> Result<(), SettingsError> {
        let (max_report_age, probe_delay, ejection_time) =
            (self.max_report_age, self.probe_delay, self.ejection_time);
        let min = self.window + staleness;
        if self.min_fronts < MIN_FRONTS {
            Err(SettingsError::MinFronts)
        } else if max_report_age < staleness {
            Err(SettingsError::MaxReportAge { max_report_age, staleness })
        } else if probe_delay < min {
            Err(SettingsError::ProbeDelay { probe_delay, min })
        } else if ejection_time <= probe_delay {
            Err(SettingsError::EjectionTime { ejection_time, probe_delay })
        } else {
            Ok(())
        }
    }

    /// Injects a fault.
    #[cfg(feature = "planted")]
    pub fn inject_fault(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    pub(crate) fn has_fault(&self, fault: Fault) -> bool {
        cfg!(feature = "planted") && self.fault == Some(fault)
    }
}
