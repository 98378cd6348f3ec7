//! A front's side: its view of the placement, and its right to go by it.
//!
//! The view is put together from the records of a topic and only goes forward. The right is a lease on it: counted from before it was
//! asked for, less the drift, as any holder counts (`docs/fleet.md`, "Time"). Without it the front places nothing of a customer whose
//! titles may be pinned, as it can't know whether they are, or where.

mod index;
mod narrower;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use beechloft_leases::DriftBound;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::planted::Fault;
use crate::words::answers::{Record, Renewed};
use crate::words::commands::Renew;
use crate::words::names::*;
use index::Index;
pub use narrower::{Change, Narrower};

/// Words that are out at once: an answer to any of them counts from when that one was made.
const MOST_OUT: usize = 8;
/// From one word to the next at least, however much there is to say.
const LEAST_GAP: Duration = Duration::from_millis(50);

/// Which boxes a title may be played by.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Offer {
    /// It is not pinned: any that holds it.
    Free,
    /// These.
    Boxes {
        /// All.
        all: BTreeSet<BoxId>,
        /// Those among them that go first while any of them can be used; none: all are alike.
        home: BTreeSet<BoxId>,
        /// By which version.
        version: Version,
    },
    /// None.
    Refuse(Refusal),
}

/// Why a title is refused at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The front has been without the keepers' word for too long: the title may be pinned elsewhere by now.
    NoRight,
    /// It is pinned, and no box plays it now.
    NoBox,
}

/// What a view hears.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ViewInput {
    /// Only time has passed.
    Tick,
    /// A record; none: the shard is pinned no more. They come in the order of their revisions.
    Record(ShardId, Revision, Option<Record>),
    /// The whole is told anew, from here on to the next [`ViewInput::Complete`].
    Anew,
    /// All records up to the last one that was told are told.
    Complete,
    /// What became of a word to the keepers.
    Heard {
        /// Of which.
        seq: u64,
        /// What.
        renewed: Renewed,
    },
    /// The front is going: it places nothing any more.
    Stop,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Out {
    seq: u64,
    made: Duration,
}

/// A front's view.
#[derive(Debug, Clone)]
pub struct View {
    front: FrontId,
    drift: DriftBound,
    ttl_ms: u32,
    customers: BTreeSet<Customer>,
    index: Index,
    /// The last record that was taken.
    seen: Revision,
    taken: u64,
    /// All records up to here are taken, and the keepers may be told so.
    has: Revision,
    /// The whole as it is told anew.
    anew: Option<(Index, Revision)>,
    until: Duration,
    out: Vec<Out>,
    seq: u64,
    next_at: Duration,
    last_at: Option<Duration>,
    /// Something that narrows has come since the keepers were told last.
    narrows: bool,
    needs: Revision,
    stopped: bool,
    now: Duration,
    rng: ChaCha8Rng,
    fault: Option<Fault>,
}

/// All that decides what it does next, but for what is drawn by chance.
impl std::hash::Hash for View {
    fn hash<H: std::hash::Hasher>(&self, into: &mut H) {
        (self.front, &self.index, self.seen, self.has, &self.anew, self.until, &self.out).hash(into);
        (self.seq, self.next_at, self.last_at, self.narrows, self.needs, self.stopped, self.now).hash(into);
    }
}

