//! A front's view of the placement, and the front's lease on it.
//!
//! The view is built from the records of a topic and only moves forward. The lease is counted from before it was
//! requested and shortened by the drift bound, as for any holder (`docs/fleet.md`, "Time"). Without a lease, the front
//! places no title of a customer whose titles may be pinned, because it can't know whether and where they are.

mod index;
mod server_filter;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use beechloft_leases::DriftBound;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fault_injection::Fault;
use crate::protocol::answers::{Record, RenewOutcome};
use crate::protocol::commands::Renew;
use crate::protocol::names::{Customer, FrontId, Revision, ServerId, ShardId, Version};
use index::Index;
pub use server_filter::{Change, ServerFilter};

/// Maximum number of lease requests that wait for an answer. The answer to each counts from when that request was
/// made.
const MAX_PENDING_REQUESTS: usize = 8;
/// Minimum interval between lease requests.
const MIN_RENEW_INTERVAL: Duration = Duration::from_millis(50);

/// The media servers that may serve a title.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AllowedServers {
    /// The title is not pinned: any media server that has it.
    Unpinned,
    /// These media servers.
    Servers {
        /// All allowed media servers.
        all: BTreeSet<ServerId>,
        /// Media servers that are preferred while any of them is usable. Empty if there is no preference.
        home: BTreeSet<ServerId>,
        /// Version of the shard that allows them.
        version: Version,
    },
    /// No media server.
    Refused(Refusal),
}

/// The reason why a title is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The front has no placement lease: the title may have been pinned elsewhere.
    NoLease,
    /// The title is pinned, and no media server serves it at present.
    NoServer,
}

/// An input of the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ViewInput {
    /// Time has passed.
    Tick,
    /// A record in the order of revisions, or `None` if the shard is no longer pinned.
    Record(ShardId, Revision, Option<Record>),
    /// A snapshot of all records starts. It ends with the next [`ViewInput::CaughtUp`].
    SnapshotStart,
    /// All records that were published so far have been passed.
    CaughtUp,
    /// The answer to a lease request.
    Renewed {
        /// Number of the request.
        seq: u64,
        /// The outcome.
        outcome: RenewOutcome,
    },
    /// The front is stopping and places nothing any more.
    Stop,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct PendingRequest {
    seq: u64,
    made_at: Duration,
}

/// A front's view of the placement.
#[derive(Debug, Clone)]
pub struct View {
    front: FrontId,
    drift: DriftBound,
    ttl_ms: u32,
    customers: BTreeSet<Customer>,
    index: Index,
    /// Revision of the last record.
    last_revision: Revision,
    update_count: u64,
    /// The view contains all records up to this one, as reported to the coordinator.
    complete_up_to: Revision,
    /// A snapshot that is being received.
    snapshot: Option<(Index, Revision)>,
    lease_until: Duration,
    pending: Vec<PendingRequest>,
    seq: u64,
    next_at: Duration,
    last_at: Option<Duration>,
    /// Whether a withdrawal has arrived since the last lease request.
    withdrawal_pending: bool,
    required_revision: Revision,
    stopped: bool,
    now: Duration,
    rng: ChaCha8Rng,
    fault: Option<Fault>,
}

/// Hashes everything that determines the next actions, except for random draws.
impl std::hash::Hash for View {
    fn hash<H: std::hash::Hasher>(&self, into: &mut H) {
        (
            self.front,
            &self.index,
            self.last_revision,
            self.complete_up_to,
            &self.snapshot,
            self.lease_until,
            &self.pending,
        )
            .hash(into);
        (
            self.seq,
            self.next_at,
            self.last_at,
            self.withdrawal_pending,
            self.required_revision,
            self.stopped,
            self.now,
        )
            .hash(into);
    }
}

