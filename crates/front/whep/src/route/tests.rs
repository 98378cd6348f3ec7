//! Tests of the `route` module.

use super::*;
use proptest::prelude::*;

#[test]
fn odd_addresses_lead_nowhere() {
    for path in [
        "/",
        "/whep",
        "/whep/",
        "/whep/a/b",
        "/whep/%ff",
        "/whep/%00",
        "/session/12",
        "/session/é",
        "/whepx/a",
    ] {
        assert_eq!(place(path), Place::Nowhere, "{path}");
    }
    assert_eq!(place(&format!("/whep/{}", "a".repeat(201))), Place::Nowhere);
    let upper = session_path(SessionId(0xab), Secret(1)).to_uppercase().replace("/SESSION", "/session");
    assert_eq!(place(&upper), Place::Nowhere, "one address for one session");
}

proptest! {
    #[test]
    fn written_addresses_are_read_again(title in "[^\\p{C}]{1,40}", id in any::<u64>(), secret in any::<u64>(), publishes in any::<bool>()) {
        prop_assert_eq!(place(&endpoint_path(&title, publishes)), Place::Endpoint { title, publishes });
        let (id, secret) = (SessionId(id), Secret(secret));
        prop_assert_eq!(place(&session_path(id, secret)), Place::Session(id, secret));
        let path = events_path(id, secret);
        prop_assert_eq!(place(&path), Place::Events(id, secret, None));
        prop_assert_eq!(place(&format!("{path}/layers")), Place::Events(id, secret, Some("layers".into())));
    }
}
