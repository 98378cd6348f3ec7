//! The client's side of a subscription: what it knows of each key, how far it is, and where it goes when a keeper fails it.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::time::Duration;

use beechloft_leases::Name;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fault_injection::Fault;
use crate::feed::{Batch, MAX_MESSAGES, Position, Said, Told};
use crate::message::{Body, Message};
use crate::messages::Offset;
use crate::record::Key;

mod interface;

pub use interface::{ProtocolViolation, SubscriberInput, SubscriberOutput, SubscriberSettings};

/// What is known of a key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Held {
    /// Its latest message's place.
    pub offset: Offset,
    /// Its latest message.
    pub body: Body,
    /// In which pass it was heard of last.
    pass: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum State {
    Idle,
    /// It asks a keeper at this time.
    Waiting(Duration),
    /// It is with a keeper.
    With {
        feed: u64,
        heard_at: Duration,
        /// Since when the keeper has been of no use: behind, or cut off itself.
        useless_since: Option<Duration>,
        taken: u64,
        allowed: u64,
    },
}

/// A subscriber.
#[derive(Debug, Clone)]
pub struct Subscriber {
    topic: Name,
    settings: SubscriberSettings,
    at: Option<Position>,
    keys: BTreeMap<Key, Held>,
    /// How often all came anew.
    pass: u32,
    /// Whether keys of an earlier pass may be there.
    mixed: bool,
    /// Its keys are exactly those of the topic as of this offset.
    complete: Option<Offset>,
    state: State,
    feeds: u64,
    tries: u32,
    rng: ChaCha8Rng,
    now: Duration,
    fault: Option<Fault>,
}

/// All that decides what it does next, but for what is drawn by chance.
impl std::hash::Hash for Subscriber {
    fn hash<H: std::hash::Hasher>(&self, into: &mut H) {
        (self.at, &self.keys, self.pass, self.mixed, self.complete, &self.state, self.feeds).hash(into);
    }
}

impl Subscriber {
    /// One that has nothing yet.
    pub fn new(topic: Name, settings: SubscriberSettings, seed: u64) -> Subscriber {
        Subscriber {
            topic,
            settings,
            at: None,
            keys: BTreeMap::new(),
            pass: 0,
            mixed: false,
            complete: None,
            state: State::Idle,
            feeds: 0,
            tries: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
            fault: None,
        }
    }

