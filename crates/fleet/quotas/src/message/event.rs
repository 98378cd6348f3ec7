//! Changes of the ledger.

use beechloft_leases::Name;
use serde::{Deserialize, Serialize};

use super::{AccountId, FrontId, OrphanId};

/// A change of the ledger, for the leader's timers, logs and metrics.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Event {
    /// An account was opened or renewed: its time to live starts anew.
    Renewed(AccountId),
    /// An account was closed or has expired; the orphan that it left, if any.
    Ended(AccountId, FrontId, Option<OrphanId>),
    /// An orphan's front has returned and has this account.
    Returned(OrphanId, AccountId),
    /// An orphan has aged.
    Aged(OrphanId),
    /// Nothing is left of an orphan.
    Gone(OrphanId),
    /// A limit was defined.
    Defined(Name),
    /// A limit was removed.
    Undefined(Name),
}
