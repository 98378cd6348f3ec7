//! Who may write, and what became of the messages that they numbered last.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::messages::{Epoch, PublisherId, Refusal, Session, TopicAnswer, Writers};

/// Sessions of a topic at most. Past this the one that was heard of least lately is let go.
const MAX_SESSIONS: usize = 1024;
/// Answers that are kept of each session, and so messages that a publisher may have out at once.
pub(crate) const WINDOW: usize = 16;

/// A session.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Open {
    session: Session,
    epoch: Epoch,
    /// The number of the last message that was done.
    seq: u64,
    /// What became of the last ones, that one's last.
    answers: VecDeque<TopicAnswer>,
    /// Which of all that was asked of this topic it asked last.
    asked: u64,
}

/// All sessions of a topic.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub(crate) struct Sessions {
    open: BTreeMap<PublisherId, Open>,
    /// The last session that was given.
    last: u64,
    /// The highest epoch of any publisher.
    highest: Epoch,
    asked: u64,
}

/// A message whose number fits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Seen {
    /// It was done; this became of it.
    Done(TopicAnswer),
    /// It is to be done.
    New,
}

impl Sessions {
    /// A session for a publisher. Asked for again it is the same.
    pub(crate) fn begin(
        &mut self,
        publisher: PublisherId,
        epoch: Epoch,
        writers: Writers,
        any_epoch: bool,
    ) -> Result<Session, Refusal> {
        self.asked += 1;
        let fence = match writers {
            Writers::One => Some(self.highest),
            Writers::Many => self.open.get(&publisher).map(|o| o.epoch),
        };
        if let Some(fence) = fence.filter(|f| epoch < *f && !any_epoch) {
            return Err(Refusal::Fenced(fence));
        }
        self.highest = self.highest.max(epoch);
        if let Some(own) = self.open.get_mut(&publisher).filter(|o| o.epoch == epoch) {
            own.asked = self.asked;
            return Ok(own.session);
        }
        match writers {
            Writers::One => self.open.clear(),
            Writers::Many if self.open.len() >= MAX_SESSIONS => {
                if let Some(oldest) = self.open.iter().min_by_key(|(_, o)| o.asked).map(|(id, _)| *id) {
                    self.open.remove(&oldest);
                }
            }
            Writers::Many => {}
        }
        self.last += 1;
        let session = Session(self.last);
        let open = Open { session, epoch, seq: 0, answers: VecDeque::new(), asked: self.asked };
        self.open.insert(publisher, open);
        Ok(session)
    }

    /// Looks at a message's number.
    pub(crate) fn look(
        &mut self,
        publisher: PublisherId,
        session: Session,
        seq: u64,
        writers: Writers,
        gaps: bool,
    ) -> Result<Seen, Refusal> {
        self.asked += 1;
        let other = match writers {
            Writers::One if !self.open.is_empty() => Refusal::Fenced(self.highest),
            _ => Refusal::NoSession,
        };
        let own = self.open.get_mut(&publisher).filter(|o| o.session == session).ok_or(other)?;
        own.asked = self.asked;
        let next = own.seq + 1;
        if seq == next || (gaps && seq > next) {
            return Ok(Seen::New);
        }
        if seq > next {
            return Err(Refusal::Gap(next));
        }
        let back = usize::try_from(own.seq - seq).unwrap_or(usize::MAX);
        let kept = own.answers.len().checked_sub(back.saturating_add(1)).and_then(|n| own.answers.get(n));
        kept.map(|answer| Seen::Done(*answer)).ok_or(Refusal::Overtaken)
    }

    /// Keeps what became of a message.
    pub(crate) fn done(&mut self, publisher: PublisherId, seq: u64, answer: TopicAnswer) {
        if let Some(own) = self.open.get_mut(&publisher) {
            own.seq = seq;
            own.answers.push_back(answer);
            if own.answers.len() > WINDOW {
                own.answers.pop_front();
            }
        }
    }

    /// The highest epoch that began.
    pub(crate) fn highest(&self) -> Epoch {
        self.highest
    }

    /// Whether the numbers of what a snapshot has make sense.
    pub(crate) fn is_valid(&self) -> bool {
        self.open.len() <= MAX_SESSIONS
            && self.open.values().all(|o| o.answers.len() <= WINDOW && o.session.0 <= self.last)
    }
}

#[cfg(test)]
mod tests;
