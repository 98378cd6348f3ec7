//! Tasks that one front of the fleet does at a time: leases on which a few keepers agree.
//!
//! A lease (Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency", SOSP
//! 1989) is given for a time and renewed before it runs out. [`Table`] is the state that consensus replicates; it knows no
//! time: the keeper that leads (`beechloft_replica`) counts the times at which grants run out.
//! [`Holder`] asks, renews and hands out the [`Permit`] that whatever acts must look at right before each act. Each grant has a
//! fencing [`Token`] that only rises; whatever is acted on refuses a lower one than it has seen.
//!
//! No wall clock decides, and no two clocks are compared: [`Drift`] bounds how far their rates differ, the holder counts from
//! before it asked, the keeper from after the commit. `docs/fleet.md` has the argument.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]
#![forbid(unsafe_code)]

mod drift;
mod holder;
mod numbering;
mod planted;
mod route;
mod table;
mod words;

pub use drift::Drift;
pub use holder::{Farewell, Holder, HolderInput, HolderOutput, Permit, Terms, TermsError};
pub use numbering::{Numbering, Part};
pub use planted::Fault;
pub use route::Route;
pub use table::{Event, Grant, Table, TableError};
pub use words::{
    Answer, Command, Heard, HolderId, Inherited, KeeperId, Name, NameError, Op, Request, Seated, Standing,
    Token, Unable, Will,
};
