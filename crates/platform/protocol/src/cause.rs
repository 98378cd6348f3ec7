//! Causes of a release, by the codes of ITU-T Q.850.

/// Why a session or a set-up is released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// 16: normal clearing; before the answer, the set-up is abandoned.
    Normal,
    /// 31: the session was moved, or released by its viewer.
    Cancelled,
    /// 34: no circuit available: the server is full and ran nothing, so a retry is safe.
    NoCircuit,
    /// 41: temporary failure: the connection broke.
    TemporaryFailure,
    /// 42: congestion: refused before anything ran, so a retry is safe.
    Congestion,
    /// 47: resource unavailable: an error of the media server.
    ResourceUnavailable,
    /// 96: a mandatory element is missing.
    MissingElement,
    /// 100: an element's content is not valid.
    InvalidElement,
    /// 102: a timer expired before the set-up was sent, so a retry is safe.
    TimerExpiry,
    /// 111: a protocol error.
    Protocol,
    /// Any other code.
    Other(u8),
}

impl Cause {
    /// The code on the wire.
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
