//! Commands of the replicated state, as log entries contain them.

#[cfg(test)]
mod tests;

use beechloft_topic::TopicCommand;

/// A command for one component of the replicated state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// For the leases.
    Leases(beechloft_leases::Command),
    /// For the topics.
    Topics(TopicCommand),
    /// For the placement.
    Placement(beechloft_placement::Command),
    /// For the quotas.
    Quotas(beechloft_quotas::Command),
}

/// The tags of components, in log entries and snapshots. A tag is never reused for another component.
///
/// Leases were the only component at first, and their commands have no tag in log entries: these start with the variant of the
/// command, which is below [`tag::FIRST_IN_LOG`]. Commands of the other components start with a tag from there on.
pub(crate) mod tag {
    /// The leases, in snapshots.
    pub const LEASES: u8 = 1;
    /// The first tag that occurs in log entries.
    pub const FIRST_IN_LOG: u8 = 16;
    /// The topics.
    pub const TOPICS: u8 = 16;
    /// The quotas.
    pub const QUOTAS: u8 = 17;
    /// The placement.
    pub const PLACEMENT: u8 = 18;
}

impl Command {
    /// Encodes the command for a log entry. `None` if a value has no known length, which no command contains.
    pub fn write(&self) -> Option<Vec<u8>> {
        match self {
            Command::Leases(command) => postcard::to_allocvec(command).ok(),
            Command::Topics(command) => postcard::to_extend(command, vec![tag::TOPICS]).ok(),
            Command::Placement(command) => postcard::to_extend(command, vec![tag::PLACEMENT]).ok(),
            Command::Quotas(command) => postcard::to_extend(command, vec![tag::QUOTAS]).ok(),
        }
    }

    /// Decodes what [`Command::write`] wrote. A command that this version can not decode is ignored by all replicas of this
    /// version, so that their states stay equal.
    pub fn read(bytes: &[u8]) -> Option<Command> {
        let (first, rest) = bytes.split_first()?;
        match *first {
            untagged if untagged < tag::FIRST_IN_LOG => postcard::from_bytes(bytes).ok().map(Command::Leases),
            tag::TOPICS => postcard::from_bytes(rest).ok().map(Command::Topics),
            tag::PLACEMENT => postcard::from_bytes(rest).ok().map(Command::Placement),
            tag::QUOTAS => postcard::from_bytes(rest).ok().map(Command::Quotas),
            _ => None,
        }
    }
}
