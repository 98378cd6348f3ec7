//! Who publishes: each message is sent until it has its one answer, or until it is given up, and then it is said whether it may
//! have been written.

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
use crate::sessions::WINDOW;

mod interface;

pub use interface::{Outcome, PublisherInput, PublisherOutput, PublisherSettings, PublisherTicket};

/// By what right it writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Right {
    /// As one of many: the epoch is its own count of sessions.
    Own(Epoch),
    /// As the one writer, by the token of its lease.
    Token(Epoch),
}

impl Right {
    fn epoch(self) -> Epoch {
        match self {
            Right::Own(epoch) | Right::Token(epoch) => epoch,
        }
    }
}

#[derive(Debug, Clone)]
struct Pending {
    ticket: PublisherTicket,
    record: Record,
    expect: Expect,
    size: usize,
    until: Duration,
    settled: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// It has no session and needs none yet.
    Idle,
    /// It asks for a session.
    Beginning,
    /// It writes.
    Open { session: Session, first: u64, sent: usize },
    /// Another writes.
    Fenced,
}

/// Copies that may go out beyond first ones at once, and how much of a copy each first one pays for, in parts of ten.
const BUDGET: u32 = 2 * WINDOW as u32 * 10;
const PART: u32 = 2;

/// A publisher of one topic.
#[derive(Debug, Clone)]
pub struct Publisher {
    id: PublisherId,
    topic: Name,
    right: Right,
    settings: PublisherSettings,
    state: State,
    /// In order; those that were sent come first.
    queue: VecDeque<Pending>,
    bytes: usize,
    again_at: Option<Duration>,
    tries: u32,
    budget: u32,
    rng: ChaCha8Rng,
    now: Duration,
}

impl Publisher {
    /// One of many writers. `id` is drawn anew by each process.
    pub fn one_of_many(id: PublisherId, topic: Name, settings: PublisherSettings, seed: u64) -> Publisher {
        Publisher::new(id, topic, Right::Own(Epoch(1)), settings, seed)
    }

    /// The one writer, by the token of its lease.
    pub fn only(
        id: PublisherId,
        token: Epoch,
        topic: Name,
        settings: PublisherSettings,
        seed: u64,
    ) -> Publisher {
        Publisher::new(id, topic, Right::Token(token), settings, seed)
    }

    fn new(id: PublisherId, topic: Name, right: Right, settings: PublisherSettings, seed: u64) -> Publisher {
        Publisher {
            id,
            topic,
            right,
            settings,
            state: State::Idle,
            queue: VecDeque::new(),
            bytes: 0,
            again_at: None,
            tries: 0,
            budget: BUDGET,
            rng: ChaCha8Rng::seed_from_u64(seed ^ id.0),
            now: Duration::ZERO,
        }
    }

    /// Who it is now: where it is the one writer it takes another name after messages were given up.
    pub fn id(&self) -> PublisherId {
        self.id
    }

    /// Messages that wait or are out.
    pub fn waiting(&self) -> usize {
        self.queue.iter().filter(|p| !p.settled).count()
    }

    /// When it wants to hear of the time next.
    pub fn next_due(&self) -> Option<Duration> {
        let first = self.queue.iter().filter(|p| !p.settled).map(|p| p.until).min();
        [first, self.again_at.filter(|_| first.is_some())].into_iter().flatten().min()
    }

    /// Takes an input. `now` is a clock that never goes back.
    pub fn handle(&mut self, now: Duration, input: PublisherInput) -> Vec<PublisherOutput> {
        self.now = self.now.max(now);
        let mut out = Vec::new();
        match input {
            PublisherInput::Tick => {}
            PublisherInput::Publish { ticket, record, expect } => self.take(ticket, record, expect, &mut out),
            PublisherInput::Heard(heard) => self.heard(&heard, &mut out),
            PublisherInput::NotNow => {
                // Each copy that is turned away says so; the time of the next one stands.
            }
        }
        self.give_up(&mut out);
        self.again(&mut out);
        self.send(&mut out);
        out
    }

