//! Immutable views of the state.

use std::ops::Bound;
use std::sync::Arc;

use crate::frame::{Op, Table};
use crate::recovery::State;

/// The state at one moment. Later writes do not change it.
#[derive(Debug, Clone)]
pub struct View {
    pub(super) state: State,
    pub(super) seq: u64,
}

impl View {
    /// The value of a key.
    pub fn get(&self, table: Table, key: &[u8]) -> Option<Arc<[u8]>> {
        self.state.get(&(table, key.to_vec())).cloned()
    }

    /// All keys and values of a table, in the order of the keys.
    pub fn table(&self, table: Table) -> impl Iterator<Item = (&[u8], &[u8])> {
        let from = Bound::Included((table, Vec::new()));
        self.state
            .range((from, Bound::Unbounded))
            .take_while(move |((of, _), _)| *of == table)
            .map(|((_, key), value)| (key.as_slice(), &**value))
    }

    /// The number of the last batch in it.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// The number of keys of all tables.
    pub fn len(&self) -> usize {
        self.state.len()
    }

    /// Whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.state.is_empty()
    }

    /// The operations that make this state from an empty one.
    pub(super) fn ops(&self) -> Vec<Op> {
        let op = |((table, key), value): (&(Table, Vec<u8>), &Arc<[u8]>)| Op {
            table: *table,
            key: key.clone(),
            value: Some(value.clone()),
        };
        self.state.iter().map(op).collect()
    }
}
