//! Limits that hold over all fronts: concurrent sessions, their kbit/s, and rates of set-ups and of further attempts, per customer,
//! title, class, viewer, uplink and media server.
//!
//! A **hard** limit is never exceeded. The replicated [`Ledger`] holds the sum; a [`Front`] holds a share under a lease and admits
//! from it without a request. The share of a lost front counts until its sessions are known to have ended. A **soft** limit is
//! divided into shares that fronts report to each other by gossip ([`soft`]), and is exceeded by at most a bound that follows from
//! the settings ([`bounds`]).
//!
//! The crate does no I/O and reads no clock: the caller passes the time. `docs/limits.md` explains why the bounds hold.
#![forbid(unsafe_code)]

mod admission;
mod admission_controller;
pub mod bounds;
mod counter;
pub mod definition;
mod expiry_timers;
mod fault_injection;
mod front;
mod key;
mod ledger;
mod message;
mod refusal;
pub mod soft;
pub mod tag;
mod token_bucket;

pub use admission::{Reservation, Stage, Subject};
pub use admission_controller::{AdmissionController, Permit};
pub use definition::{Enforcement, LimitDefinition, QuotaParameters, Resource, Scope};
pub use expiry_timers::ExpiryTimers;
pub use fault_injection::Fault;
pub use front::{Front, FrontInput, FrontOutput, FrontSettings, ShareUsage};
pub use ledger::{Ledger, LedgerError, Orphan};
pub use message::{
    AccountId, Answer, Claim, Command, Event, FrontId, Key, Op, OrphanId, Rejection, Request, Response,
    ShareGrant, ShareReport,
};
pub use refusal::{Refusal, RefusalReason};
