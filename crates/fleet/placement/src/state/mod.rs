//! The replicated state of the placement. Its only notion of time is the log's clock, which is advanced by log
//! entries.

mod admit;
mod audit;
mod change;
mod copies;
mod front_leases;
mod lease_deadlines;
mod loss;
mod operator;
pub mod pin;
mod steps;
mod transfers;
mod withdrawal;

use std::collections::BTreeMap;

use beechloft_leases::Token;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::fault_injection::Fault;
use crate::plan::capacity::Capacity;
use crate::plan::inventory::{Inventory, Usage};
use crate::protocol::answers::{Answer, Event, Outcome};
use crate::protocol::commands::{Change, Command, Quota, Rules};
use crate::protocol::names::{
    Customer, CustomerRequestId, DiskId, FrontId, Incarnation, Key, OrderId, Revision, ServerId, ShardId,
};

pub use front_leases::{FrontLease, MAX_RENEWALS_BEHIND, TTL_RANGE_MS};
pub use lease_deadlines::LeaseDeadlines;
pub use pin::{Copy, CopyState, Failover, Pin, PinStatus, Scope};

/// Maximum number of pinned shards.
pub const MAX_PINS: usize = 100_000;
/// Maximum number of customers.
pub const MAX_CUSTOMERS: usize = 10_000;
/// Maximum number of requests per customer whose outcome is kept.
pub const MAX_REQUESTS_PER_CUSTOMER: usize = 64;
/// Maximum number of requests per customer that wait for capacity.
pub const MAX_WAITING_PER_CUSTOMER: usize = 16;
/// Maximum number of orphans. Further ones are recorded once some have been deleted.
pub const MAX_ORPHANS: usize = 100_000;

/// The presence of a media server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Presence {
    /// The media server is reachable.
    Up {
        /// The incarnation of its process.
        incarnation: Incarnation,
        /// Its disk.
        disk: DiskId,
    },
    /// The media server is unreachable.
    Lost {
        /// The last known incarnation of its process.
        incarnation: Incarnation,
        /// Its last known disk.
        disk: DiskId,
        /// Time at which it became unreachable, in milliseconds of the log's clock.
        since: u64,
    },
}

/// The account of a customer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Account {
    /// Limits of the customer.
    pub quota: Quota,
    /// Times of the customer's changes within the last hour, in milliseconds of the log's clock.
    changes: Vec<u64>,
    /// Requests by idempotency key.
    keys: BTreeMap<Key, CustomerRequestId>,
}

/// A customer's request and its outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TrackedRequest {
    /// The shard.
    pub shard: ShardId,
    /// Idempotency key of the request.
    pub key: Key,
    /// Hash of the request, which reveals that a key was reused for a different request.
    hash: u64,
    /// The outcome.
    pub outcome: Outcome,
    /// The request itself while it waits.
    waiting: Option<Change>,
}

/// A snapshot of the placement that can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("failed to decode placement state: {0}")]
pub struct StateError(String);

impl StateError {
    /// Returns an error with this reason, for callers that store the state inside their own.
    pub fn new(why: String) -> StateError {
        StateError(why)
    }
}

/// The replicated state of the placement.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Placements {
    rules: Rules,
    inventory: Inventory,
    usage: Usage,
    presence: BTreeMap<ServerId, Presence>,
    /// Number of each media server's presence. It changes whenever the presence does. Orders with a higher number
    /// belong to the current presence.
    presence_numbers: BTreeMap<ServerId, OrderId>,
    accounts: BTreeMap<Customer, Account>,
    requests: BTreeMap<CustomerRequestId, TrackedRequest>,
    pins: BTreeMap<ShardId, Pin>,
    /// Data on media servers that belongs to no copy, with the order to delete it.
    orphans: BTreeMap<(ServerId, ShardId), OrderId>,
    fronts: BTreeMap<FrontId, FrontLease>,
    transfers: transfers::TransferCounts,
    /// The log's clock, in milliseconds.
    clock: u64,
    /// Highest fencing token of a step so far.
    token: Token,
    last_request: u64,
    last_order: u64,
    revision: Revision,
    /// Highest revision of a record that withdraws a media server.
    last_withdrawal: Revision,
    #[serde(skip)]
    fault: Option<Fault>,
}

