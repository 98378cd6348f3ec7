//! Settings, inputs and outputs of a front.

use std::time::Duration;

use beechloft_leases::{DriftBound, Name};

use crate::definition::{LimitDefinition, QuotaParameters};
use crate::message::{AccountId, Claim, FrontId, Request, Response};
use crate::soft::SoftShares;

/// Settings of a front.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct FrontSettings {
    /// Parameters of all limits.
    pub rules: QuotaParameters,
    /// The drift bound of clocks.
    pub drift: DriftBound,
    /// Each of its sessions has a tag at its media server, by which the sessions that it leaves can be counted.
    pub tagged: bool,
    /// Seed of random numbers.
    pub seed: u64,
}

/// An input of a front.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrontInput {
    /// Time has passed.
    Tick,
    /// A response of a replica.
    Response(Response),
    /// Open an account, even if no limit is known.
    Start,
    /// Define a limit of the settings; it is declared to the ledger, unless one of its name is known.
    Define(LimitDefinition),
    /// Remove a limit, as of a version.
    Undefine(Name, u64),
    /// Another front's report of soft shares, and its maximum age.
    SoftShares(FrontId, SoftShares, Duration),
    /// Stop admission and close the account; sessions in progress continue.
    Close,
}

/// An output of a front.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrontOutput {
    /// Send a request to the leading replica, or to any other if that one has not responded.
    Send(Request),
    /// The account is open.
    Opened(AccountId),
    /// The account is lost: nobody is admitted under hard limits.
    Lost(AccountId),
    /// The account is closed; the process may end.
    Closed,
    /// Report these soft shares to all fronts.
    SoftShares(SoftShares),
}

/// A share and its use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareUsage {
    /// The claim.
    pub claim: Claim,
    /// The share, in units.
    pub share: u64,
    /// Units in use.
    pub used: u64,
}
