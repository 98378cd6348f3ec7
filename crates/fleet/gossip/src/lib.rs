//! Rows that the fronts of a fleet spread by gossip: counts of what each has admitted, of what each has seen.
//!
//! Each front writes its own row and no other. A row has a version that rises with each change; the higher version wins, so that
//! order, repeats and loss do no harm. Rows are compared and filled up by digests (push-pull anti-entropy: Demers et al.,
//! "Epidemic Algorithms for Replicated Database Maintenance", PODC 1987; one version for the whole row and only what changed
//! since is sent: van Renesse, Dumitriu, Gough and Thomas, "Efficient Reconciliation and Flow Control for Anti-Entropy
//! Protocols", LADIS 2008). `docs/verdicts.md` weighs the options and argues the bounds.
//!
//! [`Spread`] has no I/O and goes by one monotonic clock of its own. Each row is known with its [`RowView::age`], which is never
//! too small: see [`table`](crate) on how it is counted. What it tells may be late by [`Settings::staleness`], later where links
//! fail: nothing that must hold may rest on it.
//!
//! A network of one's own is assumed: there is no sign-in. A row comes in only in answer to a question of one's own, from the
//! address that was asked; a front whose row another forges sees that, counts it and overwrites it.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]
#![forbid(unsafe_code)]

mod planted;
mod settings;
mod spread;
mod table;
mod words;

pub use planted::Fault;
pub use settings::{Settings, SettingsError};
pub use spread::{Counts, Input, Output, Peer, Spread};
pub use table::{RowView, TooLong};
pub use words::{
    Delta, Entry, Kind, LifeKey, MOST_PACKET, MOST_ROW, MOST_ROWS, MOST_SECTIONS, Packet, Said, Section,
};
