//! Tests of the table of contents.

use beechloft_consensus::{Chunk, SnapshotData};

use super::{Section, StateError, read, write};

#[test]
fn chunks_are_read_back_by_component_and_malformed_contents_are_rejected() {
    let chunk = |text: &str| Chunk::new(text.as_bytes());
    let state = write([(1, vec![chunk("a")]), (16, vec![chunk("b"), chunk("c")]), (17, Vec::new())]);
    let read_back = read(&state, 1).expect("sound");
    let expected =
        [Section { tag: 1, chunks: &[chunk("a")] }, Section { tag: 16, chunks: &[chunk("b"), chunk("c")] }];
    assert_eq!(read_back, expected);
    assert_eq!(read(&SnapshotData::default(), 1), Ok(Vec::new()));
    // The format of versions with leases alone.
    let whole = SnapshotData::from_bytes(*b"a table");
    assert_eq!(read(&whole, 1), Ok(vec![Section { tag: 1, chunks: whole.chunks() }]));
    for n in 1..state.chunks().len() {
        let truncated = SnapshotData::new(state.chunks()[..n].to_vec());
        assert_eq!(read(&truncated, 1), Err(StateError::Malformed), "{n}");
    }
    let extended = [state.chunks(), &[chunk("d")]].concat();
    assert_eq!(read(&SnapshotData::new(extended), 1), Err(StateError::Malformed));
    let without_contents = SnapshotData::new(state.chunks()[1..].to_vec());
    assert_eq!(read(&without_contents, 1), Err(StateError::Malformed));
    let duplicated = write([(1, vec![chunk("a")]), (1, vec![chunk("b")])]);
    assert_eq!(read(&duplicated, 1), Err(StateError::Malformed));
}
