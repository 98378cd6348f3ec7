//! What members say to each other. Any message may be lost, late, doubled or overtaken.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::membership::Membership;
use crate::types::{Entry, Index, LogPos, MemberId, Term};

/// A message.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// Who says it.
    pub from: MemberId,
    /// To whom.
    pub to: MemberId,
    /// The sender's term; for a pre-vote and its consent, the term that would begin.
    pub term: Term,
    /// What it says.
    pub body: Body,
}

/// What became of a message with entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// The log is the leader's up to here, and lasts.
    Matches(Index),
    /// It is not at the place before the entries; the leader may try at this one.
    Differs(Index),
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// Would you vote for me? Changes nothing at who asks, nor at who answers.
    PreVote {
        /// The last entry of who asks.
        last: LogPos,
    },
    /// I would, or not.
    PreVoted(bool),
    /// Vote for me.
    Vote {
        /// The last entry of who asks.
        last: LogPos,
        /// A leader has handed over to who asks: a leader heard of lately is no reason against it.
        handed_over: bool,
    },
    /// You have my vote, or not.
    Voted(bool),
    /// A leader's entries, or none as a sign of life.
    Append {
        /// The entry before them.
        prev: LogPos,
        /// The entries, in order.
        entries: Vec<Entry>,
        /// The leader has committed up to here.
        commit: Index,
        /// The leader's round, for reads and to see who hears it.
        round: u64,
    },
    /// What became of that.
    Appended {
        /// Which.
        verdict: Verdict,
        /// The round as it came.
        round: u64,
    },
    /// A part of a snapshot.
    Install {
        /// The snapshot's last entry.
        at: LogPos,
        /// Its members.
        members: Membership,
        /// Where the part begins.
        offset: u64,
        /// The part.
        part: Arc<[u8]>,
        /// It is the last.
        last: bool,
        /// The leader's round.
        round: u64,
    },
    /// So much of a snapshot is there.
    Installing {
        /// Which snapshot.
        at: LogPos,
        /// Bytes of it so far.
        offset: u64,
        /// The round as it came.
        round: u64,
    },
    /// Ask for votes at once: the lead is handed over.
    TakeOver,
}
