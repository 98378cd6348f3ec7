//! Release causes with the codes of ITU-T Q.850.

/// Reason for the release of a session or a set-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Code 16, normal clearing. Before the answer it means that the set-up is abandoned.
    Normal,
    /// Code 31. The session was migrated, or released by its viewer.
    Cancelled,
    /// Code 34, no circuit available. The media server is full and did not process the set-up, so a retry is safe.
    NoCircuit,
    /// Code 41, temporary failure. The connection broke.
    TemporaryFailure,
    /// Code 42, congestion. The set-up was refused before it was processed, so a retry is safe.
    Congestion,
    /// Code 47, resource unavailable. The media server failed.
    ResourceUnavailable,
    /// Code 96. A mandatory element is missing.
    MissingElement,
    /// Code 100. The content of an element is not valid.
    InvalidElement,
    /// Code 102. A timer expired before the set-up was sent, so a retry is safe.
    TimerExpiry,
    /// Code 111. The peer violated the protocol.
    Protocol,
    /// A code without a variant.
    Other(u8),
}

impl Cause {
    /// Returns the code on the wire.
    pub fn code(self) -> u8 {
        match self {
            Cause::Normal => 16,
            Cause::Cancelled => 31,
            Cause::NoCircuit => 34,
            Cause::TemporaryFailure => 41,
            Cause::Congestion => 42,
            Cause::ResourceUnavailable => 47,
            Cause::MissingElement => 96,
            Cause::InvalidElement => 100,
            Cause::TimerExpiry => 102,
            Cause::Protocol => 111,
            Cause::Other(code) => code,
        }
    }
}

impl From<u8> for Cause {
    fn from(code: u8) -> Self {
        match code {
            16 => Cause::Normal,
            31 => Cause::Cancelled,
            34 => Cause::NoCircuit,
            41 => Cause::TemporaryFailure,
            42 => Cause::Congestion,
            47 => Cause::ResourceUnavailable,
            96 => Cause::MissingElement,
            100 => Cause::InvalidElement,
            102 => Cause::TimerExpiry,
            111 => Cause::Protocol,
            other => Cause::Other(other),
        }
    }
}
