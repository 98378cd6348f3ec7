//! Outputs of a node, held back until the state that they depend on is durable.

use crate::entry::{Entry, Snapshot};
use crate::error::RequestError;
use crate::ids::{LogPosition, RequestId};
use crate::membership::Membership;
use crate::message::Message;
use crate::storage::{StateUpdate, Storage};

/// Results of reads. A successful read may now be answered from the replicated state.
pub type Reads = Vec<(RequestId, Result<(), RequestError>)>;

/// Outputs whose preconditions are durable.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Ready {
    /// Messages to other nodes.
    pub messages: Vec<Message>,
    /// Snapshot that replaces the replicated state before `committed_entries` are applied.
    pub installed_snapshot: Option<Snapshot>,
    /// Committed entries to apply, in order. Each entry is returned once per run of the process.
    pub committed_entries: Vec<Entry>,
    /// Results of proposals and membership changes, which are positions in the log or errors. A proposal is committed once the
    /// entry with its term and index is.
    pub proposals: Vec<(RequestId, Result<LogPosition, RequestError>)>,
    /// Results of reads.
    pub reads: Reads,
    /// New membership, if it changed.
    pub membership: Option<Membership>,
}

/// Outputs of a node and the state update that they depend on.
///
/// The outputs are accessible only through [`PendingOutputs::persist`], so that nothing is sent before the state that it depends
/// on is durable. Several inputs may be handled into the same outputs, to share one write to the storage.
#[derive(Debug, Default)]
pub struct PendingOutputs {
    pub(crate) update: StateUpdate,
    pub(crate) ready: Ready,
    /// Messages that are sent whether the update becomes durable or not. Used only with an injected fault.
    pub(crate) premature_messages: Vec<Message>,
}

impl PendingOutputs {
    /// Returns whether there are neither outputs nor state updates.
    pub fn is_empty(&self) -> bool {
        self.update.is_empty() && self.ready == Ready::default() && self.premature_messages.is_empty()
    }

    /// Saves the state update and then returns the outputs that depend on it.
    ///
    /// # Errors
    /// Returns the error of the storage if the save fails. The outputs are discarded, and the node must stop.
    pub fn persist<S: Storage>(&mut self, storage: &mut S) -> Result<Ready, S::Error> {
        let update = std::mem::take(&mut self.update);
        let mut ready = std::mem::take(&mut self.ready);
        ready.messages.extend(std::mem::take(&mut self.premature_messages));
        if !update.is_empty() {
            storage.save(&update)?;
        }
        Ok(ready)
    }

    /// Discards all outputs, as a crash before the save does. Returns the messages that an injected fault has already sent.
    #[cfg(feature = "fault_injection")]
    pub fn crash(&mut self) -> Vec<Message> {
        let premature_messages = std::mem::take(&mut self.premature_messages);
        *self = PendingOutputs::default();
        premature_messages
    }
}
