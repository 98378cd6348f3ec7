//! The front node's protocol, without I/O: both framings as incremental decoders with bounds, typed messages,
//! causes, load reports, the configuration and the events of the event bus. Malformed input is an error value.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::missing_errors_doc, clippy::shadow_unrelated)]
#![forbid(unsafe_code)]

pub mod binary;
pub mod bus;
pub mod cause;
pub mod config;
pub mod figures;
pub mod id;
pub mod lines;
pub mod load;
pub mod server;
pub mod viewer;

pub use cause::Cause;
pub use id::CallId;

/// A message holds at most so many bytes, in either framing.
pub const MAX_MESSAGE: usize = 16 * 1024;
