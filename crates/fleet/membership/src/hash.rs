//! Hashing of 64-bit integers for digests and buckets. The hash is not safe against adversarial input.

/// Hashes a 64-bit integer with the finalizer of SplitMix64.
///
/// The function spreads the entropy of its argument over all bits (Steele, Lea and Flood, "Fast Splittable Pseudorandom Number
/// Generators", OOPSLA 2014).
pub const fn mix64(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns the bucket of a value among `buckets` buckets.
///
/// # Panics
/// Panics if `buckets` is 0.
#[expect(clippy::cast_possible_truncation, reason = "the remainder is less than `buckets`, a usize")]
pub const fn bucket_of(value: u64, buckets: usize) -> usize {
    (mix64(value) % buckets as u64) as usize
}
