//! The media server's part of the placement: it accepts orders and tracks what is on disk and what is served. The
//! caller executes the jobs, those of one shard in order.
//!
//! A new process serves no pinned shard before it is ordered to. Orders are refused if they are for another
//! incarnation, below the highest number seen of their shard, or from before the media server was lost. A delayed
//! message therefore can't restore deleted content, and an old disk serves nothing.

use std::collections::BTreeMap;

use crate::fault_injection::Fault;
use crate::protocol::commands::{Failure, Source};
use crate::protocol::names::{Customer, Digest, DiskId, Incarnation, OrderId, ShardId};
use crate::protocol::orders::{OrderAction, OrderStatus, ServerReport, ServerRequest};
use crate::protocol::shard::Titles;

/// Maximum number of shards whose orders are remembered. Beyond it, the oldest entry without data is dropped.
const MAX_REMEMBERED_SHARDS: usize = 65_536;

/// A disk operation. Only one per shard runs at a time, in order. A running one may be stopped when another follows.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Job {
    /// Write a copy over the existing data, then read it back.
    Copy {
        /// The shard.
        shard: ShardId,
        /// The order.
        order: OrderId,
        /// The source of the copy.
        from: Source,
        /// Size of the copy in bytes.
        bytes: u64,
        /// Maximum rate of the transfer, in kB per second.
        kb_s: u64,
    },
    /// Read the data on disk.
    Read {
        /// The shard.
        shard: ShardId,
        /// The order.
        order: OrderId,
    },
    /// End the sessions of the shard, and delete its data.
    Delete {
        /// The shard.
        shard: ShardId,
        /// The order.
        order: OrderId,
    },
}

/// The outcome of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum JobOutcome {
    /// The content on disk has this digest.
    Read(Digest),
    /// The job failed.
    Failed(Failure),
    /// Nothing of the shard is left on disk.
    Deleted,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ShardEntry {
    /// Highest order seen.
    order: OrderId,
    status: OrderStatus,
    /// Titles that may be served, if any.
    titles: Option<Titles>,
    /// Whether data of the shard may be on disk.
    has_data: bool,
    sessions: u32,
}

/// The state of a media server: its disk, and the orders that this incarnation has received.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MediaServer {
    incarnation: Incarnation,
    disk: DiskId,
    /// Orders up to this number were given before the last change of the media server's presence. Those that are still
    /// needed are given again with new numbers.
    presence: OrderId,
    shards: BTreeMap<ShardId, ShardEntry>,
    fault: Option<Fault>,
}

impl MediaServer {
    /// Returns the state of a new process that found data of these shards on its disk.
    pub fn new(
        incarnation: Incarnation,
        disk: DiskId,
        found: impl IntoIterator<Item = ShardId>,
    ) -> MediaServer {
        let found = found.into_iter().map(|shard| {
            let entry = ShardEntry {
                order: OrderId(0),
                status: OrderStatus::Superseded,
                titles: None,
                has_data: true,
                sessions: 0,
            };
            (shard, entry)
        });
        MediaServer { incarnation, disk, presence: OrderId(0), shards: found.collect(), fault: None }
    }

