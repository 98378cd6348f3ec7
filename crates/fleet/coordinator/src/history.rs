//! For tests: what a process asked of keepers and heard, written down as it happens, so that the histories of many processes can
//! be checked together.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;

use beechloft_leases::{Answer, HolderId, Request, Response};
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// What is written down.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Noted {
    /// A copy of a request is about to leave.
    Asks(Request),
    /// An answer was taken.
    Hears {
        /// Whose.
        holder: HolderId,
        /// To which of its requests.
        seq: u64,
        /// What.
        answer: Answer,
    },
}

/// A line, as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// When, nanoseconds of the machine's monotonic clock, which all its processes share.
    pub at_ns: u64,
    /// What.
    pub noted: Noted,
}

/// Where it is written down, if it is.
#[derive(Debug, Default)]
pub(crate) struct Book(Option<File>);

impl Book {
    /// A book that several processes write to; none if the settings name none, or it can't be opened.
    pub fn open(path: Option<&Path>) -> Book {
        Book(path.and_then(|path| OpenOptions::new().create(true).append(true).open(path).ok()))
    }

    pub fn asks(&mut self, request: &Request) {
        if self.0.is_some() {
            self.note(Noted::Asks(request.clone()));
        }
    }

    pub fn hears(&mut self, heard: &Response) {
        if let (true, Response::Answer { holder, seq, answer }) = (self.0.is_some(), heard) {
            self.note(Noted::Hears { holder: *holder, seq: *seq, answer: *answer });
        }
    }

    fn note(&mut self, noted: Noted) {
        let now = clock_gettime(ClockId::Monotonic);
        let at_ns = now.tv_sec as u64 * 1_000_000_000 + now.tv_nsec as u64;
        if let (Some(file), Ok(mut line)) = (&mut self.0, serde_json::to_vec(&Line { at_ns, noted })) {
            line.push(b'\n');
            // In one piece, behind all that others have written. What can't be written is missing, and the check says so.
            let _ = file.write_all(&line);
        }
    }
}
