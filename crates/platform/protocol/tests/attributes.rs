//! Parsing of set-up attributes.

use beechloft_protocol::attributes::{AttributeError, Attributes};

#[test]
fn parses_attributes_and_names_invalid_ones() {
    let parsed = Attributes::parse("home:4;copies:3;top:4;viewer:00000000b4d65521;again:1;new:9;at:s-1");
    let expected = Attributes {
        home_cell: 4,
        copies: 3,
        max_rung: 4,
        viewer: 0xb4d6_5521,
        is_retry: true,
        playing_at: Some("s-1".into()),
    };
    assert_eq!(parsed, Ok(expected));
    assert_eq!(Attributes::parse("home:4"), Err(AttributeError::Missing("copies")));
    for invalid in ["-1", "NaN", "inf", "1e300", "x", ""] {
        let text = format!("home:{invalid};copies:3;top:4;viewer:00000000b4d65521");
        assert_eq!(Attributes::parse(&text), Err(AttributeError::Invalid("home")), "{invalid}");
    }
}
