//! Outlier detection of media servers from what all fronts have observed.
//!
//! [`AttemptWindow`] counts the outcomes of this front's own attempts in a sliding window. Its [`Report`] is disseminated to the
//! other fronts. [`FrontReports`] merges the reports of all fronts; reordering, duplication and loss do no harm. [`detect_outliers`]
//! is a pure function of those reports: fronts that have the same reports detect the same outliers. [`OutlierDetector`] ejects
//! outliers, lets ejections expire, has ejected servers probed by whoever holds the lease for it, and lets servers back in steps.
//!
//! The terms are those of Envoy's and gRPC's outlier detection. `docs/outlier-detection.md` compares the alternatives and derives
//! the bounds. Nothing here has I/O, a clock or threads.
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
