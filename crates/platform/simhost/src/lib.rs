//! The simulator's adapter: frames in, events to the module's instances, their actions out as frames.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::missing_errors_doc)]
#![forbid(unsafe_code)]

pub mod host;
pub mod wire;
