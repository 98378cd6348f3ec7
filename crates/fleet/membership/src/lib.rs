//! Group membership of a fleet, with failure detection by probes and dissemination by gossip.
//!
//! The protocol is SWIM (Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
//! Protocol", DSN 2002) with the Lifeguard extensions (Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More
//! Accurate Failure Detection", DSN-W 2018). Each member probes one other per protocol period, and falls back to indirect probes
//! if the target does not answer. Updates are piggybacked on the probes. A member that does not answer is suspected before it is
//! declared dead, and may refute the suspicion. A member that is slow itself waits longer before it suspects others.
//!
//! Anti-entropy repairs what dissemination missed. Two members compare digests of their member lists bucket by bucket, so that the
//! bytes sent per period do not grow with the fleet.
//!
//! [`Swim`] performs no I/O and uses a single monotonic clock, whose time its caller passes in. Its view of the fleet is eventually
//! consistent and may be wrong for minutes, so nothing that needs agreement may rely on it. Leases serve that purpose.
#![forbid(unsafe_code)]

mod anti_entropy;
mod broadcast_queue;
mod fault_injection;
pub mod hash;
mod identity;
mod member_list;
mod messages;
mod rate_limit;
mod suspicion;
mod swim;

pub use fault_injection::Fault;
pub use identity::{Incarnation, MemberId, MemberInfo, MemberKind, Zone, ZoneError};
pub use member_list::{Member, MemberList, MemberState};
pub use messages::{Digests, Message, Packet, Update};
pub use rate_limit::TokenBucket;
pub use swim::{Counters, Input, Output, Swim};
