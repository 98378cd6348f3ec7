//! Titles that their customers pin to regions: decision logic with state and rules, without I/O.
//!
//! [`Placements`] is the state that consensus replicates: requests are admitted as a whole, and each step of a copy's life is a command.
//! [`Worker`] does the work under a lease: it proposes steps and gives orders to boxes, and keeps nothing that a successor would miss.
//! [`Disk`] is a box's side of it. [`View`] is a front's: which boxes a title may be played by, and the right to go by that.
//! `docs/placement.md` has the rules and their arguments.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated, clippy::wildcard_imports)]
#![forbid(unsafe_code)]

pub mod boxes;
pub mod front;
pub mod plan;
mod planted;
pub mod state;
pub mod words;
pub mod worker;

pub use boxes::Disk;
pub use front::{Offer, View};
pub use planted::Fault;
pub use state::{Placements, Rights};
pub use words::answers::{Answer, Event, Outcome, Reason, Record, Renewed};
pub use words::commands::{Change, Command, Operate, Quota, Renew, Rules, Step, What};
pub use words::names;
pub use words::request::{Request, Room};
pub use words::shard::Titles;
pub use worker::Worker;
