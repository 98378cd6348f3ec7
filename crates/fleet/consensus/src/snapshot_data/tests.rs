//! Tests of the transfer encoding and of chunk ids.

use super::{Chunk, ChunkId, SnapshotData};

fn snapshot_data() -> SnapshotData {
    let chunks: [&[u8]; 4] = [b"one", b"", b"twotwo", b"one"];
    SnapshotData::new(chunks.map(Chunk::new).to_vec())
}

#[test]
fn decoding_restores_the_data_for_any_size_of_parts() {
    for data in [snapshot_data(), SnapshotData::default(), SnapshotData::from_bytes(vec![7; 100])] {
        for bytes in 1..40 {
            let mut sent = Vec::new();
            while sent.len() < data.encoded_len() {
                let part = data.encoded_range(sent.len(), bytes);
                assert!(!part.is_empty() && part.len() <= bytes);
                sent.extend(part);
            }
            assert_eq!(SnapshotData::decode(&sent), Some(data.clone()));
        }
    }
    assert_eq!(snapshot_data().encoded_range(snapshot_data().encoded_len(), 9), []);
    assert_eq!(snapshot_data().to_bytes(), b"onetwotwoone");
}

#[test]
fn truncated_or_malformed_encodings_are_rejected() {
    let sent = snapshot_data().encoded_range(0, usize::MAX >> 1);
    for cut in 1..sent.len() {
        assert_eq!(SnapshotData::decode(&sent[..cut]), None, "{cut}");
    }
    assert_eq!(SnapshotData::decode(&[&sent[..], &[0]].concat()), None);
    assert_eq!(SnapshotData::decode(&u32::MAX.to_be_bytes()), None);
    assert_eq!(SnapshotData::decode(&[0; 4]), None);
    // A flipped bit is another state, or none.
    for bit in 0..sent.len() * 8 {
        let mut bad = sent.clone();
        bad[bit / 8] ^= 1 << (bit % 8);
        assert_ne!(SnapshotData::decode(&bad), Some(snapshot_data()), "bit {bit}");
    }
}

#[test]
fn a_chunk_id_round_trips_as_a_key_and_depends_on_the_content() {
    let name = ChunkId::of_bytes(b"one");
    assert_eq!(ChunkId::from_key(&name.to_key()), Some(name));
    assert_eq!(ChunkId::from_key(b"short"), None);
    assert_eq!(Chunk::new(&b"one"[..]), Chunk::new(b"one".to_vec()));
    assert_ne!(ChunkId::of_bytes(b"one"), ChunkId::of_bytes(b"two"));
}
