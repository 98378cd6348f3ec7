//! What the watch on the event bus believes, and when it asks again, on real sockets.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::shadow_unrelated)]

mod broken;
mod doubts;
mod moves;
mod numbers;
mod rig;
mod unreadable;
