//! Faults that tests inject, one at a time, to show that the tests detect them.

/// A fault of the protocol's implementation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A suspected member never refutes the suspicion.
    NoRefutation,
    /// No indirect probes are sent.
    NoIndirectProbes,
    /// A process that was paused counts its pause against other members.
    NoPauseDetection,
    /// Digests of member lists are never exchanged.
    NoAntiEntropy,
}
