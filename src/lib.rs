//! beechloft decides, for one session front, who plays, on which streaming server and at what rung.
//!
//! [`policy::Policy`] is a pure state machine: it is fed events with the time at which they happened and
//! answers with actions. [`api`] holds every type that passes between it and whatever drives it.
#![forbid(unsafe_code)]

pub mod api;
mod bookkeeping;
mod invariants;
pub mod policy;
mod settings;
mod state;
