//! Who a member is: its id, incarnation, zone, kind and address.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of a zone's name, in bytes.
pub(crate) const MAX_ZONE_BYTES: usize = 32;

/// One run of a process, drawn at random when it starts: a process that is restarted is another member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// How often a member has refuted a suspicion of itself. Only the member itself increments it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    pub(crate) fn next(self) -> Incarnation {
        Incarnation(self.0.saturating_add(1))
    }
}

/// The name of a zone: a failure domain, as the operators define it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Zone(String);

impl Zone {
    /// Length of the name in bytes.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}

/// A zone's name that is too long or has control characters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a zone's name has at most {MAX_ZONE_BYTES} bytes and no control characters")]
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

/// What kind of process a member is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberKind {
    /// A session front, which may run a replica as well.
    Front,
    /// A replica alone.
    Replica,
}

/// What a member announces of itself. It does not change while the member runs.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Where it receives packets.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// Its kind.
    pub kind: MemberKind,
}
