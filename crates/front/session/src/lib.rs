//! The session front as a state machine without I/O.
//!
//! [`SessionController::handle`] takes an input with its time and appends the outputs that follow from it. It has no
//! sockets, clock, threads or random source, so that the front on sockets, a simulated clock, a fuzzer and a replay all
//! drive the same code.
//!
//! The policy ([`beechloft::policy::Policy`]) decides where a session goes, at which rung, whether it is retried and when
//! it is rejected. The controller does the rest: it gives exactly one answer to each request and runs at most one
//! attempt of a session at a time ([`session`]), ends orphaned sessions at media servers ([`release`]), detects lost
//! media servers ([`liveness`]), filters the holders of titles ([`holder_filter`]) and merges updates of the endpoint
//! list ([`catalog`]).
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
