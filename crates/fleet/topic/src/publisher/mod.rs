//! Publisher. It sends each message until it is answered or given up. The outcome of a message that was given up tells whether
//! it may have been written.

use std::collections::VecDeque;
use std::time::Duration;

use beechloft_leases::Name;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::messages::{
    Epoch, Expect, PublisherId, Refusal, Session, TopicAnswer, TopicOp, TopicRequest, TopicRequestId,
    TopicResponse,
};
use crate::record::{Record, Value};
use crate::sessions::MAX_IN_FLIGHT;

mod interface;

pub use interface::{Outcome, PublisherInput, PublisherOutput, PublisherSettings, PublisherTicket};

/// How the publisher gets its epochs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum WriteMode {
    /// One of several writers. The epoch counts the publisher's own sessions.
    Shared(Epoch),
    /// The only writer. The epoch is the fencing token of its lease.
    Exclusive(Epoch),
}

impl WriteMode {
    fn epoch(self) -> Epoch {
        match self {
            WriteMode::Shared(epoch) | WriteMode::Exclusive(epoch) => epoch,
        }
    }
}

#[derive(Debug, Clone)]
struct QueuedMessage {
    ticket: PublisherTicket,
    record: Record,
    expect: Expect,
    size: usize,
    deadline: Duration,
    settled: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// There is no session and none is needed yet.
    Idle,
    /// A session was requested.
    Opening,
    /// The session is open.
    Open { session: Session, first_seq: u64, sent_count: usize },
    /// Another writer has a higher epoch.
    Fenced,
}

/// Maximum budget for retransmissions, in tenths of a retransmission.
const MAX_RETRANSMIT_BUDGET: u32 = 2 * MAX_IN_FLIGHT as u32 * 10;
/// Budget that the first transmission of a message adds, in tenths of a retransmission.
const BUDGET_PER_FIRST_SEND: u32 = 2;

/// Publisher of one topic.
#[derive(Debug, Clone)]
pub struct Publisher {
    id: PublisherId,
    topic: Name,
    mode: WriteMode,
    settings: PublisherSettings,
    state: State,
    /// Messages in order. Those that were sent come first.
    queue: VecDeque<QueuedMessage>,
    bytes: usize,
    retransmit_at: Option<Duration>,
    attempts: u32,
    retransmit_budget: u32,
    rng: ChaCha8Rng,
    now: Duration,
}

impl Publisher {
    /// Creates a publisher for a topic with several writers. Each process draws a new random `id`.
    pub fn shared(id: PublisherId, topic: Name, settings: PublisherSettings, seed: u64) -> Publisher {
        Publisher::new(id, topic, WriteMode::Shared(Epoch(1)), settings, seed)
    }

    /// Creates the publisher of a topic with one writer, with the fencing token of its lease.
    pub fn exclusive(
        id: PublisherId,
        token: Epoch,
        topic: Name,
        settings: PublisherSettings,
        seed: u64,
    ) -> Publisher {
        Publisher::new(id, topic, WriteMode::Exclusive(token), settings, seed)
    }

    fn new(
        id: PublisherId,
        topic: Name,
        mode: WriteMode,
        settings: PublisherSettings,
        seed: u64,
    ) -> Publisher {
        Publisher {
            id,
            topic,
            mode,
            settings,
            state: State::Idle,
            queue: VecDeque::new(),
            bytes: 0,
            retransmit_at: None,
            attempts: 0,
            retransmit_budget: MAX_RETRANSMIT_BUDGET,
            rng: ChaCha8Rng::seed_from_u64(seed ^ id.0),
            now: Duration::ZERO,
        }
    }

    /// Returns the current id. An exclusive writer draws a new one when it gives up messages that were sent.
    pub fn id(&self) -> PublisherId {
        self.id
    }

    /// Returns the number of messages without an outcome.
    pub fn pending_messages(&self) -> usize {
        self.queue.iter().filter(|p| !p.settled).count()
    }

    /// Returns when the publisher needs the next tick, or `None` if it needs none.
    pub fn next_due(&self) -> Option<Duration> {
        let deadline = self.queue.iter().filter(|p| !p.settled).map(|p| p.deadline).min();
        [deadline, self.retransmit_at.filter(|_| deadline.is_some())].into_iter().flatten().min()
    }

    /// Handles an input. `now` is the reading of a monotonic clock.
    pub fn handle(&mut self, now: Duration, input: PublisherInput) -> Vec<PublisherOutput> {
        self.now = self.now.max(now);
        let mut out = Vec::new();
        match input {
            PublisherInput::Tick => {}
            PublisherInput::Publish { ticket, record, expect } => {
                self.enqueue(ticket, record, expect, &mut out)
            }
            PublisherInput::Response(response) => self.receive(&response, &mut out),
            PublisherInput::NotAccepted => {
                // The rejection of a single copy does not change the time of the next retransmission.
            }
        }
        self.expire(&mut out);
        self.retransmit(&mut out);
        self.send_new(&mut out);
        out
    }

