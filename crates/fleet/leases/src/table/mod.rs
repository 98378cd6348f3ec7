//! Replicated state machine that records which holder has which slot of which task.
//!
//! The table has no clock. The leading replica measures times to live and proposes expiries as commands of the log.

mod acquire;
mod event;
mod handoff;
mod lease;
mod requests;
mod snapshot;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use self::lease::{InstanceState, Lease};
use self::requests::LastAnswer;
use crate::fault_injection::Fault;
use crate::message::{
    Answer, Command, GrantPosition, HolderId, InstanceGrant, Op, Rejection, Succession, Token,
};
use crate::name::Name;

pub use self::event::Event;
pub use self::lease::{Grant, GrantEntry};
pub use self::snapshot::TableError;

/// Maximum number of tasks with at least one grant.
const MAX_LEASES: usize = 4096;
/// Maximum number of slots of a task.
const MAX_SLOTS: u16 = 4096;
/// Permitted times to live, in milliseconds.
const TTL_RANGE_MS: std::ops::RangeInclusive<u32> = 100..=3_600_000;

/// Effect of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied {
    /// Answer for the holder. `None` if the command was not a request.
    pub answer: Option<Answer>,
    /// Change of the table. `None` if the command changed nothing.
    pub event: Option<Event>,
}

/// Effect of a request that was not rejected.
struct Executed {
    answer: Answer,
    event: Event,
}

/// Table of all leases and their grants.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Table {
    leases: BTreeMap<Name, Lease>,
    tasks: BTreeMap<Token, Name>,
    last_answers: BTreeMap<HolderId, LastAnswer>,
    last_token: u64,
    commands_applied: u64,
    /// Instances of the grants whose holders have an instance name. Snapshots of earlier versions end before this field.
    instances: BTreeMap<Token, InstanceState>,
    /// For each task with a grant, the newest grant that ended without a successor in its slot.
    newest_ended: BTreeMap<Name, Token>,
    #[serde(skip)]
    fault: Option<Fault>,
}

impl Table {
    /// Injects a fault.
    #[cfg(feature = "fault_injection")]
    pub fn inject(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn has_fault(&self, fault: Fault) -> bool {
        cfg!(feature = "fault_injection") && self.fault == Some(fault)
    }

    /// Returns all grants, ordered by task and token.
    pub fn grants(&self) -> impl Iterator<Item = GrantEntry<'_>> {
        self.leases.iter().flat_map(|(task, lease)| lease.entries(task))
    }

    /// Returns the grant with a token. Returns `None` if there is none or it has ended.
    pub fn grant(&self, token: Token) -> Option<&Grant> {
        self.leases.get(self.tasks.get(&token)?)?.grants.get(&token)
    }

    /// Applies a command of the log.
    pub fn apply(&mut self, command: &Command) -> Applied {
        self.commands_applied += 1;
        match command {
            Command::Request(request) => self.apply_request(request),
            Command::Expire { token, renewals } => {
                Applied { answer: None, event: self.expire(*token, *renewals) }
            }
        }
    }

    fn execute(&mut self, holder: HolderId, op: &Op) -> Result<Executed, Rejection> {
        match op {
            Op::Acquire { name, slots, ttl_ms } => self.acquire(holder, name, *slots, *ttl_ms, None),
            Op::AcquireAs { name, slots, ttl_ms, instance } => {
                self.acquire(holder, name, *slots, *ttl_ms, Some(instance))
            }
            Op::HandOff { name, token, handoff } => self.hand_off(holder, name, *token, *handoff),
            Op::Renew { name, token } => self.renew(holder, name, *token),
            Op::Release { name, token } => self.release(holder, name, *token),
        }
    }

    fn renew(&mut self, holder: HolderId, name: &Name, token: Token) -> Result<Executed, Rejection> {
        let accepts_released = self.has_fault(Fault::ReleasedGrantRenewed);
        let handed_off = self.handoff_of(token).is_some();
        let lease = self.leases.get_mut(name).filter(|_| !handed_off);
        let slot = lease.and_then(|lease| {
            let grant = lease.grants.get_mut(&token).filter(|grant| grant.holder == holder)?;
            grant.renewals += 1;
            Some(grant.slot)
        });
        let position = match slot {
            Some(slot) => self.position(name, slot),
            None if accepts_released => GrantPosition::default(),
            None => return Err(Rejection::NotHeld),
        };
        let answer = if self.instances.contains_key(&token) {
            Answer::HeldByInstance(token, position, self.instance_grant(None))
        } else {
            Answer::Renewed(token, position)
        };
        Ok(Executed { answer, event: Event::Renewed(name.clone(), token) })
    }

    fn release(&mut self, holder: HolderId, name: &Name, token: Token) -> Result<Executed, Rejection> {
        let is_own = self.grant(token).is_some_and(|grant| grant.holder == holder);
        if !is_own || self.tasks.get(&token) != Some(name) {
            return Err(Rejection::NotHeld);
        }
        self.end_without_successor(token);
        Ok(Executed { answer: Answer::Released, event: Event::Released(name.clone(), token) })
    }

    /// Expires a grant, unless it was renewed between the leader's proposal and this command.
    fn expire(&mut self, token: Token, renewals: u64) -> Option<Event> {
        self.grant(token).filter(|grant| grant.renewals == renewals)?;
        let name = self.end_without_successor(token)?;
        Some(Event::Expired(name, token))
    }

    /// Returns the position of a slot among all grants of its task.
    ///
    /// The maximum time to live excludes grants that were handed off. They are not in use, so new holders need not wait for
    /// them.
    fn position(&self, name: &Name, slot: u16) -> GrantPosition {
        let Some(lease) = self.leases.get(name) else { return GrantPosition::default() };
        let slot_bound = lease.grants.values().map(|grant| grant.slot + 1).max().unwrap_or(0);
        let in_use = lease.grants.iter().filter(|(token, _)| self.handoff_of(**token).is_none());
        let max_ttl_ms = in_use.map(|(_, grant)| grant.ttl_ms).max().unwrap_or(0);
        GrantPosition { slot, slot_bound, max_ttl_ms }
    }

    fn instance_grant(&self, succession: Option<Succession>) -> InstanceGrant {
        InstanceGrant { newest_token: Token(self.last_token), succession }
    }

    /// Ends a grant. Returns the name of its task, or `None` if there is no such grant.
    fn end(&mut self, token: Token) -> Option<Name> {
        let name = self.tasks.remove(&token)?;
        self.instances.remove(&token);
        if let Some(lease) = self.leases.get_mut(&name) {
            lease.grants.remove(&token);
            if lease.grants.is_empty() {
                self.leases.remove(&name);
            }
        }
        Some(name)
    }

    /// Ends a grant whose slot is not taken over by a successor.
    fn end_without_successor(&mut self, token: Token) -> Option<Name> {
        let name = self.end(token)?;
        if self.leases.contains_key(&name) {
            let newest = self.newest_ended.entry(name.clone()).or_default();
            *newest = token.max(*newest);
        } else {
            // Without any grant left, no handoff can be pending for this task.
            self.newest_ended.remove(&name);
        }
        Some(name)
    }
}
