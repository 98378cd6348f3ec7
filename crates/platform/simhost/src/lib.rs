//! The simulator's adapter: decodes frames into events for the policy's instances, and encodes their actions.
#![forbid(unsafe_code)]

pub mod host;
mod translation;
pub mod wire;
