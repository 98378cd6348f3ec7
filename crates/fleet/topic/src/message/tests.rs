use super::*;

fn record(key: &[u8], value: Option<&[u8]>) -> Record {
    Record {
        key: Key::new(key).expect("valid key"),
        value: value.map(|v| Value::new(v).expect("valid value")),
    }
}

#[test]
fn decodes_encoded_body_and_rejects_malformed_bytes() {
    for (key, value) in [(&b"k"[..], Some(&b""[..])), (&[7; 256], Some(&[1; 65_536])), (b"gone", None)] {
        let body = Body::new(&record(key, value));
        assert_eq!((body.key(), body.value()), (key, value));
        let message = Message { offset: Offset(9), body };
        let bytes = postcard::to_allocvec(&message).expect("encodable");
        assert_eq!(postcard::from_bytes::<Message>(&bytes), Ok(message));
    }
    let malformed: [&[u8]; 6] = [&[], &[1], &[0, 0], &[5, 0, 1], &[1, 0x80, 7, 7], &[0xff, 0x7f, 0]];
    for bytes in malformed {
        assert!(Body::slice(&bytes.into(), 0..bytes.len()).is_none(), "{bytes:?}");
    }
    assert!(Key::new(&[]).is_err() && Key::new(&[0; 257]).is_err() && Value::new(&[0; 65_537]).is_err());
    let long_key = postcard::to_allocvec(&vec![0u8; 257]).expect("encodable");
    assert!(postcard::from_bytes::<Key>(&long_key).is_err());
}
