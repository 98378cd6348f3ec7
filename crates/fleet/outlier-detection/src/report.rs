//! The report of a front on the attempts in its window.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum size of an encoded report in bytes.
pub const MAX_REPORT_BYTES: usize = 560;
/// Maximum number of servers in a report.
pub(crate) const MAX_SERVERS: usize = 24;
/// Maximum number of titles in a report.
pub(crate) const MAX_TITLES: usize = 8;
/// Maximum number of viewers in a report.
pub(crate) const MAX_VIEWERS: usize = 4;

/// One run of a media server's process. A restarted server is another instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerInstance {
    /// The server's index in the endpoint list.
    pub server: u32,
    /// Hash of the boot id that the process reports, or 0 if the id is not known yet.
    pub boot_hash: u32,
}

impl ServerInstance {
    /// Returns the instance of a server whose process reports the boot id `boot`.
    pub fn new(server: u32, boot: Option<u64>) -> ServerInstance {
        ServerInstance { server, boot_hash: boot.map_or(0, boot_hash) }
    }
}

#[expect(clippy::cast_possible_truncation, reason = "the upper half is folded into the lower one")]
fn boot_hash(boot: u64) -> u32 {
    ((boot ^ (boot >> 32)) as u32).max(1)
}

/// Counts of the attempts at one server in a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// Number of attempts.
    pub attempts: u16,
    /// Number of attempts that ended with an error or without a connection.
    pub errors: u16,
    /// Number of attempts that were not answered in time.
    pub timeouts: u16,
    /// Number of attempts that succeeded late.
    pub slow: u16,
    /// Number of attempts at other servers of the zone that succeeded between the first failure at this server and the last.
    pub zone_successes: u8,
    /// Number of attempts at other servers of the zone that failed between the first failure at this server and the last.
    pub zone_failures: u8,
    /// Number of probes that succeeded.
    pub probe_successes: u8,
    /// Number of probes that failed.
    pub probe_failures: u8,
}

impl AttemptCounts {
    /// Returns the number of attempts that count against the server: errors, timeouts and slow successes.
    pub fn failures(&self) -> u32 {
        u32::from(self.errors) + u32::from(self.timeouts) + u32::from(self.slow)
    }

    /// Returns whether there were failures and at least half of the attempts failed.
    pub fn is_failing(&self) -> bool {
        self.failures() > 0 && self.failures() * 2 >= u32::from(self.attempts)
    }

    /// Returns whether there were attempts and most of them succeeded.
    pub fn is_healthy(&self) -> bool {
        self.attempts > 0 && !self.is_failing()
    }

    fn is_valid(&self) -> bool {
        self.failures() <= u32::from(self.attempts)
            && u16::from(self.probe_successes) + u16::from(self.probe_failures) <= self.attempts
    }
}

/// A server and the counts of the attempts at it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerReport {
    /// The server.
    pub instance: ServerInstance,
    /// The counts of the attempts.
    pub counts: AttemptCounts,
}

/// Counts of the attempts for one title at one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TitleReport {
    /// The server.
    pub instance: ServerInstance,
    /// The key of the title, from [`title_key`].
    pub title: u32,
    /// Number of attempts.
    pub attempts: u16,
    /// Number of attempts that failed.
    pub failures: u16,
}

/// Counts of the requests of one viewer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ViewerReport {
    /// Hash of the viewer's address.
    pub viewer: u64,
    /// Number of requests.
    pub requests: u16,
    /// Number of requests that servers declined.
    pub declined: u16,
}

/// The report of a front on the attempts in its window.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Report {
    /// Counts by server.
    pub servers: Vec<ServerReport>,
    /// Counts by title and server.
    pub titles: Vec<TitleReport>,
    /// Counts by viewer.
    pub viewers: Vec<ViewerReport>,
}

/// Error of decoding bytes that are not a valid report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("invalid outlier report")]
pub struct ReportError;

/// Returns the key of a title among those of a server: the 32-bit FNV-1a hash of its name.
pub fn title_key(name: &str) -> u32 {
    const OFFSET_BASIS: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    name.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(PRIME))
}

impl Report {
    /// Encodes the report.
    ///
    /// Its last servers are left out if it would exceed [`MAX_REPORT_BYTES`].
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
    /// Returns an error if the bytes are not a report or contain values that no front sends.
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

    /// Returns whether each server is listed once. A server that is listed twice would count twice.
    fn has_unique_servers(&self) -> bool {
        let mut instances: Vec<ServerInstance> = self.servers.iter().map(|server| server.instance).collect();
        instances.sort();
        instances.dedup();
        instances.len() == self.servers.len()
    }

    /// Returns the counts of the attempts at a server, or `None` if the report does not list it.
    pub fn counts_of(&self, instance: ServerInstance) -> Option<&AttemptCounts> {
        self.servers.iter().find(|server| server.instance == instance).map(|server| &server.counts)
    }
}
