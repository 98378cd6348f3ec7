//! Behavior of media servers, which is encoded in a set-up's id so that it doesn't depend on the media server that receives it.

const BEHAVIOR_SHIFT: u32 = 56;
const NODE_SHIFT: u32 = 40;
const SERIAL_MASK: u64 = (1 << NODE_SHIFT) - 1;
const NODE_MASK: u64 = (1 << (BEHAVIOR_SHIFT - NODE_SHIFT)) - 1;

/// Reaction of a media server to a set-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Behavior {
    /// Accepts the set-up.
    Accept = 0,
    /// Accepts the set-up after a delay.
    Slow = 1,
    /// Answers the first attempt with an error and accepts a further one.
    ErrorOnce = 2,
    /// Never answers.
    Silent = 3,
    /// Resets the connection of the first attempt.
    ResetOnce = 4,
    /// Closes the connection of the first attempt.
    CloseOnce = 5,
    /// Doesn't answer until the client has departed, and answers with an error some time after that.
    ErrorAfterDeparture = 6,
    /// Accepts the set-up. Only the media servers of cell 2 have its title.
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

/// Returns the id of a set-up to this front node. Each set-up needs another serial.
pub fn set_up_id(behavior: Behavior, node: usize, serial: u64) -> u64 {
    (behavior as u64) << BEHAVIOR_SHIFT | (node as u64) << NODE_SHIFT | (serial & SERIAL_MASK)
}

/// Returns the front node that a set-up was sent to.
pub fn node_of(id: u64) -> usize {
    usize::try_from(id >> NODE_SHIFT & NODE_MASK).expect("16 bits")
}

/// Returns the behavior of media servers towards this set-up.
pub fn behavior_of(id: u64) -> Behavior {
    let index = usize::try_from(id >> BEHAVIOR_SHIFT).expect("8 bits");
    BEHAVIORS[index % BEHAVIORS.len()]
}
