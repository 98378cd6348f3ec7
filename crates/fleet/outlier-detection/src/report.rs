//! What a front says of its window.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Bytes of a report.
pub const MOST_REPORT: usize = 560;
const MOST_BOXES: usize = 24;
const MOST_TITLES: usize = 8;
const MOST_VIEWERS: usize = 4;

/// A box's process: another one at the same address is another box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BoxKey {
    /// The box's number in the list.
    pub server: u32,
    /// A print of the name of its process's run; nought: not known yet.
    pub life: u32,
}

impl BoxKey {
    /// A box whose process said `boot` of its run.
    pub fn new(server: u32, boot: Option<u64>) -> BoxKey {
        let print = |b: u64| ((b ^ (b >> 32)) as u32).max(1);
        BoxKey { server, life: boot.map_or(0, print) }
    }
}

/// Counts of a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Seen {
    /// Attempts.
    pub tries: u16,
    /// ... that ended with an error, or without a connection.
    pub errors: u16,
    /// ... that were not answered in time.
    pub hangs: u16,
    /// ... that were taken late.
    pub slow: u16,
    /// Between the first bad attempt and the last, attempts at the other boxes of its zone that were well ...
    pub beside_well: u8,
    /// ... and that were bad.
    pub beside_bad: u8,
    /// Trials that went well.
    pub trials_well: u8,
    /// Trials that did not.
    pub trials_badly: u8,
}

impl Seen {
    /// Attempts that count against a box.
    pub fn bad(&self) -> u32 {
        u32::from(self.errors) + u32::from(self.hangs) + u32::from(self.slow)
    }

    /// Whether half of the attempts or more were bad.
    pub fn accuses(&self) -> bool {
        self.bad() > 0 && self.bad() * 2 >= u32::from(self.tries)
    }

    /// Whether there were attempts and most of them were well.
    pub fn absolves(&self) -> bool {
        self.tries > 0 && !self.accuses()
    }

    fn sound(&self) -> bool {
        self.bad() <= u32::from(self.tries)
            && u16::from(self.trials_well) + u16::from(self.trials_badly) <= self.tries
    }
}

/// What was seen of a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BoxLine {
    /// Which.
    pub key: BoxKey,
    /// What.
    pub seen: Seen,
}

/// What was seen of a title at a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TitleLine {
    /// At which box.
    pub key: BoxKey,
    /// The title: see [`title_key`].
    pub title: u32,
    /// Attempts.
    pub tries: u16,
    /// ... that were bad.
    pub bad: u16,
}

/// What was seen of a viewer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ViewerLine {
    /// A print of its address.
    pub viewer: u64,
    /// Requests.
    pub tries: u16,
    /// ... that boxes declined.
    pub bad: u16,
}

/// What a front says of its window.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Report {
    /// Boxes.
    pub boxes: Vec<BoxLine>,
    /// Titles.
    pub titles: Vec<TitleLine>,
    /// Viewers.
    pub viewers: Vec<ViewerLine>,
}

/// Bytes that are no report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("no report that makes sense")]
pub struct ReportError;

/// A title's key among those of a box: FNV-1a of its name.
pub fn title_key(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193))
}

impl Report {
    /// Its bytes; what is worth least is left out where it does not fit.
    pub fn encode(mut self) -> Vec<u8> {
        self.boxes.truncate(MOST_BOXES);
        self.titles.truncate(MOST_TITLES);
        self.viewers.truncate(MOST_VIEWERS);
        loop {
            match postcard::to_allocvec(&self) {
                Ok(bytes) if bytes.len() <= MOST_REPORT => return bytes,
                _ if self.boxes.pop().is_some() => {}
                _ => return Vec::new(),
            }
        }
    }

    /// Reads one.
    ///
    /// # Errors
    /// The bytes are none, or say what can't be.
    pub fn decode(bytes: &[u8]) -> Result<Report, ReportError> {
        if bytes.len() > MOST_REPORT {
            return Err(ReportError);
        }
        let report: Report = postcard::from_bytes(bytes).map_err(|_| ReportError)?;
        let bounded = report.boxes.len() <= MOST_BOXES
            && report.titles.len() <= MOST_TITLES
            && report.viewers.len() <= MOST_VIEWERS;
        let sound = report.boxes.iter().all(|b| b.seen.sound())
            && report.titles.iter().all(|t| t.bad <= t.tries)
            && report.viewers.iter().all(|v| v.bad <= v.tries);
        // A box that is there twice would count twice.
        let mut keys: Vec<BoxKey> = report.boxes.iter().map(|b| b.key).collect();
        keys.sort();
        keys.dedup();
        if bounded && sound && keys.len() == report.boxes.len() { Ok(report) } else { Err(ReportError) }
    }

    /// What it says of a box.
    pub fn of(&self, key: BoxKey) -> Option<&Seen> {
        self.boxes.iter().find(|b| b.key == key).map(|b| &b.seen)
    }
}
