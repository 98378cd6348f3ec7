//! The interface that all components of the replicated state implement.

use std::time::Duration;

use beechloft_consensus::RequestError;
use beechloft_leases::DriftBound;

use crate::input::ClientId;
use crate::output::ReplicaOutput;

/// Local facts of the replica that a component may use when it applies a command.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ApplyContext {
    /// Time by this replica's clock.
    pub now: Duration,
    /// Bound of the difference between the rates of clocks.
    pub drift: DriftBound,
    /// Whether this replica believes that it is the leader.
    pub is_leader: bool,
}

/// A part of the replicated state, with the commands that the leader proposes by its clock and the notifications of clients.
///
/// The state that `apply` produces must be the same at each replica and must not depend on the context. Time changes the state
/// only through log entries, which the leader proposes when they are due by its clock.
pub(crate) trait Component {
    /// Command of this component in the log.
    type Command;
    /// Client request that waits for the outcome of a command or a read.
    type Pending;

    /// Applies a committed command, answers the client that waits for it at this replica, and notifies watchers.
    fn apply(
        &mut self,
        context: ApplyContext,
        command: Self::Command,
        pending: Option<Self::Pending>,
        out: &mut Vec<ReplicaOutput>,
    );
    /// Answers a read. The state includes everything that was committed before the read arrived.
    fn complete_read(&mut self, pending: Self::Pending, out: &mut Vec<ReplicaOutput>);
    /// Informs the client that its command or read was rejected.
    fn reject(&mut self, pending: Self::Pending, error: RequestError, out: &mut Vec<ReplicaOutput>);
    /// Handles that this replica became the leader of a new term, or lost the leadership. `context.is_leader` tells which.
    fn leadership_changed(&mut self, context: ApplyContext);
    /// Returns the earliest time at which a command may be due while this replica is the leader, or `None` if there is no such
    /// time.
    fn next_due(&self) -> Option<Duration>;
    /// Returns the commands that are due, which the leader proposes.
    fn due_commands(&mut self, now: Duration) -> Vec<Self::Command>;
    /// Moves notifications that do not result from log entries to `out`.
    fn drain_notifications(&mut self, out: &mut Vec<ReplicaOutput>);
    /// Removes what is kept for a client whose connection was closed.
    fn client_disconnected(&mut self, client: ClientId);
}
