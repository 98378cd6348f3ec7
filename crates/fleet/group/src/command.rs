//! What an entry of the log says, by part.

/// A command for one part of the replicated state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// For the leases.
    Leases(beechloft_leases::Command),
}

/// Leases were all there was at first, and their commands stand in logs without a tag: they begin with the number of their kind,
/// which is under this. The other parts' begin with a tag from here on.
const FIRST_TAG: u8 = 16;

impl Command {
    /// The command as an entry has it; none: it has no length beforehand, which no command is without.
    pub fn write(&self) -> Option<Vec<u8>> {
        match self {
            Command::Leases(command) => postcard::to_allocvec(command).ok(),
        }
    }

    /// Reads what [`Command::write`] wrote. A command that this version can't read is none for all of this version, so that
    /// states stay alike.
    pub fn read(bytes: &[u8]) -> Option<Command> {
        match bytes.first()? {
            tag if *tag < FIRST_TAG => postcard::from_bytes(bytes).ok().map(Command::Leases),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use beechloft_leases::Token;

    #[test]
    fn a_command_is_read_as_it_was_written_and_an_unknown_parts_is_none() {
        let of_leases = Command::Leases(beechloft_leases::Command::Expire { token: Token(300), renewals: 2 });
        let bytes = of_leases.write().expect("bytes");
        // As logs have it from before there were other parts.
        assert_eq!(bytes, [1, 0xac, 2, 2]);
        assert_eq!(Command::read(&bytes), Some(of_leases));
        for rubbish in [&[][..], &[2], &[FIRST_TAG + 100, 1], &[255; 9]] {
            assert_eq!(Command::read(rubbish), None);
        }
    }
}
