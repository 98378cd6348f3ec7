//! The binary framing under any split of the stream, and malformed streams.

use beechloft_protocol::binary::{Frame, FrameDecoder, FrameError, Parameter};
use beechloft_protocol::{CallId, MAX_MESSAGE};
use proptest::prelude::*;

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
    fn encoded_frames_are_decoded_under_any_split(sent in frames(), step in 1..40usize) {
        let bytes: Vec<u8> = sent.iter().flat_map(|f| f.encode().expect("short")).collect();
        let (mut decoder, mut received) = (FrameDecoder::default(), Vec::new());
        for part in bytes.chunks(step) {
            decoder.push(part);
            while let Some(frame) = decoder.next_frame().expect("sound") {
                received.push(frame);
            }
        }
        prop_assert_eq!(received, sent);
        prop_assert_eq!(decoder.pending(), 0);
    }

    #[test]
    fn any_bytes_neither_panic_nor_buffer_more_than_a_message(bytes in prop::collection::vec(any::<u8>(), 0..400), step in 1..50usize) {
        let mut decoder = FrameDecoder::default();
        'bytes: for part in bytes.chunks(step) {
            decoder.push(part);
            loop {
                match decoder.next_frame() {
                    Ok(Some(_)) => {}
                    Ok(None) => break,
                    Err(_) => break 'bytes,
                }
            }
            prop_assert!(decoder.pending() <= 2 + MAX_MESSAGE);
        }
    }
}

#[test]
fn invalid_lengths_are_errors_as_soon_as_they_are_received() {
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
