//! Raft consensus algorithm as a state machine without I/O.
//!
//! [`Raft::handle`] takes the current time and an [`Input`] and adds its outputs to [`PendingOutputs`]. The crate uses no
//! sockets, clocks, threads or files.
//!
//! The implementation follows Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (USENIX ATC 2014), and
//! Ongaro's dissertation "Consensus: Bridging Theory and Practice" (Stanford 2014). Section numbers in comments refer to the
//! dissertation, unless they say "paper". It covers elections with a pre-vote (9.6), leaders that step down without a quorum
//! (6.2), leadership transfer (3.10), learners (4.2.1), membership changes of one server at a time (4.1, with the amendment that
//! a leader first commits an entry of its own term), snapshots (5) and linearizable reads without a log write (6.4).
//!
//! Types enforce that state is durable before any output that depends on it is released. Messages, committed entries and results
//! are held back in [`PendingOutputs`]. The only way to obtain them is [`PendingOutputs::persist`], which first saves the
//! [`StateUpdate`] to the [`Storage`].
//!
//! A node is identified by its storage, not by its address, because its id is drawn when the storage is created. A node whose
//! storage is lost must never return under its old id. It joins as a new node, and the lost one is removed.
#![forbid(unsafe_code)]

mod entry;
mod error;
mod fault_injection;
mod ids;
mod log;
mod membership;
mod message;
mod output;
mod raft;
mod settings;
mod snapshot_data;
mod storage;

pub use entry::{Entry, Payload, Snapshot};
pub use error::RequestError;
pub use fault_injection::Fault;
pub use ids::{Index, LogPosition, NodeId, RequestId, Term};
pub use membership::{Member, Membership, MembershipChange, MembershipChangeError};
pub use message::{AppendResult, Message, MessageBody};
pub use output::{PendingOutputs, Reads, Ready};
pub use raft::{FollowerStatus, Input, Raft, Role, Status};
pub use settings::Settings;
pub use snapshot_data::{Chunk, ChunkId, MAX_CHUNK_BYTES, MAX_CHUNKS, SnapshotData};
pub use storage::{HardState, PersistentState, StateUpdate, Storage};
