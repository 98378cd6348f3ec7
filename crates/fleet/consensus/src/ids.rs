//! Names of members, terms and places in the log.

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
    /// A member, by the id that was drawn with its folder.
    NodeId,
    /// A term: at most one leader each.
    Term,
    /// A place in the log; the first entry is at 1.
    Index,
    /// Names a proposal, a read or a change to whoever made it.
    RequestId,
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Index {
    /// The place after it.
    pub fn next(self) -> Index {
        Index(self.0 + 1)
    }

    /// The place before it; none before the first.
    pub fn before(self) -> Index {
        Index(self.0.saturating_sub(1))
    }
}

/// An entry's place and term. Of two logs the one whose last is greater is the more up to date (section 5.4.1).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct LogPosition {
    /// The term in which it was made.
    pub term: Term,
    /// Its place.
    pub index: Index,
}
