//! Commands that change the replicated state, and their encoding in log entries.

#[cfg(test)]
mod tests;

use beechloft_topic::TopicCommand;

/// A command for one component of the replicated state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// A command for the leases.
    Leases(beechloft_leases::Command),
    /// A command for the topics.
    Topics(TopicCommand),
    /// A command for the placement.
    Placement(beechloft_placement::Command),
    /// A command for the quotas.
    Quotas(beechloft_quotas::Command),
}

/// The tags that identify components in log entries and snapshots. A tag must never be reused for another component.
///
/// Commands of the leases have no tag in log entries, because the leases were the only component of early versions. Their first
/// byte is the variant of the command, which is less than [`tag::FIRST_IN_LOG`]. Commands of all other components start with a
/// tag that is at least that.
pub(crate) mod tag {
    /// Tag of the leases, which is used in snapshots alone.
    pub const LEASES: u8 = 1;
    /// Lowest tag that occurs in log entries.
    pub const FIRST_IN_LOG: u8 = 16;
    /// Tag of the topics.
    pub const TOPICS: u8 = 16;
    /// Tag of the quotas.
    pub const QUOTAS: u8 = 17;
    /// Tag of the placement.
    pub const PLACEMENT: u8 = 18;
}

impl Command {
    /// Encodes the command for a log entry.
    ///
    /// Returns `None` if a sequence has no known length. No command contains such a sequence.
    pub fn write(&self) -> Option<Vec<u8>> {
        match self {
            Command::Leases(command) => postcard::to_allocvec(command).ok(),
            Command::Topics(command) => postcard::to_extend(command, vec![tag::TOPICS]).ok(),
            Command::Placement(command) => postcard::to_extend(command, vec![tag::PLACEMENT]).ok(),
            Command::Quotas(command) => postcard::to_extend(command, vec![tag::QUOTAS]).ok(),
        }
    }

    /// Decodes a command that [`Command::write`] encoded.
    ///
    /// Returns `None` if this version cannot decode the command. All replicas of this version then ignore the entry, so their
    /// states stay equal.
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
