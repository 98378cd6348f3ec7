//! Mixing of 64-bit numbers, for digests and for the choice of buckets. Not for adversarial input.

/// Spreads the entropy of a number over all of its bits: the finalizer of SplitMix64 (Steele, Lea and Flood, "Fast Splittable
/// Pseudorandom Number Generators", OOPSLA 2014).
pub const fn mix64(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// The bucket of a number, of `buckets` ones.
///
/// # Panics
/// If there are no buckets.
#[expect(clippy::cast_possible_truncation, reason = "the remainder is less than `buckets`, a usize")]
pub const fn bucket_of(value: u64, buckets: usize) -> usize {
    (mix64(value) % buckets as u64) as usize
}
