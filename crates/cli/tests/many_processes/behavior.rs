//! What media servers do with a set-up is written in its id, so that it does not depend on which of them gets it.

const BEHAVIOR_SHIFT: u32 = 56;
const NODE_SHIFT: u32 = 40;
const SERIAL_MASK: u64 = (1 << NODE_SHIFT) - 1;
const NODE_MASK: u64 = (1 << (BEHAVIOR_SHIFT - NODE_SHIFT)) - 1;

/// What a media server does with a set-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Behavior {
    Accept = 0,
    /// It accepts after a while.
    Slow = 1,
    /// The first attempt ends in an error, a further one is accepted.
    ErrorOnce = 2,
    /// It never answers.
    Silent = 3,
    /// The first attempt has its connection reset.
    ResetOnce = 4,
    /// The first attempt has its connection closed.
    CloseOnce = 5,
    /// Nothing until the client has departed, and an error some time after.
    ErrorAfterDeparture = 6,
    /// It accepts, and only the media servers of cell 2 have the title.
    OneCellOnly = 7,
}

const BEHAVIORS: [Behavior; 8] = [
    Behavior::Accept,
    Behavior::Slow,
    Behavior::ErrorOnce,
    Behavior::Silent,
    Behavior::ResetOnce,
    Behavior::CloseOnce,
    Behavior::ErrorAfterDeparture,
    Behavior::OneCellOnly,
];

/// The id of a set-up to this front node; serials differ.
pub fn set_up_id(behavior: Behavior, node: usize, serial: u64) -> u64 {
    (behavior as u64) << BEHAVIOR_SHIFT | (node as u64) << NODE_SHIFT | (serial & SERIAL_MASK)
}

/// The front node that a set-up was sent to.
pub fn node_of(id: u64) -> usize {
    usize::try_from(id >> NODE_SHIFT & NODE_MASK).expect("16 bits")
}

/// What media servers do with this set-up.
pub fn behavior_of(id: u64) -> Behavior {
    let index = usize::try_from(id >> BEHAVIOR_SHIFT).expect("8 bits");
    BEHAVIORS[index % BEHAVIORS.len()]
}
