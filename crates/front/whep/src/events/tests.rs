//! Tests of the `events` module.

use super::*;
use beechloft_http::Method;

#[test]
fn events_are_asked_for_by_name_and_unknown_ones_passed_over() {
    let ask =
        |kind: &'static str, body: &str| subscribe(&Request::new(Method::POST, "/").body(kind, body), "/e");
    let given = ask(BODY, "[\"layers\",\"viewercount\",\"inactive\"]");
    assert_eq!((given.status.as_u16(), given.field(header::LOCATION)), (201, Some("/e/inactive+layers")));
    assert_eq!(wanted("inactive+layers"), Some(vec!["inactive", "layers"]));
    assert_eq!(wanted("layers+x"), None);
    let status = |kind, body| ask(kind, body).status.as_u16();
    assert_eq!((status("text/plain", "[]"), status(BODY, "{}"), status(BODY, "[\"x\"]")), (415, 400, 422));
}
