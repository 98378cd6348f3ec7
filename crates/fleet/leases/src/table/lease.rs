//! The grants of one task.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::message::{Handoff, HolderId, Token};
use crate::name::Name;

/// A grant.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// Its holder.
    pub holder: HolderId,
    /// Its slot: no two concurrent grants of a task have the same.
    pub slot: u16,
    /// Time to live after the grant and after each renewal, milliseconds.
    pub ttl_ms: u32,
    /// How often it was renewed.
    pub renewals: u64,
}

/// A grant with its task and token.
#[derive(Debug, Clone, Copy)]
pub struct GrantEntry<'a> {
    /// The task.
    pub task: &'a Name,
    /// Maximum number of concurrent holders of the task.
    pub slots: u16,
    /// The grant's token.
    pub token: Token,
    /// The grant.
    pub grant: &'a Grant,
}

/// The lease of one task.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct Lease {
    pub slots: u16,
    pub grants: BTreeMap<Token, Grant>,
}

impl Lease {
    pub fn new(slots: u16) -> Lease {
        Lease { slots, grants: BTreeMap::new() }
    }

    /// The lowest free slot.
    pub fn free_slot(&self) -> u16 {
        let taken: BTreeSet<u16> = self.grants.values().map(|grant| grant.slot).collect();
        (0..self.slots).find(|slot| !taken.contains(slot)).unwrap_or(self.slots)
    }

    pub fn token_of(&self, holder: HolderId) -> Option<Token> {
        self.grants.iter().find(|(_, grant)| grant.holder == holder).map(|(token, _)| *token)
    }

    pub fn entries<'a>(&'a self, task: &'a Name) -> impl Iterator<Item = GrantEntry<'a>> {
        let entry = move |(token, grant): (&Token, &'a Grant)| GrantEntry {
            task,
            slots: self.slots,
            token: *token,
            grant,
        };
        self.grants.iter().map(entry)
    }
}

/// The instance of a grant's holder.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct InstanceState {
    pub name: Name,
    /// Present once the slot is handed off to the next holder of the instance.
    pub handoff: Option<Handoff>,
}
