//! Limits of sizes, times and counts on a connection.

use std::time::Duration;

/// Limits of one connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Maximum length of a message's head, bytes.
    pub head_bytes: usize,
    /// Maximum number of header fields of a message.
    pub fields: usize,
    /// Maximum length of a body, bytes.
    pub body_bytes: usize,
    /// Maximum time from the first byte of a message to the end of its head.
    pub head_time: Duration,
    /// Maximum time from the end of the head to the end of the body.
    pub body_time: Duration,
    /// Maximum time between two messages.
    pub idle_time: Duration,
    /// Maximum time to write a message.
    pub write_time: Duration,
    /// Maximum number of messages on one connection.
    pub messages: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            head_bytes: 16 * 1024,
            fields: 64,
            body_bytes: 64 * 1024,
            head_time: Duration::from_secs(5),
            body_time: Duration::from_secs(5),
            idle_time: Duration::from_secs(15),
            write_time: Duration::from_secs(5),
            messages: 10_000,
        }
    }
}
