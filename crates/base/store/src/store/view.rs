//! Immutable views of the store's state.

use std::ops::Bound;
use std::sync::Arc;

use crate::frame::{Op, Table};
use crate::recovery::State;

/// A snapshot of the state in memory, which later writes do not change.
#[derive(Debug, Clone)]
pub struct View {
    pub(super) state: State,
    pub(super) seq: u64,
}

impl View {
    /// Returns the value of a key, or `None` if the table has no such key.
    pub fn get(&self, table: Table, key: &[u8]) -> Option<Arc<[u8]>> {
        self.state.get(&(table, key.to_vec())).cloned()
    }

    /// Returns the keys and values of a table in ascending order of the keys.
    pub fn table(&self, table: Table) -> impl Iterator<Item = (&[u8], &[u8])> {
        let from = Bound::Included((table, Vec::new()));
        self.state
            .range((from, Bound::Unbounded))
            .take_while(move |((entry_table, _), _)| *entry_table == table)
            .map(|((_, key), value)| (key.as_slice(), &**value))
    }

    /// Returns the number of the last batch that the view contains.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Returns the number of keys in all tables.
    pub fn len(&self) -> usize {
        self.state.len()
    }

    /// Returns whether no table has a key.
    pub fn is_empty(&self) -> bool {
        self.state.is_empty()
    }

    /// Returns the operations that build this state from an empty one.
    pub(super) fn ops(&self) -> Vec<Op> {
        let put = |((table, key), value): (&(Table, Vec<u8>), &Arc<[u8]>)| Op {
            table: *table,
            key: key.clone(),
            value: Some(value.clone()),
        };
        self.state.iter().map(put).collect()
    }
}
