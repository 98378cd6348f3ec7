//! Faults that tests inject, one at a time, to verify that the checks detect them.

/// A fault of one component. Without the feature `fault_injection` none can be injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// Of the leases.
    Leases(beechloft_leases::Fault),
    /// Of the topics.
    Topics(beechloft_topic::Fault),
    /// Of the placement.
    Placement(beechloft_placement::Fault),
    /// Of the quotas.
    Quotas(beechloft_quotas::Fault),
}

impl From<beechloft_quotas::Fault> for Fault {
    fn from(fault: beechloft_quotas::Fault) -> Fault {
        Fault::Quotas(fault)
    }
}

impl From<beechloft_leases::Fault> for Fault {
    fn from(fault: beechloft_leases::Fault) -> Fault {
        Fault::Leases(fault)
    }
}

impl From<beechloft_topic::Fault> for Fault {
    fn from(fault: beechloft_topic::Fault) -> Fault {
        Fault::Topics(fault)
    }
}

impl From<beechloft_placement::Fault> for Fault {
    fn from(fault: beechloft_placement::Fault) -> Fault {
        Fault::Placement(fault)
    }
}
