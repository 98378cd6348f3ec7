//! Tests of the copy of the list on disk.

use super::*;

#[test]
fn loads_saved_copy_and_rejects_truncated_one() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("list.json");
    assert!(load(&path).expect("readable").is_none());
    let message = Message { removed_titles: vec!["x".into()], ..Message::default() };
    save(&path, &message).expect("written");
    assert_eq!(load(&path).expect("readable"), Some(message));
    let text = fs::read(&path).expect("readable");
    fs::write(&path, &text[..text.len() - 1]).expect("written");
    assert!(load(&path).is_err());
}
