//! Faults that tests inject, one at a time, to verify that the checks detect them.

/// A fault of one component. It can be injected only with the feature `fault_injection`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// A fault of the leases.
    Leases(beechloft_leases::Fault),
    /// A fault of the topics.
    Topics(beechloft_topic::Fault),
    /// A fault of the placement.
    Placement(beechloft_placement::Fault),
    /// A fault of the quotas.
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
