//! Requests of fronts, and the commands that the log carries.

use beechloft_leases::Name;
use serde::{Deserialize, Serialize};

use super::{AccountId, Claim, FrontId, OrphanId};
use crate::definition::LimitDefinition;

/// A front's report of one share as of the request, in units of the limit.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShareReport {
    /// The claim.
    pub claim: Claim,
    /// The front holds at most this much from now on, unless the answer grants more.
    pub hold: u64,
    /// Units in use.
    pub used: u64,
    /// Units that it would like to hold.
    pub want: u64,
}

/// An operation of a front.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Op {
    /// Opens an account. The shares of an orphan of the same process become its own again. Nothing else is granted, so that a
    /// delayed retransmission has no lasting effect.
    Open {
        /// Time to live after the opening and after each renewal, milliseconds.
        ttl_ms: u32,
        /// Each of its sessions has a tag at the media server, by which the sessions that it leaves can be counted.
        tagged: bool,
    },
    /// Renews the account and reports shares.
    Settle {
        /// The account.
        account: AccountId,
        /// The shares that have changed.
        lines: Vec<ShareReport>,
    },
    /// Closes the account. The front admits no more sessions and leaves these playing.
    Close {
        /// The account.
        account: AccountId,
        /// Units in use, for each share with some.
        left: Vec<(Claim, u64)>,
    },
    /// Takes over sessions of a lost front.
    Adopt {
        /// The account that takes them over.
        account: AccountId,
        /// The shares of the lost front.
        orphan: OrphanId,
        /// Units that are taken over.
        taken: Vec<(Claim, u64)>,
    },
    /// Reports what is left of an orphan, after all media servers were surveyed at a time when no set-up of the lost front could be
    /// in flight. What is not listed is zero.
    Counted {
        /// The orphan.
        orphan: OrphanId,
        /// Units that are left at most.
        left: Vec<(Claim, u64)>,
    },
    /// Lists the orphans that can be surveyed.
    Orphans,
    /// Renews the account and lists all limits.
    Limits {
        /// The account.
        account: AccountId,
    },
    /// Renews the account and declares a limit, unless one of its name is known.
    Declare {
        /// The account.
        account: AccountId,
        /// The limit, as configured.
        definition: LimitDefinition,
    },
}

/// A request. A retransmission has the same sequence number and is applied once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Request {
    /// Who sent it.
    pub front: FrontId,
    /// Its sequence number, which increases with each request of a front.
    pub seq: u64,
    /// The operation.
    pub op: Op,
}

/// A command of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A front's request.
    Request(Request),
    /// Expires an account, unless it was renewed since.
    Expire {
        /// The account.
        account: AccountId,
        /// The number of renewals when its time to live had passed.
        renewals: u64,
    },
    /// Ages an orphan by a span of true time, if it has the given age.
    Age {
        /// The orphan.
        orphan: OrphanId,
        /// Its age before, milliseconds.
        from_ms: u64,
        /// The span, milliseconds.
        by_ms: u64,
    },
    /// Defines a limit, if the version is above the current one.
    Define(LimitDefinition),
    /// Removes a limit, as of a version.
    Undefine(Name, u64),
}
