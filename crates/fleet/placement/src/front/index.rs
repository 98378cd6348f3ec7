//! An index from titles to shards.

use std::collections::BTreeMap;

use crate::protocol::answers::Record;
use crate::protocol::names::{Customer, ShardId, Title};
use crate::protocol::shard::{Titles, title_hash};

/// Titles of one customer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct CustomerIndex {
    named: BTreeMap<Title, ShardId>,
    /// Ranges of hashes by their lower bound. The shards of a customer are disjoint.
    ranges: BTreeMap<u64, (u64, ShardId)>,
}

/// All shards, and the index of their titles.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct Index {
    shards: BTreeMap<ShardId, Record>,
    titles: BTreeMap<Customer, CustomerIndex>,
}

impl Index {
    pub(super) fn shards(&self) -> &BTreeMap<ShardId, Record> {
        &self.shards
    }

    pub(super) fn record(&self, customer: &Customer, title: &str) -> Option<&Record> {
        let customer_index = self.titles.get(customer)?;
        let named = || Title::try_from(title).ok().and_then(|t| customer_index.named.get(&t));
        let hash = title_hash(title);
        let range = customer_index
            .ranges
            .range(..=hash)
            .next_back()
            .filter(|(_, (to, _))| hash <= *to)
            .map(|(_, (_, s))| s);
        self.shards.get(range.or_else(named)?)
    }

    pub(super) fn set(&mut self, shard: &ShardId, record: Option<Record>) {
        let before = self.shards.get(shard).map(|r| &r.titles);
        if before != record.as_ref().map(|r| &r.titles) {
            if let Some(titles) = before.cloned() {
                self.remove_titles(shard, &titles);
            }
            if let Some(titles) = record.as_ref().map(|r| &r.titles) {
                let customer_index = self.titles.entry(shard.customer.clone()).or_default();
                match titles {
                    Titles::Named(all) => {
                        customer_index.named.extend(all.iter().map(|t| (t.clone(), shard.clone())))
                    }
                    Titles::Range { from, to } => {
                        drop(customer_index.ranges.insert(*from, (*to, shard.clone())))
                    }
                }
            }
        }
        match record {
            Some(record) => drop(self.shards.insert(shard.clone(), record)),
            None => drop(self.shards.remove(shard)),
        }
    }

    fn remove_titles(&mut self, shard: &ShardId, titles: &Titles) {
        let Some(customer_index) = self.titles.get_mut(&shard.customer) else { return };
        match titles {
            Titles::Named(all) => {
                for title in all {
                    if customer_index.named.get(title) == Some(shard) {
                        customer_index.named.remove(title);
                    }
                }
            }
            Titles::Range { from, .. } => drop(customer_index.ranges.remove(from)),
        }
        if customer_index.named.is_empty() && customer_index.ranges.is_empty() {
            self.titles.remove(&shard.customer);
        }
    }
}
