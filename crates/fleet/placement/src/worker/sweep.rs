//! What is to be done now, as the state stands.

use std::collections::BTreeSet;
use std::time::Duration;

use beechloft_leases::Token;

use super::again::What;
use super::{Worker, WorkerOutput};
use crate::state::{Copy, CopyState, Pin, Placements, Presence};
use crate::words::commands::{Command, Failure, Source, Step};
use crate::words::names::*;
use crate::words::orders::{Do, News, Tell};
use crate::words::request::OnLoss;

/// A copy that takes longer than its bytes need at its pace, so many times over, and a minute, is given up.
const PATIENCE: u64 = 4;

/// What a sweep finds.
#[derive(Debug, Default)]
struct Found {
    steps: Vec<Step>,
    orders: Vec<(BoxId, Order, ShardId, Do)>,
    /// Copies to be begun: how many verified copies their shard has, the shard, where.
    begins: Vec<(usize, ShardId, BoxId)>,
}

impl Worker {
    pub(super) fn sweep(&mut self, now: Duration, token: Token, state: &Placements) -> Vec<WorkerOutput> {
        let mut out = Vec::new();
        self.agains.begin_sweep();
        let mut found = Found { steps: self.look_at_boxes(now, state, &mut out), ..Found::default() };
        let clock = self.clock(now);
        if clock > state.clock() + 200 {
            out.push(WorkerOutput::Propose(Command::Step(token, Step::Clock(clock))));
        }
        self.count_graces(now, state);
        for (shard, pin) in state.pins() {
            self.pin(state, shard, pin, &mut found);
        }
        found.steps.extend(self.strays(state));
        for ((at, shard), order) in state.strays() {
            let step = Step::Gone { shard: shard.clone(), at: *at, order: *order };
            self.ordered(*at, shard, *order, Do::Delete, &mut found, |news| {
                (news == News::Gone).then_some(step)
            });
        }
        found.steps.extend(state.held().map(Step::Admit));
        found.steps.extend(begins(state, found.begins));
        let mut proposals = 0;
        for step in found.steps {
            if proposals < self.set.proposals
                && self.agains.is_due(now, self.set.again, What::Step(step.clone()), &mut self.rng)
            {
                proposals += 1;
                out.push(WorkerOutput::Propose(Command::Step(token, step)));
            }
        }
        let mut orders = 0;
        for (at, order, shard, what) in found.orders {
            let Some(Presence::Up { life, .. }) = state.presence(at) else { continue };
            if orders < self.set.orders
                && self.agains.is_due(now, self.set.again, What::Order(at, order), &mut self.rng)
            {
                orders += 1;
                out.push(WorkerOutput::Tell(at, Tell::Do { life, order, shard, what }));
            }
        }
        // What was said of copies that are no more.
        self.news.retain(|(at, shard), _| {
            state.pins().get(shard).is_some_and(|p| p.copies.contains_key(at))
                || state.strays().contains_key(&(*at, shard.clone()))
        });
        out
    }

    /// An order that is out: given until its box has said what it waits for.
    fn ordered(
        &self,
        at: BoxId,
        shard: &ShardId,
        order: Order,
        what: Do,
        found: &mut Found,
        step: impl FnOnce(News) -> Option<Step>,
    ) {
        let said = self.news.get(&(at, shard.clone())).filter(|(of, _)| *of == order).map(|(_, news)| *news);
        match said.and_then(step) {
            Some(step) => found.steps.push(step),
            None => found.orders.push((at, order, shard.clone(), what)),
        }
    }

    fn pin(&self, state: &Placements, shard: &ShardId, pin: &Pin, found: &mut Found) {
        for region in pin.zones.keys() {
            if matches!(pin.request.on_loss, OnLoss::Lend { .. }) {
                if state.lends(shard, region) {
                    found.steps.push(Step::Lend(shard.clone(), region.clone()));
                }
                if state.unlends(shard, region) {
                    found.steps.push(Step::Unlend(shard.clone(), region.clone()));
                }
            }
        }
        if pin.is_settled() {
            return;
        }
        for (at, copy) in &pin.copies {
            self.copy(state, (shard, pin), (*at, copy), found);
        }
        if !state.droppable(shard).is_empty() {
            found.steps.push(Step::Narrow(shard.clone()));
        }
        let ended = !pin.older.is_empty() || pin.lent.values().any(|l| l.ending);
        if ended && state.is_over(shard) {
            found.steps.push(Step::Over(shard.clone()));
        }
        if !state.replaceable(shard).is_empty() {
            found.steps.push(Step::Replace(shard.clone()));
        }
    }

