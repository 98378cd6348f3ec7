//! What members say to each other.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Bytes of a zone's name.
pub const MOST_ZONE: usize = 32;
/// Parts into which a roster is compared.
pub const PARTS: usize = 64;
/// Bytes of a packet's rumours, by [`Rumour::bytes`]; with all else a packet stays under 1,300 bytes, which no network
/// between two fronts cuts up.
pub const MOST_RUMOURS: usize = 700;
/// An incarnation past this is nonsense: each takes a suspicion, and there are not so many.
const MOST_INCARNATION: u64 = 1 << 40;

/// One life of a process, drawn at its start: one that starts again is another member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// How often a member has refuted what was said of it. It alone raises it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    pub(crate) fn next(self) -> Incarnation {
        Incarnation(self.0.saturating_add(1))
    }
}

/// A zone's name: what fails together, as the operators see it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Zone(String);

/// What is wrong with a zone's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a zone's name has at most {MOST_ZONE} bytes and no control characters")]
pub struct ZoneError;

impl TryFrom<String> for Zone {
    type Error = ZoneError;

    fn try_from(text: String) -> Result<Zone, ZoneError> {
        let sound = text.len() <= MOST_ZONE && !text.chars().any(char::is_control);
        if sound { Ok(Zone(text)) } else { Err(ZoneError) }
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

/// What a member is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A session front.
    Front,
    /// A keeper alone.
    Keeper,
}

/// What a member says of itself, once and for all of its life.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct About {
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// What it is.
    pub kind: Kind,
}

/// What goes round.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Rumour {
    /// It is there.
    Alive {
        /// Who.
        id: MemberId,
        /// As it says itself.
        incarnation: Incarnation,
        /// What it says of itself.
        about: Arc<About>,
    },
    /// It did not answer.
    Suspected {
        /// Who.
        id: MemberId,
        /// As it was last heard.
        incarnation: Incarnation,
        /// Who says so.
        by: MemberId,
    },
    /// It is gone.
    Gone {
        /// Who.
        id: MemberId,
        /// As it was last heard.
        incarnation: Incarnation,
        /// Who says so; itself: it has left.
        by: MemberId,
    },
}

impl Rumour {
    /// Of whom.
    pub fn of(&self) -> MemberId {
        match self {
            Rumour::Alive { id, .. } | Rumour::Suspected { id, .. } | Rumour::Gone { id, .. } => *id,
        }
    }

    /// Of which incarnation.
    pub fn incarnation(&self) -> Incarnation {
        match self {
            Rumour::Alive { incarnation, .. }
            | Rumour::Suspected { incarnation, .. }
            | Rumour::Gone { incarnation, .. } => *incarnation,
        }
    }

    /// Bytes that it takes at most: numbers have up to ten, an address up to twenty.
    pub fn bytes(&self) -> usize {
        match self {
            Rumour::Alive { about, .. } => 1 + 10 + 10 + 20 + 1 + about.zone.0.len() + 1,
            Rumour::Suspected { .. } | Rumour::Gone { .. } => 1 + 10 + 10 + 10,
        }
    }

    pub(crate) fn sound(&self) -> bool {
        self.incarnation().0 <= MOST_INCARNATION
    }
}

/// A digest of each part of a roster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digests(pub Vec<u64>);

/// What a packet is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Said {
    /// Are you there?
    Ping {
        /// The asker's number for it.
        seq: u64,
        /// Its whole roster.
        digest: u64,
    },
    /// Ask another for me.
    PingFor {
        /// The asker's number for it.
        seq: u64,
        /// Whom.
        target: MemberId,
        /// Where.
        address: SocketAddr,
    },
    /// It is there: the one asked, or the one asked about.
    Ack {
        /// The asker's number.
        seq: u64,
        /// The roster of who says it.
        digest: u64,
    },
    /// The helper is there, and has not heard from the one asked about.
    Nack {
        /// The asker's number.
        seq: u64,
    },
    /// Whoever was asked is not at this address any more: this one is.
    Another {
        /// The asker's number.
        seq: u64,
    },
    /// How do our rosters differ?
    Compare {
        /// The asker's.
        digests: Digests,
        /// It answers one, and wants none in return.
        answers: bool,
    },
    /// Where they differ: the rumours alone are of interest.
    Entries,
}

/// A packet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// Who says it.
    pub from: MemberId,
    /// To whom; none: to whoever is at the address.
    pub to: Option<MemberId>,
    /// What.
    pub said: Said,
    /// What goes round with it.
    pub rumours: Vec<Rumour>,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_bound_of_a_rumours_bytes_holds_and_a_full_packet_is_short() {
        let zone = Zone::try_from("z".repeat(MOST_ZONE)).expect("short enough");
        assert!(
            Zone::try_from("z".repeat(MOST_ZONE + 1)).is_err() && Zone::try_from("a\n".to_owned()).is_err()
        );
        let address = "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535".parse().expect("an address");
        let (id, incarnation) = (MemberId(u64::MAX), Incarnation(u64::MAX));
        let about = Arc::new(About { address, zone, kind: Kind::Keeper });
        let all = [
            Rumour::Alive { id, incarnation, about },
            Rumour::Suspected { id, incarnation, by: id },
            Rumour::Gone { id, incarnation, by: id },
        ];
        let mut rumours = Vec::new();
        for r in all {
            assert!(postcard::to_allocvec(&r).expect("short").len() <= r.bytes(), "{r:?}");
            rumours.extend(vec![r.clone(); MOST_RUMOURS / r.bytes()]);
            let digests = Digests(vec![u64::MAX; PARTS]);
            for said in [
                Said::Compare { digests, answers: true },
                Said::PingFor { seq: u64::MAX, target: id, address },
            ] {
                // Numbers of sixty-four bits take ten bytes at most.
                let packet = Packet { from: id, to: Some(id), said, rumours: rumours.clone() };
                assert!(postcard::to_allocvec(&packet).expect("short").len() <= 1_400);
            }
            rumours.clear();
        }
    }
}
