//! Tests of the mirror of the endpoint list.

use super::*;
use serde_json::json;

#[test]
fn applies_changes_and_ignores_an_empty_snapshot() {
    let mut mirror = Mirror::default();
    let media_servers = vec![json!({"id": 1, "state": "ready"}), json!({"id": 2, "state": "ready"})];
    let titles = vec![json!({"name": "t"}), json!({"name": "u"})];
    mirror.apply(true, &Message { media_servers, titles, removed_titles: vec![] });
    let changed_servers = vec![json!({"id": 1, "state": "gone"}), json!({"id": 2, "state": "draining"})];
    mirror.apply(
        false,
        &Message { media_servers: changed_servers, titles: vec![], removed_titles: vec!["t".into()] },
    );
    mirror.apply(true, &Message::default());
    let list = mirror.message();
    assert_eq!(list.media_servers, [json!({"id": 2, "state": "draining"})]);
    assert_eq!(list.titles, [json!({"name": "u"})]);
}
