//! Sessions of a topic's publishers, with the answers to their latest messages for deduplication.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::messages::{Epoch, PublisherId, Refusal, Session, TopicAnswer, Writers};

/// Maximum number of sessions of a topic. Beyond it, the least recently used session is evicted.
const MAX_SESSIONS: usize = 1024;
/// Number of answers that are stored for each session, and thus the maximum number of messages that a publisher may have in
/// flight.
pub(crate) const MAX_IN_FLIGHT: usize = 16;

/// State of an open session.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct OpenSession {
    session: Session,
    epoch: Epoch,
    /// Sequence number of the last message.
    last_seq: u64,
    /// Answers to the last messages, the newest last.
    answers: VecDeque<TopicAnswer>,
    /// Value of [`Sessions::request_count`] at the last request of this session.
    last_request: u64,
}

/// All open sessions of a topic.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub(crate) struct Sessions {
    open: BTreeMap<PublisherId, OpenSession>,
    /// Id of the last session that was opened.
    last_session: u64,
    /// Highest epoch of any session.
    highest_epoch: Epoch,
    /// Number of requests so far, as a logical clock for eviction.
    request_count: u64,
}

/// Result of the check of a sequence number that is not refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SequenceCheck {
    /// The message was processed before, with this answer.
    Duplicate(TopicAnswer),
    /// The message is the next one.
    New,
}

impl Sessions {
    /// Opens a session. A repeated request returns the same session.
    pub(crate) fn begin(
        &mut self,
        publisher: PublisherId,
        epoch: Epoch,
        writers: Writers,
        accepts_any_epoch: bool,
    ) -> Result<Session, Refusal> {
        self.request_count += 1;
        let fence = match writers {
            Writers::One => Some(self.highest_epoch),
            Writers::Many => self.open.get(&publisher).map(|o| o.epoch),
        };
        if let Some(fence) = fence.filter(|f| epoch < *f && !accepts_any_epoch) {
            return Err(Refusal::Fenced(fence));
        }
        self.highest_epoch = self.highest_epoch.max(epoch);
        if let Some(own) = self.open.get_mut(&publisher).filter(|o| o.epoch == epoch) {
            own.last_request = self.request_count;
            return Ok(own.session);
        }
        match writers {
            Writers::One => self.open.clear(),
            Writers::Many if self.open.len() >= MAX_SESSIONS => {
                if let Some(oldest) = self.open.iter().min_by_key(|(_, o)| o.last_request).map(|(id, _)| *id)
                {
                    self.open.remove(&oldest);
                }
            }
            Writers::Many => {}
        }
        self.last_session += 1;
        let session = Session(self.last_session);
        let open = OpenSession {
            session,
            epoch,
            last_seq: 0,
            answers: VecDeque::new(),
            last_request: self.request_count,
        };
        self.open.insert(publisher, open);
        Ok(session)
    }

    /// Checks the sequence number of a message.
    pub(crate) fn check_sequence(
        &mut self,
        publisher: PublisherId,
        session: Session,
        seq: u64,
        writers: Writers,
        accepts_gaps: bool,
    ) -> Result<SequenceCheck, Refusal> {
        self.request_count += 1;
        let refusal = match writers {
            Writers::One if !self.open.is_empty() => Refusal::Fenced(self.highest_epoch),
            _ => Refusal::NoSession,
        };
        let own = self.open.get_mut(&publisher).filter(|o| o.session == session).ok_or(refusal)?;
        own.last_request = self.request_count;
        let next = own.last_seq + 1;
        if seq == next || (accepts_gaps && seq > next) {
            return Ok(SequenceCheck::New);
        }
        if seq > next {
            return Err(Refusal::Gap(next));
        }
        let age = usize::try_from(own.last_seq - seq).unwrap_or(usize::MAX);
        let kept = own.answers.len().checked_sub(age.saturating_add(1)).and_then(|n| own.answers.get(n));
        kept.map(|answer| SequenceCheck::Duplicate(*answer)).ok_or(Refusal::AnswerEvicted)
    }

    /// Stores the answer to a message.
    pub(crate) fn record_answer(&mut self, publisher: PublisherId, seq: u64, answer: TopicAnswer) {
        if let Some(own) = self.open.get_mut(&publisher) {
            own.last_seq = seq;
            own.answers.push_back(answer);
            if own.answers.len() > MAX_IN_FLIGHT {
                own.answers.pop_front();
            }
        }
    }

    /// Returns the highest epoch of any session.
    pub(crate) fn highest_epoch(&self) -> Epoch {
        self.highest_epoch
    }

    /// Returns whether sessions read from a snapshot are within their limits.
    pub(crate) fn is_valid(&self) -> bool {
        self.open.len() <= MAX_SESSIONS
            && self
                .open
                .values()
                .all(|o| o.answers.len() <= MAX_IN_FLIGHT && o.session.0 <= self.last_session)
    }
}

#[cfg(test)]
mod tests;
