//! Inputs and outputs of a holder.

use crate::message::{Rejection, Request, Response, Token};

/// What a holder that has an instance name hands off with its slot. See [`Handoff`](crate::Handoff).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct HandoffOffer {
    /// The slot count that it last used.
    pub slot_count: u32,
    /// For how long its use of the slot still counts, milliseconds.
    pub remaining_ms: u32,
    /// For how long the slot is reserved for the next holder of the instance, milliseconds.
    pub reserve_ms: u32,
}

/// An input of a holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HolderInput {
    /// Time has passed.
    Tick,
    /// Acquire the lease and keep it renewed.
    Acquire,
    /// Release the lease. Whoever used it has stopped.
    Release,
    /// Hand the slot off to the next holder of the instance; release it, if the holder has no instance name. Whoever used it
    /// has stopped for good.
    HandOff(HandoffOffer),
    /// A response of a replica.
    Response(Response),
}

/// An output of a holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HolderOutput {
    /// Send a request to the leading replica, or to any other if that one has not responded.
    Send(Request),
    /// The lease is held from now on.
    Acquired(Token),
    /// The lease is no longer held, because its time has passed or a replica has said so. Its use must stop before anything
    /// else is done.
    Lost(Token),
    /// The lease can't be acquired with this specification, now or later.
    Rejected(Rejection),
}
