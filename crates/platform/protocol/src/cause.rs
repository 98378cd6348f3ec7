//! Causes of a release.

/// Why a session or a set-up is released, by the codes of Q.850.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// 16: the normal end; before the answer, the set-up is given up.
    Normal,
    /// 31: moved, or ended by the viewer.
    Cancelled,
    /// 34: no circuit: full, trying again is harmless.
    NoCircuit,
    /// 41: temporary failure: broken on its way.
    TemporaryFailure,
    /// 42: congestion: refused, trying again is harmless.
    Congestion,
    /// 47: resource unavailable: the media server erred.
    ResourceUnavailable,
    /// 96: something that a message must hold is missing.
    MissingElement,
    /// 100: something in a message makes no sense.
    InvalidElement,
    /// 102: a timer ran out: it never left, trying again is harmless.
    TimerExpiry,
    /// 111: a protocol error.
    Protocol,
    /// Any other.
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_code_is_itself_again() {
        for code in 0..=u8::MAX {
            assert_eq!(Cause::from(code).code(), code);
            assert!(!matches!(
                Cause::from(code),
                Cause::Other(16 | 31 | 34 | 41 | 42 | 47 | 96 | 100 | 102 | 111)
            ));
        }
    }
}
