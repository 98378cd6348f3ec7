//! Replicated leases that limit how many processes run a task concurrently.
//!
//! A lease (Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency", SOSP
//! 1989) is granted for a time to live (TTL) and renewed before it expires. [`Table`] is the state machine that consensus
//! replicates. It has no clock: the leading replica (`beechloft_replica`) measures TTLs and proposes expiries.
//! [`Holder`] acquires and renews a lease and issues [`Permit`]s, which must be checked right before each protected operation.
//! Each grant has a fencing [`Token`] that is greater than the tokens of all earlier grants. A protected resource rejects any
//! token lower than the highest one that it has seen.
//!
//! The protocol uses no wall clocks and never compares readings of different clocks. [`DriftBound`] bounds how far clock rates
//! differ. A holder measures the TTL from before it sent its request, and a replica measures it from after the commit, so the
//! holder's measurement always ends first. `docs/fleet.md` has the full argument.
#![forbid(unsafe_code)]

mod drift_bound;
mod fault_injection;
mod holder;
mod leader_locator;
mod message;
mod name;
mod slot_assignment;
mod table;

pub use drift_bound::DriftBound;
pub use fault_injection::Fault;
pub use holder::{HandoffOffer, Holder, HolderInput, HolderOutput, LeaseSpec, LeaseSpecError, Permit};
pub use leader_locator::LeaderLocator;
pub use message::{
    Answer, Command, GrantPosition, Handoff, HolderId, InstanceGrant, Op, Rejection, ReplicaId, Request,
    Response, Succession, Token,
};
pub use name::{MAX_NAME_LEN, Name, NameError};
pub use slot_assignment::{SlotAssignment, SlotShare, StoppedUse};
pub use table::{Applied, Event, Grant, GrantEntry, Table, TableError};
