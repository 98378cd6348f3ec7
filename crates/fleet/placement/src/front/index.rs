//! Which shard a title lies in.

use std::collections::BTreeMap;

use crate::words::answers::Record;
use crate::words::names::{Customer, ShardId, Title};
use crate::words::shard::{Titles, title_hash};

/// Titles of one customer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Own {
    named: BTreeMap<Title, ShardId>,
    /// Ranges, by their lowest hash: shards of a customer have no title in common.
    ranges: BTreeMap<u64, (u64, ShardId)>,
}

/// All shards, and where titles lie.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct Index {
    shards: BTreeMap<ShardId, Record>,
    titles: BTreeMap<Customer, Own>,
}

impl Index {
    pub(super) fn shards(&self) -> &BTreeMap<ShardId, Record> {
        &self.shards
    }

    pub(super) fn record(&self, customer: &Customer, title: &str) -> Option<&Record> {
        let own = self.titles.get(customer)?;
        let named = || Title::try_from(title).ok().and_then(|t| own.named.get(&t));
        let hash = title_hash(title);
        let range =
            own.ranges.range(..=hash).next_back().filter(|(_, (to, _))| hash <= *to).map(|(_, (_, s))| s);
        self.shards.get(range.or_else(named)?)
    }

    pub(super) fn set(&mut self, shard: &ShardId, record: Option<Record>) {
        let before = self.shards.get(shard).map(|r| &r.titles);
        if before != record.as_ref().map(|r| &r.titles) {
            if let Some(titles) = before.cloned() {
                self.unset(shard, &titles);
            }
            if let Some(titles) = record.as_ref().map(|r| &r.titles) {
                let own = self.titles.entry(shard.customer.clone()).or_default();
                match titles {
                    Titles::Named(all) => own.named.extend(all.iter().map(|t| (t.clone(), shard.clone()))),
                    Titles::Range { from, to } => drop(own.ranges.insert(*from, (*to, shard.clone()))),
                }
            }
        }
        match record {
            Some(record) => drop(self.shards.insert(shard.clone(), record)),
            None => drop(self.shards.remove(shard)),
        }
    }

    fn unset(&mut self, shard: &ShardId, titles: &Titles) {
        let Some(own) = self.titles.get_mut(&shard.customer) else { return };
        match titles {
            Titles::Named(all) => {
                for title in all {
                    if own.named.get(title) == Some(shard) {
                        own.named.remove(title);
                    }
                }
            }
            Titles::Range { from, .. } => drop(own.ranges.remove(from)),
        }
        if own.named.is_empty() && own.ranges.is_empty() {
            self.titles.remove(&shard.customer);
        }
    }
}
