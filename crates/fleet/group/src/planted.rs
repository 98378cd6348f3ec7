//! Faults that tests plant, one at a time, to see that the checks find them.

/// A fault of one part. Without the feature `planted` none can be planted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// Of the leases.
    Leases(beechloft_leases::Fault),
}

impl From<beechloft_leases::Fault> for Fault {
    fn from(fault: beechloft_leases::Fault) -> Fault {
        Fault::Leases(fault)
    }
}
