//! Tests of the encoding of commands.

use beechloft_leases::{Name, Token};
use beechloft_topic::{Offset, TopicCommand};

use super::{Command, tag};

#[test]
fn commands_round_trip_and_unknown_tags_are_ignored() {
    let of_leases = Command::Leases(beechloft_leases::Command::Expire { token: Token(300), renewals: 2 });
    let bytes = of_leases.write().expect("bytes");
    // As logs have it from before there were other parts.
    assert_eq!(bytes, [1, 0xac, 2, 2]);
    assert_eq!(Command::read(&bytes), Some(of_leases));
    let topic = Name::try_from("limits".to_owned()).expect("a name");
    let of_topics = Command::Topics(TopicCommand::Horizon { topic, to: Offset(300) });
    let topic_bytes = of_topics.write().expect("bytes");
    assert_eq!((topic_bytes[0], Command::read(&topic_bytes)), (16, Some(of_topics)));
    for rubbish in
        [&[][..], &[2], &[tag::FIRST_IN_LOG + 100, 1], &[255; 9], &topic_bytes[..topic_bytes.len() - 1]]
    {
        assert_eq!(Command::read(rubbish), None);
    }
}
