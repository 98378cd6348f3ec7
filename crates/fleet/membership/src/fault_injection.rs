//! Faults that tests inject, one at a time, to show that the tests detect them.

/// A fault that a test injects into the protocol's implementation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A suspected member does not refute the suspicion.
    NoRefutation,
    /// No indirect probes are sent.
    NoIndirectProbes,
    /// A process that was paused counts the pause against other members.
    NoPauseDetection,
    /// Members do not exchange digests of their member lists.
    NoAntiEntropy,
}
