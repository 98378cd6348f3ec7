//! Limits that hold for all fronts together: concurrent sessions and kbit/s, and rates of set-ups and of further attempts, per
//! customer, title, class, viewer, uplink and media server.
//!
//! A **hard** limit is never exceeded: the [`Ledger`] is replicated state that holds the sum, and a front holds a share under a
//! lease ([`Front`]) and admits from it without a request. What a lost front admitted counts until it is proved to be over. A
//! **soft** limit is divided into shares that fronts report to each other by gossip ([`soft`]), and is exceeded by at most a bound
//! that follows from the settings ([`bounds`]).
//!
//! There is no I/O here and no clock: the caller passes the time. `docs/limits.md` has the argument.
#![forbid(unsafe_code)]

mod admission;
mod admission_controller;
pub mod bounds;
mod bucket;
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
mod tally;

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
