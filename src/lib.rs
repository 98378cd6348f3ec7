//! beechloft decides for one session front who plays, on which media server and at what rung.
//!
//! [`policy::Policy`] is a pure state machine that turns events, each with its time, into actions. [`api`]
//! has the types of its interface.
#![forbid(unsafe_code)]

pub mod api;
mod bookkeeping;
mod invariants;
pub mod policy;
mod settings;
mod state;