    /// Injects a fault.
    #[cfg(feature = "fault_injection")]
    pub fn inject_fault(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn has_fault(&self, fault: Fault) -> bool {
        cfg!(feature = "fault_injection") && self.fault == Some(fault)
    }

    /// Returns the incarnation of the process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the disk.
    pub fn disk_id(&self) -> DiskId {
        self.disk
    }

    /// Returns a status report.
    pub fn status(&self) -> ServerReport {
        let shards = self.shards.iter().filter(|(_, entry)| entry.has_data).map(|(s, _)| s.clone()).collect();
        ServerReport::Status {
            incarnation: self.incarnation,
            disk: self.disk,
            shards,
            presence: self.presence,
        }
    }

    /// Handles a message of the worker, and returns the reply and a job, if any.
    pub fn handle(&mut self, request: &ServerRequest) -> (ServerReport, Option<Job>) {
        let (incarnation, order, shard, action) = match request {
            ServerRequest::GetStatus(presence) => {
                self.presence = self.presence.max(*presence);
                return (self.status(), None);
            }
            ServerRequest::Execute { incarnation, order, shard, action } => {
                (incarnation, order, shard, action)
            }
        };
        if *incarnation != self.incarnation {
            // The worker learns of this incarnation by the reply.
            return (self.status(), None);
        }
        self.evict_oldest();
        let presence = self.presence;
        let any_order = self.has_fault(Fault::AcceptOldOrders);
        let entry = self.shards.entry(shard.clone()).or_insert(ShardEntry {
            order: OrderId(0),
            status: OrderStatus::Superseded,
            titles: None,
            has_data: false,
            sessions: 0,
        });
        let report = |status| ServerReport::Order { shard: shard.clone(), order: *order, status };
        if *order < entry.order && !any_order {
            return (report(OrderStatus::Superseded), None);
        }
        if *order == entry.order {
            // The number of sessions that are left changes as they end.
            if matches!(entry.status, OrderStatus::Drained(_)) {
                entry.status = OrderStatus::Drained(entry.sessions);
            }
            return (report(entry.status), None);
        }
        // The order was given before the media server was lost, and may be obsolete.
        if *order <= presence && !any_order {
            return (report(OrderStatus::Superseded), None);
        }
        entry.order = *order;
        let (shard, order) = (shard.clone(), *order);
        let (status, job) = match action {
            OrderAction::Copy { from, bytes, kb_s } => {
                (entry.has_data, entry.titles) = (true, None);
                (
                    OrderStatus::InProgress,
                    Some(Job::Copy { shard, order, from: *from, bytes: *bytes, kb_s: *kb_s }),
                )
            }
            OrderAction::Check => (OrderStatus::InProgress, Some(Job::Read { shard, order })),
            OrderAction::Serve(titles) => {
                entry.titles = Some(titles.clone());
                (OrderStatus::Serving, None)
            }
            OrderAction::Drain => {
                entry.titles = None;
                (OrderStatus::Drained(entry.sessions), None)
            }
            OrderAction::Delete => {
                entry.titles = None;
                (OrderStatus::InProgress, Some(Job::Delete { shard, order }))
            }
        };
        entry.status = status;
        (report(status), job)
    }

    /// Records the outcome of a job. Returns `None` if a later order has replaced it.
    pub fn job_done(&mut self, shard: &ShardId, order: OrderId, outcome: JobOutcome) -> Option<ServerReport> {
        let entry = self.shards.get_mut(shard).filter(|k| k.order == order)?;
        entry.status = match outcome {
            JobOutcome::Read(digest) => OrderStatus::Read(digest),
            JobOutcome::Failed(why) => OrderStatus::Failed(why),
            JobOutcome::Deleted => {
                (entry.has_data, entry.sessions) = (false, 0);
                OrderStatus::Deleted
            }
        };
        Some(ServerReport::Order { shard: shard.clone(), order, status: entry.status })
    }

    /// Returns whether sessions of a shard are accepted.
    pub fn serves(&self, shard: &ShardId) -> bool {
        self.shards.get(shard).is_some_and(|k| k.titles.is_some())
    }

    /// Returns the shard that contains a customer's title and is being served, if any.
    pub fn shard_of(&self, customer: &Customer, title: &str) -> Option<&ShardId> {
        let serves_title = |entry: &ShardEntry| entry.titles.as_ref().is_some_and(|t| t.has(title));
        self.shards.iter().find(|(s, k)| s.customer == *customer && serves_title(k)).map(|(s, _)| s)
    }

    /// Records the start of a session, and returns whether the session is accepted.
    pub fn begin(&mut self, shard: &ShardId) -> bool {
        let Some(entry) = self.shards.get_mut(shard).filter(|k| k.titles.is_some()) else { return false };
        entry.sessions = entry.sessions.saturating_add(1);
        true
    }

    /// Records the end of a session.
    pub fn end(&mut self, shard: &ShardId) {
        if let Some(entry) = self.shards.get_mut(shard) {
            entry.sessions = entry.sessions.saturating_sub(1);
        }
    }

    /// Returns the number of sessions of a shard.
    pub fn sessions(&self, shard: &ShardId) -> u32 {
        self.shards.get(shard).map_or(0, |k| k.sessions)
    }

    fn evict_oldest(&mut self) {
        if self.shards.len() < MAX_REMEMBERED_SHARDS {
            return;
        }
        let idle = self.shards.iter().filter(|(_, k)| !k.has_data && k.sessions == 0);
        if let Some(oldest) = idle.min_by_key(|(_, k)| k.order).map(|(s, _)| s.clone()) {
            self.shards.remove(&oldest);
        }
    }
}
