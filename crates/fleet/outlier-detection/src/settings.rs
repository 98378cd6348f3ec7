//! Settings of outlier detection.

use std::time::Duration;

use thiserror::Error;

use crate::fault_injection::Fault;

/// Minimum number of fronts that must find a server failing, besides one that may report falsely.
const MIN_FRONTS: usize = 2;

/// Thresholds and durations of detection, ejection and probing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DetectionSettings {
    /// Number of fronts, in at least two zones, that must find a server failing when any one front is not counted.
    pub min_fronts: usize,
    /// Number of failures that those fronts together must have observed. At most three failures count per front.
    pub min_failures: u32,
    /// Maximum fraction of a zone's capacity that is ejected, and of the servers that are ready to play a title, in thousandths.
    pub max_ejection_per_mille: u16,
    /// Time for which an attempt is counted.
    pub window: Duration,
    /// Age above which a report is ignored.
    pub max_report_age: Duration,
    /// Time from the last detection of a server as an outlier until its ejection expires.
    pub ejection_time: Duration,
    /// Time from the last detection of a server to its first probe. It covers the window and the time until all other fronts have
    /// reports without the attempts in it.
    pub probe_delay: Duration,
    /// Time from a failed probe to the next probe in the fleet.
    pub probe_retry_delay: Duration,
    /// Time that a probe waits for an attempt.
    pub probe_timeout: Duration,
    /// Number of fronts whose probes must succeed to end an ejection.
    pub required_probes: usize,
    /// Duration of each step of a probation.
    pub probation_step: Duration,
    /// Fault that a test injected.
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

/// Error of settings with which outlier detection cannot work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// A single front could have a server ejected.
    #[error("an ejection must require at least {MIN_FRONTS} fronts besides one that may report falsely")]
    MinFronts,
    /// Reports would expire before they reach all fronts.
    #[error("reports expire after {max_report_age:?}, but take up to {staleness:?} to reach all fronts")]
    MaxReportAge {
        /// The configured maximum age.
        max_report_age: Duration,
        /// The minimum of that age: the time that a report takes to reach all fronts.
        staleness: Duration,
    },
    /// Attempts from before a probe would count for its result.
    #[error("the first probe is sent after {probe_delay:?}, but earlier attempts count for up to {min:?}")]
    ProbeDelay {
        /// The configured delay.
        probe_delay: Duration,
        /// The minimum delay.
        min: Duration,
    },
    /// An ejection would end before the first probe.
    #[error("ejections expire after {ejection_time:?}, but the first probe is sent after {probe_delay:?}")]
    EjectionTime {
        /// The configured duration of an ejection.
        ejection_time: Duration,
        /// The delay of the first probe, which the duration must exceed.
        probe_delay: Duration,
    },
}

impl DetectionSettings {
    /// Checks the settings for a fleet in which reports reach all fronts within `staleness`.
    ///
    /// # Errors
    /// Returns the first setting with which outlier detection cannot work.
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

    /// Injects a fault for a test.
    #[cfg(feature = "planted")]
    pub fn inject_fault(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    pub(crate) fn has_fault(&self, fault: Fault) -> bool {
        cfg!(feature = "planted") && self.fault == Some(fault)
    }
}
