//! One call: its state, its timers, and what is heard of it.

use std::time::{Duration, Instant};

use beechloft_checker::What;
use beechloft_checker::trace::Ending;

use super::text;
use super::text::{Heard, Names};
use super::{Spare, T1, Trunk};

/// Longest pause between two copies of a request other than INVITE.
const T2: Duration = Duration::from_secs(4);
/// After its caller has given up a call is looked after for so long.
const AFTER: Duration = Duration::from_secs(4);

#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum State {
    /// The INVITE is out; whether anything has come, and whether it was given up.
    Inviting { heard: bool, given_up: bool },
    /// The call stands.
    Standing,
    /// A BYE is out.
    Ending,
    /// It had its failure; further ones are acknowledged until it is forgotten.
    Failed,
}

#[derive(Debug)]
pub(super) struct Call {
    pub(super) names: Names,
    pub(super) state: State,
    pub(super) began: Instant,
    /// What its first final answer was.
    pub(super) first: Option<u16>,
    /// The next copy of what is out, and the pause after it.
    pub(super) next: Instant,
    pub(super) pause: Duration,
    /// When its present state ends.
    pub(super) until: Instant,
    pub(super) again: bool,
}

impl Trunk {
    /// One timer is kept for a call; a stale one finds nothing due and sets the right one.
    pub(super) fn arm(&mut self, id: u64) {
        if let Some(call) = self.calls.get(&id) {
            self.timers.insert((call.next.min(call.until), id));
        }
    }

    pub(super) fn due(&mut self, now: Instant) {
        while let Some((at, id)) = self.timers.first().copied().filter(|t| t.0 <= now) {
            self.timers.remove(&(at, id));
            let Some(call) = self.calls.get(&id) else { continue };
            if call.next.min(call.until) > now {
                // It was moved meanwhile; its own timer stands.
                continue;
            }
            if call.until <= now {
                self.times_out(id, now)
            } else {
                self.again(id, now)
            }
            self.arm(id);
        }
    }

    /// A copy of what is out.
    fn again(&mut self, id: u64, now: Instant) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.next = now + call.pause * 2;
        call.pause *= 2;
        let text = match call.state {
            State::Inviting { heard: false, .. } => {
                self.tally.repeated += 1;
                call.names.invite()
            }
            State::Inviting { given_up: true, .. } => call.names.cancel(),
            State::Ending => {
                call.pause = call.pause.min(T2);
                call.next = now + call.pause;
                call.names.bye()
            }
            State::Inviting { .. } | State::Standing | State::Failed => {
                call.next = call.until;
                return;
            }
        };
        self.send(&text);
    }

    fn times_out(&mut self, id: u64, now: Instant) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        match call.state {
            State::Inviting { heard, given_up: false } => {
                let ending = if heard { Ending::TimedOut } else { Ending::NotTaken };
                *(if heard { &mut self.tally.timed_out } else { &mut self.tally.not_taken }) += 1;
                call.state = State::Inviting { heard, given_up: true };
                (call.until, call.pause) = (now + AFTER, T1);
                call.next = if heard { now } else { call.until };
                let offer = call.names.offer.clone();
                self.ended(offer, ending, 0);
            }
            State::Standing => {
                let offer = call.names.offer.clone();
                call.state = State::Ending;
                (call.until, call.next, call.pause) = (now + 64 * T1, now + T1, T1);
                let bye = call.names.bye();
                if let Some(recorder) = &self.recorder {
                    recorder.note(What::Left { offer });
                }
                self.send(&bye);
            }
            State::Inviting { .. } | State::Ending | State::Failed => drop(self.calls.remove(&id)),
        }
    }

    fn ended(&self, offer: String, ending: Ending, extra: u32) {
        if let Some(recorder) = &self.recorder {
            recorder.note(What::Ended { offer, ending, extra });
        }
    }

    pub(super) fn heard(&mut self, now: Instant, bytes: &[u8]) {
        let Some(heard) = text::read(bytes) else { return };
        match heard {
            Heard::Request { id, answer, bye } => {
                self.send(&answer);
                if bye && self.calls.get(&id).is_some_and(|c| c.state == State::Standing) {
                    self.calls.remove(&id);
                }
            }
            Heard::Response { id, status, method, tag, spare } => {
                if let Some(spare) = spare {
                    self.spared(now, spare);
                }
                match method.as_str() {
                    "INVITE" => self.answered(now, id, status, &tag),
                    "BYE"
                        if status >= 200 && self.calls.get(&id).is_some_and(|c| c.state == State::Ending) =>
                    {
                        self.calls.remove(&id);
                    }
                    _ => {}
                }
                if status == 503 && self.plan.returns {
                    self.comes_back(now, id, bytes);
                }
            }
        }
    }

    /// A caller that was turned away with a time to come back does, once.
    fn comes_back(&mut self, now: Instant, id: u64, bytes: &[u8]) {
        let Some(call) = self.calls.get_mut(&id).filter(|c| !c.again) else { return };
        call.again = true;
        if let Some(after) = text::retry_after(bytes) {
            self.coming_back.insert((now + Duration::from_secs(after), id));
        }
    }

    /// The front's wish; an older one than the last is void (RFC 7339, section 5.3).
    pub(super) fn spared(&mut self, now: Instant, spare: text::Spare) {
        if self.spare.is_some_and(|s| s.seq >= spare.seq) {
            return;
        }
        let (low, high) = self.tally.spared.unwrap_or((spare.percent, spare.percent));
        self.tally.spared = Some((low.min(spare.percent), high.max(spare.percent)));
        let until = now + Duration::from_millis(spare.validity_ms);
        self.spare = Some(Spare { share: f64::from(spare.percent) / 100.0, until, seq: spare.seq });
    }

    fn answered(&mut self, now: Instant, id: u64, status: u16, tag: &str) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if status < 200 {
            if let State::Inviting { heard, .. } = &mut call.state {
                *heard = true;
                call.next = call.until;
            }
            return;
        }
        let before = call.first;
        let twice = before.is_some_and(|f| f != status);
        call.first.get_or_insert(status);
        call.names.tag = tag.to_owned();
        let offer = call.names.offer.clone();
        let given_up = matches!(call.state, State::Inviting { given_up: true, .. });
        let acks = if status < 300 { call.names.ack() } else { call.names.ack_of_failure() };
        if let State::Inviting { .. } = call.state {
            (call.state, call.until) = match (status, given_up) {
                (..300, false) => (State::Standing, now + self.plan.holds),
                // Nobody wants it any more: it is hung up.
                (..300, true) => (State::Standing, now),
                _ => (State::Failed, now + T1),
            };
            call.next = call.until;
        }
        let took = now.duration_since(call.began).as_micros() as u64;
        self.send(&acks);
        self.arm(id);
        self.tally.twice += u64::from(twice);
        if before.is_some() || given_up {
            return;
        }
        match status {
            ..300 => {
                self.tally.accepted += 1;
                self.tally.accepted_us.saturating_record(took);
                self.ended(offer, Ending::Status(201), 0);
            }
            _ => {
                *self.tally.refused.entry(status).or_default() += 1;
                self.tally.refused_us.saturating_record(took);
                self.ended(offer, Ending::Status(status), 0);
            }
        }
    }
}