    /// Plants a fault.
    #[cfg(feature = "planted")]
    pub fn plant(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn planted(&self, fault: Fault) -> bool {
        cfg!(feature = "planted") && self.fault == Some(fault)
    }

    /// What is known of a key.
    pub fn get(&self, key: &[u8]) -> Option<&Held> {
        self.keys.get(key)
    }

    /// What is known of all keys.
    pub fn keys(&self) -> impl Iterator<Item = (&Key, &Held)> {
        self.keys.iter()
    }

    /// Its keys are exactly those of the topic as of this offset, without it. None: it is catching up, and some keys may stand
    /// as they did earlier than others.
    pub fn complete_to(&self) -> Option<Offset> {
        self.complete
    }

    /// How far it is.
    pub fn position(&self) -> Option<Position> {
        self.at
    }

    /// When it wants to hear of the time next.
    pub fn next_due(&self) -> Option<Duration> {
        match &self.state {
            State::Idle => None,
            State::Waiting(at) => Some(*at),
            State::With { heard_at, useless_since, .. } => {
                Some(useless_since.unwrap_or(*heard_at).min(*heard_at) + self.settings.patience)
            }
        }
    }

    /// Takes an input. `now` is a clock that never goes back.
    pub fn handle(&mut self, now: Duration, input: SubscriberInput) -> Vec<SubscriberOutput> {
        self.now = self.now.max(now);
        let mut out = Vec::new();
        match input {
            SubscriberInput::Tick => self.tick(&mut out),
            SubscriberInput::Start if self.state == State::Idle => self.subscribe(&mut out),
            SubscriberInput::Start => {}
            SubscriberInput::Told(told) => self.told(told, &mut out),
            SubscriberInput::Broken(feed) => {
                if matches!(self.state, State::With { feed: f, .. } if f == feed) {
                    self.wait();
                }
            }
        }
        out
    }

    fn tick(&mut self, out: &mut Vec<SubscriberOutput>) {
        match self.state {
            State::Waiting(at) if self.now >= at => self.subscribe(out),
            State::With { feed, heard_at, useless_since, .. } => {
                let since = useless_since.unwrap_or(heard_at).min(heard_at);
                // It hangs, or is cut off from us or from the others: one keeper's trouble is not the subscriber's.
                if self.now >= since + self.settings.patience {
                    self.leave(feed, out);
                }
            }
            _ => {}
        }
    }

    fn subscribe(&mut self, out: &mut Vec<SubscriberOutput>) {
        self.feeds += 1;
        let (feed, allowed) = (self.feeds, self.settings.window);
        self.state = State::With { feed, heard_at: self.now, useless_since: None, taken: 0, allowed };
        let topic = self.topic.clone();
        out.push(SubscriberOutput::Subscribe { feed, topic, from: self.at, allow: allowed });
    }

    fn leave(&mut self, feed: u64, out: &mut Vec<SubscriberOutput>) {
        out.push(SubscriberOutput::Leave(feed));
        self.wait();
    }

    /// Asks again after a while: half of it by chance, so that those whom one keeper lost do not come to the next as one.
    fn wait(&mut self) {
        let (first, most) = self.settings.again;
        let wait = (first * 2u32.saturating_pow(self.tries.min(16))).min(most);
        self.tries = self.tries.saturating_add(1);
        let micros = wait.as_micros() as u64;
        let wait = Duration::from_micros(self.rng.random_range(micros / 2..=micros));
        self.state = State::Waiting(self.now + wait);
    }

    fn told(&mut self, told: Told, out: &mut Vec<SubscriberOutput>) {
        let now = self.now;
        let State::With { feed, heard_at, useless_since, .. } = &mut self.state else { return };
        // Of a subscription that was given up.
        if *feed != told.feed {
            return;
        }
        let feed = *feed;
        *heard_at = now;
        let silent = Duration::from_millis(u64::from(told.silent_ms)) > self.settings.most_silent;
        // Being behind is said once; a sign of life after it does not say that it is over.
        let useless = match told.said {
            Said::Behind { .. } => true,
            Said::Still => silent || useless_since.is_some(),
            Said::Anew { .. } | Said::Batch(_) => silent,
        };
        let since = useless_since.unwrap_or(now);
        *useless_since = useless.then_some(since);
        let taken = match told.said {
            Said::Anew { life, base } => self.anew(life, base, out),
            Said::Behind { .. } | Said::Still => Ok(0),
            Said::Batch(batch) => self.batch(batch, out),
        };
        match taken {
            Err(why) => {
                out.push(SubscriberOutput::ProtocolViolation(why));
                self.leave(feed, out);
            }
            Ok(cost) if cost > 0 => self.allow(cost, out),
            Ok(_) => {}
        }
    }

    /// Lets more come, half a window at a time.
    fn allow(&mut self, cost: u64, out: &mut Vec<SubscriberOutput>) {
        self.tries = 0;
        let window = self.settings.window;
        let State::With { feed, taken, allowed, .. } = &mut self.state else { return };
        *taken += cost;
        if *taken + window >= *allowed + window / 2 {
            *allowed = *taken + window;
            out.push(SubscriberOutput::Allow { feed: *feed, total: *allowed });
        }
    }

    fn not_complete(&mut self, out: &mut Vec<SubscriberOutput>) {
        if self.complete.take().is_some() {
            out.push(SubscriberOutput::Behind);
        }
    }

    fn anew(
        &mut self,
        life: u64,
        base: Offset,
        out: &mut Vec<SubscriberOutput>,
    ) -> Result<u64, ProtocolViolation> {
        if let Some(at) = self.at.filter(|at| at.life == life && base < at.needs()) {
            // It would take us back to before what we know.
            return Err(ProtocolViolation::Behind { head: base, needs: at.needs() });
        }
        if self.at.is_some_and(|at| at.life != life) {
            // The group was founded anew: its offsets say nothing of the ones we know.
            self.keys.values_mut().for_each(|held| held.offset = Offset(0));
        }
        self.at = Some(Position { life, next: Offset(0), base, seen: base });
        self.pass = self.pass.wrapping_add(1);
        self.mixed = !self.keys.is_empty();
        self.not_complete(out);
        Ok(0)
    }

    /// Looks at all of a batch before any of it is taken.
    fn check(&self, batch: &Batch) -> Result<(), ProtocolViolation> {
        let at = self.at.ok_or(ProtocolViolation::NotBegun)?;
        if batch.from != at.next {
            return Err(ProtocolViolation::Gap { from: batch.from, expected: at.next });
        }
        if batch.head < at.needs() && !self.planted(Fault::BehindServes) {
            return Err(ProtocolViolation::Behind { head: batch.head, needs: at.needs() });
        }
        if batch.to < batch.from || batch.to > batch.head || batch.messages.len() > MAX_MESSAGES {
            return Err(ProtocolViolation::Order);
        }
        let mut next = batch.from;
        for message in &batch.messages {
            if message.offset < next || message.offset >= batch.to {
                return Err(ProtocolViolation::Order);
            }
            next = message.offset.next();
            let held = self.keys.get(message.key());
            if let Some(held) = held.filter(|held| held.offset > message.offset) {
                return Err(ProtocolViolation::Older { has: held.offset, told: message.offset });
            }
        }
        Ok(())
    }

    fn batch(&mut self, batch: Batch, out: &mut Vec<SubscriberOutput>) -> Result<u64, ProtocolViolation> {
        self.check(&batch)?;
        let cost = batch.cost();
        let (whole, caught_up) = (batch.is_whole(), batch.is_caught_up());
        if !whole {
            self.not_complete(out);
        }
        let Batch { to, head, messages, .. } = batch;
        if let Some(at) = &mut self.at {
            at.next = to;
            if !whole {
                at.seen = at.seen.max(head);
            }
        }
        for message in messages {
            self.take(message, out);
        }
        if caught_up && self.mixed {
            self.vanish(to, out);
        }
        let was = self.complete;
        if caught_up || was.is_some() {
            self.complete = Some(to);
        }
        if caught_up && was.is_none() {
            self.tries = 0;
            out.push(SubscriberOutput::CaughtUp(to));
        }
        Ok(cost)
    }

    fn take(&mut self, message: Message, out: &mut Vec<SubscriberOutput>) {
        let Ok(key) = Key::new(message.key()) else { return };
        let held = Held { offset: message.offset, body: message.body.clone(), pass: self.pass };
        if message.body.is_tombstone() {
            if self.keys.remove(&key).is_some() {
                out.push(SubscriberOutput::Gone(key, message.offset));
            }
            return;
        }
        match self.keys.entry(key) {
            // Heard of anew, and the same as ever.
            Entry::Occupied(mut known)
                if known.get().offset == held.offset && known.get().body == held.body =>
            {
                known.insert(held);
            }
            Entry::Occupied(mut known) => {
                known.insert(held);
                out.push(SubscriberOutput::Changed(message));
            }
            Entry::Vacant(place) => {
                place.insert(held);
                out.push(SubscriberOutput::Changed(message));
            }
        }
    }

    /// What was not heard of in the whole pass was deleted meanwhile.
    fn vanish(&mut self, to: Offset, out: &mut Vec<SubscriberOutput>) {
        self.mixed = false;
        if self.planted(Fault::VanishedKept) {
            return;
        }
        let (pass, by) = (self.pass, Offset(to.0.saturating_sub(1)));
        for (key, _) in self.keys.extract_if(.., |_, held| held.pass != pass) {
            out.push(SubscriberOutput::Gone(key, by));
        }
    }
}
