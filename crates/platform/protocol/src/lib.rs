//! The front node's protocol without I/O: both framings as incremental, bounded decoders, typed messages, release causes,
//! load reports, the configuration and the events of the event bus.
//!
//! Malformed input is an error value, never a panic, and no decoder holds more than one message beyond what it was given.
//! `docs/node.md` describes the messages.
#![forbid(unsafe_code)]

pub mod attributes;
pub mod binary;
pub mod bus;
pub mod cause;
pub mod config;
pub mod id;
pub mod lines;
pub mod load;
pub mod server;
pub mod viewer;

pub use cause::Cause;
pub use id::CallId;

/// The maximum size of a message in bytes, in either framing.
pub const MAX_MESSAGE: usize = 16 * 1024;
