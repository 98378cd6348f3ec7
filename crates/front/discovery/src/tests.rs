//! Tests of the validation of messages.

use super::*;
use beechloft_session::api::Settings;
use serde_json::json;

pub(crate) fn service() -> Service {
    let names = |name: &str| vec![name.to_owned()];
    let settings = Settings { racks: 2, ..Settings::default() };
    Service { zones: names("a"), classes: names("c"), tenants: vec![], kinds: names("k"), settings }
}

#[test]
fn ignores_only_invalid_entries() {
    let valid =
        json!({"id": 1, "name": "one", "address": "127.0.0.1:1", "state": "ready", "zone": "a", "kind": "k"});
    let with = |key: &str, value: Value| {
        let mut entry = valid.clone();
        entry[key] = value;
        entry
    };
    let message = Message {
        media_servers: vec![
            valid.clone(),
            with("state", json!("fine")),
            with("zone", json!("b")),
            with("address", json!("nowhere")),
            with("rack", json!(2)),
            with("id", json!(-1)),
            json!(7),
        ],
        titles: vec![
            json!({"name": "t", "class": "c", "holders": [1]}),
            json!({"name": "u", "class": "d", "holders": [1]}),
        ],
        removed_titles: vec!["v".into()],
    };
    let read = read(MessageKind::Change, &message, &service());
    let EndpointUpdate::Change { servers, titles, removed } = read.update else { panic!("a change") };
    assert_eq!((servers.len(), titles.len(), removed.len(), read.faults.len()), (1, 1, 1, 7));
    assert!(read.faults[1].contains("unknown zone 'b'"), "{:?}", read.faults);
}
