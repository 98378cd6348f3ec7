//! The six rules, checked from a trace of what went over the sockets: at players, at boxes and at the list service.
//! A front's own word is never read.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]
#![forbid(unsafe_code)]

pub mod check;
pub mod report;
pub mod topic;
pub mod trace;

pub use check::{Rules, check};
pub use report::Report;
pub use trace::{Recorder, Seen, What};
