//! Models, limits of an exploration, and its results.

use std::fmt;
use std::time::Duration;

use crate::fingerprint::FingerprintHasher;

/// A system whose states are explored.
pub trait Model: Sync {
    /// State of the whole system: processes, storage, messages in flight, and the history that invariants need.
    type State: Clone + Send + Sync;
    /// Event that changes the state.
    type Action: Clone + fmt::Debug + Send + Sync;

    /// Returns the initial states. There may be several, for example if interesting states are far from the first one.
    fn initial_states(&self) -> Vec<Self::State>;
    /// Returns all events that are possible in a state.
    fn actions(&self, state: &Self::State) -> Vec<Self::Action>;
    /// Applies an event to a state.
    fn step(&self, state: &mut Self::State, action: &Self::Action);
    /// Hashes everything that determines the further behavior of a state, and nothing else.
    fn fingerprint(&self, state: &Self::State, hasher: &mut FingerprintHasher);
    /// Returns a description of the invariant that a state violates. Returns `None` if the state violates none.
    fn violation(&self, state: &Self::State) -> Option<String>;
}

/// The limits of an exploration.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of events in a sequence.
    pub depth: usize,
    /// Maximum number of states. The exploration ends incomplete when it is reached.
    pub states: usize,
    /// Number of threads.
    pub threads: usize,
}

/// The result of an exploration without a violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exploration {
    /// Number of distinct states.
    pub states: usize,
    /// Number of events that were performed.
    pub events: usize,
    /// Depth up to which all states were visited.
    pub depth: usize,
    /// Whether all states up to the requested depth were visited.
    pub complete: bool,
    /// Duration of the exploration.
    pub elapsed: Duration,
}

/// A violation of an invariant, and a shortest sequence of events that leads to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Counterexample<A> {
    /// Description of the violated invariant.
    pub violation: String,
    /// Index of the initial state.
    pub initial_state: usize,
    /// Events in order.
    pub trace: Vec<A>,
    /// Number of distinct states that were visited until then.
    pub states: usize,
}

/// Formats the violation with the numbers of events and states.
impl<A> fmt::Display for Counterexample<A> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} in {} events, {} states", self.violation, self.trace.len(), self.states)
    }
}
