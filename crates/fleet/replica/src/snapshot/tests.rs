//! Tests of the table of contents of a snapshot.

use beechloft_consensus::{Chunk, SnapshotData};

use super::{Section, StateError, read, write};

#[test]
fn reads_sections_and_rejects_malformed_table_of_contents() {
    let chunk = |text: &str| Chunk::new(text.as_bytes());
    let state = write([(1, vec![chunk("a")]), (16, vec![chunk("b"), chunk("c")]), (17, Vec::new())]);
    let read_back = read(&state, 1).expect("a valid snapshot");
    let expected =
        [Section { tag: 1, chunks: &[chunk("a")] }, Section { tag: 16, chunks: &[chunk("b"), chunk("c")] }];
    assert_eq!(read_back, expected);
    assert_eq!(read(&SnapshotData::default(), 1), Ok(Vec::new()));
    // The format of versions that had no other component than the leases.
    let leases_alone = SnapshotData::from_bytes(*b"a table");
    assert_eq!(read(&leases_alone, 1), Ok(vec![Section { tag: 1, chunks: leases_alone.chunks() }]));
    for count in 1..state.chunks().len() {
        let truncated = SnapshotData::new(state.chunks()[..count].to_vec());
        assert_eq!(read(&truncated, 1), Err(StateError::Malformed), "{count}");
    }
    let extended = [state.chunks(), &[chunk("d")]].concat();
    assert_eq!(read(&SnapshotData::new(extended), 1), Err(StateError::Malformed));
    let without_contents = SnapshotData::new(state.chunks()[1..].to_vec());
    assert_eq!(read(&without_contents, 1), Err(StateError::Malformed));
    let duplicated = write([(1, vec![chunk("a")]), (1, vec![chunk("b")])]);
    assert_eq!(read(&duplicated, 1), Err(StateError::Malformed));
}
