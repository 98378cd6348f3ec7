//! Settings, inputs and outputs of a front.

use std::time::Duration;

use beechloft_leases::{DriftBound, Name};

use crate::definition::{LimitDefinition, QuotaParameters};
use crate::message::{AccountId, Claim, FrontId, Request, Response};
use crate::soft::SoftShares;

/// Settings of a front.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct FrontSettings {
    /// Parameters that all limits share.
    pub parameters: QuotaParameters,
    /// The drift bound of the clocks of fronts and replicas.
    pub drift: DriftBound,
    /// Whether each of the front's sessions has a tag at its media server, by which sessions that it leaves can be counted.
    pub tagged: bool,
    /// Seed of random numbers.
    pub seed: u64,
}

/// An input of a front.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrontInput {
    /// Time has passed.
    Tick,
    /// A replica has responded.
    Response(Response),
    /// Opens an account, even if no limit is known.
    Start,
    /// Defines a limit of the settings. It is declared to the ledger, unless a limit of that name is known there.
    Define(LimitDefinition),
    /// Removes a limit, if the version is above that of its definition.
    Undefine(Name, u64),
    /// Another front has reported its soft shares. The last field is the maximum age of the report.
    SoftShares(FrontId, SoftShares, Duration),
    /// Stops admission and closes the account; sessions in progress continue.
    Close,
}

/// An output of a front.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrontOutput {
    /// Send a request to the leading replica, or to another one if that has not responded.
    Send(Request),
    /// The account is open.
    Opened(AccountId),
    /// The account is lost, so that hard limits admit no sessions at this front.
    Lost(AccountId),
    /// The account is closed, and the process may end.
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
