//! Outlier detection of media servers from the observations of all fronts.
//!
//! - [`AttemptWindow`] counts the outcomes of this front's own attempts in a sliding window. Gossip disseminates its [`Report`] to
//!   the other fronts.
//! - [`FrontReports`] merges the reports of all fronts. Reordering, duplication and loss of reports do no harm.
//! - [`detect_outliers`] is a pure function of the merged reports, so fronts that have the same reports detect the same outliers.
//! - [`OutlierDetector`] ejects outliers and lets ejections expire. The front that holds the probe lease probes ejected servers. A
//!   server whose ejection ends is readmitted in steps, its probation.
//!
//! The terms are those of Envoy's and gRPC's outlier detection. `docs/outlier-detection.md` compares the alternatives and derives
//! the bounds. The crate performs no I/O, reads no clock and starts no threads.
#![forbid(unsafe_code)]

mod attempt_window;
mod detection;
mod ejection;
mod fault_injection;
mod front_reports;
mod report;
mod settings;

pub use attempt_window::{Attempt, AttemptWindow, Outcome};
pub use detection::{
    Outlier, ServerLocation, ServerLocations, TitleAtServer, detect_outliers, detect_title_outliers,
    detect_viewer_outliers,
};
pub use ejection::{EjectionEvent, Evaluation, Exclusion, OutlierDetector};
pub use fault_injection::Fault;
pub use front_reports::{FrontId, FrontReport, FrontReports};
pub use report::{
    AttemptCounts, MAX_REPORT_BYTES, Report, ReportError, ServerInstance, ServerReport, TitleReport,
    ViewerReport, title_key,
};
pub use settings::{DetectionSettings, SettingsError};
