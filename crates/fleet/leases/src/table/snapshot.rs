//! Encoding of the table in snapshots.

use std::collections::BTreeMap;

use serde::Deserialize;
use thiserror::Error;

use super::Table;
use super::lease::Lease;
use super::requests::LastAnswer;
use crate::message::{HolderId, Token};
use crate::name::Name;

/// Error for a snapshot that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("cannot decode the lease table: {0}")]
pub struct TableError(#[from] postcard::Error);

/// Table as written by versions without instances.
#[derive(Deserialize)]
struct TableWithoutInstances {
    leases: BTreeMap<Name, Lease>,
    tasks: BTreeMap<Token, Name>,
    last_answers: BTreeMap<HolderId, LastAnswer>,
    last_token: u64,
    commands_applied: u64,
}

impl From<TableWithoutInstances> for Table {
    fn from(older: TableWithoutInstances) -> Table {
        let TableWithoutInstances { leases, tasks, last_answers, last_token, commands_applied } = older;
        Table { leases, tasks, last_answers, last_token, commands_applied, ..Table::default() }
    }
}

impl Table {
    /// Encodes the table.
    pub fn write(&self) -> Vec<u8> {
        // Encoding fails only for sequences of unknown length, which the table does not contain.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a table that [`Table::write`] encoded, in this version or in one without instances. No bytes decode to an empty
    /// table.
    ///
    /// # Errors
    /// Returns an error if the bytes are not an encoded table.
    pub fn read(bytes: &[u8]) -> Result<Table, TableError> {
        if bytes.is_empty() {
            return Ok(Table::default());
        }
        let (older, rest) = postcard::take_from_bytes::<TableWithoutInstances>(bytes)?;
        if rest.is_empty() {
            return Ok(older.into());
        }
        Ok(postcard::from_bytes(bytes)?)
    }
}
