//! One sweep over the state, which collects the steps and orders that are due.

use std::collections::BTreeSet;
use std::time::Duration;

use beechloft_leases::Token;

use super::retries::Message;
use super::{Worker, WorkerOutput};
use crate::protocol::commands::{Command, Failure, Source, Step};
use crate::protocol::names::{OrderId, ServerId, ShardId};
use crate::protocol::orders::{OrderAction, OrderStatus, ServerRequest};
use crate::protocol::request::OnLoss;
use crate::state::{Copy, CopyState, Pin, Placements, Presence};

/// A transfer times out after this multiple of the time that its bytes need at the maximum rate, plus
/// [`TRANSFER_TIMEOUT_BASE_MS`].
const TRANSFER_TIMEOUT_FACTOR: u64 = 4;
/// Base of the timeout of a transfer, in milliseconds.
const TRANSFER_TIMEOUT_BASE_MS: u64 = 60_000;

/// Minimum advance of the log's clock that a step is proposed for, in milliseconds.
const MIN_CLOCK_ADVANCE_MS: u64 = 200;

/// Steps and orders that a sweep collects.
#[derive(Debug, Default)]
struct DueWork {
    steps: Vec<Step>,
    orders: Vec<(ServerId, OrderId, ShardId, OrderAction)>,
    /// Copies to start: the number of verified copies of the shard, the shard, and the media server.
    starts: Vec<(usize, ShardId, ServerId)>,
}

impl Worker {
    pub(super) fn sweep(&mut self, now: Duration, token: Token, state: &Placements) -> Vec<WorkerOutput> {
        let mut out = Vec::new();
        self.retries.begin_sweep();
        let mut due = DueWork { steps: self.poll_servers(now, state, &mut out), ..DueWork::default() };
        let clock = self.clock(now);
        if clock > state.clock() + MIN_CLOCK_ADVANCE_MS {
            out.push(WorkerOutput::Propose(Command::Step(token, Step::Clock(clock))));
        }
        self.update_grace_deadlines(now, state);
        for (shard, pin) in state.pins() {
            self.collect_pin(state, shard, pin, &mut due);
        }
        due.steps.extend(self.find_orphans(state));
        for ((at, shard), order) in state.orphans() {
            let step = Step::Deleted { shard: shard.clone(), at: *at, order: *order };
            self.drive_order(*at, shard, *order, OrderAction::Delete, &mut due, |status| {
                (status == OrderStatus::Deleted).then_some(step)
            });
        }
        due.steps.extend(state.waiting().map(Step::Admit));
        due.steps.extend(start_copies(state, due.starts));
        let mut proposals = 0;
        for step in due.steps {
            if proposals < self.settings.max_proposals
                && self.retries.is_due(
                    now,
                    self.settings.retry_base,
                    Message::Step(step.clone()),
                    &mut self.rng,
                )
            {
                proposals += 1;
                out.push(WorkerOutput::Propose(Command::Step(token, step)));
            }
        }
        let mut orders = 0;
        for (at, order, shard, action) in due.orders {
            let Some(Presence::Up { incarnation, .. }) = state.presence(at) else { continue };
            if orders < self.settings.max_orders
                && self.retries.is_due(
                    now,
                    self.settings.retry_base,
                    Message::Order(at, order),
                    &mut self.rng,
                )
            {
                orders += 1;
                out.push(WorkerOutput::Send(
                    at,
                    ServerRequest::Execute { incarnation, order, shard, action },
                ));
            }
        }
        // Forgets the status of orders for copies that no longer exist.
        self.order_statuses.retain(|(at, shard), _| {
            state.pins().get(shard).is_some_and(|p| p.copies.contains_key(at))
                || state.orphans().contains_key(&(*at, shard.clone()))
        });
        out
    }

    /// Adds an order that is in progress. It is repeated until its media server reports a status that leads to a step.
    fn drive_order(
        &self,
        at: ServerId,
        shard: &ShardId,
        order: OrderId,
        action: OrderAction,
        due: &mut DueWork,
        step: impl FnOnce(OrderStatus) -> Option<Step>,
    ) {
        let reported = self
            .order_statuses
            .get(&(at, shard.clone()))
            .filter(|(of, _)| *of == order)
            .map(|(_, status)| *status);
        match reported.and_then(step) {
            Some(step) => due.steps.push(step),
            None => due.orders.push((at, order, shard.clone(), action)),
        }
    }

    fn collect_pin(&self, state: &Placements, shard: &ShardId, pin: &Pin, due: &mut DueWork) {
        for region in pin.zones.keys() {
            if matches!(pin.request.on_loss, OnLoss::FailOver { .. }) {
                if state.failover_due(shard, region) {
                    due.steps.push(Step::FailOver(shard.clone(), region.clone()));
                }
                if state.failback_due(shard, region) {
                    due.steps.push(Step::FailBack(shard.clone(), region.clone()));
                }
            }
        }
        if pin.is_settled() {
            return;
        }
        for (at, copy) in &pin.copies {
            self.collect_copy(state, (shard, pin), (*at, copy), due);
        }
        if !state.withdrawable(shard).is_empty() {
            due.steps.push(Step::Withdraw(shard.clone()));
        }
        let ended = !pin.older.is_empty() || pin.failovers.values().any(|l| l.ending);
        if ended && state.can_retire_versions(shard) {
            due.steps.push(Step::RetireVersions(shard.clone()));
        }
        if !state.replaceable(shard).is_empty() {
            due.steps.push(Step::Replace(shard.clone()));
        }
    }

