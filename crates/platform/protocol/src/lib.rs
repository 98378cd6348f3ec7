//! The front node's protocols without I/O.
//!
//! The crate has incremental, bounded decoders for both framings, typed messages, release causes, load reports, the
//! configuration and the events of the event bus. Malformed input results in an error value and never in a panic. A
//! decoder buffers at most one incomplete message beyond the bytes of the last call. `docs/node.md` describes the
//! messages.
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

/// Maximum size of a message in either framing.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
