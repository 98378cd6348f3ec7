//! Tests of the `route` module.

use super::*;
use proptest::prelude::*;

#[test]
fn malformed_paths_are_not_found() {
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
        assert_eq!(parse(path), Route::NotFound, "{path}");
    }
    assert_eq!(parse(&format!("/whep/{}", "a".repeat(201))), Route::NotFound);
    let upper = session_path(SessionId(0xab), Secret(1)).to_uppercase().replace("/SESSION", "/session");
    assert_eq!(parse(&upper), Route::NotFound, "paths are case-sensitive");
}

proptest! {
    #[test]
    fn encoded_paths_round_trip(title in "[^\\p{C}]{1,40}", id in any::<u64>(), secret in any::<u64>(), publishes in any::<bool>()) {
        prop_assert_eq!(parse(&endpoint_path(&title, publishes)), Route::Endpoint { title, publishes });
        let (id, secret) = (SessionId(id), Secret(secret));
        prop_assert_eq!(parse(&session_path(id, secret)), Route::Session(id, secret));
        let path = events_path(id, secret);
        prop_assert_eq!(parse(&path), Route::Events(id, secret, None));
        prop_assert_eq!(parse(&format!("{path}/layers")), Route::Events(id, secret, Some("layers".into())));
    }
}
