//! Overload control: which new calls a front accepts while it can't process all, and the feedback to those who send them.
//!
//! This module has no I/O, clock or threads. [`control`] decides from the time that new calls wait until the session
//! controller first responds. [`neighbours`] checks who follows the feedback. [`rejections`] remembers rejections, so that a
//! retransmitted INVITE gets the same response at no further cost. [`wire`] encodes the parameters of RFC 7339 in a `Via`.

pub mod control;
pub mod neighbours;
pub mod rejections;
pub mod wire;

pub use control::{Control, Decision};
pub use rejections::RejectionCache;
