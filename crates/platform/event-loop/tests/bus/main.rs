//! What the watch on the event bus believes, and when it asks again, on real sockets.

mod broken;
mod doubts;
mod moves;
mod numbers;
mod rig;
mod unreadable;
