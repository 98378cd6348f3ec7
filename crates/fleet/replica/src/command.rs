//! What an entry of the log says, by part.

use beechloft_topic::TopicCommand;

/// A command for one part of the replicated state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// For the leases.
    Leases(beechloft_leases::Command),
    /// For the topics.
    Topics(TopicCommand),
    /// For the placement.
    Placement(beechloft_placement::Command),
    /// For the limits.
    Quotas(beechloft_quotas::Command),
}

/// The parts' numbers, in logs and snapshots. One is never used for another part.
///
/// Leases were all there was at first, and their commands stand in logs without a tag: they begin with the number of their kind,
/// which is under [`tag::FIRST`]. The other parts' begin with a tag from there on.
pub(crate) mod tag {
    /// The leases, in snapshots.
    pub const LEASES: u8 = 1;
    /// The first of those that stand in logs too.
    pub const FIRST: u8 = 16;
    /// The topics.
    pub const TOPICS: u8 = 16;
    /// The placement.
    pub const PLACEMENT: u8 = 18;
    /// The limits.
    pub const LIMITS: u8 = 17;
}

impl Command {
    /// The command as an entry has it; none: it has no length beforehand, which no command is without.
    pub fn write(&self) -> Option<Vec<u8>> {
        match self {
            Command::Leases(command) => postcard::to_allocvec(command).ok(),
            Command::Topics(command) => postcard::to_extend(command, vec![tag::TOPICS]).ok(),
            Command::Placement(command) => postcard::to_extend(command, vec![tag::PLACEMENT]).ok(),
            Command::Quotas(command) => postcard::to_extend(command, vec![tag::LIMITS]).ok(),
        }
    }

    /// Reads what [`Command::write`] wrote. A command that this version can't read is none for all of this version, so that
    /// states stay alike.
    pub fn read(bytes: &[u8]) -> Option<Command> {
        let (first, rest) = bytes.split_first()?;
        match *first {
            untagged if untagged < tag::FIRST => postcard::from_bytes(bytes).ok().map(Command::Leases),
            tag::TOPICS => postcard::from_bytes(rest).ok().map(Command::Topics),
            tag::PLACEMENT => postcard::from_bytes(rest).ok().map(Command::Placement),
            tag::LIMITS => postcard::from_bytes(rest).ok().map(Command::Quotas),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use beechloft_leases::{Name, Token};
    use beechloft_topic::Offset;

    #[test]
    fn a_command_is_read_as_it_was_written_and_an_unknown_parts_is_none() {
        let of_leases = Command::Leases(beechloft_leases::Command::Expire { token: Token(300), renewals: 2 });
        let bytes = of_leases.write().expect("bytes");
        // As logs have it from before there were other parts.
        assert_eq!(bytes, [1, 0xac, 2, 2]);
        assert_eq!(Command::read(&bytes), Some(of_leases));
        let topic = Name::try_from("limits".to_owned()).expect("a name");
        let of_topics = Command::Topics(TopicCommand::Horizon { topic, to: Offset(300) });
        let bytes = of_topics.write().expect("bytes");
        assert_eq!((bytes[0], Command::read(&bytes)), (16, Some(of_topics)));
        for rubbish in [&[][..], &[2], &[tag::FIRST + 100, 1], &[255; 9], &bytes[..bytes.len() - 1]] {
            assert_eq!(Command::read(rubbish), None);
        }
    }
}
