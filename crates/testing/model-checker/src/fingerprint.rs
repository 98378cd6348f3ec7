//! Fingerprints of states.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

use siphasher::sip128::Hasher128;

use crate::model::Model;

/// Hash function of fingerprints.
pub type FingerprintHasher = siphasher::sip128::SipHasher13;

/// Keys of the hash function, which are fixed so that every run visits the same states.
const KEYS: (u64, u64) = (0x6265_6563, 0x686c_6f66);

/// Returns the fingerprint of a state.
pub(crate) fn fingerprint_of<M: Model>(model: &M, state: &M::State) -> u128 {
    let mut hasher = FingerprintHasher::new_with_keys(KEYS.0, KEYS.1);
    model.fingerprint(state, &mut hasher);
    hasher.finish128().as_u128()
}

/// Hashes values regardless of their order and of duplicates, for example the messages in a network.
pub fn hash_unordered<'a, T: Hash + 'a>(
    values: impl IntoIterator<Item = &'a T>,
    into: &mut FingerprintHasher,
) {
    let hash_of = |value: &T| {
        let mut hasher = FingerprintHasher::new();
        value.hash(&mut hasher);
        hasher.finish()
    };
    values.into_iter().map(hash_of).collect::<BTreeSet<u64>>().hash(into);
}
