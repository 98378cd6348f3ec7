//! Lease of one task with its grants.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::message::{Handoff, HolderId, Token};
use crate::name::Name;

/// Grant of a lease to one holder.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// Holder of the grant.
    pub holder: HolderId,
    /// Slot of the grant. No two concurrent grants of a task have the same slot.
    pub slot: u16,
    /// Time to live after the grant and after each renewal, in milliseconds.
    pub ttl_ms: u32,
    /// Number of renewals of the grant.
    pub renewals: u64,
}

/// Grant together with its task and token.
#[derive(Debug, Clone, Copy)]
pub struct GrantEntry<'a> {
    /// Name of the task.
    pub task: &'a Name,
    /// Maximum number of concurrent holders of the task.
    pub slots: u16,
    /// Token of the grant.
    pub token: Token,
    /// The grant itself.
    pub grant: &'a Grant,
}

/// Lease of one task.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct Lease {
    pub slots: u16,
    pub grants: BTreeMap<Token, Grant>,
}

impl Lease {
    pub fn new(slots: u16) -> Lease {
        Lease { slots, grants: BTreeMap::new() }
    }

    /// Returns the lowest free slot, or the slot count if no slot is free.
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

/// Instance to which the holder of a grant belongs.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct InstanceState {
    pub name: Name,
    /// Present once the slot was handed off to the next holder of the instance.
    pub handoff: Option<Handoff>,
}