    fn take(
        &mut self,
        ticket: PublisherTicket,
        record: Record,
        expect: Expect,
        out: &mut Vec<PublisherOutput>,
    ) {
        let size = record.key.bytes().len() + record.value.as_ref().map_or(0, |v| Value::bytes(v).len());
        let refused = if self.state == State::Fenced {
            Some(Outcome::Refused(Refusal::Fenced(self.right.epoch())))
        } else {
            let full =
                self.queue.len() >= self.settings.queue || self.bytes + size > self.settings.queue_bytes;
            full.then_some(Outcome::QueueFull)
        };
        if let Some(outcome) = refused {
            return out.push(PublisherOutput::Settled(ticket, outcome));
        }
        self.bytes += size;
        let until = self.now + self.settings.give_up;
        self.queue.push_back(Pending { ticket, record, expect, size, until, settled: false });
    }

    fn heard(&mut self, heard: &TopicResponse, out: &mut Vec<PublisherOutput>) {
        if heard.publisher != self.id {
            return;
        }
        match (self.state, heard.ask, heard.answer) {
            // Of this epoch's and no other's: messages numbered anew under an old session would be taken for old ones.
            (State::Beginning, TopicRequestId::Session(epoch), answer) if epoch == self.right.epoch() => {
                match answer {
                    TopicAnswer::Began(session) => {
                        self.state = State::Open { session, first: 1, sent: 0 };
                        self.heard_of();
                    }
                    TopicAnswer::Refused(why) => self.refused_all(why, out),
                    TopicAnswer::Written(_) => {}
                }
            }
            (State::Open { session, first, sent }, TopicRequestId::Message(asked, seq), answer)
                if session == asked =>
            {
                self.answered(first, sent, seq, answer, out);
            }
            _ => {}
        }
    }

    /// Something came back: what goes out next starts anew with short waits.
    fn heard_of(&mut self) {
        self.tries = 0;
        self.again_at = None;
    }

    fn answered(
        &mut self,
        first: u64,
        sent: usize,
        seq: u64,
        answer: TopicAnswer,
        out: &mut Vec<PublisherOutput>,
    ) {
        let outcome = match answer {
            TopicAnswer::Began(_) => return,
            // A later one came before one that was lost on the way; the copies that are due bring both.
            TopicAnswer::Refused(Refusal::Gap(_)) => return,
            TopicAnswer::Refused(Refusal::Overtaken) => Outcome::Unsure,
            TopicAnswer::Refused(Refusal::Fenced(epoch)) if epoch > self.right.epoch() => {
                return self.fenced(epoch, out);
            }
            TopicAnswer::Refused(Refusal::NoSession | Refusal::Fenced(_)) => return self.abandon(out),
            TopicAnswer::Refused(why) => Outcome::Refused(why),
            TopicAnswer::Written(offset) => Outcome::Written(offset),
        };
        let place = seq.checked_sub(first).and_then(|n| usize::try_from(n).ok()).filter(|n| *n < sent);
        let Some(pending) = place.and_then(|n| self.queue.get_mut(n)).filter(|p| !p.settled) else { return };
        pending.settled = true;
        out.push(PublisherOutput::Settled(pending.ticket, outcome));
        let mut gone = 0;
        while let Some(done) = self.queue.pop_front_if(|p| p.settled) {
            self.bytes -= done.size;
            gone += 1;
        }
        if let State::Open { first, sent, .. } = &mut self.state {
            *first += gone as u64;
            *sent -= gone;
        }
        self.heard_of();
    }

    /// Settles all that may be out, and takes up what is not with a session of its own.
    fn abandon(&mut self, out: &mut Vec<PublisherOutput>) {
        if let State::Open { sent, .. } = self.state {
            for done in self.queue.drain(..sent.min(self.queue.len())) {
                self.bytes -= done.size;
                if !done.settled {
                    out.push(PublisherOutput::Settled(done.ticket, Outcome::Unsure));
                }
            }
            // What is out under the last session must not be written after what comes now: the next one ends it.
            match &mut self.right {
                Right::Own(epoch) => epoch.0 += 1,
                Right::Token(_) => self.id = PublisherId(self.rng.random()),
            }
        }
        self.state = State::Idle;
        self.again_at = None;
    }

    fn fenced(&mut self, epoch: Epoch, out: &mut Vec<PublisherOutput>) {
        self.abandon(out);
        self.refused_all(Refusal::Fenced(epoch), out);
    }

