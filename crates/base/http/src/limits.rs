//! Bounds of a connection.

use std::time::Duration;

/// What one connection may ask of us.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a message's head.
    pub head_bytes: usize,
    /// Header fields of a message.
    pub fields: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// From the first byte of a message to the end of its head.
    pub head_time: Duration,
    /// From the end of the head to the end of the body.
    pub body_time: Duration,
    /// Between two messages.
    pub idle_time: Duration,
    /// For a message to be written.
    pub write_time: Duration,
    /// Messages on one connection.
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
