//! Changes of the ledger.

use beechloft_leases::Name;
use serde::{Deserialize, Serialize};

use super::{AccountId, FrontId, OrphanId};

/// A change of the ledger, for the leader's timers, for logs and for metrics.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Event {
    /// An account was opened or renewed, so that its time to live restarts.
    Renewed(AccountId),
    /// An account was closed or has expired. The last field is the orphan that it left, if any.
    Ended(AccountId, FrontId, Option<OrphanId>),
    /// The front of an orphan has opened this account and holds the orphan's units again.
    Returned(OrphanId, AccountId),
    /// The age of an orphan has increased.
    Aged(OrphanId),
    /// An orphan was removed, because nothing is left of it.
    Gone(OrphanId),
    /// A limit was defined.
    Defined(Name),
    /// A limit was removed.
    Undefined(Name),
}
