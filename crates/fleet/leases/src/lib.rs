//! Leases on tasks that at most a given number of processes may run at a time, agreed on by a group of replicas.
//!
//! A lease (Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency", SOSP
//! 1989) is granted for a time to live (TTL) and renewed before it expires. [`Table`] is the state machine that consensus
//! replicates. It has no clock: the leading replica (`beechloft_replica`) measures TTLs and proposes expiries.
//! [`Holder`] acquires and renews a lease and issues [`Permit`]s, which must be checked right before each protected operation.
//! Each grant has a fencing [`Token`], above those of all earlier grants; a protected resource refuses a token lower than one it
//! has seen.
//!
//! Wall clocks are not used and readings of different clocks are never compared: [`DriftBound`] bounds how far clock rates
//! differ, a holder measures from before it sent its request and a replica from after the commit. `docs/fleet.md` has the
//! argument.
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
