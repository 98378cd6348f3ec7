//! Tests of the event bus client on sockets: which events it accepts, and when it requests events again.

mod disconnects;
mod harness;
mod malformed;
mod moves;
mod sequence;
mod slow_responses;
#[path = "../support/mod.rs"]
mod support;
mod suspicion;
mod texts;
