//! What a front reports of the attempts in its window.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum bytes of an encoded report.
pub const MAX_REPORT_BYTES: usize = 560;
/// Maximum number of servers in a report.
pub(crate) const MAX_SERVERS: usize = 24;
/// Maximum number of titles in a report.
pub(crate) const MAX_TITLES: usize = 8;
/// Maximum number of viewers in a report.
pub(crate) const MAX_VIEWERS: usize = 4;

/// A media server's process: a restarted one is another instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerInstance {
    /// The server's number in the list of endpoints.
    pub server: u32,
    /// A hash of the id that the process gave its run; 0: not known yet.
    pub boot_hash: u32,
}

impl ServerInstance {
    /// The instance of a server whose process gave its run the id `boot`.
    pub fn new(server: u32, boot: Option<u64>) -> ServerInstance {
        ServerInstance { server, boot_hash: boot.map_or(0, boot_hash) }
    }
}

#[expect(clippy::cast_possible_truncation, reason = "both halves of the number are in the lower one")]
fn boot_hash(boot: u64) -> u32 {
    ((boot ^ (boot >> 32)) as u32).max(1)
}

/// The attempts at one server in a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// All attempts.
    pub attempts: u16,
    /// Attempts that ended with an error, or without a connection.
    pub errors: u16,
    /// Attempts that were not answered in time.
    pub timeouts: u16,
    /// Attempts that succeeded late.
    pub slow: u16,
    /// Attempts at other servers of its zone that succeeded between the first failure at this server and the last.
    pub zone_successes: u8,
    /// Attempts at other servers of its zone that failed in that time.
    pub zone_failures: u8,
    /// Probes that succeeded.
    pub probe_successes: u8,
    /// Probes that failed.
    pub probe_failures: u8,
}

impl AttemptCounts {
    /// Attempts that count against the server.
    pub fn failures(&self) -> u32 {
        u32::from(self.errors) + u32::from(self.timeouts) + u32::from(self.slow)
    }

    /// Whether at least half of the attempts failed.
    pub fn is_failing(&self) -> bool {
        self.failures() > 0 && self.failures() * 2 >= u32::from(self.attempts)
    }

    /// Whether there were attempts and most of them succeeded.
    pub fn is_healthy(&self) -> bool {
        self.attempts > 0 && !self.is_failing()
    }

    fn is_valid(&self) -> bool {
        self.failures() <= u32::from(self.attempts)
            && u16::from(self.probe_successes) + u16::from(self.probe_failures) <= self.attempts
    }
}

/// The attempts at one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerReport {
    /// The server.
    pub instance: ServerInstance,
    /// The attempts.
    pub counts: AttemptCounts,
}

/// The attempts for one title at one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TitleReport {
    /// The server.
    pub instance: ServerInstance,
    /// The title: see [`title_key`].
    pub title: u32,
    /// All attempts.
    pub attempts: u16,
    /// Attempts that failed.
    pub failures: u16,
}

/// The requests of one viewer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ViewerReport {
    /// A hash of the viewer's address.
    pub viewer: u64,
    /// All requests.
    pub requests: u16,
    /// Requests that servers declined.
    pub declined: u16,
}

/// What a front reports of the attempts in its window.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Report {
    /// By server.
    pub servers: Vec<ServerReport>,
    /// By title.
    pub titles: Vec<TitleReport>,
    /// By viewer.
    pub viewers: Vec<ViewerReport>,
}

/// Bytes that are no valid report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the bytes are no valid report")]
pub struct ReportError;

/// The key of a title among those of a server: FNV-1a of its name.
pub fn title_key(name: &str) -> u32 {
    const OFFSET_BASIS: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    name.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(PRIME))
}

impl Report {
    /// The encoded report. Its last servers are left out if it would be too long.
    pub fn encode(mut self) -> Vec<u8> {
        self.servers.truncate(MAX_SERVERS);
        self.titles.truncate(MAX_TITLES);
        self.viewers.truncate(MAX_VIEWERS);
        loop {
            match postcard::to_allocvec(&self) {
                Ok(bytes) if bytes.len() <= MAX_REPORT_BYTES => return bytes,
                _ if self.servers.pop().is_some() => {}
                _ => return Vec::new(),
            }
        }
    }

    /// Decodes a report.
    ///
    /// # Errors
    /// The bytes are no report, or one that no front could have sent.
    pub fn decode(bytes: &[u8]) -> Result<Report, ReportError> {
        if bytes.len() > MAX_REPORT_BYTES {
            return Err(ReportError);
        }
        let report: Report = postcard::from_bytes(bytes).map_err(|_| ReportError)?;
        if report.is_bounded() && report.has_valid_counts() && report.has_unique_servers() {
            Ok(report)
        } else {
            Err(ReportError)
        }
    }

    fn is_bounded(&self) -> bool {
        self.servers.len() <= MAX_SERVERS
            && self.titles.len() <= MAX_TITLES
            && self.viewers.len() <= MAX_VIEWERS
    }

    fn has_valid_counts(&self) -> bool {
        self.servers.iter().all(|server| server.counts.is_valid())
            && self.titles.iter().all(|title| title.failures <= title.attempts)
            && self.viewers.iter().all(|viewer| viewer.declined <= viewer.requests)
    }

    /// A server that is listed twice would count twice.
    fn has_unique_servers(&self) -> bool {
        let mut instances: Vec<ServerInstance> = self.servers.iter().map(|server| server.instance).collect();
        instances.sort();
        instances.dedup();
        instances.len() == self.servers.len()
    }

    /// The attempts at a server, if it is listed.
    pub fn of(&self, instance: ServerInstance) -> Option<&AttemptCounts> {
        self.servers.iter().find(|server| server.instance == instance).map(|server| &server.counts)
    }
}