    fn enqueue(
        &mut self,
        ticket: PublisherTicket,
        record: Record,
        expect: Expect,
        out: &mut Vec<PublisherOutput>,
    ) {
        let size = record.key.bytes().len() + record.value.as_ref().map_or(0, |v| Value::bytes(v).len());
        let refused = if self.state == State::Fenced {
            Some(Outcome::Refused(Refusal::Fenced(self.mode.epoch())))
        } else {
            let is_full = self.queue.len() >= self.settings.max_queued_messages
                || self.bytes + size > self.settings.max_queued_bytes;
            is_full.then_some(Outcome::QueueFull)
        };
        if let Some(outcome) = refused {
            return out.push(PublisherOutput::Settled(ticket, outcome));
        }
        self.bytes += size;
        let deadline = self.now + self.settings.delivery_timeout;
        self.queue.push_back(QueuedMessage { ticket, record, expect, size, deadline, settled: false });
    }

    fn receive(&mut self, response: &TopicResponse, out: &mut Vec<PublisherOutput>) {
        if response.publisher != self.id {
            return;
        }
        match (self.state, response.request_id, response.answer) {
            // The epoch must match. If messages were renumbered under the session of an earlier epoch, they would be taken for
            // its messages.
            (State::Opening, TopicRequestId::Session(epoch), answer) if epoch == self.mode.epoch() => {
                match answer {
                    TopicAnswer::Began(session) => {
                        self.state = State::Open { session, first_seq: 1, sent_count: 0 };
                        self.reset_retry();
                    }
                    TopicAnswer::Refused(refusal) => self.refuse_all(refusal, out),
                    TopicAnswer::Written(_) => {}
                }
            }
            (
                State::Open { session, first_seq, sent_count },
                TopicRequestId::Message(request_session, seq),
                answer,
            ) if session == request_session => {
                self.settle(first_seq, sent_count, seq, answer, out);
            }
            _ => {}
        }
    }

    /// Resets the backoff after a response.
    fn reset_retry(&mut self) {
        self.attempts = 0;
        self.retransmit_at = None;
    }

    /// Settles the message with the given sequence number.
    fn settle(
        &mut self,
        first_seq: u64,
        sent_count: usize,
        seq: u64,
        answer: TopicAnswer,
        out: &mut Vec<PublisherOutput>,
    ) {
        let outcome = match answer {
            TopicAnswer::Began(_) => return,
            // An earlier message was lost. The next retransmission sends both.
            TopicAnswer::Refused(Refusal::Gap(_)) => return,
            TopicAnswer::Refused(Refusal::AnswerEvicted) => Outcome::Unsure,
            TopicAnswer::Refused(Refusal::Fenced(epoch)) if epoch > self.mode.epoch() => {
                return self.fence(epoch, out);
            }
            TopicAnswer::Refused(Refusal::NoSession | Refusal::Fenced(_)) => return self.abandon(out),
            TopicAnswer::Refused(refusal) => Outcome::Refused(refusal),
            TopicAnswer::Written(offset) => Outcome::Written(offset),
        };
        let index =
            seq.checked_sub(first_seq).and_then(|n| usize::try_from(n).ok()).filter(|n| *n < sent_count);
        let Some(message) = index.and_then(|n| self.queue.get_mut(n)).filter(|p| !p.settled) else { return };
        message.settled = true;
        out.push(PublisherOutput::Settled(message.ticket, outcome));
        let mut removed = 0;
        while let Some(done) = self.queue.pop_front_if(|p| p.settled) {
            self.bytes -= done.size;
            removed += 1;
        }
        if let State::Open { first_seq: first, sent_count: count, .. } = &mut self.state {
            *first += removed as u64;
            *count -= removed;
        }
        self.reset_retry();
    }

    /// Settles all messages that were sent as unsure and closes the session. The rest is sent in a new session.
    fn abandon(&mut self, out: &mut Vec<PublisherOutput>) {
        if let State::Open { sent_count, .. } = self.state {
            for done in self.queue.drain(..sent_count.min(self.queue.len())) {
                self.bytes -= done.size;
                if !done.settled {
                    out.push(PublisherOutput::Settled(done.ticket, Outcome::Unsure));
                }
            }
            // A late copy of an abandoned message must not be written after a newer message. The new session prevents this by
            // ending the old one.
            match &mut self.mode {
                WriteMode::Shared(epoch) => epoch.0 += 1,
                WriteMode::Exclusive(_) => self.id = PublisherId(self.rng.random()),
            }
        }
        self.state = State::Idle;
        self.retransmit_at = None;
    }

    fn fence(&mut self, epoch: Epoch, out: &mut Vec<PublisherOutput>) {
        self.abandon(out);
        self.refuse_all(Refusal::Fenced(epoch), out);
    }

