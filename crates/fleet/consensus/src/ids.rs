//! Identifiers of nodes, terms, log entries and requests.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! u64_newtypes {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
        pub struct $name(pub u64);
    )*};
}

u64_newtypes! {
    /// Identifier of a node, drawn when its storage is created.
    NodeId,
    /// Number of a term, which is a period with at most one leader (section 3.3).
    Term,
    /// Index of a log entry. The first entry has index 1.
    Index,
    /// Identifier of a proposal, a read or a membership change, chosen by the caller.
    RequestId,
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Index {
    /// Returns the following index.
    pub fn next(self) -> Index {
        Index(self.0 + 1)
    }

    /// Returns the preceding index, or 0 for index 0.
    pub fn previous(self) -> Index {
        Index(self.0.saturating_sub(1))
    }
}

/// Term and index of a log entry.
///
/// The ordering is that of section 3.6.1. Of two logs, the one whose last position is greater is more up-to-date.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct LogPosition {
    /// Term in which the entry was created.
    pub term: Term,
    /// Index of the entry.
    pub index: Index,
}
