//! Tests of the cached copy.

use super::*;

#[test]
fn the_copy_is_read_as_saved_and_a_cut_one_is_an_error() {
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