impl View {
    /// A view without anything. `front` is drawn anew by each process; `customers` are those whose titles may be pinned.
    pub fn new(
        front: FrontId,
        customers: BTreeSet<Customer>,
        ttl_ms: u32,
        drift: DriftBound,
        seed: u64,
    ) -> View {
        View {
            front,
            drift,
            ttl_ms,
            customers,
            index: Index::default(),
            seen: Revision(0),
            taken: 0,
            has: Revision(0),
            anew: None,
            until: Duration::ZERO,
            out: Vec::new(),
            seq: 0,
            next_at: Duration::ZERO,
            last_at: None,
            narrows: false,
            needs: Revision(0),
            stopped: false,
            now: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed ^ front.0),
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

    fn ttl(&self) -> Duration {
        Duration::from_millis(u64::from(self.ttl_ms))
    }

    /// Which front's.
    pub fn front(&self) -> FrontId {
        self.front
    }

    /// Whether a customer's titles may be pinned.
    pub fn concerns(&self, customer: &Customer) -> bool {
        self.customers.contains(customer)
    }

    /// Counts the records that it has taken.
    pub fn taken(&self) -> u64 {
        self.taken
    }

    /// Whether it may place now. `now` is read after all else, right before the act.
    pub fn has_right(&self, now: Duration) -> bool {
        now < self.until && !self.stopped
    }

    /// Until when it may place, unless its right is renewed.
    pub fn until(&self) -> Duration {
        self.until
    }

    /// All records up to here are in it.
    pub fn has(&self) -> Revision {
        self.has
    }

    /// Which boxes a customer's title may be played by, now.
    pub fn offer(&self, now: Duration, customer: &str, title: &str) -> Offer {
        let Some(customer) = Customer::try_from(customer).ok().filter(|c| self.customers.contains(c)) else {
            return Offer::Free;
        };
        if !self.has_right(now) {
            return Offer::Refuse(Refusal::NoRight);
        }
        match self.index.record(&customer, title) {
            None => Offer::Free,
            Some(record) if record.boxes.is_empty() => Offer::Refuse(Refusal::NoBox),
            Some(Record { boxes, home, version, .. }) => {
                Offer::Boxes { all: boxes.clone(), home: home.clone(), version: *version }
            }
        }
    }

    /// Pinned shards that it knows of.
    pub fn shards(&self) -> &BTreeMap<ShardId, Record> {
        self.index.shards()
    }

    /// When it wants to hear of the time next.
    pub fn next_due(&self) -> Duration {
        self.next_at
    }

    /// Takes an input; what is to be sent to the keeper that leads.
    pub fn handle(&mut self, now: Duration, input: ViewInput) -> Option<Renew> {
        self.now = self.now.max(now);
        match input {
            ViewInput::Tick => {}
            ViewInput::Record(shard, revision, record) => self.record(&shard, revision, record),
            ViewInput::Anew => self.anew = Some((Index::default(), Revision(0))),
            ViewInput::Complete => self.complete(),
            ViewInput::Heard { seq, renewed } => self.heard(seq, renewed),
            ViewInput::Stop => {
                self.stopped = true;
                return Some(self.word(None));
            }
        }
        (!self.stopped && self.now >= self.next_at).then(|| self.say())
    }

    fn record(&mut self, shard: &ShardId, revision: Revision, record: Option<Record>) {
        match &mut self.anew {
            Some((index, upto)) => {
                index.set(shard, record);
                *upto = (*upto).max(revision);
            }
            // A copy of what it has, or something older, from a keeper that is behind.
            None if revision <= self.seen => {}
            None => {
                self.narrows |= record.as_ref().is_none_or(|r| r.narrows);
                self.index.set(shard, record);
                self.seen = revision;
                self.taken += 1;
            }
        }
    }

    fn complete(&mut self) {
        let back = self.planted(Fault::ViewBack);
        if let Some((index, upto)) = self.anew.take()
            && (upto >= self.seen || back)
        {
            // One from a keeper that is behind is dropped: a view that went back could offer what all were told is narrowed.
            (self.index, self.seen, self.narrows) = (index, upto, true);
            self.taken += 1;
        }
        self.has = self.has.max(self.seen);
        let caught_up = self.needs > Revision(0) && self.has >= self.needs;
        if self.narrows || caught_up {
            // A narrowing waits for all fronts: it is said at once, though not each by itself.
            let soon = self.last_at.map_or(self.now, |at| at + LEAST_GAP).max(self.now);
            self.next_at = self.next_at.min(soon);
        }
    }

    fn heard(&mut self, seq: u64, renewed: Renewed) {
        let Some(of) = self.out.iter().position(|o| o.seq == seq).map(|at| self.out.swap_remove(at)) else {
            return;
        };
        match renewed {
            Renewed::Right => {
                let time =
                    if self.planted(Fault::NoDrift) { self.ttl() } else { self.drift.shorter(self.ttl()) };
                let from = if self.planted(Fault::RightFromArrival) { self.now } else { of.made };
                self.until = self.until.max(from + time);
                self.next_at = self.next_at.max(of.made + self.ttl() / 3);
                if self.narrows {
                    self.next_at = self.next_at.min(self.now + LEAST_GAP);
                }
                self.needs = Revision(0);
            }
            Renewed::Behind(needs) => {
                self.needs = needs;
                let wait = self.about(self.ttl() / 3);
                self.next_at = if self.has >= needs { self.now + LEAST_GAP } else { self.now + wait };
            }
            Renewed::Unable => self.next_at = self.now + self.about(self.ttl()),
            Renewed::Released => {}
        }
    }

    fn about(&mut self, span: Duration) -> Duration {
        let micros = span.as_micros() as u64;
        Duration::from_micros(self.rng.random_range(micros / 2..=micros))
    }

    fn word(&mut self, has: Option<Revision>) -> Renew {
        self.seq += 1;
        Renew { front: self.front, seq: self.seq, has, ttl_ms: self.ttl_ms }
    }

    fn say(&mut self) -> Renew {
        let renew = self.word(Some(self.has));
        // Made before any copy of it leaves.
        self.out.push(Out { seq: renew.seq, made: self.now });
        if self.out.len() > MOST_OUT {
            self.out.remove(0);
        }
        // Half a dozen tries within a right's time; each is a new one, as what counts is when it was made.
        let again = self.about(self.ttl() / 6);
        (self.next_at, self.last_at, self.narrows) = (self.now + again, Some(self.now), false);
        renew
    }
}
