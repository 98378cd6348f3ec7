//! Changes of the table, for watchers and the leader's deadlines.

use serde::{Deserialize, Serialize};

use crate::message::{HolderId, Token};
use crate::name::Name;

/// A change of the table.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Event {
    /// Granted.
    Granted {
        /// The task.
        name: Name,
        /// The new grant.
        token: Token,
        /// Its holder.
        holder: HolderId,
        /// The grant that it replaces: an earlier one of the holder, or one that was handed off to it.
        #[serde(rename = "before")]
        previous: Option<Token>,
    },
    /// Renewed.
    Renewed(Name, Token),
    /// Released.
    Released(Name, Token),
    /// Expired.
    Expired(Name, Token),
    /// Handed off: the holder has stopped, and the slot is reserved for the next holder of its instance.
    #[serde(rename = "Left")]
    HandedOff(Name, Token),
}
