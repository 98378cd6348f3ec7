//! A box's side: which orders it takes, what it holds, what it plays. Whoever drives it does the jobs, those of one shard in order.
//!
//! A process that starts plays nothing that is pinned before it is told to in this life; an order for another life, or one below the
//! highest that was seen of its shard, or given before it was lost, is not taken. So a late word can't bring back what was deleted, and an old disk plays nothing.

use std::collections::BTreeMap;

use crate::planted::Fault;
use crate::words::commands::{Failure, Source};
use crate::words::names::*;
use crate::words::orders::{Do, News, Said, Tell};
use crate::words::shard::Titles;

/// Shards of which a box remembers orders, at most: past it those of which it has nothing are forgotten, the oldest first.
const MOST_SHARDS: usize = 65_536;

/// What is to be done with the disk. One of a shard at a time, in order; one that another follows may be stopped.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Job {
    /// Write a copy over whatever is there, then read it.
    Copy {
        /// Of which shard.
        shard: ShardId,
        /// By which order.
        order: Order,
        /// From where.
        from: Source,
        /// Its size.
        bytes: u64,
        /// No faster than this, kB a second.
        kb_s: u64,
    },
    /// Read what is there.
    Read {
        /// Of which shard.
        shard: ShardId,
        /// By which order.
        order: Order,
    },
    /// End the sessions that play it, and delete it.
    Delete {
        /// Of which shard.
        shard: ShardId,
        /// By which order.
        order: Order,
    },
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Done {
    /// What is on disk has this digest.
    Read(Digest),
    /// It could not be done.
    Failed(Failure),
    /// Nothing is left of it.
    Deleted,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Known {
    /// The highest order that was seen.
    order: Order,
    news: News,
    /// What it may play.
    plays: Option<Titles>,
    /// Something of it may be on disk.
    holds: bool,
    sessions: u32,
}

/// A box's disk, and what it was told of it in this life.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Disk {
    life: Life,
    disk: DiskId,
    /// Orders up to this one were given before the box was lost, or met: those that are still wanted are given anew.
    told: Order,
    known: BTreeMap<ShardId, Known>,
    fault: Option<Fault>,
}

impl Disk {
    /// A process that starts, with what it finds on its disk.
    pub fn new(life: Life, disk: DiskId, found: impl IntoIterator<Item = ShardId>) -> Disk {
        let found = found.into_iter().map(|shard| {
            let known = Known { order: Order(0), news: News::Old, plays: None, holds: true, sessions: 0 };
            (shard, known)
        });
        Disk { life, disk, told: Order(0), known: found.collect(), fault: None }
    }

    /// Plants a fault.
    #[cfg(feature = "planted")]
    pub fn plant(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn planted(&self, fault: Fault) -> bool {
        cfg!(feature = "planted") && self.fault == Some(fault)
    }

    /// Its life.
    pub fn life(&self) -> Life {
        self.life
    }

    /// Its disk.
    pub fn disk(&self) -> DiskId {
        self.disk
    }

    /// Who it is, and what it holds.
    pub fn here(&self) -> Said {
        let holds = self.known.iter().filter(|(_, k)| k.holds).map(|(s, _)| s.clone()).collect();
        Said::Here { life: self.life, disk: self.disk, holds, told: self.told }
    }

    /// Takes a word; what it says to that, and what is to be done.
    pub fn handle(&mut self, tell: &Tell) -> (Said, Option<Job>) {
        let (life, order, shard, what) = match tell {
            Tell::Look(told) => {
                self.told = self.told.max(*told);
                return (self.here(), None);
            }
            Tell::Do { life, order, shard, what } => (life, order, shard, what),
        };
        if *life != self.life {
            // Whoever gives it learns of this life.
            return (self.here(), None);
        }
        self.bound();
        let told = self.told;
        let any_order = self.planted(Fault::OldOrders);
        let known = self.known.entry(shard.clone()).or_insert(Known {
            order: Order(0),
            news: News::Old,
            plays: None,
            holds: false,
            sessions: 0,
        });
        let said = |news| Said::Of { shard: shard.clone(), order: *order, news };
        if *order < known.order && !any_order {
            return (said(News::Old), None);
        }
        if *order == known.order {
            // What it said to a drain changes as sessions end.
            if matches!(known.news, News::Drained(_)) {
                known.news = News::Drained(known.sessions);
            }
            return (said(known.news), None);
        }
        // It was given before the box was lost, and nobody counts on it any more: what it was for may be over.
        if *order <= told && !any_order {
            return (said(News::Old), None);
        }
        known.order = *order;
        let (shard, order) = (shard.clone(), *order);
        let (news, job) = match what {
            Do::Copy { from, bytes, kb_s } => {
                (known.holds, known.plays) = (true, None);
                (News::Under, Some(Job::Copy { shard, order, from: *from, bytes: *bytes, kb_s: *kb_s }))
            }
            Do::Check => (News::Under, Some(Job::Read { shard, order })),
            Do::Arm(titles) => {
                known.plays = Some(titles.clone());
                (News::Armed, None)
            }
            Do::Drain => {
                known.plays = None;
                (News::Drained(known.sessions), None)
            }
            Do::Delete => {
                known.plays = None;
                (News::Under, Some(Job::Delete { shard, order }))
            }
        };
        known.news = news;
        (said(news), job)
    }

    /// A job has ended. One that was overtaken by a later order says nothing.
    pub fn done(&mut self, shard: &ShardId, order: Order, done: Done) -> Option<Said> {
        let known = self.known.get_mut(shard).filter(|k| k.order == order)?;
        known.news = match done {
            Done::Read(digest) => News::Read(digest),
            Done::Failed(why) => News::Failed(why),
            Done::Deleted => {
                (known.holds, known.sessions) = (false, 0);
                News::Gone
            }
        };
        Some(Said::Of { shard: shard.clone(), order, news: known.news })
    }

    /// Whether it takes a session of a shard now.
    pub fn plays(&self, shard: &ShardId) -> bool {
        self.known.get(shard).is_some_and(|k| k.plays.is_some())
    }

    /// The shard of a customer's title that it plays, if it plays it.
    pub fn shard_of(&self, customer: &Customer, title: &str) -> Option<&ShardId> {
        let plays = |k: &Known| k.plays.as_ref().is_some_and(|t| t.has(title));
        self.known.iter().find(|(s, k)| s.customer == *customer && plays(k)).map(|(s, _)| s)
    }

    /// A session of it begins; not if it is not played.
    pub fn begin(&mut self, shard: &ShardId) -> bool {
        let Some(known) = self.known.get_mut(shard).filter(|k| k.plays.is_some()) else { return false };
        known.sessions = known.sessions.saturating_add(1);
        true
    }

    /// A session of it has ended.
    pub fn end(&mut self, shard: &ShardId) {
        if let Some(known) = self.known.get_mut(shard) {
            known.sessions = known.sessions.saturating_sub(1);
        }
    }

    /// Sessions of a shard.
    pub fn sessions(&self, shard: &ShardId) -> u32 {
        self.known.get(shard).map_or(0, |k| k.sessions)
    }

    fn bound(&mut self) {
        if self.known.len() < MOST_SHARDS {
            return;
        }
        let idle = self.known.iter().filter(|(_, k)| !k.holds && k.sessions == 0);
        if let Some(oldest) = idle.min_by_key(|(_, k)| k.order).map(|(s, _)| s.clone()) {
            self.known.remove(&oldest);
        }
    }
}
