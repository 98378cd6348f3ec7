//! Encodings of commands in the log.

use std::collections::BTreeSet;

use beechloft_replica::Command;

use super::{fixture, to_hex, values};

const COMMANDS: &str = include_str!("../fixtures/commands.txt");

#[test]
fn commands_match_fixtures_in_both_directions() {
    for (name, command) in values::commands() {
        let written = command.write().expect("every command has an encoding");
        assert_eq!(to_hex(&written), to_hex(&fixture(COMMANDS, &name)), "{name} has another encoding");
        assert_eq!(
            Command::read(&fixture(COMMANDS, &name)),
            Some(command),
            "{name} decodes to another command"
        );
    }
}

#[test]
fn components_use_their_own_tags() {
    let tags = |component: &str| -> BTreeSet<u8> {
        let fixtures = values::commands().into_iter().filter(|(name, _)| name.starts_with(component));
        fixtures.map(|(name, _)| fixture(COMMANDS, &name)[0]).collect()
    };
    // Commands of the leases have no tag. Their first byte is the variant of the command.
    assert_eq!(tags("leases-"), [0, 1].into());
    assert_eq!(tags("topics-"), [16].into());
    assert_eq!(tags("limits-"), [17].into());
    assert_eq!(tags("placement-"), [18].into());
}