    fn collect_copy(
        &self,
        state: &Placements,
        of: (&ShardId, &Pin),
        at: (ServerId, &Copy),
        due: &mut DueWork,
    ) {
        let ((shard, pin), (at, copy)) = (of, at);
        let shard_id = || shard.clone();
        match copy.state {
            CopyState::Reserved if copy.wanted => due.starts.push((pin.verified(), shard_id(), at)),
            CopyState::Reserved | CopyState::Serving => {}
            CopyState::Copying { order, from } => {
                let from = from.map_or(Source::Origin, |(id, _)| Source::Server(id));
                let (bytes, kb_s) = (pin.request.bytes, state.rules().copy_kb_s);
                let timeout_ms = TRANSFER_TIMEOUT_FACTOR * (bytes / kb_s.max(1)) + TRANSFER_TIMEOUT_BASE_MS;
                if state.clock() >= copy.since.saturating_add(timeout_ms) {
                    due.steps.push(Step::CopyFailed { shard: shard_id(), at, order, why: Failure::TimedOut });
                } else {
                    self.drive_order(
                        at,
                        shard,
                        order,
                        OrderAction::Copy { from, bytes, kb_s },
                        due,
                        |status| step_after_read(status, shard_id(), at, order),
                    );
                }
            }
            CopyState::Checking { order } => {
                self.drive_order(at, shard, order, OrderAction::Check, due, |status| {
                    step_after_read(status, shard_id(), at, order)
                });
            }
            CopyState::Checked { order } => {
                let serve = OrderAction::Serve(pin.request.titles.clone());
                let step = Step::Serve { shard: shard_id(), at, order };
                self.drive_order(at, shard, order, serve, due, |status| {
                    (status == OrderStatus::Serving).then_some(step)
                });
            }
            CopyState::Unchecked => {
                if state.may_recheck(shard, at) {
                    due.steps.push(Step::Recheck { shard: shard_id(), at });
                }
            }
            CopyState::Withdrawing { revision } => {
                if state.all_fronts_have(revision) {
                    due.steps.push(Step::Drain { shard: shard_id(), at });
                }
            }
            CopyState::Draining { order } => {
                let step = Step::Delete { shard: shard_id(), at, order };
                if self.grace_over(order) {
                    due.steps.push(step);
                } else {
                    self.drive_order(at, shard, order, OrderAction::Drain, due, |status| {
                        (status == OrderStatus::Drained(0)).then_some(step)
                    });
                }
            }
            CopyState::Deleting { order } => {
                let step = Step::Deleted { shard: shard_id(), at, order };
                self.drive_order(at, shard, order, OrderAction::Delete, due, |status| {
                    (status == OrderStatus::Deleted).then_some(step)
                });
            }
        }
    }
}

/// Returns the step that follows from a reported digest or failure.
fn step_after_read(status: OrderStatus, shard: ShardId, at: ServerId, order: OrderId) -> Option<Step> {
    match status {
        OrderStatus::Read(digest) => Some(Step::CopyRead { shard, at, order, digest }),
        OrderStatus::Failed(why) => Some(Step::CopyFailed { shard, at, order, why }),
        _ => None,
    }
}

/// Selects copies to start. Shards with the fewest verified copies go first, and each media server takes part in one
/// new transfer per sweep, because the limits are checked against the state before the sweep.
fn start_copies(state: &Placements, mut all: Vec<(usize, ShardId, ServerId)>) -> Vec<Step> {
    all.sort();
    let mut used_servers = BTreeSet::new();
    let mut steps = Vec::new();
    for (_, shard, at) in all {
        if used_servers.contains(&at) {
            continue;
        }
        let from = sources(state, &shard, at).into_iter().find(|from| {
            let free = !matches!(from, Source::Server(id) if used_servers.contains(id));
            free && state.may_begin(&shard, at, *from)
        });
        if let Some(from) = from {
            used_servers.insert(at);
            if let Source::Server(id) = from {
                used_servers.insert(id);
            }
            steps.push(Step::BeginCopy { shard, at, from });
        }
    }
    steps
}

/// Returns the possible sources of a copy: verified copies, then the origin. Each failed attempt rotates the list,
/// because the source may have been the fault.
fn sources(state: &Placements, shard: &ShardId, at: ServerId) -> Vec<Source> {
    let Some(pin) = state.pins().get(shard) else { return Vec::new() };
    let verified = pin.copies.iter().filter(|(id, c)| c.state.is_verified() && **id != at);
    let mut all: Vec<Source> = verified.map(|(id, _)| Source::Server(*id)).collect();
    all.push(Source::Origin);
    let attempts = pin.copies.get(&at).map_or(0, |c| usize::from(c.attempts));
    let first = attempts % all.len();
    all.rotate_left(first);
    all
}
