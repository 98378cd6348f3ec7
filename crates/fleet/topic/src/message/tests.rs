use super::*;

fn record(key: &[u8], value: Option<&[u8]>) -> Record {
    Record { key: Key::new(key).expect("a key"), value: value.map(|v| Value::new(v).expect("a value")) }
}

#[test]
fn a_body_reads_as_it_was_written_and_rubbish_does_not() {
    for (key, value) in [(&b"k"[..], Some(&b""[..])), (&[7; 256], Some(&[1; 65_536])), (b"gone", None)] {
        let body = Body::of(&record(key, value));
        assert_eq!((body.key(), body.value()), (key, value));
        let message = Message { offset: Offset(9), body };
        let bytes = postcard::to_allocvec(&message).expect("bytes");
        assert_eq!(postcard::from_bytes::<Message>(&bytes), Ok(message));
    }
    let rubbish: [&[u8]; 6] = [&[], &[1], &[0, 0], &[5, 0, 1], &[1, 0x80, 7, 7], &[0xff, 0x7f, 0]];
    for bytes in rubbish {
        assert!(Body::part(&bytes.into(), 0..bytes.len()).is_none(), "{bytes:?}");
    }
    assert!(Key::new(&[]).is_err() && Key::new(&[0; 257]).is_err() && Value::new(&[0; 65_537]).is_err());
    let long = postcard::to_allocvec(&vec![0u8; 257]).expect("bytes");
    assert!(postcard::from_bytes::<Key>(&long).is_err());
}
