//! What holders and keepers say to each other.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Bytes of a name.
pub const MOST_NAME: usize = 96;

/// A task's name: letters, digits, `.`, `-`, `_`, `/`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(String);

/// What is wrong with a name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a name has 1 to {MOST_NAME} letters, digits, '.', '-', '_' or '/'")]
pub struct NameError;

impl TryFrom<String> for Name {
    type Error = NameError;

    fn try_from(text: String) -> Result<Name, NameError> {
        let fit = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_' | '/');
        let sound = !text.is_empty() && text.len() <= MOST_NAME && text.chars().all(fit);
        if sound { Ok(Name(text)) } else { Err(NameError) }
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One life of a process that asks for leases: drawn at its start, so that a process that starts again is another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HolderId(pub u64);

/// A fencing token: each grant's is above all before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Token(pub u64);

/// A keeper, as the keepers' log names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeeperId(pub u64);

/// What a holder wants.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Op {
    /// The lease.
    Acquire {
        /// Of this task.
        name: Name,
        /// Holders at once at most.
        places: u16,
        /// For so long, in milliseconds.
        ttl_ms: u32,
    },
    /// It for as long again.
    Renew {
        /// Of this task.
        name: Name,
        /// By this grant.
        token: Token,
    },
    /// To give it back.
    Release {
        /// Of this task.
        name: Name,
        /// By this grant.
        token: Token,
    },
    /// The lease, for whoever sits here: a place that was left for this seat is taken over, else it is as any other.
    AcquireAs {
        /// Of this task.
        name: Name,
        /// Holders at once at most.
        places: u16,
        /// For so long, in milliseconds.
        ttl_ms: u32,
        /// Which seat.
        seat: Name,
    },
    /// To leave its place to the next one of its seat. Whoever acted by it has stopped for good.
    Leave {
        /// Of this task.
        name: Name,
        /// By this grant.
        token: Token,
        /// What goes with it.
        will: Will,
    },
}

/// What a holder that ends leaves with its place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Will {
    /// Of how many its number was, as it went by it last.
    pub of: u32,
    /// For so long, milliseconds, what it did by its number still counts.
    pub rest_ms: u32,
    /// The newest token of all when it was last granted or renewed, as far as it has heard.
    pub newest: Token,
    /// For so long, milliseconds, its place is kept.
    pub keep_ms: u32,
}

/// What whoever takes a place over has to go by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Inherited {
    /// As [`Will::of`].
    pub of: u32,
    /// As [`Will::rest_ms`], from when it hears of it.
    pub rest_ms: u32,
}

/// What a holder with a seat hears besides.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Seated {
    /// The newest token of all, when this was done.
    pub newest: Token,
    /// Its place was left to it, and nothing has come between that counts.
    pub inherited: Option<Inherited>,
}

/// A request. Sent again it has the same number, and is done once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Request {
    /// Who asks.
    pub holder: HolderId,
    /// Its number; a holder's numbers rise.
    pub seq: u64,
    /// What.
    pub op: Op,
}

/// What the log says.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A holder's request.
    Request(Request),
    /// A grant has run out, if it was not renewed since.
    Expire {
        /// Which.
        token: Token,
        /// How often it had been renewed.
        renewals: u64,
    },
}

/// Why a request can't be met.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Error)]
pub enum Unable {
    /// All places are taken.
    #[error("all places are taken")]
    Taken,
    /// The grant is not there any more.
    #[error("the lease is not held")]
    NotHeld,
    /// Others hold it for another number of places.
    #[error("it is held for another number of places")]
    Places,
    /// The time is out of bounds.
    #[error("the time of the lease is out of bounds")]
    Time,
    /// A later request of this holder's was done already.
    #[error("a later request was done already")]
    Overtaken,
    /// There are as many leases as there may be.
    #[error("too many leases")]
    TooMany,
}

/// Where a grant stood among all of its task, when this was done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Standing {
    /// Its place: the lowest that was free, counted from nought, and its own for as long as it is renewed.
    pub place: u16,
    /// One more than the highest place that was held.
    pub reach: u16,
    /// The longest time for which any of the grants is given, milliseconds.
    pub longest_ms: u32,
}

/// What became of a request that was done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// Granted, or held already.
    Granted(Token, Standing),
    /// Renewed.
    Renewed(Token, Standing),
    /// Given back.
    Released,
    /// Not to be had.
    Unable(Unable),
    /// Granted or renewed, to a holder with a seat.
    Seat(Token, Standing, Seated),
    /// Its place is kept for the next one of its seat.
    Left,
}

/// What a holder hears.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Heard {
    /// What became of a request. It names the holder, as several may ask over one connection, one after another too.
    Answer {
        /// Whose.
        holder: HolderId,
        /// Its number.
        seq: u64,
        /// What became of it.
        answer: Answer,
    },
    /// This keeper does not lead; who does, if it knows.
    NotLeader(Option<KeeperId>),
    /// It can't take it now: again later.
    Busy,
}

impl Heard {
    /// The answer to a request, if this is one.
    pub fn answer_to(&self, holder: HolderId, seq: u64) -> Option<Answer> {
        match self {
            Heard::Answer { holder: whose, seq: of, answer } if (*whose, *of) == (holder, seq) => {
                Some(*answer)
            }
            _ => None,
        }
    }
}
