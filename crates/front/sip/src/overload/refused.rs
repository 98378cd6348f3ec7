//! What was rejected, remembered by a number each.
//!
//! A refusal under overload holds no transaction and is not repeated by us (the stateless server of RFC 3261, section
//! 8.2.7): a repeated INVITE draws the same answer again. It must be the same one: were a copy judged anew and taken,
//! its caller could see a refusal and an acceptance of one request.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use beechloft_session::api::Micros;

use crate::message::Request;
use crate::timer::{T4, TRIES};

/// A refusal is remembered for as long as a copy of its INVITE may come, and for twice as long at most.
pub const KEPT: Micros = Micros(TRIES.0 + T4.0);
/// Refusals that are remembered of one such time. When they are that many, a further call is dropped without a word.
pub const MOST: usize = 500_000;

/// The number of an INVITE: the same for each of its copies (section 17.2.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Name(u64);

impl Name {
    /// The tag of `To` in its refusal: the same for each copy, as section 8.2.7 wants it.
    pub fn tag(self) -> String {
        format!("{:016x}", self.0)
    }
}

/// The memory of one front.
#[derive(Debug)]
pub struct Refused {
    seed: u64,
    turned: Micros,
    new: BTreeMap<Name, Option<u64>>,
    old: BTreeMap<Name, Option<u64>>,
    most: usize,
}

impl Refused {
    /// An empty one. The seed keeps others from finding two INVITEs of one number.
    pub fn new(seed: u64) -> Self {
        Refused::holding(seed, MOST)
    }

    /// One that holds so many.
    pub fn holding(seed: u64, most: usize) -> Self {
        Refused { seed, turned: Micros(0), new: BTreeMap::new(), old: BTreeMap::new(), most }
    }

    /// The number of an INVITE.
    pub fn name(&self, invite: &Request) -> Name {
        let mut hasher = DefaultHasher::new();
        self.seed.hash(&mut hasher);
        let names = &invite.names;
        (&names.branch, &names.sent_by, &names.call, &names.from_tag, names.seq).hash(&mut hasher);
        Name(hasher.finish())
    }

    /// The refusal that an INVITE has had, if any: seconds to come back after, if it named them.
    pub fn had(&self, name: Name) -> Option<Option<u64>> {
        self.new.get(&name).or_else(|| self.old.get(&name)).copied()
    }

    /// Remembers a refusal; false: there is no room, and none may be sent.
    pub fn remember(&mut self, now: Micros, name: Name, after: Option<u64>) -> bool {
        if now - self.turned >= KEPT {
            // What is older than two such times goes with the first of them.
            let both = now - self.turned >= Micros(2 * KEPT.0);
            self.old = std::mem::take(&mut self.new);
            if both {
                self.old.clear();
            }
            self.turned = now;
        }
        if self.new.len() >= self.most {
            return false;
        }
        self.new.insert(name, after);
        true
    }

    /// Refusals that are remembered.
    pub fn len(&self) -> usize {
        self.new.len() + self.old.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