    fn copy(&self, state: &Placements, of: (&ShardId, &Pin), at: (BoxId, &Copy), found: &mut Found) {
        let ((shard, pin), (at, copy)) = (of, at);
        let own = || shard.clone();
        match copy.state {
            CopyState::Reserved if copy.wanted => found.begins.push((pin.verified(), own(), at)),
            CopyState::Reserved | CopyState::Serving => {}
            CopyState::Copying { order, from } => {
                let from = from.map_or(Source::Origin, |(id, _)| Source::Box(id));
                let (bytes, kb_s) = (pin.request.bytes, state.rules().copy_kb_s);
                let patience = PATIENCE * (bytes / kb_s.max(1)) + 60_000;
                if state.clock() >= copy.since.saturating_add(patience) {
                    found.steps.push(Step::Failed { shard: own(), at, order, why: Failure::Late });
                } else {
                    self.ordered(at, shard, order, Do::Copy { from, bytes, kb_s }, found, |n| {
                        read(n, own(), at, order)
                    });
                }
            }
            CopyState::Checking { order } => {
                self.ordered(at, shard, order, Do::Check, found, |n| read(n, own(), at, order));
            }
            CopyState::Checked { order } => {
                let arm = Do::Arm(pin.request.titles.clone());
                let step = Step::Serve { shard: own(), at, order };
                self.ordered(at, shard, order, arm, found, |n| (n == News::Armed).then_some(step));
            }
            CopyState::Unchecked => {
                if state.may_recheck(shard, at) {
                    found.steps.push(Step::Recheck { shard: own(), at });
                }
            }
            CopyState::Narrowing { at: revision } => {
                if state.all_have(revision) {
                    found.steps.push(Step::Drain { shard: own(), at });
                }
            }
            CopyState::Draining { order } => {
                let step = Step::Delete { shard: own(), at, order };
                if self.grace_over(order) {
                    found.steps.push(step);
                } else {
                    self.ordered(at, shard, order, Do::Drain, found, |n| {
                        (n == News::Drained(0)).then_some(step)
                    });
                }
            }
            CopyState::Deleting { order } => {
                let step = Step::Gone { shard: own(), at, order };
                self.ordered(at, shard, order, Do::Delete, found, |n| (n == News::Gone).then_some(step));
            }
        }
    }
}

/// What a box has read, or why it has not.
fn read(news: News, shard: ShardId, at: BoxId, order: Order) -> Option<Step> {
    match news {
        News::Read(digest) => Some(Step::Read { shard, at, order, digest }),
        News::Failed(why) => Some(Step::Failed { shard, at, order, why }),
        _ => None,
    }
}

/// Copies to be begun: those of shards with the fewest verified copies first, one for each box in a sweep, as the pace is that of the
/// state as it is.
fn begins(state: &Placements, mut all: Vec<(usize, ShardId, BoxId)>) -> Vec<Step> {
    all.sort();
    let mut used = BTreeSet::new();
    let mut steps = Vec::new();
    for (_, shard, at) in all {
        if used.contains(&at) {
            continue;
        }
        let from = sources(state, &shard, at).into_iter().find(|from| {
            let free = !matches!(from, Source::Box(id) if used.contains(id));
            free && state.may_begin(&shard, at, *from)
        });
        if let Some(from) = from {
            used.insert(at);
            if let Source::Box(id) = from {
                used.insert(id);
            }
            steps.push(Step::Begin { shard, at, from });
        }
    }
    steps
}

/// Where it may be read from: verified copies, then the origin. After a try that failed the next one goes first: what was read may
/// be what was wrong.
fn sources(state: &Placements, shard: &ShardId, at: BoxId) -> Vec<Source> {
    let Some(pin) = state.pins().get(shard) else { return Vec::new() };
    let verified = pin.copies.iter().filter(|(id, c)| c.state.is_verified() && **id != at);
    let mut all: Vec<Source> = verified.map(|(id, _)| Source::Box(*id)).collect();
    all.push(Source::Origin);
    let tries = pin.copies.get(&at).map_or(0, |c| usize::from(c.tries));
    let first = tries % all.len();
    all.rotate_left(first);
    all
}
