//! Binary framing: any split of the stream, and malformed streams.

use beechloft_protocol::binary::{Frame, FrameDecoder, FrameError, Parameter};
use beechloft_protocol::{CallId, MAX_MESSAGE_BYTES};
use proptest::prelude::*;

/// Size of the length that precedes a message.
const LENGTH_PREFIX_BYTES: usize = 2;

fn frames() -> impl Strategy<Value = Vec<Frame>> {
    let parameter = (any::<u8>(), prop::collection::vec(any::<u8>(), 0..60))
        .prop_map(|(code, value)| Parameter { code, value });
    let frame = (any::<u8>(), any::<u64>(), prop::collection::vec(parameter, 0..5));
    prop::collection::vec(
        frame.prop_map(|(kind, id, parameters)| Frame { kind, id: CallId(id), parameters }),
        1..6,
    )
}

proptest! {
    #[test]
    fn decodes_frames_under_any_split(sent in frames(), chunk_bytes in 1..40usize) {
        let bytes: Vec<u8> = sent.iter().flat_map(|frame| frame.encode().expect("a frame within the limit")).collect();
        let (mut decoder, mut received) = (FrameDecoder::default(), Vec::new());
        for chunk in bytes.chunks(chunk_bytes) {
            decoder.push(chunk);
            while let Some(frame) = decoder.next_frame().expect("a valid frame") {
                received.push(frame);
            }
        }
        prop_assert_eq!(received, sent);
        prop_assert_eq!(decoder.pending(), 0);
    }

    #[test]
    fn arbitrary_bytes_neither_panic_nor_exceed_buffer(bytes in prop::collection::vec(any::<u8>(), 0..400), chunk_bytes in 1..50usize) {
        let mut decoder = FrameDecoder::default();
        'stream: for chunk in bytes.chunks(chunk_bytes) {
            decoder.push(chunk);
            loop {
                match decoder.next_frame() {
                    Ok(Some(_)) => {}
                    Ok(None) => break,
                    Err(_) => break 'stream,
                }
            }
            prop_assert!(decoder.pending() <= LENGTH_PREFIX_BYTES + MAX_MESSAGE_BYTES);
        }
    }
}

#[test]
fn rejects_invalid_lengths_immediately() {
    let decode = |bytes: &[u8]| {
        let mut decoder = FrameDecoder::default();
        decoder.push(bytes);
        decoder.next_frame()
    };
    assert_eq!(decode(&[0, 0]), Err(FrameError::TooShort(0)));
    assert_eq!(decode(&[0, 8]), Err(FrameError::TooShort(8)));
    assert_eq!(decode(&[0xff, 0xff]), Err(FrameError::TooLong(0xffff)));
    assert_eq!(decode(&[0, 9, 1]), Ok(None));
    let header = [0, 13, 1, 0, 0, 0, 0, 0, 0, 0, 7];
    assert_eq!(decode(&[&header[..], &[3, 0, 2, 1]].concat()), Err(FrameError::TruncatedParameter));
    assert_eq!(
        decode(&[&header[..], &[3, 0, 1, 1]].concat()).map(|frame| frame.map(|frame| frame.parameters)),
        Ok(Some(vec![Parameter { code: 3, value: vec![1] }]))
    );
}
