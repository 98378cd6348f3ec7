//! Parameters of the rules.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Whether a set-up may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Set-ups may be repeated one after the other.
    #[default]
    Repeatable,
    /// A set-up that may have run must not be repeated.
    Once,
}

/// Parameters of a class.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ClassRules {
    /// Whether set-ups of the class may be repeated.
    pub repeat: Repeat,
    /// Lowest rate that may be set, in kB/s.
    pub floor_kb: f64,
    /// Number of sessions of one title that a front may hold, or `None` for no limit.
    pub seats: Option<u32>,
}

/// Limits on the set-ups that a media server may be sent during its warm-up.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct ColdRules {
    /// Length of the warm-up, in microseconds.
    pub warm_us: u64,
    /// Share of the full set-up rate that the media server takes at the start of the warm-up.
    pub from: f64,
    /// Multiple of the present set-up rate that it must not be sent within `span_us`.
    pub multiple: f64,
    /// Window over which set-ups are counted, in microseconds.
    pub span_us: u64,
    /// Number of streams that a warm media server runs.
    pub streams: f64,
}

/// Parameters of all rules.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Rules {
    /// Class of each title as an index into `classes`.
    pub titles: BTreeMap<String, usize>,
    /// Parameters of the classes.
    pub classes: Vec<ClassRules>,
    /// Time for which a front may still send set-ups after it was informed of a drain, in microseconds.
    pub drain_grace_us: u64,
    /// Limits during a warm-up, or `None` if they are not checked.
    pub cold: Option<ColdRules>,
    /// Retry budget, or `None` if it is not checked.
    ///
    /// The values are the number of retries that are always allowed, the number allowed for each session, and the window
    /// in microseconds.
    pub budget: Option<(f64, f64, u64)>,
}
