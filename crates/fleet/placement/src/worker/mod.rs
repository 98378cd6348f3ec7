//! Who does the work: under a lease it proposes steps for the log and gives orders to boxes.
//!
//! It keeps nothing that a successor would miss. What is to be done follows from the replicated state alone; what it remembers besides
//! is what boxes have said since it began, and when it last said what. So a new holder goes on from wherever the last one was, and
//! what both have said is done once: steps say what they expect to find, orders have numbers.

mod again;
mod sweep;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use beechloft_leases::{DriftBound, Token};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::planted::Fault;
use crate::state::{CopyState, Placements, Presence};
use crate::words::commands::{Command, Step};
use crate::words::names::*;
use crate::words::orders::{News, Said, Tell};
use again::Agains;

/// How it goes about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerSettings {
    /// Between two looks at a box.
    pub look: Duration,
    /// A box that has said nothing for so long is lost.
    pub lost_after: Duration,
    /// From one sweep over the state to the next.
    pub sweep: Duration,
    /// From one saying of the same to the next, at first; it doubles five times.
    pub again: Duration,
    /// Steps proposed in one sweep at most.
    pub proposals: usize,
    /// Orders given in one sweep at most.
    pub orders: usize,
    /// How far clocks' rates may differ.
    pub drift: DriftBound,
}

impl Default for WorkerSettings {
    fn default() -> WorkerSettings {
        WorkerSettings {
            look: Duration::from_secs(1),
            lost_after: Duration::from_secs(10),
            sweep: Duration::from_millis(100),
            again: Duration::from_millis(500),
            proposals: 64,
            orders: 256,
            drift: DriftBound::default(),
        }
    }
}

/// What it wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerOutput {
    /// For the log.
    Propose(Command),
    /// For a box.
    Tell(BoxId, Tell),
}

/// What is known of a box since it began.
#[derive(Debug, Clone, Default, Hash)]
struct Seen {
    heard: Option<Duration>,
    looked: Option<Duration>,
    here: Option<(Life, DiskId, BTreeSet<ShardId>)>,
    /// The number of its presence that it had been told when it said so.
    told: Order,
}

/// What it does under one token.
#[derive(Debug, Clone, Copy, Hash)]
struct Held {
    token: Token,
    since: Duration,
    /// The log's clock then.
    clock: u64,
}

/// The worker.
#[derive(Debug, Clone)]
pub struct Worker {
    set: WorkerSettings,
    held: Option<Held>,
    boxes: BTreeMap<BoxId, Seen>,
    /// What boxes have said of orders.
    news: BTreeMap<(BoxId, ShardId), (Order, News)>,
    agains: Agains,
    /// Copies that drain, by the order to: when their grace is over by this worker's clock.
    graces: BTreeMap<Order, Duration>,
    counted: Duration,
    swept: Option<Duration>,
    rng: ChaCha8Rng,
    fault: Option<Fault>,
}

/// All that decides what it does next, but for what is drawn by chance.
impl std::hash::Hash for Worker {
    fn hash<H: std::hash::Hasher>(&self, into: &mut H) {
        (&self.held, &self.boxes, &self.news, &self.agains, &self.graces, self.swept).hash(into);
    }
}

