//! Settings, inputs and outputs of a front.

use std::time::Duration;

use beechloft_leases::{DriftBound, Name};

use crate::definition::{LimitDefinition, QuotaParameters};
use crate::message::{AccountId, Claim, FrontId, Request, Response};
use crate::soft::SoftShares;

/// How a front keeps its account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct FrontSettings {
    /// Times.
    pub rules: QuotaParameters,
    /// How far clocks' rates may differ.
    pub drift: DriftBound,
    /// Each of its sessions carries a tag by which boxes can say what is left of them.
    pub tagged: bool,
    /// For what is drawn by chance.
    pub seed: u64,
}

/// What a front's machine hears.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrontInput {
    /// Only time has passed.
    Tick,
    /// A keeper's word.
    Response(Response),
    /// An account is wanted from now on, whether a limit is known or not.
    Start,
    /// A limit as settings have it; it is declared to the ledger where no other of its name is known.
    Define(LimitDefinition),
    /// A limit is no more, as of this version.
    Undefine(Name, u64),
    /// Another front's row, which was written so long ago at most.
    SoftShares(FrontId, SoftShares, Duration),
    /// This front admits nobody any more; what plays goes on.
    Close,
}

/// What it wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrontOutput {
    /// For the keeper that leads, or for any other if that one did not answer.
    Send(Request),
    /// It has an account from now on.
    Opened(AccountId),
    /// It has none any more: nobody is admitted by hard limits.
    Lost(AccountId),
    /// What it left is in the log; it may end.
    Closed,
    /// Its row is another now, for all fronts.
    SoftShares(SoftShares),
}

/// What it holds and uses of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareUsage {
    /// Which.
    pub claim: Claim,
    /// The share, or the soft part.
    pub share: u64,
    /// In use.
    pub used: u64,
}