impl View {
    /// Returns an empty view. Each process draws its own `front`. `customers` are those whose titles may be pinned.
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
            last_revision: Revision(0),
            update_count: 0,
            complete_up_to: Revision(0),
            snapshot: None,
            lease_until: Duration::ZERO,
            pending: Vec::new(),
            seq: 0,
            next_at: Duration::ZERO,
            last_at: None,
            withdrawal_pending: false,
            required_revision: Revision(0),
            stopped: false,
            now: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed ^ front.0),
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

    fn ttl(&self) -> Duration {
        Duration::from_millis(u64::from(self.ttl_ms))
    }

    /// Returns the id of the front.
    pub fn front(&self) -> FrontId {
        self.front
    }

    /// Returns whether titles of a customer may be pinned.
    pub fn may_be_pinned(&self, customer: &Customer) -> bool {
        self.customers.contains(customer)
    }

    /// Returns the number of applied records and snapshots.
    pub fn update_count(&self) -> u64 {
        self.update_count
    }

    /// Returns whether the front may place at `now`, which has to be read immediately before the placement.
    pub fn has_lease(&self, now: Duration) -> bool {
        now < self.lease_until && !self.stopped
    }

    /// Returns the time at which the lease ends unless it is renewed.
    pub fn lease_until(&self) -> Duration {
        self.lease_until
    }

    /// Returns the revision up to which the view contains all records.
    pub fn complete_up_to(&self) -> Revision {
        self.complete_up_to
    }

    /// Returns the media servers that may serve a customer's title now.
    pub fn allowed_servers(&self, now: Duration, customer: &str, title: &str) -> AllowedServers {
        let Some(customer) = Customer::try_from(customer).ok().filter(|c| self.customers.contains(c)) else {
            return AllowedServers::Unpinned;
        };
        if !self.has_lease(now) {
            return AllowedServers::Refused(Refusal::NoLease);
        }
        match self.index.record(&customer, title) {
            None => AllowedServers::Unpinned,
            Some(record) if record.servers.is_empty() => AllowedServers::Refused(Refusal::NoServer),
            Some(Record { servers, home, version, .. }) => {
                AllowedServers::Servers { all: servers.clone(), home: home.clone(), version: *version }
            }
        }
    }

    /// Returns the known pinned shards.
    pub fn shards(&self) -> &BTreeMap<ShardId, Record> {
        self.index.shards()
    }

    /// Returns the time of the next lease request.
    pub fn next_due(&self) -> Duration {
        self.next_at
    }

    /// Handles an input, and returns a lease request for the coordinator's leader if one is due.
    pub fn handle(&mut self, now: Duration, input: ViewInput) -> Option<Renew> {
        self.now = self.now.max(now);
        match input {
            ViewInput::Tick => {}
            ViewInput::Record(shard, revision, record) => self.record(&shard, revision, record),
            ViewInput::SnapshotStart => self.snapshot = Some((Index::default(), Revision(0))),
            ViewInput::CaughtUp => self.complete(),
            ViewInput::Renewed { seq, outcome } => self.lease_answered(seq, outcome),
            ViewInput::Stop => {
                self.stopped = true;
                return Some(self.request(None));
            }
        }
        (!self.stopped && self.now >= self.next_at).then(|| self.renew())
    }

    fn record(&mut self, shard: &ShardId, revision: Revision, record: Option<Record>) {
        match &mut self.snapshot {
            Some((index, up_to)) => {
                index.set(shard, record);
                *up_to = (*up_to).max(revision);
            }
            // The record is a duplicate or outdated, from a replica that lags behind.
            None if revision <= self.last_revision => {}
            None => {
                self.withdrawal_pending |= record.as_ref().is_none_or(|r| r.withdraws);
                self.index.set(shard, record);
                self.last_revision = revision;
                self.update_count += 1;
            }
        }
    }

    fn complete(&mut self) {
        let accept_old = self.has_fault(Fault::AcceptOldSnapshot);
        if let Some((index, up_to)) = self.snapshot.take()
            && (up_to >= self.last_revision || accept_old)
        {
            // An outdated snapshot from a replica that lags behind is dropped, because a view that went back could
            // offer what all fronts know to be withdrawn.
            (self.index, self.last_revision, self.withdrawal_pending) = (index, up_to, true);
            self.update_count += 1;
        }
        self.complete_up_to = self.complete_up_to.max(self.last_revision);
        let caught_up = self.required_revision > Revision(0) && self.complete_up_to >= self.required_revision;
        if self.withdrawal_pending || caught_up {
            // A withdrawal waits for all fronts, so that it is acknowledged soon. The minimum interval combines
            // several of them.
            let soon = self.last_at.map_or(self.now, |at| at + MIN_RENEW_INTERVAL).max(self.now);
            self.next_at = self.next_at.min(soon);
        }
    }

    fn lease_answered(&mut self, seq: u64, outcome: RenewOutcome) {
        let Some(request) =
            self.pending.iter().position(|o| o.seq == seq).map(|at| self.pending.swap_remove(at))
        else {
            return;
        };
        match outcome {
            RenewOutcome::Granted => {
                let time = if self.has_fault(Fault::IgnoreDrift) {
                    self.ttl()
                } else {
                    self.drift.shorter(self.ttl())
                };
                let from = if self.has_fault(Fault::LeaseFromArrival) { self.now } else { request.made_at };
                self.lease_until = self.lease_until.max(from + time);
                self.next_at = self.next_at.max(request.made_at + self.ttl() / 3);
                if self.withdrawal_pending {
                    self.next_at = self.next_at.min(self.now + MIN_RENEW_INTERVAL);
                }
                self.required_revision = Revision(0);
            }
            RenewOutcome::Behind(required_revision) => {
                self.required_revision = required_revision;
                let wait = self.jittered(self.ttl() / 3);
                self.next_at = if self.complete_up_to >= required_revision {
                    self.now + MIN_RENEW_INTERVAL
                } else {
                    self.now + wait
                };
            }
            RenewOutcome::Refused => self.next_at = self.now + self.jittered(self.ttl()),
            RenewOutcome::Released => {}
        }
    }

    fn jittered(&mut self, span: Duration) -> Duration {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(self.rng.random_range(micros / 2..=micros))
    }

    fn request(&mut self, revision: Option<Revision>) -> Renew {
        self.seq += 1;
        Renew { front: self.front, seq: self.seq, revision, ttl_ms: self.ttl_ms }
    }

    fn renew(&mut self) -> Renew {
        let renew = self.request(Some(self.complete_up_to));
        // The time is taken before any copy of the request is sent.
        self.pending.push(PendingRequest { seq: renew.seq, made_at: self.now });
        if self.pending.len() > MAX_PENDING_REQUESTS {
            self.pending.remove(0);
        }
        // About six attempts fit into the duration of a lease. Each one is a new request, because a grant counts from
        // when its request was made.
        let again = self.jittered(self.ttl() / 6);
        (self.next_at, self.last_at, self.withdrawal_pending) = (self.now + again, Some(self.now), false);
        renew
    }
}
