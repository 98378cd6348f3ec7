//! Identity of a member: id, incarnation, zone, kind and address.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of a zone's name in bytes.
pub(crate) const MAX_ZONE_BYTES: usize = 32;

/// The id of a member, which is drawn at random when its process starts. A restarted process is another member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Number of times that a member has refuted a false statement about itself. Only the member itself increments it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    pub(crate) fn next(self) -> Incarnation {
        Incarnation(self.0.saturating_add(1))
    }
}

/// The name of a zone, a failure domain that the operator defines.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Zone(String);

impl Zone {
    /// Returns the length of the name in bytes.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}

/// Error of a zone's name that is too long or contains control characters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("zone name exceeds {MAX_ZONE_BYTES} bytes or contains control characters")]
pub struct ZoneError;

impl TryFrom<String> for Zone {
    type Error = ZoneError;

    fn try_from(name: String) -> Result<Zone, ZoneError> {
        let is_valid = name.len() <= MAX_ZONE_BYTES && !name.chars().any(char::is_control);
        if is_valid { Ok(Zone(name)) } else { Err(ZoneError) }
    }
}

impl From<Zone> for String {
    fn from(zone: Zone) -> String {
        zone.0
    }
}

impl fmt::Display for Zone {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The kind of a member's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberKind {
    /// A session front, which may also run a replica of the coordinator.
    Front,
    /// A process that runs only a replica of the coordinator.
    Replica,
}

/// Properties that a member announces. They do not change while the member runs.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Address at which the member receives packets.
    pub address: SocketAddr,
    /// The member's zone.
    pub zone: Zone,
    /// The kind of the member's process.
    pub kind: MemberKind,
}
