//! The worker: proposes steps to the log and gives orders to media servers while it shards a lease.
//!
//! All work follows from the replicated state. The worker's own state consists only of the reports of media servers
//! since it acquired the lease and the times of its messages, none of which a successor needs. A new holder therefore
//! continues where the last one stopped. Messages of both holders take effect once, because steps state their
//! preconditions and orders have numbers.

mod retries;
mod sweep;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use beechloft_leases::{DriftBound, Token};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fault_injection::Fault;
use crate::protocol::commands::{Command, Step};
use crate::protocol::names::{DiskId, Incarnation, OrderId, ServerId, ShardId};
use crate::protocol::orders::{OrderStatus, ServerReport, ServerRequest};
use crate::state::{CopyState, Placements, Presence};
use retries::RetrySchedule;

/// Settings of the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerSettings {
    /// Interval of the status requests to a media server.
    pub status_interval: Duration,
    /// Time without a report after which a media server counts as lost.
    pub lost_after: Duration,
    /// Interval between sweeps over the state.
    pub sweep_interval: Duration,
    /// Base delay between repetitions of a message. It doubles up to five times.
    pub retry_base: Duration,
    /// Maximum number of steps proposed per sweep.
    pub max_proposals: usize,
    /// Maximum number of orders sent per sweep.
    pub max_orders: usize,
    /// Bound on the difference of clock rates.
    pub drift: DriftBound,
}

impl Default for WorkerSettings {
    fn default() -> WorkerSettings {
        WorkerSettings {
            status_interval: Duration::from_secs(1),
            lost_after: Duration::from_secs(10),
            sweep_interval: Duration::from_millis(100),
            retry_base: Duration::from_millis(500),
            max_proposals: 64,
            max_orders: 256,
            drift: DriftBound::default(),
        }
    }
}

/// An output of the worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerOutput {
    /// A command to propose to the log.
    Propose(Command),
    /// A message to a media server.
    Send(ServerId, ServerRequest),
}

/// Reports of a media server since the worker acquired its lease.
#[derive(Debug, Clone, Default, Hash)]
struct ServerReports {
    last_report: Option<Duration>,
    last_request: Option<Duration>,
    status: Option<(Incarnation, DiskId, BTreeSet<ShardId>)>,
    /// Number of its presence that the media server knew at its last status report.
    presence: OrderId,
}

/// The lease under which the worker runs.
#[derive(Debug, Clone, Copy, Hash)]
struct HeldLease {
    token: Token,
    since: Duration,
    /// The log's clock at that time, in milliseconds.
    clock: u64,
}

/// The placement worker.
#[derive(Debug, Clone)]
pub struct Worker {
    settings: WorkerSettings,
    lease: Option<HeldLease>,
    servers: BTreeMap<ServerId, ServerReports>,
    /// The last reported status of orders.
    order_statuses: BTreeMap<(ServerId, ShardId), (OrderId, OrderStatus)>,
    retries: RetrySchedule,
    /// End of the grace period of draining copies by this worker's clock, keyed by the order to drain.
    grace_deadlines: BTreeMap<OrderId, Duration>,
    graces_updated_at: Duration,
    last_sweep: Option<Duration>,
    rng: ChaCha8Rng,
    fault: Option<Fault>,
}

/// Hashes everything that determines the next actions, except for random draws.
impl std::hash::Hash for Worker {
    fn hash<H: std::hash::Hasher>(&self, into: &mut H) {
        (
            &self.lease,
            &self.servers,
            &self.order_statuses,
            &self.retries,
            &self.grace_deadlines,
            self.last_sweep,
        )
            .hash(into);
    }
}

impl Worker {
    /// Returns a worker that shards no lease yet.
    pub fn new(settings: WorkerSettings, seed: u64) -> Worker {
        Worker {
            settings,
            lease: None,
            servers: BTreeMap::new(),
            order_statuses: BTreeMap::new(),
            retries: RetrySchedule::default(),
            grace_deadlines: BTreeMap::new(),
            graces_updated_at: Duration::ZERO,
            last_sweep: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
            fault: None,
        }
    }

