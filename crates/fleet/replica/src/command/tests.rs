//! Tests of the encoding of commands.

use beechloft_leases::{Name, Token};
use beechloft_topic::{Offset, TopicCommand};

use super::{Command, tag};

#[test]
fn commands_round_trip_and_undecodable_bytes_are_rejected() {
    let lease_command = Command::Leases(beechloft_leases::Command::Expire { token: Token(300), renewals: 2 });
    let bytes = lease_command.write().expect("every command has an encoding");
    // Commands of the leases have no tag, as in logs of versions without other components.
    assert_eq!(bytes, [1, 0xac, 2, 2]);
    assert_eq!(Command::read(&bytes), Some(lease_command));
    let topic = Name::try_from("limits".to_owned()).expect("a name");
    let topic_command = Command::Topics(TopicCommand::Horizon { topic, to: Offset(300) });
    let topic_bytes = topic_command.write().expect("every command has an encoding");
    assert_eq!((topic_bytes[0], Command::read(&topic_bytes)), (16, Some(topic_command)));
    for undecodable in
        [&[][..], &[2], &[tag::FIRST_IN_LOG + 100, 1], &[255; 9], &topic_bytes[..topic_bytes.len() - 1]]
    {
        assert_eq!(Command::read(undecodable), None);
    }
}
