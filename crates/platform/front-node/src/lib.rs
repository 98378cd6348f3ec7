//! The front node as a state machine without sockets, a clock or threads.
//!
//! [`Node::handle`] takes the current time and an input, and returns the outputs that the event loop carries out. The
//! state machine tracks sessions, attempts, pending answers and the incarnations of media servers. The policy inside
//! it makes every choice of media server, rung, retry, rejection and rate. `docs/node.md` describes the messages and
//! the rules.
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
