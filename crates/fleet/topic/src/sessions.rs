//! Who may write, and what became of the messages that they numbered last.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::words::{Epoch, PublisherId, Refusal, Session, TopicAnswer, Writers};

/// Sessions of a topic at most. Past this the one that was heard of least lately is let go.
const MOST_SESSIONS: usize = 1024;
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
            Writers::Many if self.open.len() >= MOST_SESSIONS => {
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
    pub(crate) fn is_sound(&self) -> bool {
        self.open.len() <= MOST_SESSIONS
            && self.open.values().all(|o| o.answers.len() <= WINDOW && o.session.0 <= self.last)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::words::Offset;

    const A: PublisherId = PublisherId(1);
    const B: PublisherId = PublisherId(2);

    #[test]
    fn a_number_is_done_once_and_in_order() {
        let mut s = Sessions::default();
        let session = s.begin(A, Epoch(0), Writers::Many, false).expect("a session");
        assert_eq!(s.begin(A, Epoch(0), Writers::Many, false), Ok(session));
        let written = |n| TopicAnswer::Written(Offset(n));
        for seq in 1..=40 {
            assert_eq!(s.look(A, session, seq + 1, Writers::Many, false), Err(Refusal::Gap(seq)));
            assert_eq!(s.look(A, session, seq, Writers::Many, false), Ok(Seen::New));
            s.done(A, seq, written(seq));
        }
        for seq in 0..=40 {
            let kept = if seq > 24 { Ok(Seen::Done(written(seq))) } else { Err(Refusal::Overtaken) };
            assert_eq!(s.look(A, session, seq, Writers::Many, false), kept, "{seq}");
        }
        assert_eq!(s.look(B, session, 41, Writers::Many, false), Err(Refusal::NoSession));
        assert_eq!(s.look(A, Session(9), 41, Writers::Many, false), Err(Refusal::NoSession));
    }

    #[test]
    fn epochs_fence_and_one_writer_ends_the_one_before() {
        let mut s = Sessions::default();
        let first = s.begin(A, Epoch(5), Writers::One, false).expect("a session");
        assert_eq!(s.begin(B, Epoch(4), Writers::One, false), Err(Refusal::Fenced(Epoch(5))));
        let second = s.begin(B, Epoch(7), Writers::One, false).expect("a session");
        assert!(second > first);
        assert_eq!(s.look(A, first, 1, Writers::One, false), Err(Refusal::Fenced(Epoch(7))));
        assert_eq!(s.begin(A, Epoch(6), Writers::One, false), Err(Refusal::Fenced(Epoch(7))));
        // With many writers each has its own.
        let mut s = Sessions::default();
        s.begin(A, Epoch(5), Writers::Many, false).expect("a session");
        s.begin(B, Epoch(1), Writers::Many, false).expect("a session");
        assert_eq!(s.begin(A, Epoch(4), Writers::Many, false), Err(Refusal::Fenced(Epoch(5))));
    }

    #[test]
    fn a_session_that_was_let_go_is_never_known_again() {
        let mut s = Sessions::default();
        let old = s.begin(A, Epoch(0), Writers::Many, false).expect("a session");
        for other in 10..10 + MOST_SESSIONS as u64 {
            s.begin(PublisherId(other), Epoch(0), Writers::Many, false).expect("a session");
        }
        assert!(s.is_sound());
        assert_eq!(s.look(A, old, 1, Writers::Many, false), Err(Refusal::NoSession));
        let new = s.begin(A, Epoch(0), Writers::Many, false).expect("a session");
        assert_ne!(new, old);
        assert_eq!(s.look(A, old, 1, Writers::Many, false), Err(Refusal::NoSession));
    }
}
