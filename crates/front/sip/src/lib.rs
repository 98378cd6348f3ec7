//! The subset of SIP (RFC 3261) that the session front needs, without sockets, a clock or a source of randomness.
//!
//! [`message`] parses messages within bounds by means of a third-party parser, and builds responses. [`framing`] splits a
//! byte stream into messages. [`transaction`] implements the four state machines of section 17 with the corrections of RFC
//! 6026, and a bounded table of transactions that is driven by messages and by time. [`dialog`] is the state of a dialog.
//! [`caller`] and [`callee`] are the two legs of a call, and [`established`] refreshes and changes an established call at its
//! media server. The back-to-back user agent in [`agent`] connects both legs to the session controller.
#![forbid(unsafe_code)]

pub mod admission;
pub mod agent;
pub mod callee;
pub mod caller;
pub mod dialog;
pub mod established;
pub mod framing;
pub mod message;
pub mod overload;
pub mod timer;
pub mod transaction;

pub use message::{Message, Method, Request, Response};
