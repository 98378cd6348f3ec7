//! What is pinned where: the state that consensus replicates. It knows no time but the log's clock, which an entry moves.

mod admit;
mod audit;
mod change;
mod copies;
mod fronts;
mod loss;
mod narrow;
mod operate;
mod pace;
pub mod pin;
mod rights;
mod steps;

use std::collections::BTreeMap;

use beechloft_leases::Token;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::plan::ground::Ground;
use crate::plan::inventory::{Inventory, Taken};
use crate::planted::Fault;
use crate::words::answers::{Answer, Event, Outcome};
use crate::words::commands::{Change, Command, Quota, Rules};
use crate::words::names::*;

pub use fronts::{MOST_BEHIND, Right, TTL_MS};
pub use pin::{Copy, CopyState, Lent, Pin, Scope, Standing};
pub use rights::Rights;

/// Shards at most.
pub const MOST_PINS: usize = 100_000;
/// Customers at most.
pub const MOST_CUSTOMERS: usize = 10_000;
/// Requests whose outcome is kept, of one customer.
pub const MOST_ASKS: usize = 64;
/// Requests of one customer that wait for room at once.
pub const MOST_HELD: usize = 16;
/// Strays at most; what is past it is looked for again once some are gone.
pub const MOST_STRAYS: usize = 100_000;

/// Whether a box is there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Presence {
    /// In this life, with this disk.
    Up {
        /// Its process.
        life: Life,
        /// Its disk.
        disk: DiskId,
    },
    /// Out of reach.
    Lost {
        /// The life that was lost.
        life: Life,
        /// The disk it had.
        disk: DiskId,
        /// Since when, by the log's clock.
        since: u64,
    },
}

/// A customer's account.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Account {
    /// What it may have.
    pub quota: Quota,
    /// When it made changes, by the log's clock; no older than an hour.
    changes: Vec<u64>,
    /// What it asked, by key.
    keys: BTreeMap<Key, AskId>,
}

/// What a customer asked.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ask {
    /// Of which shard.
    pub shard: ShardId,
    /// By which key.
    pub key: Key,
    /// The whole of it, as a number: the same key with another request is a mistake of the customer's.
    print: u64,
    /// What became of it.
    pub outcome: Outcome,
    /// The whole of it, while it is held.
    held: Option<Change>,
}

/// A snapshot that can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("a state of placements that can't be read: {0}")]
pub struct StateError(String);

impl StateError {
    /// Of what keeps this state beside its own.
    pub fn of(why: String) -> StateError {
        StateError(why)
    }
}

/// The state.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Placements {
    rules: Rules,
    inventory: Inventory,
    taken: Taken,
    presence: BTreeMap<BoxId, Presence>,
    /// The number of each box's presence: it rises whenever that changes, and orders after it are of the presence that is.
    told: BTreeMap<BoxId, Order>,
    accounts: BTreeMap<Customer, Account>,
    asks: BTreeMap<AskId, Ask>,
    pins: BTreeMap<ShardId, Pin>,
    /// What lies at boxes and is nobody's, by the order to delete it.
    strays: BTreeMap<(BoxId, ShardId), Order>,
    fronts: BTreeMap<FrontId, Right>,
    pace: pace::Pace,
    /// The log's clock, milliseconds.
    clock: u64,
    /// The highest token that a step was done by.
    token: Token,
    last_ask: u64,
    last_order: u64,
    revision: Revision,
    /// The highest revision that offers something no more.
    narrowed: Revision,
    #[serde(skip)]
    fault: Option<Fault>,
}

/// What a command did.
type Done = (Answer, Vec<Event>);

impl Placements {
    /// Plants a fault.
    #[cfg(feature = "planted")]
    pub fn plant(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn planted(&self, fault: Fault) -> bool {
        cfg!(feature = "planted") && self.fault == Some(fault)
    }

    /// The state as bytes.
    pub fn write(&self) -> Vec<u8> {
        // Only a value that has no length beforehand could fail, and this has none such.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Reads what [`Placements::write`] wrote; nothing at all is an empty state.
    ///
    /// # Errors
    /// The bytes are none.
    pub fn read(bytes: &[u8]) -> Result<Placements, StateError> {
        if bytes.is_empty() {
            return Ok(Placements::default());
        }
        postcard::from_bytes(bytes).map_err(|e| StateError(e.to_string()))
    }

    /// Does a command; what became of it, for who gave it, and what has changed. The same commands in the same order give the same
    /// state, answers and events everywhere.
    pub fn apply(&mut self, command: &Command) -> Done {
        let mut events = Vec::new();
        let answer = match command {
            Command::Operate(operate) => self.operate(operate),
            Command::Change(change) => self.change(change, &mut events),
            Command::Step(token, _) if *token < self.token && !self.planted(Fault::NoToken) => {
                Answer::Stale(self.token)
            }
            Command::Step(token, step) => {
                self.token = *token;
                if self.step(step, &mut events).is_some() { Answer::Done } else { Answer::Nothing }
            }
            Command::Renew(renew) => self.renew(renew, &mut events),
            Command::Expire { front, renewals } => self.expire(*front, *renewals, &mut events),
        };
        (answer, events)
    }

    /// Pinned shards.
    pub fn pins(&self) -> &BTreeMap<ShardId, Pin> {
        &self.pins
    }

    /// Boxes, racks, regions.
    pub fn inventory(&self) -> &Inventory {
        &self.inventory
    }

    /// What is taken of them.
    pub fn taken(&self) -> &Taken {
        &self.taken
    }

    /// Whether a box is there; none: it was never met.
    pub fn presence(&self, id: BoxId) -> Option<Presence> {
        self.presence.get(&id).copied()
    }

    /// The number of a box's presence, of those of orders.
    pub fn told(&self, id: BoxId) -> Order {
        self.told.get(&id).copied().unwrap_or(Order(0))
    }

    fn set_presence(&mut self, id: BoxId, to: Presence) {
        let order = self.next_order();
        self.told.insert(id, order);
        self.presence.insert(id, to);
    }

    /// A customer's account.
    pub fn account(&self, customer: &Customer) -> Option<&Account> {
        self.accounts.get(customer)
    }

    /// What a customer asked.
    pub fn ask(&self, id: AskId) -> Option<&Ask> {
        self.asks.get(&id)
    }

    /// What lies at boxes and is nobody's, by the order to delete it.
    pub fn strays(&self) -> &BTreeMap<(BoxId, ShardId), Order> {
        &self.strays
    }

    /// Requests that are held.
    pub fn held(&self) -> impl Iterator<Item = AskId> {
        self.asks.iter().filter(|(_, a)| matches!(a.outcome, Outcome::Held(_))).map(|(id, _)| *id)
    }

    /// Fronts that may place.
    pub fn fronts(&self) -> &BTreeMap<FrontId, Right> {
        &self.fronts
    }

    /// The rules.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// The log's clock, milliseconds.
    pub fn clock(&self) -> u64 {
        self.clock
    }

    /// The highest token that a step was done by.
    pub fn token(&self) -> Token {
        self.token
    }

    /// The last record's number.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    fn is_up(&self, id: BoxId) -> bool {
        matches!(self.presence.get(&id), Some(Presence::Up { .. }))
    }

    fn ground(&self) -> Ground {
        Ground::new(&self.inventory, &self.taken, |id| self.is_up(id))
    }

    fn next_order(&mut self) -> Order {
        self.last_order += 1;
        Order(self.last_order)
    }
}
