//! The session front as a pure state machine around the policy.
//!
//! [`SessionController::handle`] takes what happened and when, and appends what is to be done. It has no socket, clock,
//! thread or random source, so that the front on sockets, a simulated clock, a fuzzer and a replay all drive the same
//! code.
//!
//! What the policy ([`beechloft::policy::Policy`]) decides, it decides here too: where a session goes, at which rung,
//! whether it is retried and when it is rejected. The controller adds what the policy leaves to a front: one answer
//! for each request ([`session`]), attempts that end once, sessions left behind on media servers ([`release`]), media
//! servers that are lost ([`liveness`]), filters on holders ([`holder_filter`]) and the merging of endpoint lists
//! ([`catalog`]).
#![forbid(unsafe_code)]

pub mod catalog;
mod controller;
pub mod holder_filter;
pub mod io;
pub mod liveness;
pub mod release;
pub mod session;

pub use crate::controller::{Exchange, SessionController};
pub use crate::io::{Answer, Input, Output};
pub use beechloft::api;