    /// Settles all messages as refused.
    fn refuse_all(&mut self, refusal: Refusal, out: &mut Vec<PublisherOutput>) {
        self.bytes = 0;
        for done in self.queue.drain(..) {
            out.push(PublisherOutput::Settled(done.ticket, Outcome::Refused(refusal)));
        }
        self.state = State::Idle;
        if let Refusal::Fenced(epoch) = refusal {
            match &mut self.mode {
                // An earlier session of this publisher had a higher epoch.
                WriteMode::Shared(own_epoch) => *own_epoch = Epoch(epoch.0 + 1),
                WriteMode::Exclusive(_) => {
                    self.state = State::Fenced;
                    out.push(PublisherOutput::Fenced(epoch));
                }
            }
        }
    }

    /// Returns the number of queued messages that were sent.
    fn sent_count(&self) -> usize {
        match self.state {
            State::Open { sent_count, .. } => sent_count,
            State::Idle | State::Opening | State::Fenced => 0,
        }
    }

    /// Gives up messages whose deadline has passed.
    fn expire(&mut self, out: &mut Vec<PublisherOutput>) {
        let now = self.now;
        // A sent message that can't be settled blocks all later ones, because they are numbered.
        if self.queue.iter().take(self.sent_count()).any(|p| !p.settled && now >= p.deadline) {
            self.abandon(out);
        }
        let sent_count = self.sent_count();
        let mut count = 0;
        let bytes = &mut self.bytes;
        self.queue.retain(|p| {
            count += 1;
            let has_expired = count > sent_count && now >= p.deadline;
            if has_expired {
                *bytes -= p.size;
                out.push(PublisherOutput::Settled(p.ticket, Outcome::TimedOut));
            }
            !has_expired
        });
    }

    fn send_request(&self, op: TopicOp) -> PublisherOutput {
        PublisherOutput::Send(TopicRequest { publisher: self.id, topic: self.topic.clone(), op })
    }

    fn publish_request(&self, session: Session, first_seq: u64, index: usize) -> Option<PublisherOutput> {
        let message = self.queue.get(index)?;
        let (record, expect) = (message.record.clone(), message.expect);
        let op = TopicOp::Publish { session, seq: first_seq + index as u64, record, expect };
        Some(self.send_request(op))
    }

    /// Sends the unanswered messages again when the retransmission is due.
    fn retransmit(&mut self, out: &mut Vec<PublisherOutput>) {
        if self.retransmit_at.is_none_or(|at| self.now < at) {
            return;
        }
        match self.state {
            State::Opening => out.push(self.begin_request()),
            State::Open { session, first_seq, sent_count } => {
                let unsettled: Vec<usize> =
                    (0..sent_count).filter(|n| self.queue.get(*n).is_some_and(|p| !p.settled)).collect();
                for (count, index) in unsettled.into_iter().enumerate() {
                    // The first message is always sent again, as nothing can proceed without it. The budget limits the others
                    // so that a slow replica does not receive all messages repeatedly.
                    if count > 0 && self.retransmit_budget < 10 {
                        break;
                    }
                    self.retransmit_budget = self.retransmit_budget.saturating_sub(10);
                    out.extend(self.publish_request(session, first_seq, index));
                }
            }
            State::Idle | State::Fenced => {}
        }
        self.attempts = self.attempts.saturating_add(1);
        self.schedule_retransmit();
    }

    fn schedule_retransmit(&mut self) {
        let (initial, max) = self.settings.retry_backoff;
        let max_wait = (initial * 2u32.saturating_pow(self.attempts.min(16))).min(max);
        let micros = max_wait.as_micros() as u64;
        let wait = Duration::from_micros(self.rng.random_range(micros / 2..=micros));
        self.retransmit_at = Some(self.now + wait);
    }

    fn begin_request(&self) -> PublisherOutput {
        self.send_request(TopicOp::Begin { epoch: self.mode.epoch() })
    }

    /// Sends queued messages for the first time, up to the maximum number in flight.
    fn send_new(&mut self, out: &mut Vec<PublisherOutput>) {
        if self.queue.is_empty() {
            self.retransmit_at = self.retransmit_at.filter(|_| self.state == State::Opening);
            return;
        }
        if self.state == State::Idle {
            self.state = State::Opening;
            out.push(self.begin_request());
            self.schedule_retransmit();
        }
        let State::Open { session, first_seq, mut sent_count } = self.state else { return };
        while sent_count < MAX_IN_FLIGHT.min(self.queue.len()) {
            out.extend(self.publish_request(session, first_seq, sent_count));
            self.retransmit_budget =
                (self.retransmit_budget + BUDGET_PER_FIRST_SEND).min(MAX_RETRANSMIT_BUDGET);
            sent_count += 1;
        }
        self.state = State::Open { session, first_seq, sent_count };
        if self.retransmit_at.is_none() {
            self.schedule_retransmit();
        }
    }
}
