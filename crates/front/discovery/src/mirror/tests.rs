//! Tests of the mirror of the endpoint list.

use super::*;
use serde_json::json;

#[test]
fn changes_add_up_to_the_list() {
    let mut mirror = Mirror::default();
    let listed = vec![json!({"id": 1, "state": "ready"}), json!({"id": 2, "state": "ready"})];
    let titles = vec![json!({"name": "t"}), json!({"name": "u"})];
    mirror.apply(true, &Message { boxes: listed, titles, gone: vec![] });
    let boxes = vec![json!({"id": 1, "state": "gone"}), json!({"id": 2, "state": "draining"})];
    mirror.apply(false, &Message { boxes, titles: vec![], gone: vec!["t".into()] });
    mirror.apply(true, &Message::default());
    let all = mirror.message();
    assert_eq!(all.boxes, [json!({"id": 2, "state": "draining"})]);
    assert_eq!(all.titles, [json!({"name": "u"})]);
}