    fn refused_all(&mut self, why: Refusal, out: &mut Vec<PublisherOutput>) {
        self.bytes = 0;
        for done in self.queue.drain(..) {
            out.push(PublisherOutput::Settled(done.ticket, Outcome::Refused(why)));
        }
        self.state = State::Idle;
        if let Refusal::Fenced(epoch) = why {
            match &mut self.right {
                // Its own count was known to be higher: it goes on from there.
                Right::Own(own) => *own = Epoch(epoch.0 + 1),
                Right::Token(_) => {
                    self.state = State::Fenced;
                    out.push(PublisherOutput::Fenced(epoch));
                }
            }
        }
    }

    fn give_up(&mut self, out: &mut Vec<PublisherOutput>) {
        let sent = if let State::Open { sent, .. } = self.state { sent } else { 0 };
        let now = self.now;
        // One that is out and can't be settled holds up all after it: they are numbered.
        if self.queue.iter().take(sent).any(|p| !p.settled && now >= p.until) {
            self.abandon(out);
        }
        let sent = if let State::Open { sent, .. } = self.state { sent } else { 0 };
        let mut place = 0;
        let bytes = &mut self.bytes;
        self.queue.retain(|p| {
            place += 1;
            let over = place > sent && now >= p.until;
            if over {
                *bytes -= p.size;
                out.push(PublisherOutput::Settled(p.ticket, Outcome::TimedOut));
            }
            !over
        });
    }

    fn request(&self, op: TopicOp) -> PublisherOutput {
        PublisherOutput::Send(TopicRequest { publisher: self.id, topic: self.topic.clone(), op })
    }

    fn numbered(&self, session: Session, first: u64, place: usize) -> Option<PublisherOutput> {
        let pending = self.queue.get(place)?;
        let (record, expect) = (pending.record.clone(), pending.expect);
        let op = TopicOp::Publish { session, seq: first + place as u64, record, expect };
        Some(self.request(op))
    }

    /// Copies of what is out and has no answer, when it is time.
    fn again(&mut self, out: &mut Vec<PublisherOutput>) {
        if self.again_at.is_none_or(|at| self.now < at) {
            return;
        }
        match self.state {
            State::Beginning => out.push(self.begin()),
            State::Open { session, first, sent } => {
                let due: Vec<usize> =
                    (0..sent).filter(|n| self.queue.get(*n).is_some_and(|p| !p.settled)).collect();
                for (count, place) in due.into_iter().enumerate() {
                    // The first one always: without it nothing goes on. The others only as far as the budget lasts, so that a
                    // keeper that is slow is not sent everything over and over.
                    if count > 0 && self.budget < 10 {
                        break;
                    }
                    self.budget = self.budget.saturating_sub(10);
                    out.extend(self.numbered(session, first, place));
                }
            }
            State::Idle | State::Fenced => {}
        }
        self.tries = self.tries.saturating_add(1);
        self.rearm();
    }

    fn rearm(&mut self) {
        let (first, most) = self.settings.again;
        let wait = (first * 2u32.saturating_pow(self.tries.min(16))).min(most);
        let micros = wait.as_micros() as u64;
        let wait = Duration::from_micros(self.rng.random_range(micros / 2..=micros));
        self.again_at = Some(self.now + wait);
    }

    fn begin(&self) -> PublisherOutput {
        self.request(TopicOp::Begin { epoch: self.right.epoch() })
    }

    /// First copies, as many as may be out.
    fn send(&mut self, out: &mut Vec<PublisherOutput>) {
        if self.queue.is_empty() {
            self.again_at = self.again_at.filter(|_| self.state == State::Beginning);
            return;
        }
        if self.state == State::Idle {
            self.state = State::Beginning;
            out.push(self.begin());
            self.rearm();
        }
        let State::Open { session, first, mut sent } = self.state else { return };
        while sent < WINDOW.min(self.queue.len()) {
            out.extend(self.numbered(session, first, sent));
            self.budget = (self.budget + PART).min(BUDGET);
            sent += 1;
        }
        self.state = State::Open { session, first, sent };
        if self.again_at.is_none() {
            self.rearm();
        }
    }
}
