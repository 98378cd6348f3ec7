//! What a node wants done, held back until the state that it depends on is durable.

use crate::entry::{Entry, Snapshot};
use crate::error::RequestError;
use crate::ids::{LogPosition, RequestId};
use crate::membership::Membership;
use crate::message::Message;
use crate::storage::{StateUpdate, Storage};

/// Reads that may now be answered from the replicated state, or were rejected.
pub type Reads = Vec<(RequestId, Result<(), RequestError>)>;

/// Outputs whose preconditions are durable.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Ready {
    /// Messages to other nodes.
    pub messages: Vec<Message>,
    /// A snapshot that replaces the replicated state, before the entries below are applied.
    pub installed_snapshot: Option<Snapshot>,
    /// Committed entries to apply, in order, each once in the life of this process.
    pub committed_entries: Vec<Entry>,
    /// Proposals and membership changes: either their positions in the log, or why they were rejected. A proposal is committed
    /// once the entry with its term and index is.
    pub proposals: Vec<(RequestId, Result<LogPosition, RequestError>)>,
    /// Answers to reads.
    pub reads: Reads,
    /// The membership, if it changed.
    pub membership: Option<Membership>,
}

/// What a node wants done. It is accessible only through [`PendingOutputs::persist`], so that nothing is sent before the state
/// that it depends on is durable. Several inputs may be handled into the same outputs, to share one write to the storage.
#[derive(Debug, Default)]
pub struct PendingOutputs {
    pub(crate) save: StateUpdate,
    pub(crate) ready: Ready,
    /// Only with an injected fault: messages that are sent whether the update becomes durable or not.
    pub(crate) early: Vec<Message>,
}

impl PendingOutputs {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.save.is_empty() && self.ready == Ready::default() && self.early.is_empty()
    }

    /// Saves the state update, then returns what depends on it.
    ///
    /// # Errors
    /// The storage failed. Nothing is returned, and the node must stop.
    pub fn persist<S: Storage>(&mut self, storage: &mut S) -> Result<Ready, S::Error> {
        let update = std::mem::take(&mut self.save);
        let mut ready = std::mem::take(&mut self.ready);
        ready.messages.extend(std::mem::take(&mut self.early));
        if !update.is_empty() {
            storage.save(&update)?;
        }
        Ok(ready)
    }

    /// What a crash before the save sends: nothing, except with an injected fault.
    #[cfg(feature = "fault_injection")]
    pub fn crash(&mut self) -> Vec<Message> {
        let early = std::mem::take(&mut self.early);
        *self = PendingOutputs::default();
        early
    }
}
