//! Overload: which new calls a front takes while more come than it can work off, and what it tells those who send them.
//!
//! Without I/O, clock or threads. [`control`] decides from how long new calls wait before the session controller says its first word
//! on them; [`neighbours`] judges who does what it was told; [`refused`] remembers what was rejected, so that a
//! repeated INVITE gets the same answer and costs no more; [`wire`] is the form of RFC 7339 in a `Via`.

pub mod control;
pub mod neighbours;
pub mod refused;
pub mod wire;

pub use control::{Control, Ruling};
pub use refused::Refused;