impl Worker {
    /// One that holds no lease yet.
    pub fn new(set: WorkerSettings, seed: u64) -> Worker {
        Worker {
            set,
            held: None,
            boxes: BTreeMap::new(),
            news: BTreeMap::new(),
            agains: Agains::default(),
            graces: BTreeMap::new(),
            counted: Duration::ZERO,
            swept: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
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

    /// When it wants to hear of the time next, while it holds the lease.
    pub fn next_due(&self) -> Option<Duration> {
        self.held?;
        Some(self.swept.map_or(Duration::ZERO, |at| at + self.set.sweep))
    }

    /// A box has said something.
    pub fn heard(&mut self, now: Duration, from: BoxId, said: Said) {
        let seen = self.boxes.entry(from).or_default();
        seen.heard = Some(now);
        match said {
            // One that was told less is an older word than what is known.
            Said::Here { told, .. } if told < seen.told => {}
            Said::Here { life, disk, holds, told } => {
                (seen.here, seen.told) = (Some((life, disk, holds.into_iter().collect())), told);
            }
            // The worker gave no such order, or its copy is old; what is true now, the state says.
            Said::Of { news: News::Old, .. } => {}
            Said::Of { shard, order, news } => {
                let of = self.news.entry((from, shard)).or_insert((order, news));
                if order >= of.0 {
                    *of = (order, news);
                }
            }
        }
    }

    /// Looks at the state, under the token that the permit gives for this moment; none: it does nothing. What comes out is sent before
    /// the permit is over, and carries the token.
    pub fn handle(&mut self, now: Duration, token: Option<Token>, state: &Placements) -> Vec<WorkerOutput> {
        let Some(token) = token else {
            self.held = None;
            return Vec::new();
        };
        if self.held.is_none_or(|h| h.token != token) {
            // Begins anew: what was heard before may be older than what another has done meanwhile.
            self.held = Some(Held { token, since: now, clock: state.clock() });
            self.boxes.clear();
            self.news.clear();
            self.agains = Agains::default();
            self.graces.clear();
            self.swept = None;
        }
        if self.swept.is_some_and(|at| now < at + self.set.sweep) {
            return Vec::new();
        }
        self.swept = Some(now);
        self.sweep(now, token, state)
    }

    /// What the log's clock may be set to now: what it was when this holder began, and what has passed since by its own, less what
    /// that may be fast by. So it never runs ahead of true time.
    fn clock(&self, now: Duration) -> u64 {
        self.held.map_or(0, |h| {
            let passed = self.set.drift.shorter(now.saturating_sub(h.since));
            h.clock.saturating_add(passed.as_millis() as u64)
        })
    }

    /// Counts graces from when each drain was first seen in the state, which is after its commit, as keepers count leases. By the log's
    /// clock it would be too short: that may lag when the drain is applied, and catch up after.
    fn count_graces(&mut self, now: Duration, state: &Placements) {
        let grace = self.set.drift.longer(Duration::from_millis(state.rules().grace_ms));
        let before = std::mem::take(&mut self.graces);
        for pin in state.pins().values().filter(|p| !p.is_settled()) {
            for copy in pin.copies.values() {
                if let CopyState::Draining { order } = copy.state {
                    let over = before.get(&order).copied().unwrap_or(now + grace);
                    let over = if self.planted(Fault::NoGrace) { now } else { over };
                    self.graces.insert(order, over);
                }
            }
        }
        self.counted = now;
    }

    fn grace_over(&self, order: Order) -> bool {
        self.graces.get(&order).is_some_and(|over| self.counted >= *over)
    }

    fn look_at_boxes(&mut self, now: Duration, state: &Placements, out: &mut Vec<WorkerOutput>) -> Vec<Step> {
        let mut steps = Vec::new();
        let began = self.held.map_or(now, |h| h.since);
        for id in state.inventory().boxes.keys() {
            let seen = self.boxes.entry(*id).or_default();
            if seen.looked.is_none_or(|at| now >= at + self.set.look) {
                seen.looked = Some(now);
                out.push(WorkerOutput::Tell(*id, Tell::Look(state.told(*id))));
            }
            let silent = now.saturating_sub(seen.heard.unwrap_or(began)) >= self.set.lost_after;
            match (state.presence(*id), &seen.here) {
                (Some(Presence::Up { life, .. }), _) if silent => steps.push(Step::Lost { id: *id, life }),
                (_, Some((life, disk, _))) if !silent && seen.told == state.told(*id) => {
                    let (life, disk, told) = (*life, *disk, seen.told);
                    if state.presence(*id) != Some(Presence::Up { life, disk }) {
                        steps.push(Step::Met { id: *id, life, disk, told });
                    }
                }
                _ => {}
            }
        }
        self.boxes.retain(|id, _| state.inventory().boxes.contains_key(id));
        steps
    }

    /// What boxes hold and nobody wants there.
    fn strays(&self, state: &Placements) -> Vec<Step> {
        let mut steps = Vec::new();
        for (id, seen) in &self.boxes {
            let Some((life, disk, holds)) = &seen.here else { continue };
            if state.presence(*id) != Some(Presence::Up { life: *life, disk: *disk }) {
                continue;
            }
            for shard in holds {
                let known = state.pins().get(shard).is_some_and(|p| p.copies.contains_key(id));
                if !known && !state.strays().contains_key(&(*id, shard.clone())) {
                    steps.push(Step::Stray { shard: shard.clone(), at: *id });
                }
            }
        }
        steps
    }
}
