//! What fronts and the ledger say to each other.

use std::fmt;
use std::sync::Arc;

use beechloft_leases::Name;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::define::Definition;

/// Bytes of a key.
pub const MOST_KEY: usize = 96;
/// Lines of a request.
pub const MOST_LINES: usize = 64;

/// Whose counter it is: a customer, a title, a box. Longer names are cut to their head and a hash, so that any text makes a key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Key(Arc<str>);

/// A key that came from elsewhere and is too long.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a key has {MOST_KEY} bytes at most")]
pub struct KeyError;

impl Key {
    /// The key of a name.
    pub fn of(name: &str) -> Key {
        if name.len() <= MOST_KEY {
            return Key(name.into());
        }
        let hash = name
            .bytes()
            .fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
        let head: String = name.chars().take((MOST_KEY - 17) / 4).collect();
        Key(format!("{head}~{hash:016x}").into())
    }

    /// As text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Default for Key {
    fn default() -> Key {
        Key("".into())
    }
}

impl TryFrom<String> for Key {
    type Error = KeyError;

    fn try_from(text: String) -> Result<Key, KeyError> {
        if text.len() <= MOST_KEY { Ok(Key(text.into())) } else { Err(KeyError) }
    }
}

impl From<Key> for String {
    fn from(key: Key) -> String {
        (*key.0).to_owned()
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What a share is of: a limit, whose counter, and within a weighted limit for which customer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// The limit.
    pub limit: Name,
    /// Whose counter; empty for a limit of all.
    pub key: Key,
    /// The customer; empty where the limit has no weights.
    pub customer: Key,
}

impl fmt::Display for Claim {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}[{}]", self.limit, self.key)?;
        if self.customer.as_str().is_empty() { Ok(()) } else { write!(f, "/{}", self.customer) }
    }
}

/// One life of a front: drawn at its start, so that one that starts again is another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FrontId(pub u64);

/// A front's account; each is above all before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AccountId(pub u64);

/// What a lost front held; numbered as accounts are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrphanId(pub u64);

/// What a front says of one share. All are statements as of the request, in units of the limit.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Said {
    /// Which.
    pub claim: Claim,
    /// It holds at most this from now on, unless it is given more in answer.
    pub hold: u64,
    /// It uses so much.
    pub used: u64,
    /// It would hold so much.
    pub want: u64,
}

/// What a front is told of one share.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Told {
    /// Which.
    pub claim: Claim,
    /// It holds so much.
    pub share: u64,
    /// Others lack so much of it: it is asked to hold less by this, if it does not use it.
    pub recall: u64,
    /// The sum is over the limit, which was lowered: nobody is admitted, and what is not used is given back.
    pub closed: bool,
}

/// What a front wants.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Op {
    /// An account, for so long, in milliseconds. What an orphan of the same life held is its share again. Nothing else is given
    /// with it, so that a copy that comes late leaves nothing behind.
    Open {
        /// For so long each time.
        ttl_ms: u32,
        /// Boxes can say what it left: each of its sessions carries a tag.
        tagged: bool,
    },
    /// The account for as long again, and these shares as said.
    Settle {
        /// Which account.
        account: AccountId,
        /// What has changed.
        lines: Vec<Said>,
    },
    /// It admits nobody any more, and leaves this playing.
    Close {
        /// Which account.
        account: AccountId,
        /// Used, for each share that still is.
        left: Vec<(Claim, u64)>,
    },
    /// Sessions of a lost front go on as this front's.
    Adopt {
        /// Which account takes them.
        account: AccountId,
        /// Whose they were.
        orphan: OrphanId,
        /// How many units of what.
        taken: Vec<(Claim, u64)>,
    },
    /// All boxes were asked, at a moment after the orphan's front could set anything up: so much of it is left at most. What is not
    /// named is nought.
    Counted {
        /// Which.
        orphan: OrphanId,
        /// What is left.
        left: Vec<(Claim, u64)>,
    },
    /// All orphans whose set-ups have all come through.
    Orphans,
    /// All limits, and the account for as long again.
    Limits {
        /// Which account.
        account: AccountId,
    },
    /// This limit, if none of its name is known, and the account for as long again.
    Declare {
        /// Which account.
        account: AccountId,
        /// The limit, as settings have it.
        definition: Definition,
    },
}

/// A request. Sent again it has the same number, and is done once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Request {
    /// Who asks.
    pub front: FrontId,
    /// Its number; a front's numbers rise.
    pub seq: u64,
    /// What.
    pub op: Op,
}

/// What the log says.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A front's request.
    Request(Request),
    /// An account has run out, if it was not renewed since.
    Expire {
        /// Which.
        account: AccountId,
        /// How often it had been renewed.
        renewals: u64,
    },
    /// So much true time has passed for an orphan, if it was as old as that before.
    Age {
        /// Which.
        orphan: OrphanId,
        /// How old it was, milliseconds.
        from_ms: u64,
        /// By how much it is older now.
        by_ms: u64,
    },
    /// A limit is defined anew, if the version is above the one that stands.
    Define(Definition),
    /// A limit is no more, as of this version.
    Undefine(Name, u64),
}

/// Why a request can't be met.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Error)]
pub enum Unable {
    /// The account is not there any more.
    #[error("the account is over")]
    NoAccount,
    /// The orphan is not there any more: its front is back, or nothing is left of it.
    #[error("nothing is left of that front's shares")]
    NoOrphan,
    /// The time is out of bounds.
    #[error("the time of the account is out of bounds")]
    Time,
    /// A later request of this front's was done already.
    #[error("a later request was done already")]
    Overtaken,
    /// There are as many accounts or shares as there may be.
    #[error("too many accounts or shares")]
    TooMany,
}

/// What became of a request that was done.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// It has an account, with what it held before.
    Opened(AccountId, Vec<Told>),
    /// Settled; limits stand as of this revision.
    Settled(Vec<Told>, u64),
    /// All limits, as of this revision.
    Limits(Vec<Definition>, u64),
    /// The limit is known.
    Declared,
    /// Closed.
    Closed,
    /// Taken over.
    Adopted(Vec<Told>),
    /// Taken note of.
    Counted,
    /// These are lost: whose, and for which limits.
    Orphans(Vec<(OrphanId, FrontId)>),
    /// Not to be had.
    Unable(Unable),
}

/// What a front hears.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Heard {
    /// What became of a request.
    Answer {
        /// Whose.
        front: FrontId,
        /// Its number.
        seq: u64,
        /// What became of it.
        answer: Answer,
    },
    /// This keeper does not lead, or can't take it now: ask another or again.
    Again,
}

/// What has changed, for the leader's clock, logs and metrics.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Event {
    /// An account was opened or renewed: its time begins again.
    Renewed(AccountId),
    /// An account is over: closed by its front, or run out; what it left.
    Ended(AccountId, FrontId, Option<OrphanId>),
    /// An orphan is this front's account again.
    Returned(OrphanId, AccountId),
    /// Time has passed for an orphan.
    Aged(OrphanId),
    /// Nothing is left of an orphan.
    Gone(OrphanId),
    /// A limit stands as defined.
    Defined(Name),
    /// A limit is no more.
    Undefined(Name),
}
