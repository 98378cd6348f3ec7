//! The front node as a state machine without sockets, clock and threads: [`Node::handle`] takes the time and an input and
//! returns outputs, which an event loop carries out.
//!
//! The machine holds sessions, attempts, pending answers and the incarnations of media servers around the policy, which
//! makes every choice of server, rung, retry, rejection and rate. `docs/node.md` describes the messages and the rules.
#![forbid(unsafe_code)]

mod backoff;
mod directory;
mod health_checks;
pub mod io;
mod node;
mod recent;
mod session;
mod shutdown;
mod timers;
mod viewer_connections;

pub use backoff::ExponentialBackoff;
pub use io::{AttemptFailure, Input, Output, ServerIncarnation, ViewerConnection};
pub use node::{Counts, Node, NodeLimits};
pub use viewer_connections::ConnectionUse;
