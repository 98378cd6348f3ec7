//! Cache of rejected calls by a hash of their INVITE.
//!
//! A rejection under overload has no transaction and is not retransmitted (the stateless server of RFC 3261, section
//! 8.2.7). A retransmitted INVITE must get the same response again. If it were decided anew and accepted, its caller could
//! receive a rejection and an acceptance of one request.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use beechloft_session::api::Micros;

use crate::message::Request;
use crate::timer::{T4, TRIES};

/// Minimum time for which a rejection is remembered: as long as copies of its INVITE may arrive. The maximum is twice that.
pub const KEPT: Micros = Micros(TRIES.0 + T4.0);
/// Maximum number of rejections in each generation. At this limit a further rejected call is dropped without a response.
pub const MOST: usize = 500_000;

/// Hash of an INVITE, equal for all its retransmissions (section 17.2.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Name(u64);

impl Name {
    /// Returns the `To` tag of the rejection, which is equal for all copies as section 8.2.7 requires.
    pub fn tag(self) -> String {
        format!("{:016x}", self.0)
    }
}

/// Recent rejections of a front, in two generations.
#[derive(Debug)]
pub struct Refused {
    seed: u64,
    turned: Micros,
    new: BTreeMap<Name, Option<u64>>,
    old: BTreeMap<Name, Option<u64>>,
    most: usize,
}

impl Refused {
    /// Creates an empty cache. The secret seed prevents others from constructing INVITEs with equal hashes.
    pub fn new(seed: u64) -> Self {
        Refused::holding(seed, MOST)
    }

    /// Creates an empty cache with the given maximum number of rejections in each generation.
    pub fn holding(seed: u64, most: usize) -> Self {
        Refused { seed, turned: Micros(0), new: BTreeMap::new(), old: BTreeMap::new(), most }
    }

    /// Returns the hash of an INVITE.
    pub fn name(&self, invite: &Request) -> Name {
        let mut hasher = DefaultHasher::new();
        self.seed.hash(&mut hasher);
        let names = &invite.names;
        (&names.branch, &names.sent_by, &names.call, &names.from_tag, names.seq).hash(&mut hasher);
        Name(hasher.finish())
    }

    /// Returns the rejection that an INVITE got, if any, with its seconds of `Retry-After`.
    pub fn had(&self, name: Name) -> Option<Option<u64>> {
        self.new.get(&name).or_else(|| self.old.get(&name)).copied()
    }

    /// Remembers a rejection. Returns `false` if the cache is full, in which case no response may be sent.
    pub fn remember(&mut self, now: Micros, name: Name, after: Option<u64>) -> bool {
        if now - self.turned >= KEPT {
            // After two periods without a change of generation, both generations have expired.
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

    /// Returns the number of remembered rejections.
    pub fn len(&self) -> usize {
        self.new.len() + self.old.len()
    }

    /// Returns whether no rejection is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
