//! For tests: a log of the lease requests that a process sends and the responses that it handles. The histories of all
//! processes together are checked for linearizability.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;

use beechloft_leases::{Answer, HolderId, Request, Response};
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// An event of a history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HistoryEvent {
    /// A request, or a retry of it, is about to be sent.
    #[serde(rename = "Asks")]
    Request(Request),
    /// A response was received.
    #[serde(rename = "Hears")]
    Response {
        /// The lease holder that sent the request.
        holder: HolderId,
        /// The sequence number of the request.
        seq: u64,
        /// The answer.
        answer: Answer,
    },
}

/// A line of the log, as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryRecord {
    /// The time of the machine's monotonic clock, which all its processes share, nanoseconds.
    pub at_ns: u64,
    /// The event.
    #[serde(rename = "noted")]
    pub event: HistoryEvent,
}

/// The history log, which records nothing unless the settings name a file.
#[derive(Debug, Default)]
pub(crate) struct HistoryLog(Option<File>);

impl HistoryLog {
    /// Opens a log to which several processes may append. Records nothing if there is no path or the file can't be opened.
    pub fn open(path: Option<&Path>) -> HistoryLog {
        HistoryLog(path.and_then(|path| OpenOptions::new().create(true).append(true).open(path).ok()))
    }

    /// Records a request that is about to be sent.
    pub fn record_request(&mut self, request: &Request) {
        if self.0.is_some() {
            self.append(HistoryEvent::Request(request.clone()));
        }
    }

    /// Records a response if it is an answer.
    pub fn record_response(&mut self, response: &Response) {
        if let (true, Response::Answer { holder, seq, answer }) = (self.0.is_some(), response) {
            self.append(HistoryEvent::Response { holder: *holder, seq: *seq, answer: *answer });
        }
    }

    fn append(&mut self, event: HistoryEvent) {
        let now = clock_gettime(ClockId::Monotonic);
        let at_ns = now.tv_sec as u64 * NANOS_PER_SECOND + now.tv_nsec as u64;
        if let (Some(file), Ok(mut line)) = (&mut self.0, serde_json::to_vec(&HistoryRecord { at_ns, event }))
        {
            line.push(b'\n');
            // A single write keeps the lines of several processes apart. A line that can't be written is missing, which the
            // check of the histories reports.
            let _ = file.write_all(&line);
        }
    }
}
