//! Stand-ins for what a front meets on its sockets: boxes, the list service, players. They are written from the
//! published texts, run on loopback, record what they see, and fail when told to.
//!
//! Figures measured against them are figures of simulated servers.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::missing_errors_doc, clippy::shadow_unrelated)]
#![forbid(unsafe_code)]

pub mod boxes;
pub mod caller;
pub mod control;
pub mod dice;
pub mod fault;
pub mod fleet;
pub mod link;
pub mod list;
pub mod media;
pub mod offer;
pub mod player;
pub mod resource;
mod sessions;
pub mod topic;
pub mod trunk;
