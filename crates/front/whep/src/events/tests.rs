//! Tests of the `events` module.

use super::*;
use beechloft_http::Method;

#[test]
fn subscribes_to_known_events_and_ignores_unknown_names() {
    let ask =
        |kind: &'static str, body: &str| subscribe(&Request::new(Method::POST, "/").body(kind, body), "/e");
    let given = ask(LIST_TYPE, "[\"layers\",\"viewercount\",\"inactive\"]");
    assert_eq!((given.status.as_u16(), given.field(header::LOCATION)), (201, Some("/e/inactive+layers")));
    assert_eq!(parse_names("inactive+layers"), Some(vec!["inactive", "layers"]));
    assert_eq!(parse_names("layers+x"), None);
    let status = |kind, body| ask(kind, body).status.as_u16();
    assert_eq!(
        (status("text/plain", "[]"), status(LIST_TYPE, "{}"), status(LIST_TYPE, "[\"x\"]")),
        (415, 400, 422)
    );
}
