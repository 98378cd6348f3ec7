//! Runs scripted test days: a fleet of fake media servers, several real fronts as processes, simulated players, and timed
//! disruptions. The result is checked against what players, media servers and the endpoint list service observed.
#![allow(clippy::cast_possible_truncation, clippy::missing_errors_doc, clippy::shadow_unrelated)]
#![forbid(unsafe_code)]

pub mod coordinator;
pub mod fronts;
pub mod players;
pub mod run;
pub mod script;

pub use run::{DayError, run};
pub use script::{Day, parse};
