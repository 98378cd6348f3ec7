//! Transfer encoding of snapshot data, and chunk ids.

use super::{Chunk, ChunkId, SnapshotData};

fn snapshot_data() -> SnapshotData {
    let chunks: [&[u8]; 4] = [b"one", b"", b"twotwo", b"one"];
    SnapshotData::new(chunks.map(Chunk::new).to_vec())
}

#[test]
fn round_trips_with_any_part_size() {
    for data in [snapshot_data(), SnapshotData::default(), SnapshotData::from_bytes(vec![7; 100])] {
        for part_bytes in 1..40 {
            let mut encoded = Vec::new();
            while encoded.len() < data.encoded_len() {
                let part = data.encoded_range(encoded.len(), part_bytes);
                assert!(!part.is_empty() && part.len() <= part_bytes);
                encoded.extend(part);
            }
            assert_eq!(SnapshotData::decode(&encoded), Some(data.clone()));
        }
    }
    assert_eq!(snapshot_data().encoded_range(snapshot_data().encoded_len(), 9), []);
    assert_eq!(snapshot_data().to_bytes(), b"onetwotwoone");
}

#[test]
fn rejects_malformed_encodings() {
    let encoded = snapshot_data().encoded_range(0, usize::MAX >> 1);
    for length in 1..encoded.len() {
        assert_eq!(SnapshotData::decode(&encoded[..length]), None, "{length} bytes");
    }
    assert_eq!(SnapshotData::decode(&[&encoded[..], &[0]].concat()), None);
    assert_eq!(SnapshotData::decode(&u32::MAX.to_be_bytes()), None);
    assert_eq!(SnapshotData::decode(&[0; 4]), None);
    // An encoding with a flipped bit decodes to another state or is rejected.
    for bit in 0..encoded.len() * 8 {
        let mut corrupt = encoded.clone();
        corrupt[bit / 8] ^= 1 << (bit % 8);
        assert_ne!(SnapshotData::decode(&corrupt), Some(snapshot_data()), "bit {bit}");
    }
}

#[test]
fn chunk_id_round_trips_as_key() {
    let id = ChunkId::of_bytes(b"one");
    assert_eq!(ChunkId::from_key(&id.to_key()), Some(id));
    assert_eq!(ChunkId::from_key(b"short"), None);
    assert_eq!(Chunk::new(&b"one"[..]), Chunk::new(b"one".to_vec()));
    assert_ne!(ChunkId::of_bytes(b"one"), ChunkId::of_bytes(b"two"));
}
