//! The random number generator of a policy.

/// Splitmix64 (Steele, Lea and Flood, "Fast Splittable Pseudorandom Number Generators", 2014), seeded by the
/// driver.
#[derive(Debug, Default)]
pub(crate) struct SplitMix64(pub u64);

impl SplitMix64 {
    /// Returns the next 64 random bits.
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns `true` with the given probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        ((self.next() >> 11) as f64) < probability * (1u64 << 53) as f64
    }
}
