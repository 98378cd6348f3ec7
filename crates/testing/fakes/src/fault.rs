//! What a box can be told to do wrong.

use serde::{Deserialize, Serialize};

/// A fault, in force until it is cleared.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Takes offers and never answers them.
    NeverAnswer,
    /// Answers so much later, milliseconds.
    Late {
        /// How much.
        ms: u64,
    },
    /// Answers so much later, and does not notice that its client has given up meanwhile, milliseconds.
    Deaf {
        /// How much.
        ms: u64,
    },
    /// Answers, and delivers no media.
    DeliverNothing,
    /// Fails a share of the set-ups with a 500.
    Fail {
        /// The share.
        share: f64,
    },
    /// Breaks the connection of each set-up.
    Reset,
    /// Refuses connections; what plays goes on.
    Refuse,
    /// Stands still: answers nothing, delivers nothing, says nothing.
    StandStill,
    /// Grows slower, and dies at last.
    GrowSlow {
        /// Milliseconds more for each second of it.
        ms_per_s: f64,
        /// When it dies, seconds.
        dies_after_s: f64,
    },
    /// Sets sessions up, but the answers of a share are lost on the way.
    LoseAnswers {
        /// The share.
        share: f64,
    },
    /// Another program takes a part of the link.
    TakeLink {
        /// The part.
        share: f64,
    },
    /// Answers with a description that makes no sense.
    BadAnswer,
    /// Finds fault with each request.
    Decline {
        /// The status.
        status: u16,
    },
    /// SIP: takes an INVITE (100), and says nothing more, not to a CANCEL either.
    Stuck,
    /// SIP: rings for ever.
    Ring,
    /// SIP: rings, and answers a CANCEL by accepting the call.
    AnswerCancelled,
    /// SIP: does not hear a BYE.
    LoseBye,
    /// SIP: accepts on a connection of its own making, from another port than it was asked on.
    OtherPort,
    /// SIP: closes its side of the connection after its 100.
    HalfClose,
    /// Its process dies.
    Die,
}
