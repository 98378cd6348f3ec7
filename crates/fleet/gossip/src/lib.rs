//! Rows of state that the fronts of a fleet disseminate by gossip.
//!
//! Each front writes its own row and no other. A row has a version that rises with each change; the higher version wins, so that
//! reordering, duplication and loss do no harm. Rows are reconciled by push-pull anti-entropy (Demers et al., "Epidemic Algorithms
//! for Replicated Database Maintenance", PODC 1987). A row has one version, and only the sections that changed since a version are
//! sent (van Renesse, Dumitriu, Gough and Thomas, "Efficient Reconciliation and Flow Control for Anti-Entropy Protocols", LADIS
//! 2008). `docs/outlier-detection.md` compares the alternatives and derives the bounds.
//!
//! [`Gossip`] does no I/O and uses a single monotonic clock that its caller passes in. Each row is known with a bound of its age,
//! [`RowView::age`], which is never below the true one. A row may be stale by [`Settings::staleness`], and by more where links
//! fail: nothing that needs agreement may rely on it.
//!
//! A private network is assumed: there is no authentication. A row is accepted only in answer to a request of this front, from the
//! address that was asked. A front whose row is forged by another notices it, counts it and overwrites the forged row.
#![forbid(unsafe_code)]

mod fault_injection;
mod gossip;
mod messages;
mod row_table;
mod settings;
#[cfg(feature = "simulation")]
pub mod simulation;

pub use fault_injection::Fault;
pub use gossip::{Counters, Gossip, Input, Output, Peer};
pub use messages::{
    MAX_PACKET_BYTES, MAX_ROW_BYTES, MAX_ROWS, MAX_SECTIONS, MemberKey, Message, Packet, RowDelta,
    RowVersion, Section, SectionKind,
};
pub use row_table::{RowTooLong, RowView};
pub use settings::{Settings, SettingsError};
