//! Messages between fronts and the ledger, and the commands of the replicated log.
//!
//! They are encoded with postcard, so the order of variants and fields is part of the format.

mod event;
mod request;
mod response;

use std::fmt;

use beechloft_leases::Name;
use serde::{Deserialize, Serialize};

pub use self::event::Event;
pub use self::request::{Command, Op, Request, ShareReport};
pub use self::response::{Answer, Rejection, Response, ShareGrant};
pub use crate::key::Key;

/// Maximum number of share reports, or of other entries, in one request.
pub const MAX_REPORTS: usize = 64;

/// The identity of a share: a limit, the key of its counter and, for a weighted limit, the customer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// The limit.
    pub limit: Name,
    /// The key of the counter; empty for a limit of scope `All`.
    pub key: Key,
    /// The customer; empty for a limit without weights.
    pub customer: Key,
}

impl fmt::Display for Claim {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}[{}]", self.limit, self.key)?;
        if self.customer.as_str().is_empty() { Ok(()) } else { write!(f, "/{}", self.customer) }
    }
}

/// The id of one run of a front's process. It is drawn at random at each start, so that a restarted process has another id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FrontId(pub u64);

/// The id of a front's account. Ids increase.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AccountId(pub u64);

/// The id of an orphan: the shares of a lost front. Ids are drawn from the same increasing sequence as those of accounts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrphanId(pub u64);
