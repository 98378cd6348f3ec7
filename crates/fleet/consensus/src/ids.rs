//! Identifiers of nodes, terms, log entries and requests.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! number {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
        pub struct $name(pub u64);
    )*};
}

number! {
    /// A node of the cluster, by the id that was drawn when its storage was created.
    NodeId,
    /// A term: a period with at most one leader (section 3.3).
    Term,
    /// The index of a log entry. The first entry has index 1.
    Index,
    /// Identifies a proposal, a read or a membership change to the caller that made it.
    RequestId,
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Index {
    /// The index after it.
    pub fn next(self) -> Index {
        Index(self.0 + 1)
    }

    /// The index before it; 0 stays 0.
    pub fn previous(self) -> Index {
        Index(self.0.saturating_sub(1))
    }
}

/// The term and index of a log entry. The order is that of section 3.6.1: of two logs, the one whose last position is greater is
/// the more up-to-date.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct LogPosition {
    /// The term in which the entry was created.
    pub term: Term,
    /// The index of the entry.
    pub index: Index,
}
