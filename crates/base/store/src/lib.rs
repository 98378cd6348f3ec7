//! An embedded log-structured store for state that must survive a restart.
//!
//! A directory holds generations of one log. Each begins with a snapshot of the whole state and continues with batches, each in
//! one checksummed frame, so that a batch is present completely or not at all ([`frame`]). The state is an ordered map in
//! memory; readers hold a [`View`] of it that later writes do not change. Compaction writes the next generation and keeps the
//! previous one beside it, so that a generation truncated anywhere falls back to a committed state.
//!
//! The store is written against a small file-system trait ([`directory`]), so that tests can truncate, lose and reorder writes
//! under the real code. After a failed write or sync the store accepts no further writes: what the disk then holds is known only
//! to the next start.
#![forbid(unsafe_code)]

pub mod directory;
pub mod frame;
pub mod recovery;
mod store;
pub mod typed;

pub use frame::{Op, Table};
pub use recovery::RecoveryNote;
pub use store::{Batch, Compaction, Options, Store, StoreError, View, WrittenGeneration, generation_of_file};
pub use typed::{Key, Record, TypedError};
