//! Dissemination of rows of state among the fronts of a fleet by gossip.
//!
//! Each front writes only its own row. A row has a version that rises with each change. The higher version wins, so reordering,
//! duplication and loss of packets do no harm. Rows are reconciled by push-pull anti-entropy (Demers et al., "Epidemic Algorithms
//! for Replicated Database Maintenance", PODC 1987). Only the sections of a row that changed since the receiver's version are sent
//! (van Renesse, Dumitriu, Gough and Thomas, "Efficient Reconciliation and Flow Control for Anti-Entropy Protocols", LADIS 2008).
//! `docs/outlier-detection.md` compares the alternatives and derives the bounds.
//!
//! [`Gossip`] performs no I/O and uses a single monotonic clock, whose time its caller passes in. Each known row has an upper bound
//! of its age, [`RowView::age`]. A row may be stale by [`Settings::staleness`], and by more if links fail, so nothing that needs
//! agreement may rely on it.
//!
//! The protocol assumes a private network and has no authentication. A front accepts a row only as an answer to its own request,
//! from the address to which it sent the request. A front whose own row is forged detects, counts and overwrites the forged row.
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
