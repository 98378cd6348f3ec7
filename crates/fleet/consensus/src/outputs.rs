//! What a member wants done, with what must last before it.

use crate::membership::Membership;
use crate::message::Message;
use crate::types::{Entry, Index, NodeId, RequestError, RequestId, Snapshot, Term};

/// What a member must never forget beside its log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct HardState {
    /// The last term it knows of.
    pub term: Term,
    /// Whom it gave its vote in that term.
    pub vote: Option<NodeId>,
}

/// What is to last, together.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StateUpdate {
    /// Term and vote, if they changed.
    pub hard_state: Option<HardState>,
    /// A snapshot in place of the one before. Entries up to [`StateUpdate::compact_through`] go, and where the log did not go
    /// on from the snapshot, all of them ([`StateUpdate::truncate_from`]).
    pub snapshot: Option<Snapshot>,
    /// Entries up to here are in the snapshot and are let go.
    pub compact_through: Option<Index>,
    /// Entries from here on are not in the log any more.
    pub truncate_from: Option<Index>,
    /// Entries that were added, in order, behind what is left.
    pub entries: Vec<Entry>,
}

impl StateUpdate {
    /// Whether there is nothing to save.
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none()
            && self.snapshot.is_none()
            && self.compact_through.is_none()
            && self.truncate_from.is_none()
            && self.entries.is_empty()
    }

    pub(crate) fn cut(&mut self, from: Index) {
        self.truncate_from = Some(self.truncate_from.map_or(from, |f| f.min(from)));
        self.entries.retain(|e| e.at.index < from);
    }
}

/// Where a member's state lasts.
pub trait Storage {
    /// Why it does not.
    type Error;

    /// Makes all of it last, in one piece, before it returns. After an error the member must stop for good: nobody
    /// knows what the disk holds, and a second try may find nothing left to fail on.
    fn save(&mut self, save: &StateUpdate) -> Result<(), Self::Error>;
}

/// Reads that may be answered now from the replicated state, or may not.
pub type Reads = Vec<(RequestId, Result<(), RequestError>)>;

/// What may go out: everything before it lasts.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Ready {
    /// For other members.
    pub messages: Vec<Message>,
    /// The replicated state is to be replaced by this, before the entries below are applied.
    pub installed_snapshot: Option<Snapshot>,
    /// Committed entries to apply, in order, each once in the life of this process.
    pub committed_entries: Vec<Entry>,
    /// Proposals and changes that were taken, with their places, or not. One that was taken is committed when the
    /// entry of its place and term is.
    pub proposals: Vec<(RequestId, Result<crate::types::LogPosition, RequestError>)>,
    /// Reads.
    pub reads: Reads,
    /// The members have changed.
    pub membership: Option<Membership>,
}

/// What a member wants done. Nothing of it can be had but by [`PendingOutputs::persist`], so that nothing goes out before what it
/// depends on lasts. Inputs may be handled one after another into the same outputs: one save for all of them.
#[derive(Debug, Default)]
pub struct PendingOutputs {
    pub(crate) save: StateUpdate,
    pub(crate) ready: Ready,
    /// Planted by tests: what goes out whatever becomes of the save.
    pub(crate) early: Vec<Message>,
}

impl PendingOutputs {
    /// Whether there is anything to do.
    pub fn is_empty(&self) -> bool {
        self.save.is_empty() && self.ready == Ready::default() && self.early.is_empty()
    }

    /// Has the disk take what must last, then hands out the rest. On an error nothing comes out and the member must stop.
    pub fn persist<D: Storage>(&mut self, disk: &mut D) -> Result<Ready, D::Error> {
        let save = std::mem::take(&mut self.save);
        let mut released = std::mem::take(&mut self.ready);
        released.messages.extend(std::mem::take(&mut self.early));
        if !save.is_empty() {
            disk.save(&save)?;
        }
        Ok(released)
    }

    /// What a crash before the save lets out: nothing, but for planted faults.
    #[cfg(feature = "planted")]
    pub fn crash(&mut self) -> Vec<Message> {
        let early = std::mem::take(&mut self.early);
        *self = PendingOutputs::default();
        early
    }
}
