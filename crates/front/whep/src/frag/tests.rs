//! Tests of the `frag` module.

use super::*;

const FRAG: &str = "a=group:BUNDLE 0\r\na=ice-ufrag:EsAw\r\na=ice-pwd:P2uYro0UCOQ4zxjKXaWCBui1\r\n\
        m=audio 9 RTP/AVP 0\r\na=mid:0\r\na=candidate:1387637174 1 udp 2122260223 192.0.2.1 61764 typ host generation 0\r\n\
        a=end-of-candidates\r\n";

#[test]
fn parses_fragments_and_rejects_malformed_ones() {
    let frag = check(FRAG.as_bytes()).expect("valid");
    assert_eq!((frag.user_fragment.as_str(), frag.candidates, frag.end_of_candidates), ("EsAw", 1, true));
    assert_eq!(check(b""), Err(FragError::Form));
    assert_eq!(check(b"a=mid:0\r\n"), Err(FragError::NoCredentials));
    assert!(matches!(check(FRAG.replace("a=mid:0", "t=0 0").as_bytes()), Err(FragError::Line(5, _))));
    assert!(matches!(check(FRAG.replace("61764", "port").as_bytes()), Err(FragError::Line(6, _))));
}
