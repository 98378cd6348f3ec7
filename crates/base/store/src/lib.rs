//! A small store for what must survive a restart.
//!
//! A folder holds generations of one log. Each begins with the whole state at its birth and goes on with batches, each
//! in one checksummed frame, so that a batch is there whole or not at all ([`frame`]). The state is an ordered map in
//! memory; readers hold a [`View`] of it that no later write changes. Compaction writes the next generation and keeps
//! the last one beside it, so that a generation cut short anywhere falls back to a state that was committed.
//!
//! The store is written against a small file-system trait ([`fs`]), so that tests cut, lose and reorder under the real
//! code. A write or sync that failed stops the store for good: what the disk then holds is known to a new start alone.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::missing_errors_doc)]
#![forbid(unsafe_code)]

pub mod frame;
pub mod fs;
pub mod recovery;
mod store;
pub mod typed;

pub use frame::{Op, Table};
pub use recovery::Note;
pub use typed::{Key, Record, TypedError};

pub use store::{Batch, Compaction, Options, Store, StoreError, View, Written, generation_of};
