//! What meets in one instant at the front node's sockets, each order forced: bytes, FIN or RST lie in the kernel's buffers
//! before the turn that finds them.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::shadow_unrelated)]

mod clients;
mod ends;
mod phases;
mod servers;
mod stage;
