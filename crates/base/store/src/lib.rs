//! An embedded log-structured store for state that must survive a restart.
//!
//! A directory contains generations of one log. A generation begins with a snapshot of the whole state, and batches follow. Each
//! batch is one frame with a checksum, so that it is present completely or not at all ([`frame`]). The state is an ordered map
//! in memory, and readers hold a [`View`] of it that later writes do not change. Compaction writes the next generation and
//! retains the previous one, so that recovery falls back to a committed state if the newest generation is truncated anywhere.
//!
//! The store accesses files through a small trait ([`directory`]), so that tests can truncate, lose and reorder its writes. After
//! a failed write or sync the store accepts no further writes, because only the next start can determine what the disk contains.
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
