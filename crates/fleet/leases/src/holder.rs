//! Who asks for a lease, renews it, and lets others act by it.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use thiserror::Error;

use crate::drift::Drift;
use crate::planted::Fault;
use crate::words::{
    Answer, Heard, HolderId, Inherited, Name, Op, Request, Seated, Standing, Token, Unable, Will,
};

/// What is asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Terms {
    /// The task.
    pub name: Name,
    /// Holders at once at most.
    pub places: u16,
    /// For how long each time, milliseconds.
    pub ttl_ms: u32,
}

/// What must be left of a lease's time once the drift is off: half a dozen tries to renew it, each answered by a sync of a
/// majority's disks, and a new leader's election among them.
const LEAST: Duration = Duration::from_millis(450);

/// Terms that can't be kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum TermsError {
    /// The time is too short.
    #[error("{ttl_ms} ms leave {left_ms} ms after a drift of {ppm} ppm, and {least} are needed to renew it", least = LEAST.as_millis())]
    Short {
        /// As asked for.
        ttl_ms: u32,
        /// What the drift leaves.
        left_ms: u64,
        /// The drift.
        ppm: u32,
    },
}

impl Terms {
    /// Whether a holder has time to renew them.
    ///
    /// # Errors
    /// The time is under what the drift allows.
    pub fn check(&self, drift: Drift) -> Result<(), TermsError> {
        let ttl_ms = self.ttl_ms;
        let left = drift.shorter(Duration::from_millis(u64::from(ttl_ms)));
        let left_ms = left.as_millis() as u64;
        if left < LEAST { Err(TermsError::Short { ttl_ms, left_ms, ppm: drift.as_ppm() }) } else { Ok(()) }
    }
}

/// What a holder that has a seat leaves with its place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Farewell {
    /// Of how many its number was.
    pub of: u32,
    /// For so long, milliseconds, what it did by its number still counts.
    pub rest_ms: u32,
    /// For so long, milliseconds, the place is kept for the next one of its seat.
    pub keep_ms: u32,
}

/// What a holder hears.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HolderInput {
    /// Only time has passed.
    Tick,
    /// The lease is wanted from now on.
    Want,
    /// It is wanted no more. Whoever acts by it has stopped.
    GiveBack,
    /// Whoever acts by it has stopped for good, and the place is left to the next one of its seat; given back, if it has none.
    Leave(Farewell),
    /// A keeper's word.
    Heard(Heard),
}

/// What a holder wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HolderOutput {
    /// For the keeper that leads, or for any other if that one did not answer.
    Send(Request),
    /// It is held from now on.
    Held(Token),
    /// It is held no more: whatever acts must stop before it is looked at again. Told when its time has run out, or a
    /// keeper says so.
    Lost(Token),
    /// It can't be had as it was asked for, now or later.
    Never(Unable),
}

/// A request that is out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Out {
    seq: u64,
    /// When it was made, before any copy of it left.
    made: Duration,
    again_at: Duration,
    tries: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum State {
    /// Nothing is wanted.
    Idle,
    /// It is asked for.
    Asking(Out),
    /// Others have it; asked again at this time.
    Waiting(Duration),
    /// It is held until a time, by a token.
    Held {
        token: Token,
        standing: Standing,
        seated: Seated,
        until: Duration,
        renew_at: Duration,
        renewal: Option<Out>,
    },
    /// It is being given back, or left; nobody acts by it any more.
    GivingBack { token: Token, until: Duration, out: Out, will: Option<Will> },
}

/// A right to act until a time. It is not to be copied, and its token is had for the present moment alone: a process that
/// was stopped in between finds it over.
#[derive(Debug)]
pub struct Permit {
    token: Token,
    standing: Standing,
    inherited: Option<Inherited>,
    until: Duration,
}

impl Permit {
    /// The token to act by now; none: it is over. `now` is read after all else, right before the act, from the clock that the
    /// holder goes by.
    pub fn token_at(&self, now: Duration) -> Option<Token> {
        (now < self.until).then_some(self.token)
    }

    /// Where the grant stood among all of its task when it was last renewed.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// What goes with its place, if the place was left to this holder.
    pub fn inherited(&self) -> Option<Inherited> {
        self.inherited
    }

    /// When it is over, unless the lease is renewed and another permit taken.
    pub fn until(&self) -> Duration {
        self.until
    }
}

/// Who asks for one lease.
#[derive(Debug, Clone)]
pub struct Holder {
    id: HolderId,
    terms: Terms,
    seat: Option<Name>,
    drift: Drift,
    state: State,
    /// Its place is kept for the next one of its seat.
    left: bool,
    seq: u64,
    rng: ChaCha8Rng,
    now: Duration,
    fault: Option<Fault>,
}

/// All that decides what it does next, but for what is drawn by chance.
impl std::hash::Hash for Holder {
    fn hash<H: std::hash::Hasher>(&self, into: &mut H) {
        (self.id, &self.state, self.seq, self.now).hash(into);
    }
}

/// From one copy of a request to the next, at first and at most; twice as long after each, up to eight times, but for
/// renewals, which have no time for that.
const AGAIN: Duration = Duration::from_millis(150);

