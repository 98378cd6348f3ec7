//! The encodings of commands in the log.

use std::collections::BTreeSet;

use beechloft_replica::Command;

use super::{fixture, to_hex, values};

const COMMANDS: &str = include_str!("../fixtures/commands.txt");

#[test]
fn every_command_has_the_encoding_of_its_fixture() {
    for (name, command) in values::commands() {
        let written = command.write().expect("every command has an encoding");
        assert_eq!(to_hex(&written), to_hex(&fixture(COMMANDS, &name)), "{name} is written otherwise");
        assert_eq!(Command::read(&fixture(COMMANDS, &name)), Some(command), "{name} is read otherwise");
    }
}

#[test]
fn every_part_has_fixtures_under_its_own_tag() {
    let tags = |part: &str| -> BTreeSet<u8> {
        let of_part = values::commands().into_iter().filter(|(name, _)| name.starts_with(part));
        of_part.map(|(name, _)| fixture(COMMANDS, &name)[0]).collect()
    };
    // Commands of leases have no tag: the first byte is that of the command's own kind.
    assert_eq!(tags("leases-"), [0, 1].into());
    assert_eq!(tags("topics-"), [16].into());
    assert_eq!(tags("limits-"), [17].into());
    assert_eq!(tags("placement-"), [18].into());
}
