//! Atomic batches of changes.

use std::sync::Arc;

use crate::frame::{Op, Table};

/// A list of changes that is applied atomically.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch(pub(super) Vec<Op>);

impl Batch {
    /// Sets the value of a key.
    pub fn put(&mut self, table: Table, key: impl Into<Vec<u8>>, value: impl Into<Vec<u8>>) -> &mut Self {
        self.put_shared(table, key, value.into().into())
    }

    /// Sets the value of a key to a shared value, which is not copied.
    pub fn put_shared(&mut self, table: Table, key: impl Into<Vec<u8>>, value: Arc<[u8]>) -> &mut Self {
        self.0.push(Op { table, key: key.into(), value: Some(value) });
        self
    }

    /// Removes a key.
    pub fn remove(&mut self, table: Table, key: impl Into<Vec<u8>>) -> &mut Self {
        self.0.push(Op { table, key: key.into(), value: None });
        self
    }

    /// Returns whether the batch contains no changes.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
