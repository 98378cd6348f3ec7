//! The rules in figures.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// What must not happen twice, and how far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Set-ups may be repeated, one after the other.
    #[default]
    Repeatable,
    /// A set-up that may have run must not be repeated.
    Once,
}

/// A class's terms.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ClassRules {
    /// What a repeated set-up does.
    pub repeat: Repeat,
    /// The lowest rate that may be set, kB a second.
    pub floor_kb: f64,
    /// Sessions of one title that a front may hold; none: no cap.
    pub seats: Option<u32>,
}

/// How a cold box must be treated.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct ColdRules {
    /// It is warm after this long.
    pub warm_us: u64,
    /// It begins at this share of its pace.
    pub from: f64,
    /// It must not be sent this multiple of its pace...
    pub multiple: f64,
    /// ...over this long.
    pub span_us: u64,
    /// Streams that a warm box runs.
    pub streams: f64,
}

/// The rules in figures.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Rules {
    /// Class of each title.
    pub titles: BTreeMap<String, usize>,
    /// The classes' terms.
    pub classes: Vec<ClassRules>,
    /// How long after a front was told of a drain it may still send.
    pub drain_grace_us: u64,
    /// Cold boxes; none: no rule.
    pub cold: Option<ColdRules>,
    /// Further attempts: always allowed, for each session taken, and the window; none: no limit.
    pub budget: Option<(f64, f64, u64)>,
}
