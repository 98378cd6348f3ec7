//! A scripted day: a fleet of stand-ins, several real fronts as processes, a crowd of players, and troubles with
//! times. What comes of it is checked from what players, boxes and the list service saw.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::missing_errors_doc, clippy::shadow_unrelated)]
#![forbid(unsafe_code)]

pub mod crowd;
pub mod fronts;
pub mod keepers;
pub mod run;
pub mod script;

pub use run::{DayError, run};
pub use script::{Day, parse};
