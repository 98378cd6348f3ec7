//! The session front as a pure state machine around the decision module.
//!
//! [`Core::handle`] takes what happened and when, and appends what is to be done. It has no socket, clock, thread or
//! random source, so that the front on sockets, a simulated clock, a fuzzer and a replay all drive the same code.
//!
//! What the module ([`beechloft::policy::Policy`]) decides, it decides here too: where a session goes, at which rung,
//! whether it is tried again and when it is turned away. The core adds what the module leaves to a front: one answer
//! for each request ([`session`]), attempts that end once, sessions left behind on boxes ([`release`]), boxes that
//! are lost ([`watch`]) and the merging of lists ([`catalog`]).
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::shadow_unrelated, clippy::wildcard_imports)]
#![forbid(unsafe_code)]

pub mod catalog;
mod core;
pub mod io;
pub mod narrow;
pub mod release;
pub mod session;
pub mod watch;

pub use crate::core::{Core, Exchanged};
pub use crate::io::{Answer, Input, Output};
pub use beechloft::api;
