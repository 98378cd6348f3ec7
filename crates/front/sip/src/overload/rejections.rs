//! Cache of rejected calls by a hash of their INVITE.
//!
//! A rejection under overload has no transaction and is not retransmitted (the stateless server of RFC 3261, section
//! 8.2.7). A retransmitted INVITE must get the same response again. If it were decided again and accepted, its caller could
//! receive a rejection and an acceptance of one request.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use beechloft_session::api::Micros;

use crate::message::Request;
use crate::timer::{T4, TRANSACTION_TIMEOUT};

/// Minimum time for which a rejection is remembered: as long as copies of its INVITE may arrive. The maximum is twice that.
pub const RETENTION: Micros = Micros(TRANSACTION_TIMEOUT.0 + T4.0);
/// Maximum number of rejections in each generation. At this limit a further rejected call is dropped without a response.
pub const MAX_PER_GENERATION: usize = 500_000;

/// Hash of an INVITE, equal for all its retransmissions (section 17.2.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Returns the `To` tag of the rejection, which is equal for all copies as section 8.2.7 requires.
    pub fn tag(self) -> String {
        format!("{:016x}", self.0)
    }
}

/// Recent rejections of a front, in two generations.
#[derive(Debug)]
pub struct RejectionCache {
    seed: u64,
    rotated_at: Micros,
    current: BTreeMap<Fingerprint, Option<u64>>,
    previous: BTreeMap<Fingerprint, Option<u64>>,
    capacity: usize,
}

impl RejectionCache {
    /// Creates an empty cache. The secret seed prevents others from constructing INVITEs with equal hashes.
    pub fn new(seed: u64) -> Self {
        RejectionCache::with_capacity(seed, MAX_PER_GENERATION)
    }

    /// Creates an empty cache with the given maximum number of rejections in each generation.
    pub fn with_capacity(seed: u64, capacity: usize) -> Self {
        RejectionCache {
            seed,
            rotated_at: Micros(0),
            current: BTreeMap::new(),
            previous: BTreeMap::new(),
            capacity,
        }
    }

    /// Returns the hash of an INVITE.
    pub fn fingerprint(&self, invite: &Request) -> Fingerprint {
        let mut hasher = DefaultHasher::new();
        self.seed.hash(&mut hasher);
        let ids = &invite.ids;
        (&ids.branch, &ids.sent_by, &ids.call_id, &ids.from_tag, ids.seq).hash(&mut hasher);
        Fingerprint(hasher.finish())
    }

    /// Returns the rejection that an INVITE got, if any, with its seconds of `Retry-After`.
    pub fn get(&self, fingerprint: Fingerprint) -> Option<Option<u64>> {
        self.current.get(&fingerprint).or_else(|| self.previous.get(&fingerprint)).copied()
    }

    /// Remembers a rejection. Returns `false` if the cache is full, in which case no response may be sent.
    pub fn remember(
        &mut self,
        now: Micros,
        fingerprint: Fingerprint,
        retry_after_seconds: Option<u64>,
    ) -> bool {
        if now - self.rotated_at >= RETENTION {
            // After two periods without a change of generation, both generations have expired.
            let all_expired = now - self.rotated_at >= Micros(2 * RETENTION.0);
            self.previous = std::mem::take(&mut self.current);
            if all_expired {
                self.previous.clear();
            }
            self.rotated_at = now;
        }
        if self.current.len() >= self.capacity {
            return false;
        }
        self.current.insert(fingerprint, retry_after_seconds);
        true
    }

    /// Returns the number of remembered rejections.
    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    /// Returns whether no rejection is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
