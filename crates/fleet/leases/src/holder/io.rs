//! Inputs and outputs of a holder.

use crate::message::{Rejection, Request, Response, Token};

/// State that a holder with an instance name passes to its successor. See [`Handoff`](crate::Handoff).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct HandoffOffer {
    /// Slot count that the holder used last.
    pub slot_count: u32,
    /// Time in milliseconds for which the holder's use of the slot still counts.
    pub remaining_ms: u32,
    /// Time in milliseconds for which the slot is reserved for the next holder of the instance.
    pub reserve_ms: u32,
}

/// Input of a holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HolderInput {
    /// Time has passed.
    Tick,
    /// The lease is to be acquired and kept renewed.
    Acquire,
    /// The lease is to be released. All use of it has stopped.
    Release,
    /// The slot is to be handed off to the next holder of the instance, or released if the holder has no instance name. All use
    /// of it has stopped permanently.
    HandOff(HandoffOffer),
    /// A response of a replica has arrived.
    Response(Response),
}

/// Output of a holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HolderOutput {
    /// The request is to be sent to the leading replica, or to any other replica if that one has not responded.
    Send(Request),
    /// The lease is held from now on.
    Acquired(Token),
    /// The lease is no longer held, because it has expired or a replica has reported that the grant has ended. All use of it
    /// must stop before anything else is done.
    Lost(Token),
    /// The lease cannot be acquired with this specification, now or later.
    Rejected(Rejection),
}
