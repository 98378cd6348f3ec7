//! Requests of fronts, and the commands of the replicated log.

use beechloft_leases::Name;
use serde::{Deserialize, Serialize};

use super::{AccountId, Claim, FrontId, OrphanId};
use crate::definition::LimitDefinition;

/// A front's report of one share as of the request, in units of the limit.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShareReport {
    /// The claim.
    pub claim: Claim,
    /// Maximum units that the front holds from now on, unless the answer grants more.
    pub share: u64,
    /// Units in use.
    pub used: u64,
    /// Units that the front needs.
    pub demand: u64,
}

/// An operation of a front.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Op {
    /// Opens an account. The front gets back the shares of its earlier account and of orphans that it left. Nothing else is granted,
    /// so that a delayed retransmission has no lasting effect.
    Open {
        /// Time to live after the opening and after each renewal, milliseconds.
        ttl_ms: u32,
        /// Whether each of the front's sessions has a tag at its media server, by which sessions that it leaves can be counted.
        tagged: bool,
    },
    /// Renews the account and reports shares.
    Report {
        /// The account.
        account: AccountId,
        /// The shares that have changed.
        reports: Vec<ShareReport>,
    },
    /// Closes the account. The front admits no more sessions; those in progress continue.
    Close {
        /// The account.
        account: AccountId,
        /// Units that stay in use, by claim.
        remaining: Vec<(Claim, u64)>,
    },
    /// Takes over sessions of a lost front.
    Adopt {
        /// The account that takes them over.
        account: AccountId,
        /// The orphan of the lost front.
        orphan: OrphanId,
        /// Units that are taken over, by claim.
        units: Vec<(Claim, u64)>,
    },
    /// Reports the units that an orphan still uses. All media servers must have been surveyed when no set-up of the lost front could
    /// be in flight any more.
    ReportSurvey {
        /// The orphan.
        orphan: OrphanId,
        /// Maximum units that are still in use, by claim; zero for all other claims.
        remaining: Vec<(Claim, u64)>,
    },
    /// Lists the orphans that can be surveyed.
    ListOrphans,
    /// Renews the account and lists all limits.
    ListLimits {
        /// The account.
        account: AccountId,
    },
    /// Renews the account and declares a limit, unless a limit of that name is known.
    DeclareLimit {
        /// The account.
        account: AccountId,
        /// The limit, as configured.
        definition: LimitDefinition,
    },
}

/// A request of a front. A retransmission has the same sequence number and is applied once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Request {
    /// The sender.
    pub front: FrontId,
    /// The sequence number, which increases with each request of a front.
    pub seq: u64,
    /// The operation.
    pub op: Op,
}

/// A command of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Applies a front's request.
    Request(Request),
    /// Expires an account, unless it was renewed in the meantime.
    Expire {
        /// The account.
        account: AccountId,
        /// The number of renewals when the time to live had passed.
        renewals: u64,
    },
    /// Ages an orphan, if it has the given age.
    Age {
        /// The orphan.
        orphan: OrphanId,
        /// The age before, milliseconds.
        from_ms: u64,
        /// The span of true time to add, milliseconds.
        by_ms: u64,
    },
    /// Defines a limit, if the version is above the current one.
    Define(LimitDefinition),
    /// Removes a limit, if the version is above that of its definition.
    Undefine(Name, u64),
}
