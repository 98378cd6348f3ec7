//! Numbers of settings in the types of the policy. Settings check each number against a range that fits its type.

/// A number that was checked against a range; the type's largest value, should it not fit.
pub fn narrow<T: TryFrom<u64> + Bounded>(number: u64) -> T {
    T::try_from(number).unwrap_or(T::LARGEST)
}

/// The index of a name in a list, which may be longer than the type counts.
pub fn narrow_index<T: TryFrom<u64> + Bounded>(index: usize) -> T {
    narrow(index as u64)
}

/// A type's largest value.
pub trait Bounded {
    /// That value.
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
