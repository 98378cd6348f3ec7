//! The front node as a state machine: sessions, attempts, answers owed, media servers, releases to come and the end
//! after SIGTERM, around the decision module, which it drives as the simulator's adapter does. No sockets, no clock, no threads: [`Node::handle`] takes the
//! time and an input and gives outputs. Every choice of server, rung, retry, refusal and pace is the module's.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]
#![forbid(unsafe_code)]

mod actions;
mod backoff;
mod directory;
pub mod io;
mod node;
mod releases;
mod servers;
mod session;
mod timers;
mod viewers;

pub use backoff::ExponentialBackoff;
pub use io::{AttemptFailure, Input, Output, ServerIncarnation, ViewerConnection};
pub use node::{Counts, Node, NodeLimits};
pub use releases::ConnectionUse;
