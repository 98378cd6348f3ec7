//! The front node on sockets: one thread, one poll loop around the state machine, bounds on everything.
//!
//! What has arrived is read before time-outs are looked at, so that a stall of this loop does not make media servers
//! look slow. Every choice of server, rung, retry, refusal and pace is the module's; what is decided here is which
//! socket carries what, and how long and how much of it.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::missing_errors_doc, clippy::shadow_unrelated)]
#![forbid(unsafe_code)]

pub mod bounds;
#[doc(hidden)]
pub mod bus;
mod ending;
mod fleet;
mod run;
mod servers;
mod start;
mod stream;
mod time;
mod viewers;

pub use fleet::Fleet;
pub use run::{Goes, Moment, Shell};
pub use start::{Control, StartError};
