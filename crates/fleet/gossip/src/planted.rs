//! Faults that tests plant, one at a time.

/// A fault of the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A row's age is counted from when it came in, not from when it was asked for.
    AgeFromArrival,
    /// A row that comes in is as good as new, however old its relay knows it.
    AgeNotCarried,
    /// A row with any version takes the place of the one that is known.
    AnyVersion,
    /// Rows of lives that are gone stay for good.
    NeverForgets,
    /// A row is taken that nobody asked for.
    TakesUnasked,
    /// Only what is pushed is taken: nobody asks for what it lacks.
    NoPull,
}