impl Holder {
    /// Nothing is asked for yet. `id` is drawn anew by each process.
    pub fn new(id: HolderId, terms: Terms, drift: Drift, seed: u64) -> Holder {
        let rng = ChaCha8Rng::seed_from_u64(seed ^ id.0);
        Holder {
            id,
            terms,
            seat: None,
            drift,
            state: State::Idle,
            left: false,
            seq: 0,
            rng,
            now: Duration::ZERO,
            fault: None,
        }
    }

    /// The same in a seat: it takes over what was left for it, and may leave its own place to the next one. At one time one
    /// process sits there; if two do, the places are two.
    pub fn seated(mut self, seat: Name) -> Holder {
        self.seat = Some(seat);
        self
    }

    /// Plants a fault.
    #[cfg(feature = "planted")]
    pub fn plant(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn planted(&self, fault: Fault) -> bool {
        cfg!(feature = "planted") && self.fault == Some(fault)
    }

    fn ttl(&self) -> Duration {
        Duration::from_millis(u64::from(self.terms.ttl_ms))
    }

    /// How long it may act, counted from before it asked.
    fn time(&self) -> Duration {
        if self.planted(Fault::NoDrift) { self.ttl() } else { self.drift.shorter(self.ttl()) }
    }

    /// Who it is.
    pub fn id(&self) -> HolderId {
        self.id
    }

    /// A right to act, if it holds the lease now.
    pub fn permit(&self, now: Duration) -> Option<Permit> {
        match self.state {
            State::Held { token, standing, seated, until, .. } if now < until => {
                Some(Permit { token, standing, inherited: seated.inherited, until })
            }
            _ => None,
        }
    }

    /// When it wants to hear of the time next.
    pub fn next_due(&self) -> Option<Duration> {
        match &self.state {
            State::Idle => None,
            State::Asking(out) => Some(out.again_at),
            State::Waiting(at) => Some(*at),
            State::Held { until, renew_at, renewal, .. } => {
                Some(renewal.map_or(*renew_at, |r| r.again_at).min(*until))
            }
            State::GivingBack { until, out, .. } => Some(out.again_at.min(*until)),
        }
    }

    /// Whether nothing is held and nothing is out.
    pub fn is_idle(&self) -> bool {
        self.state == State::Idle
    }

    /// Whether its place is kept for the next one of its seat.
    pub fn has_left(&self) -> bool {
        self.left
    }

    /// Takes an input. `now` is the clock that permits are looked at by; it never goes back.
    pub fn handle(&mut self, now: Duration, input: HolderInput) -> Vec<HolderOutput> {
        self.now = self.now.max(now);
        let mut out = Vec::new();
        // Before anything that is said: a process that was stopped beyond its time has lost it, whatever waits for it.
        self.run_out(&mut out);
        match input {
            HolderInput::Tick => self.tick(&mut out),
            HolderInput::Want if self.state == State::Idle => self.ask(&mut out),
            HolderInput::Want => {}
            HolderInput::GiveBack => self.give_back(None, &mut out),
            HolderInput::Leave(farewell) => self.give_back(Some(farewell), &mut out),
            HolderInput::Heard(heard) => self.heard(&heard, &mut out),
        }
        out
    }

    fn run_out(&mut self, out: &mut Vec<HolderOutput>) {
        match self.state {
            State::Held { token, until, .. } if self.now >= until => {
                out.push(HolderOutput::Lost(token));
                self.ask(out);
            }
            State::GivingBack { until, .. } if self.now >= until => self.state = State::Idle,
            _ => {}
        }
    }

    /// A wait of about this: between a half of it and all of it, by chance, so that those who fail together do not come again
    /// together.
    fn about(&mut self, span: Duration) -> Duration {
        let micros = span.as_micros() as u64;
        Duration::from_micros(self.rng.random_range(micros / 2..=micros))
    }

    fn new_out(&mut self) -> Out {
        self.seq += 1;
        let again = self.about(self.again_after());
        Out { seq: self.seq, made: self.now, again_at: self.now + again, tries: 1 }
    }

    fn send(&self, seq: u64, op: Op) -> HolderOutput {
        HolderOutput::Send(Request { holder: self.id, seq, op })
    }

    fn acquire(&self) -> Op {
        let Terms { name, places, ttl_ms } = self.terms.clone();
        match self.seat.clone() {
            Some(seat) => Op::AcquireAs { name, places, ttl_ms, seat },
            None => Op::Acquire { name, places, ttl_ms },
        }
    }

    /// How a grant ends that nobody acts by any more.
    fn ending(&self, token: Token, will: Option<Will>) -> Op {
        let name = self.terms.name.clone();
        match will {
            Some(will) => Op::Leave { name, token, will },
            None => Op::Release { name, token },
        }
    }

    fn ask(&mut self, out: &mut Vec<HolderOutput>) {
        let new = self.new_out();
        self.state = State::Asking(new);
        out.push(self.send(new.seq, self.acquire()));
    }

    fn give_back(&mut self, farewell: Option<Farewell>, out: &mut Vec<HolderOutput>) {
        match self.state {
            State::Held { token, until, seated, .. } => {
                let new = self.new_out();
                let farewell = farewell.filter(|_| self.seat.is_some());
                let will = farewell.map(|Farewell { of, rest_ms, keep_ms }| {
                    // What it knew when it last heard of its grant.
                    Will { of, rest_ms, keep_ms, newest: seated.newest }
                });
                // A word that leaves the place is good for as long as a table may have it, which is longer than anybody may act by it.
                let until = will.map_or(until, |_| until + self.ttl());
                self.state = State::GivingBack { token, until, out: new, will };
                out.push(self.send(new.seq, self.ending(token, will)));
            }
            State::GivingBack { .. } => {}
            // What may be granted yet runs out by itself.
            _ => self.state = State::Idle,
        }
    }

    /// So that a renewal has half a dozen tries within its time.
    fn again_after(&self) -> Duration {
        AGAIN.min(self.ttl() / 12)
    }

    /// A copy of a request goes out; after some tries a new one is made, as what counts is when it was made.
    fn again(&mut self, mut of: Out) -> Out {
        if of.tries >= 4 {
            return self.new_out();
        }
        let doubled = if matches!(self.state, State::Held { .. }) { 0 } else { of.tries.min(3) };
        let wait = self.about(self.again_after() * 2u32.pow(doubled));
        of.tries += 1;
        of.again_at = self.now + wait;
        of
    }

    fn tick(&mut self, out: &mut Vec<HolderOutput>) {
        let now = self.now;
        let name = self.terms.name.clone();
        match self.state.clone() {
            State::Asking(of) if now >= of.again_at => {
                let next = self.again(of);
                self.state = State::Asking(next);
                out.push(self.send(next.seq, self.acquire()));
            }
            State::Waiting(at) if now >= at => self.ask(out),
            State::Held { token, standing, seated, until, renew_at, renewal } => {
                let next = match renewal {
                    Some(of) if now >= of.again_at => self.again(of),
                    None if now >= renew_at => self.new_out(),
                    _ => return,
                };
                self.state = State::Held { token, standing, seated, until, renew_at, renewal: Some(next) };
                out.push(self.send(next.seq, Op::Renew { name, token }));
            }
            State::GivingBack { token, until, out: of, will } if now >= of.again_at => {
                // The same number whatever happens: a release is done once.
                let mut next = of;
                next.tries = next.tries.min(2);
                let next = self.again(next);
                self.state = State::GivingBack { token, until, out: next, will };
                out.push(self.send(next.seq, self.ending(token, will)));
            }
            _ => {}
        }
    }

    fn heard(&mut self, heard: &Heard, out: &mut Vec<HolderOutput>) {
        let from_arrival = self.planted(Fault::CountsFromArrival);
        match self.state.clone() {
            State::Asking(of) => match heard.answer_to(self.id, of.seq) {
                Some(answer @ (Answer::Granted(token, standing) | Answer::Seat(token, standing, _))) => {
                    let seated = seated(answer);
                    let from = if from_arrival { self.now } else { of.made };
                    let until = from + self.time();
                    if self.now >= until {
                        // It came too late to be of use.
                        return self.ask(out);
                    }
                    let renew_at = from + self.ttl() / 3;
                    self.state = State::Held { token, standing, seated, until, renew_at, renewal: None };
                    out.push(HolderOutput::Held(token));
                }
                Some(Answer::Unable(Unable::Taken | Unable::Overtaken)) => {
                    let wait = self.about(self.ttl().min(Duration::from_secs(1)) / 2);
                    self.state = State::Waiting(self.now + wait);
                }
                Some(Answer::Unable(why)) => {
                    self.state = State::Idle;
                    out.push(HolderOutput::Never(why));
                }
                _ => {}
            },
            State::Held { token, seated: before, renewal: Some(of), .. } => {
                match heard.answer_to(self.id, of.seq) {
                    Some(
                        answer @ (Answer::Renewed(renewed, standing) | Answer::Seat(renewed, standing, _)),
                    ) if renewed == token => {
                        // What came with the grant goes on with it.
                        let seated = Seated { inherited: before.inherited, ..seated(answer) };
                        let from = if from_arrival { self.now } else { of.made };
                        let (until, renew_at) = (from + self.time(), from + self.ttl() / 3);
                        self.state = State::Held { token, standing, seated, until, renew_at, renewal: None };
                        self.run_out(out);
                    }
                    Some(Answer::Unable(Unable::NotHeld)) => {
                        out.push(HolderOutput::Lost(token));
                        self.ask(out);
                    }
                    _ => {}
                }
            }
            State::GivingBack { out: of, .. } => {
                if let Some(answer) = heard.answer_to(self.id, of.seq) {
                    (self.left, self.state) = (answer == Answer::Left, State::Idle);
                }
            }
            _ => {}
        }
    }
}

/// What an answer says to a holder with a seat; to any other it says nothing.
fn seated(answer: Answer) -> Seated {
    match answer {
        Answer::Seat(_, _, seated) => seated,
        _ => Seated { newest: Token::default(), inherited: None },
    }
}
