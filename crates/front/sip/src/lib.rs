//! SIP (RFC 3261) as the session front needs it, without sockets, clock or randomness of its own.
//!
//! [`message`] reads what comes from outside behind bounds, with a kept parser, and builds answers. [`framing`] cuts a
//! byte stream into messages. [`transaction`] holds the four state machines of section 17 with the corrections of RFC
//! 6026, and a bounded table of them that is driven by messages and by time. [`dialog`] is what both sides of a call
//! remember; [`caller`] and [`callee`] are the two legs of a call, [`standing`] is what a
//! call that stands still asks of its media server; both legs the back-to-back user agent in
//! [`agent`] ties to the front's core.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::missing_errors_doc, clippy::shadow_unrelated)]
#![forbid(unsafe_code)]

pub mod admission;
pub mod agent;
pub mod callee;
pub mod caller;
pub mod dialog;
pub mod framing;
pub mod message;
pub mod overload;
pub mod standing;
pub mod timer;
pub mod transaction;

pub use message::{Message, Method, Request, Response};
