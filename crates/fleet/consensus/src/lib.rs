//! A replicated log as a state machine without I/O: [`Raft::handle`] takes the time and an input and adds to
//! [`PendingOutputs`]. No sockets, no clock, no threads, no files.
//!
//! From Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (USENIX ATC 2014), and Ongaro's
//! dissertation "Consensus: Bridging Theory and Practice" (Stanford 2014), in our own words: elections with a pre-vote (9.6)
//! and leaders that step down without a quorum (6.2), leadership transfer (3.10), learners before voters (4.2.1),
//! changes of one member at a time (4.1, with the amendment that a leader first commits an entry of its own term), snapshots
//! (5), linearizable reads without a log write (6.4).
//!
//! What must last before anything that depends on it goes out is so by type: messages, committed entries and answers lie in
//! [`PendingOutputs`] and come out of [`PendingOutputs::commit`] alone, which has the [`Storage`] take the [`StateUpdate`] first.
//!
//! A member is a disk, not an address: its id is drawn with its folder, and one whose disk is lost never comes back under
//! its old id. It joins as a new member, and the lost one is removed.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::missing_errors_doc, clippy::shadow_unrelated)]
#![forbid(unsafe_code)]

mod election;
mod fault_injection;
mod follower;
mod ids;
mod leader;
mod log;
mod membership;
mod message;
mod outputs;
mod progress;
mod raft;
mod rope;
mod types;

pub use fault_injection::Fault;
pub use log::PersistentState;
pub use membership::{Member, Membership, MembershipChange, MembershipChangeError};
pub use message::{AppendResult, Message, MessageBody};
pub use outputs::{HardState, PendingOutputs, Reads, Ready, StateUpdate, Storage};
pub use raft::{Input, Raft, Role, Status};
pub use rope::{Chunk, ChunkId, MAX_CHUNK_BYTES, MAX_CHUNKS, SnapshotData};
pub use types::{
    Entry, Index, LogPosition, NodeId, Payload, RequestError, RequestId, Settings, Snapshot, Term,
};
