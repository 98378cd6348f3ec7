//! The simulator's adapter: frames in, events to the module's instances, their actions out as frames.
#![forbid(unsafe_code)]

pub mod host;
mod translation;
pub mod wire;
