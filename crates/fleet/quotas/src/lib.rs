//! Limits that hold for all fronts together: sessions and kbit/s at once, set-ups and further attempts a second, of customers,
//! titles, classes, viewers, uplinks and boxes.
//!
//! A **hard** limit is never over: the [`Ledger`] is replicated state that holds the sum, a front holds a share under lease
//! ([`Front`]) and admits from it without asking. What a lost front admitted counts until it is proved to be over. A **soft** limit is kept by
//! parts that fronts tell each other by gossip ([`soft`]), and is over by at most a bound that follows from settings ([`bounds`]).
//!
//! There is no I/O here and no clock: whoever drives these machines passes the time in. `docs/limits.md` has the argument.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]
#![forbid(unsafe_code)]

mod admission;
pub mod bounds;
mod bucket;
pub mod define;
mod front;
mod gate;
mod ledger;
mod planted;
mod refusal;
pub mod soft;
pub mod tag;
mod tally;
mod times;
mod words;

pub use admission::{Stage, Subject, Taken};
pub use define::{Counts, Definition, Kind, Of, Rules};
pub use front::{Front, FrontInput, FrontOutput, FrontSettings, Standing};
pub use gate::{Gate, Permit};
pub use ledger::{Ledger, LedgerError, Orphan};
pub use planted::Fault;
pub use refusal::{No, Why};
pub use times::Times;
pub use words::{
    AccountId, Answer, Claim, Command, Event, FrontId, Heard, Key, Op, OrphanId, Request, Said, Told, Unable,
};
