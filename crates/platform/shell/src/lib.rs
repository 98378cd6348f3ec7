//! The front node on sockets: one thread, one poll loop around the state machine, bounds on everything.
//!
//! What has arrived is read before time-outs are looked at, so that a stall of this loop does not make media servers
//! look slow. Every choice of server, rung, retry, refusal and pace is the module's; what is decided here is which
//! socket carries what, and how long and how much of it.
#![forbid(unsafe_code)]

pub mod bounds;
#[doc(hidden)]
pub mod bus;
mod run;
mod servers;
mod stream;
mod viewers;

pub use run::{Control, Fleet, Shell, StartError};
