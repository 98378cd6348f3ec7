//! Conversion of numbers in the settings to the types of the policy.
//!
//! Each number was checked against a range that fits its type before it is converted.

/// Converts a number to a smaller type, saturating at its largest value.
pub fn narrow<T: TryFrom<u64> + Bounded>(number: u64) -> T {
    T::try_from(number).unwrap_or(T::LARGEST)
}

/// Converts the index of a name in a list to a smaller type, saturating at its largest value.
pub fn narrow_index<T: TryFrom<u64> + Bounded>(index: usize) -> T {
    narrow(index as u64)
}

/// A type with a largest value.
pub trait Bounded {
    /// The largest value of the type.
    const LARGEST: Self;
}

macro_rules! bounded {
    ($($type:ty),*) => {$(
        impl Bounded for $type {
            const LARGEST: Self = <$type>::MAX;
        }
    )*};
}

bounded!(u8, u16, u32, usize);
