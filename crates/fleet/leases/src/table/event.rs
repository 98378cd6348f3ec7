//! Changes of the table, as reported to subscribers and to the leader's expiry timers.

use serde::{Deserialize, Serialize};

use crate::message::{HolderId, Token};
use crate::name::Name;

/// Change of the table.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Event {
    /// A lease was granted.
    Granted {
        /// Name of the task.
        name: Name,
        /// Token of the new grant.
        token: Token,
        /// Holder of the new grant.
        holder: HolderId,
        /// Token of the replaced grant, which is an earlier one of the holder or one that was handed off to it.
        #[serde(rename = "before")]
        previous: Option<Token>,
    },
    /// A grant was renewed.
    Renewed(Name, Token),
    /// A grant was released.
    Released(Name, Token),
    /// A grant has expired.
    Expired(Name, Token),
    /// A grant was handed off. Its holder has stopped, and the slot is reserved for the next holder of the instance.
    #[serde(rename = "Left")]
    HandedOff(Name, Token),
}
