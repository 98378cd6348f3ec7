//! The client of the event bus on real sockets: which events it accepts, and when it requests them again.

mod disconnects;
mod harness;
mod malformed;
mod moves;
mod sequence;
#[path = "../support/mod.rs"]
mod support;
mod suspicion;
mod texts;