/// The answer to a command, and the events that it caused.
type ApplyResult = (Answer, Vec<Event>);

impl Placements {
    /// Injects a fault.
    #[cfg(feature = "fault_injection")]
    pub fn inject_fault(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn has_fault(&self, fault: Fault) -> bool {
        cfg!(feature = "fault_injection") && self.fault == Some(fault)
    }

    /// Encodes the state.
    pub fn write(&self) -> Vec<u8> {
        // Encoding fails only for values of unknown length, and the state has none.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes what [`Placements::write`] returned. Empty input is an empty state.
    ///
    /// # Errors
    /// Fails if `bytes` is not a valid encoding.
    pub fn read(bytes: &[u8]) -> Result<Placements, StateError> {
        if bytes.is_empty() {
            return Ok(Placements::default());
        }
        postcard::from_bytes(bytes).map_err(|e| StateError(e.to_string()))
    }

    /// Applies a command, and returns the answer and the events. The same commands in the same order lead to the same
    /// state, answers and events on every replica.
    pub fn apply(&mut self, command: &Command) -> ApplyResult {
        let mut events = Vec::new();
        let answer = match command {
            Command::Operator(operator_command) => self.operator_command(operator_command),
            Command::Change(change) => self.change(change, &mut events),
            Command::Step(token, _) if *token < self.token && !self.has_fault(Fault::IgnoreToken) => {
                Answer::StaleToken(self.token)
            }
            Command::Step(token, step) => {
                self.token = *token;
                if self.step(step, &mut events).is_some() { Answer::Done } else { Answer::NotApplicable }
            }
            Command::Renew(renew) => self.renew(renew, &mut events),
            Command::Expire { front, renewals } => self.expire(*front, *renewals, &mut events),
        };
        (answer, events)
    }

    /// Returns the pinned shards.
    pub fn pins(&self) -> &BTreeMap<ShardId, Pin> {
        &self.pins
    }

    /// Returns the media servers, racks and regions.
    pub fn inventory(&self) -> &Inventory {
        &self.inventory
    }

    /// Returns the resources that copies have reserved.
    pub fn usage(&self) -> &Usage {
        &self.usage
    }

    /// Returns the presence of a media server, or `None` if it has never been reachable.
    pub fn presence(&self, id: ServerId) -> Option<Presence> {
        self.presence.get(&id).copied()
    }

    /// Returns the number of a media server's presence, which is taken from the sequence of order numbers.
    pub fn presence_number(&self, id: ServerId) -> OrderId {
        self.presence_numbers.get(&id).copied().unwrap_or(OrderId(0))
    }

    fn set_presence(&mut self, id: ServerId, to: Presence) {
        let order = self.next_order();
        self.presence_numbers.insert(id, order);
        self.presence.insert(id, to);
    }

    /// Returns a customer's account.
    pub fn account(&self, customer: &Customer) -> Option<&Account> {
        self.accounts.get(customer)
    }

    /// Returns a customer's request.
    pub fn request(&self, id: CustomerRequestId) -> Option<&TrackedRequest> {
        self.requests.get(&id)
    }

    /// Returns the data on media servers that belongs to no copy, with the order to delete it.
    pub fn orphans(&self) -> &BTreeMap<(ServerId, ShardId), OrderId> {
        &self.orphans
    }

    /// Returns the requests that wait for capacity.
    pub fn waiting(&self) -> impl Iterator<Item = CustomerRequestId> {
        self.requests.iter().filter(|(_, a)| matches!(a.outcome, Outcome::Waiting(_))).map(|(id, _)| *id)
    }

    /// Returns the placement leases of fronts.
    pub fn fronts(&self) -> &BTreeMap<FrontId, FrontLease> {
        &self.fronts
    }

    /// Returns the rules.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Returns the log's clock, in milliseconds.
    pub fn clock(&self) -> u64 {
        self.clock
    }

    /// Returns the highest fencing token of a step so far.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Returns the number of the last record.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    fn is_up(&self, id: ServerId) -> bool {
        matches!(self.presence.get(&id), Some(Presence::Up { .. }))
    }

    fn capacity(&self) -> Capacity {
        Capacity::new(&self.inventory, &self.usage, |id| self.is_up(id))
    }

    fn next_order(&mut self) -> OrderId {
        self.last_order += 1;
        OrderId(self.last_order)
    }
}