    /// Injects a fault.
    #[cfg(feature = "fault_injection")]
    pub fn inject_fault(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn has_fault(&self, fault: Fault) -> bool {
        cfg!(feature = "fault_injection") && self.fault == Some(fault)
    }

    /// Returns the time of the next sweep, or `None` if the worker shards no lease.
    pub fn next_due(&self) -> Option<Duration> {
        self.lease?;
        Some(self.last_sweep.map_or(Duration::ZERO, |at| at + self.settings.sweep_interval))
    }

    /// Handles a message of a media server.
    pub fn handle_report(&mut self, now: Duration, from: ServerId, report: ServerReport) {
        let reports = self.servers.entry(from).or_default();
        reports.last_report = Some(now);
        match report {
            // A status with a lower presence number is older than the known one.
            ServerReport::Status { presence, .. } if presence < reports.presence => {}
            ServerReport::Status { incarnation, disk, shards, presence } => {
                (reports.status, reports.presence) =
                    (Some((incarnation, disk, shards.into_iter().collect())), presence);
            }
            // Either the worker gave no such order or the report is outdated. The state has the current order.
            ServerReport::Order { status: OrderStatus::Superseded, .. } => {}
            ServerReport::Order { shard, order, status } => {
                let known = self.order_statuses.entry((from, shard)).or_insert((order, status));
                if order >= known.0 {
                    *known = (order, status);
                }
            }
        }
    }

    /// Runs a sweep if one is due. `token` is the fencing token that the lease's permit grants for this moment, or
    /// `None` if the worker must not act. The outputs have to be sent before the permit ends, and carry the token.
    pub fn handle(&mut self, now: Duration, token: Option<Token>, state: &Placements) -> Vec<WorkerOutput> {
        let Some(token) = token else {
            self.lease = None;
            return Vec::new();
        };
        if self.lease.is_none_or(|h| h.token != token) {
            // Discards earlier reports, which may be older than the work of another holder.
            self.lease = Some(HeldLease { token, since: now, clock: state.clock() });
            self.servers.clear();
            self.order_statuses.clear();
            self.retries = RetrySchedule::default();
            self.grace_deadlines.clear();
            self.last_sweep = None;
        }
        if self.last_sweep.is_some_and(|at| now < at + self.settings.sweep_interval) {
            return Vec::new();
        }
        self.last_sweep = Some(now);
        self.sweep(now, token, state)
    }

    /// Returns the time to which the log's clock may be advanced: its value at the start of the lease plus the time
    /// elapsed since, shortened by the drift bound. It therefore never runs ahead of true time.
    fn clock(&self, now: Duration) -> u64 {
        self.lease.map_or(0, |h| {
            let passed = self.settings.drift.shorter(now.saturating_sub(h.since));
            h.clock.saturating_add(u64::try_from(passed.as_millis()).unwrap_or(u64::MAX))
        })
    }

    /// Counts grace periods from when each drain was first seen in the state, which is after its commit, in the way
    /// that leases are counted. By the log's clock a period could be too short, because the clock may lag when the
    /// drain is applied and catch up later.
    fn update_grace_deadlines(&mut self, now: Duration, state: &Placements) {
        let grace = self.settings.drift.longer(Duration::from_millis(state.rules().grace_ms));
        let before = std::mem::take(&mut self.grace_deadlines);
        for pin in state.pins().values().filter(|p| !p.is_settled()) {
            for copy in pin.copies.values() {
                if let CopyState::Draining { order } = copy.state {
                    let deadline = before.get(&order).copied().unwrap_or(now + grace);
                    let deadline = if self.has_fault(Fault::NoGracePeriod) { now } else { deadline };
                    self.grace_deadlines.insert(order, deadline);
                }
            }
        }
        self.graces_updated_at = now;
    }

    fn grace_over(&self, order: OrderId) -> bool {
        self.grace_deadlines.get(&order).is_some_and(|deadline| self.graces_updated_at >= *deadline)
    }

    fn poll_servers(&mut self, now: Duration, state: &Placements, out: &mut Vec<WorkerOutput>) -> Vec<Step> {
        let mut steps = Vec::new();
        let lease_start = self.lease.map_or(now, |h| h.since);
        for id in state.inventory().servers.keys() {
            let reports = self.servers.entry(*id).or_default();
            if reports.last_request.is_none_or(|at| now >= at + self.settings.status_interval) {
                reports.last_request = Some(now);
                out.push(WorkerOutput::Send(*id, ServerRequest::GetStatus(state.presence_number(*id))));
            }
            let silent =
                now.saturating_sub(reports.last_report.unwrap_or(lease_start)) >= self.settings.lost_after;
            match (state.presence(*id), &reports.status) {
                (Some(Presence::Up { incarnation, .. }), _) if silent => {
                    steps.push(Step::ServerLost { id: *id, incarnation })
                }
                (_, Some((incarnation, disk, _)))
                    if !silent && reports.presence == state.presence_number(*id) =>
                {
                    let (incarnation, disk, presence) = (*incarnation, *disk, reports.presence);
                    if state.presence(*id) != Some(Presence::Up { incarnation, disk }) {
                        steps.push(Step::ServerUp { id: *id, incarnation, disk, presence });
                    }
                }
                _ => {}
            }
        }
        self.servers.retain(|id, _| state.inventory().servers.contains_key(id));
        steps
    }

    /// Returns steps that record data on media servers that belongs to no copy.
    fn find_orphans(&self, state: &Placements) -> Vec<Step> {
        let mut steps = Vec::new();
        for (id, reports) in &self.servers {
            let Some((incarnation, disk, shards)) = &reports.status else { continue };
            if state.presence(*id) != Some(Presence::Up { incarnation: *incarnation, disk: *disk }) {
                continue;
            }
            for shard in shards {
                let known = state.pins().get(shard).is_some_and(|p| p.copies.contains_key(id));
                if !known && !state.orphans().contains_key(&(*id, shard.clone())) {
                    steps.push(Step::Orphan { shard: shard.clone(), at: *id });
                }
            }
        }
        steps
    }
}
