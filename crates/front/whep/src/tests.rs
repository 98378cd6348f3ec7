//! Tests of the media types.

use super::*;

#[test]
fn compares_media_types_without_parameters() {
    assert!(is_type(Some("Application/SDP; charset=utf-8"), SDP));
    assert!(!is_type(Some("application/json"), SDP) && !is_type(None, SDP));
    assert!(accepts(None, SDP) && accepts(Some("text/html, application/*;q=0.5"), SDP));
    assert!(!accepts(Some("text/html, application/sdp;q=0"), SDP));
}
