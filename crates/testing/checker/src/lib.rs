//! Checks the balancer's six rules against a trace of what went over the sockets of players, media servers and the
//! endpoint list service. What a front reports about itself is never read.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]
#![forbid(unsafe_code)]

pub mod check;
pub mod report;
pub mod topic;
pub mod trace;

pub use check::{Rules, check};
pub use report::Report;
pub use trace::{Recorder, Seen, What};
