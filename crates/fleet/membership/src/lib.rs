//! Who is there: membership of a fleet by probes, gossip and suspicion.
//!
//! SWIM (Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol", DSN
//! 2002) with Lifeguard (Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
//! Detection", DSN-W 2018): each member probes one other a period, by way of others if that one is silent; what is learned rides
//! on the probes; who is silent is suspected first and may refute it; who is slow itself suspects less. What gossip missed is
//! found by comparing digests of the two rosters, by parts, so that a period's bytes do not grow with the fleet.
//!
//! [`Swim`] has no I/O and goes by one monotonic clock of its own. It says who is believed to be there, and never more: nothing
//! that must hold (who acts, who counts) may rest on it. That is what leases are for.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]
#![forbid(unsafe_code)]

mod planted;
mod roster;
mod rumours;
mod suspicion;
mod swim;
mod sync;
mod words;

pub use planted::Fault;
pub use roster::{Life, Member, Roster};
pub use swim::{Counts, Input, Output, Swim};
pub use words::{About, Digests, Incarnation, Kind, MemberId, Packet, Rumour, Said, Zone, ZoneError};
