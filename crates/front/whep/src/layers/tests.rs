//! Tests of the `layers` module.

use super::*;

#[test]
fn selections_and_links_round_trip() {
    assert_eq!(selected(select(Rung(3)).as_bytes()), Some(Rung(3)));
    assert_eq!(selected(b"{\"mediaId\":\"0\"}"), None);
    assert_eq!(link(&format!("</r/1/layer>; rel=\"{REL}\"; events=\"x\"")), Some(("/r/1/layer", REL)));
    assert_eq!(link("no link"), None);
}
