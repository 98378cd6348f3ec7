//! What all components of the replicated state have in common.

use std::time::Duration;

use beechloft_consensus::RequestError;
use beechloft_leases::DriftBound;

use crate::input::ClientId;
use crate::output::ReplicaOutput;

/// The circumstances in which a component applies a command.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ApplyContext {
    /// The time by this replica's clock.
    pub now: Duration,
    /// How far the rates of clocks may differ.
    pub drift: DriftBound,
    /// Whether this replica is the leader, as far as it knows.
    pub is_leader: bool,
}

/// A component: a piece of the replicated state, what the leader does about time for it, and which clients are informed.
///
/// The state that `apply` produces must be the same at each replica, whatever the context: time enters the state through log
/// entries alone, which the leader proposes when they are due by its clock.
pub(crate) trait Component {
    /// Its commands in the log.
    type Command;
    /// A client that waits for the outcome of a command or a read.
    type Pending;

    /// Applies a committed command, and informs the client that waits for it here and those that watch.
    fn apply(
        &mut self,
        context: ApplyContext,
        command: Self::Command,
        pending: Option<Self::Pending>,
        out: &mut Vec<ReplicaOutput>,
    );
    /// Answers a read: the state has everything that was committed before it arrived.
    fn complete_read(&mut self, pending: Self::Pending, out: &mut Vec<ReplicaOutput>);
    /// A command or a read was rejected.
    fn reject(&mut self, pending: Self::Pending, error: RequestError, out: &mut Vec<ReplicaOutput>);
    /// This replica became the leader of a new term, or is no longer the leader (`context.is_leader`).
    fn leadership_changed(&mut self, context: ApplyContext);
    /// When a command may be due next, while this replica is the leader.
    fn next_due(&self) -> Option<Duration>;
    /// The commands that are due, to be proposed.
    fn due_commands(&mut self, now: Duration) -> Vec<Self::Command>;
    /// Adds notifications that are independent of the log.
    fn drain_notifications(&mut self, out: &mut Vec<ReplicaOutput>);
    /// The client's connection was closed.
    fn client_disconnected(&mut self, client: ClientId);
}
